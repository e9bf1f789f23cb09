//! CONFIG: all servers of a plain service crash at once and come back, while many callers read the same page of a route that
//! was added later.

use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
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
const WORK: Duration = Duration::from_millis(200);
const TIME: Duration = Duration::from_secs(40);
const CRASH_AT: Duration = Duration::from_secs(6);
const DOWN: Duration = Duration::from_secs(2);
/// From when requests are judged: `StabilityWindowMs` after the servers are back, and a few heartbeats.
const JUDGED_FROM: Duration = Duration::from_secs(15);
const INTERVAL: Duration = Duration::from_millis(15);

fn work(_: &Server, request: &Message, stream: &mut TcpStream) -> bool {
    thread::sleep(WORK);
    let id = request.header("x-request-id");
    let signature = format!("s-{id}");
    server::respond(stream, request, 200, &[("X-Server-Signature", &signature)], "the page")
}

fn start_servers(site: &Site, generation: u32, record: &Record) -> Vec<Arc<Server>> {
    let start = |number| {
        let identity = Identity {
            id: format!("i-{generation}-{number}"),
            service: "ledger".to_owned(),
            version: "v1".to_owned(),
            address: site.server(number),
            slots: 6,
        };
        Server::start(identity, None, site.controls(), record, Arc::new(work))
    };
    (0..SERVERS).map(start).collect()
}

#[derive(Default)]
struct Count {
    sent: u32,
    served: u32,
    refused: u32,
}

pub fn play(record: &Record, trouble: bool) -> bool {
    let site = Site::start(Options { gates: 2, keepers: 3 }, record);
    let services = [config::service("ledger")];
    let first = config::route("status", "safe", "ledger", 4_000, 2);
    site.publish(&config::config(1, &[first.clone()], &services));
    let mut servers = start_servers(&site, 1, record);
    site.await_ready();
    let added = config::route("board", "safe", "ledger", 4_000, 2);
    site.publish(&config::config(2, &[first, added], &services));
    thread::sleep(Duration::from_secs(2));
    // Requests on the first route, and on the added one.
    let counts: Arc<Mutex<[Count; 2]>> = Arc::default();
    let start = Instant::now();
    let mut callers = Vec::new();
    let mut crashed = !trouble;
    let mut back = !trouble;
    for number in 0.. {
        let now = start.elapsed();
        if now >= TIME {
            break;
        }
        if !crashed && now >= CRASH_AT {
            crashed = true;
            servers.iter().for_each(|server| server.crash());
        }
        if !back && now >= CRASH_AT + DOWN {
            back = true;
            servers = start_servers(&site, 2, record);
        }
        let (front, record, counts) =
            (site.front(number as u8 % 2), record.clone(), counts.clone());
        let judged = now >= JUDGED_FROM;
        // Two requests in three are for the page that all callers read.
        let shared = number / 2 % 3 > 0;
        callers.push(thread::spawn(move || {
            let id = format!("q{number}");
            let path = if shared { "/board/today".to_owned() } else { format!("/status/{number}") };
            let headers = [("X-Request-Id", id.as_str()), ("X-Deadline-Remaining", "4000")];
            let answer =
                http::call(front, "GET", HOST, &path, &headers, "", Duration::from_secs(5));
            let status = answer.as_ref().map_or(0, Message::status);
            let retry = answer.as_ref().map_or("", |answer| answer.header("retry-after"));
            record.write(&format!("client: {id} GET {path}: {status} {retry}"));
            let mut counts = counts.lock().unwrap();
            let count = &mut counts[usize::from(shared)];
            count.sent += u32::from(judged);
            count.served += u32::from(judged && status == 200);
            count.refused += u32::from(judged && status == 503);
        }));
        thread::sleep(INTERVAL);
    }
    callers.into_iter().for_each(|caller| drop(caller.join()));
    servers.iter().for_each(|server| server.crash());
    site.record_logs("RequestQuarantined", 2);
    let counts = counts.lock().unwrap();
    for (name, count) in ["first", "added later"].iter().zip(counts.iter()) {
        let Count { sent, served, refused } = count;
        record.say(&format!(
            "route {name}: {sent} requests from {} s on, {served} served, {refused} answered 503",
            JUDGED_FROM.as_secs()
        ));
    }
    let [first, added] = &*counts;
    if first.served == 0 || added.sent < 20 {
        crate::cannot_run("the first route is not served");
    }
    let share = |count: &Count| f64::from(count.served) / f64::from(count.sent);
    share(added) >= share(first) / 4.0
}
