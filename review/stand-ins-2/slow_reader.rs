//! LOST: clients who read their answers slowly, and steadily, are cut off in the middle.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
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

const SERVERS: u8 = 4;
/// The answer to an order: the signed document.
const ANSWER_BYTES: usize = 240 << 10;
/// The timeout of the route, and the deadline of its clients.
const TIMEOUT_MS: u32 = 15_000;
const CLIENTS: u32 = 12;
/// How a slow client reads: so many bytes, then a pause. It has the whole answer within 10 s.
const PIECE_BYTES: usize = 8 << 10;
const PAUSE: Duration = Duration::from_millis(300);
/// The requests that a machine may close without an answer.
const ALLOWED: usize = 3;

fn work(ran: &Mutex<BTreeMap<String, u32>>, request: &Message, stream: &mut TcpStream) -> bool {
    static DOCUMENT: OnceLock<String> = OnceLock::new();
    let id = request.header("x-request-id").to_owned();
    *ran.lock().unwrap().entry(id.clone()).or_default() += 1;
    let signature = format!("s-{id}");
    let document = DOCUMENT.get_or_init(|| "d".repeat(ANSWER_BYTES));
    let body = if request.text() == "hello" { "hello" } else { document.as_str() };
    server::respond(stream, request, 200, &[("X-Server-Signature", &signature)], body)
}

/// Sends a small order and then the one whose answer counts on the same connection; returns whether that answer is complete.
fn order(front: SocketAddr, number: u32, slow: bool, record: &Record) -> Option<bool> {
    let stream = TcpStream::connect(front).ok()?;
    stream.set_read_timeout(Some(Duration::from_millis(u64::from(TIMEOUT_MS)))).ok()?;
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::with_capacity(PIECE_BYTES, stream);
    let timeout = TIMEOUT_MS.to_string();
    let mut send = |id: &str, body: &str| {
        let headers = [("X-Request-Id", id), ("X-Deadline-Remaining", timeout.as_str())];
        writer.write_all(http::request("POST", HOST, "/sign/x", &headers, body).as_bytes())
    };
    send(&format!("h{number}"), "hello").ok()?;
    let head = http::read_head(&mut reader)?;
    if !http::read_body(&mut reader, &head, |_| true) {
        return None;
    }
    let id = format!("o{number}");
    let start = Instant::now();
    send(&id, "order").ok()?;
    let head = http::read_head(&mut reader)?;
    let length: usize = head.header("content-length").parse().unwrap_or(0);
    let (mut got, mut piece) = (0, vec![0; PIECE_BYTES]);
    let mut end = "complete".to_owned();
    while got < length {
        match reader.read(&mut piece) {
            Ok(0) => end = "the connection ended".to_owned(),
            Ok(read) => got += read,
            Err(error) => end = error.to_string(),
        }
        if end != "complete" {
            break;
        }
        if slow {
            thread::sleep(PAUSE);
        }
    }
    let (status, ms) = (head.status(), start.elapsed().as_millis());
    record.write(&format!("client: {id}: {status}, {got} of {length} bytes after {ms} ms, {end}"));
    Some(got == length)
}

pub fn play(record: &Record, trouble: bool) -> bool {
    let site = Site::start(Options { gates: 1, keepers: 3 }, record);
    let routes = [config::route("sign", "unsafe", "ledger", TIMEOUT_MS, 1)];
    site.publish(&config::config(1, &routes, &[config::service("ledger")]));
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
            let ran = ran.clone();
            let work = move |_: &Server, request: &Message, stream: &mut TcpStream| {
                work(&ran, request, stream)
            };
            Server::start(identity, None, site.controls(), record, Arc::new(work))
        })
        .collect();
    site.await_ready();
    thread::sleep(Duration::from_secs(4));
    // Planned work, with and without the disruption: the settings file is said to have changed.
    site.hang_up_gate(0);
    let front = site.front(0);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let record = record.clone();
            thread::spawn(move || (number, order(front, number, trouble, &record)))
        })
        .collect();
    let results: Vec<_> = clients.into_iter().map(|client| client.join().unwrap()).collect();
    servers.iter().for_each(|server| server.crash());
    let ran = ran.lock().unwrap();
    let cut = results
        .iter()
        .filter(|(number, complete)| {
            *complete == Some(false) && ran.contains_key(&format!("o{number}"))
        })
        .count();
    let complete = results.iter().filter(|(_, complete)| *complete == Some(true)).count();
    record.say(&format!(
        "{CLIENTS} orders on kept connections: {complete} complete answers, {cut} ran and were cut off ({ALLOWED} allowed)"
    ));
    if cut + complete == 0 {
        crate::cannot_run("no order was answered");
    }
    cut <= ALLOWED
}
