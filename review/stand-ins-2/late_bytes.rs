//! DENIED: faulty servers send additional bytes late, and these are passed on as the answers to orders that run.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::config;
use crate::http;
use crate::http::Message;
use crate::record::Record;
use crate::server;
use crate::server::Identity;
use crate::server::Server;
use crate::site::HOST;
use crate::site::Options;
use crate::site::Site;

const SERVERS: u8 = 5;
/// The faulty ones: a share of 0.6.
const FAULTY: u8 = 3;
/// One answer in so many is followed by additional bytes: a share of 0.03 at most.
const ONE_IN: u32 = 34;
/// They arrive when the next answer on that connection is expected. They have no id, no signature and no other mark.
const BYTES: &[u8] = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";
/// When the servers become faulty, and for how long.
const TROUBLES: [Duration; 4] = [
    Duration::from_secs(2),
    Duration::from_secs(10),
    Duration::from_secs(18),
    Duration::from_secs(26),
];
const TROUBLE: Duration = Duration::from_secs(5);
const TIME: Duration = Duration::from_secs(33);
const INTERVAL: Duration = Duration::from_millis(4);
const WORK: Duration = Duration::from_millis(20);

pub fn play(record: &Record, trouble: bool) -> bool {
    let site = Site::start(Options { gates: 2, keepers: 3 }, record);
    let services = [config::service("ledger")];
    site.publish(&config::config(
        1,
        &[config::route("sign", "unsafe", "ledger", 4_000, 1)],
        &services,
    ));
    let faulty = Arc::new(AtomicBool::new(false));
    let ran: Arc<Mutex<BTreeMap<String, u32>>> = Arc::default();
    let servers: Vec<Arc<Server>> = (0..SERVERS)
        .map(|number| {
            let identity = Identity {
                id: format!("i-{number}"),
                service: "ledger".to_owned(),
                version: "v1".to_owned(),
                address: site.server(number),
                slots: 6,
            };
            let (faulty, ran, runs) = (faulty.clone(), ran.clone(), AtomicU32::new(0));
            let is_faulty = number < FAULTY;
            let work = move |server: &Server, request: &Message, stream: &mut TcpStream| {
                let id = request.header("x-request-id").to_owned();
                let run = runs.fetch_add(1, Ordering::SeqCst);
                if is_faulty && faulty.load(Ordering::SeqCst) && run % ONE_IN == 0 {
                    // The bytes after an earlier answer arrive now.
                    server.record.write(&format!(
                        "server {}: additional bytes before the answer to {id}",
                        server.identity.id
                    ));
                    stream.write_all(BYTES).ok();
                }
                thread::sleep(WORK);
                *ran.lock().unwrap().entry(id.clone()).or_default() += 1;
                let signature = format!("s-{id}");
                server::respond(
                    stream,
                    request,
                    200,
                    &[("X-Server-Signature", &signature)],
                    "signed",
                )
            };
            Server::start(identity, None, site.controls(), record, Arc::new(work))
        })
        .collect();
    site.await_ready();
    let start = Instant::now();
    let answers: Arc<Mutex<Vec<(String, u16, bool)>>> = Arc::default();
    let mut callers = Vec::new();
    for number in 0.. {
        let now = start.elapsed();
        if now >= TIME {
            break;
        }
        let is_faulty = |from: &Duration| (*from..*from + TROUBLE).contains(&now);
        faulty.store(trouble && TROUBLES.iter().any(is_faulty), Ordering::SeqCst);
        let (front, record, answers) =
            (site.front(number as u8 % 2), record.clone(), answers.clone());
        callers.push(thread::spawn(move || {
            let id = format!("o{number}");
            let headers = [("X-Request-Id", id.as_str()), ("X-Deadline-Remaining", "4000")];
            let answer =
                http::call(front, "POST", HOST, "/sign/x", &headers, &id, Duration::from_secs(5));
            let status = answer.as_ref().map_or(0, Message::status);
            let signed =
                answer.is_some_and(|answer| !answer.header("x-server-signature").is_empty());
            if status != 200 {
                record.write(&format!("client: {id}: {status}, signature {signed}"));
            }
            answers.lock().unwrap().push((id, status, signed));
        }));
        thread::sleep(INTERVAL);
    }
    callers.into_iter().for_each(|caller| drop(caller.join()));
    servers.iter().for_each(|server| server.crash());
    let (answers, ran) = (answers.lock().unwrap(), ran.lock().unwrap());
    let denied: Vec<&String> = answers
        .iter()
        .filter(|(_, status, signed)| {
            (300..500).contains(status) && ![408, 421, 429].contains(status) && !signed
        })
        .map(|(id, ..)| id)
        .collect();
    let have_run = denied.iter().filter(|id| ran.contains_key(**id)).count();
    let allowed = 5 + answers.len() / 500;
    record.say(&format!(
        "{} orders, {} answered 404 without a signature ({allowed} allowed), {have_run} of these ran",
        answers.len(),
        denied.len()
    ));
    if !answers.iter().any(|(_, status, _)| *status == 200) {
        crate::cannot_run("no order was answered");
    }
    denied.len() <= allowed
}
