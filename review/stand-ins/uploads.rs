//! Many users come at once with requests that are as large as the configuration allows. The platform kills a gate that
//! uses more than its memory.

use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Outcome;
use crate::Verdict;
use crate::endpoint::Endpoint;
use crate::http;
use crate::record::Record;
use crate::site;
use crate::site::GATE_MEMORY_MB;
use crate::site::Site;

/// `MaxBodyBytes` in the configuration.
const BODY_BYTES: usize = 4_194_304;
/// The uploads that begin in a second on a usual day, and the factor by which a burst multiplies them.
const UPLOADS_PER_S: f64 = 6.0;
const BURST: f64 = 2.7;
/// The bytes that a client sends every [`TICK`]: 350 kB/s, so that an upload takes 12 s, and all together stay far below the
/// gate's link of 1,500 Mbit/s.
const BYTES_PER_TICK: usize = 35_000;
const TICK: Duration = Duration::from_millis(100);
/// The time-out of the uploads' route and their clients' deadline, in ms.
const UPLOAD_TIMEOUT_MS: u64 = 15_000;
/// The clients that send switching commands, each on one connection that it keeps.
const COMMANDS: u32 = 10;
/// The time for which a server works on a request.
const WORK: Duration = Duration::from_millis(220);
/// The length of the day before the burst, of the burst and of the day after it.
const BEFORE: Duration = Duration::from_secs(18);
const BURST_LENGTH: Duration = Duration::from_millis(4_200);
const AFTER: Duration = Duration::from_secs(14);
/// The commands from a kept connection that the rule lets a machine close without an answer.
const ALLOWED: usize = 3;

/// What the clients that send commands saw.
#[derive(Default)]
struct Seen {
    answered: u32,
    /// The ids of those whose connection closed without an answer.
    closed: Vec<String>,
}

pub fn run(record: &Record, trouble: bool) -> Outcome {
    let site = Arc::new(Site::start(record, 1, 3)?);
    let routes = [
        site::route_with_timeout("logs", "/logs/", "unsafe", "logs", 1, UPLOAD_TIMEOUT_MS),
        site::route("switch", "/switch/", "unsafe", "switchyard", 1),
    ];
    let config = site::config(1, &routes, &[site::service("logs"), site::service("switchyard")]);
    site.publish(&config, Duration::from_secs(1), Duration::from_secs(20))?;
    record.line("operator: configuration 1 is acknowledged");
    let endpoints: Vec<Endpoint> = (0..4u8)
        .map(|number| {
            let service = if number < 2 { "logs" } else { "switchyard" };
            let (id, address) = (format!("i-{number}"), site.server_address(number));
            Endpoint::start(record, &id, service, address, site.controls(), WORK)
        })
        .collect::<Result<_, _>>()?;
    site.await_ready()?;
    thread::sleep(Duration::from_secs(2));
    let stop = Arc::new(AtomicBool::new(false));
    let killed = Arc::new(AtomicU32::new(0));
    let seen: Arc<Mutex<Seen>> = Arc::default();
    let front = site.front(0);
    let platform = {
        let (record, site, stop, killed) =
            (record.clone(), site.clone(), stop.clone(), killed.clone());
        thread::spawn(move || limit_memory(&record, &site, &stop, &killed))
    };
    let mut clients = Vec::new();
    for client in 0..COMMANDS {
        let (record, stop, seen) = (record.clone(), stop.clone(), seen.clone());
        clients.push(thread::spawn(move || send_commands(&record, client, front, &stop, &seen)));
    }
    let factor = Arc::new(Mutex::new(1.0));
    {
        let (record, stop, factor) = (record.clone(), stop.clone(), factor.clone());
        clients.push(thread::spawn(move || begin_uploads(&record, front, &stop, &factor)));
    }
    thread::sleep(BEFORE);
    if trouble {
        record.line(&format!("clients: {BURST} times as many uploads begin"));
        *factor.lock().expect("no holder panics") = BURST;
    }
    thread::sleep(BURST_LENGTH);
    record.line("clients: as many uploads begin as before");
    *factor.lock().expect("no holder panics") = 1.0;
    thread::sleep(AFTER);
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        client.join().map_err(|_| "a client has failed")?;
    }
    platform.join().map_err(|_| "the platform has failed")??;
    let seen = seen.lock().expect("no holder panics");
    let ran: Vec<String> = endpoints.iter().flat_map(Endpoint::runs).map(|run| run.id).collect();
    let lost: Vec<&String> = seen.closed.iter().filter(|id| ran.contains(id)).collect();
    record.line(&format!(
        "gates that ended because of their memory: {}; commands answered: {}; commands that a sound server ran and whose \
         kept connection closed without an answer: {lost:?}",
        killed.load(Ordering::SeqCst),
        seen.answered
    ));
    if seen.answered == 0 {
        return Err("no command was answered".to_owned());
    }
    Ok(if lost.len() > ALLOWED { Verdict::Broken } else { Verdict::Held })
}

/// Kills and restarts the gate if it uses more than its memory, until `stop` is set.
fn limit_memory(
    record: &Record,
    site: &Site,
    stop: &AtomicBool,
    killed: &AtomicU32,
) -> Result<(), String> {
    let mut most = 0;
    while !stop.load(Ordering::SeqCst) {
        let mb = site.memory_mb("gate-0").unwrap_or(0);
        if mb >= most + 20 {
            record.line(&format!("platform: gate-0 uses {mb} MB of {GATE_MEMORY_MB}"));
            most = mb;
        }
        if mb > GATE_MEMORY_MB {
            record.line(&format!("platform: gate-0 uses {mb} MB of {GATE_MEMORY_MB}"));
            site.kill(&["gate-0".to_owned()]);
            killed.fetch_add(1, Ordering::SeqCst);
            thread::sleep(Duration::from_millis(500));
            site.start_gate(0, false)?;
            most = 0;
        }
        thread::sleep(Duration::from_millis(10));
    }
    Ok(())
}

/// Sends switching commands on a connection that it keeps, until `stop` is set.
fn send_commands(
    record: &Record,
    client: u32,
    front: SocketAddr,
    stop: &AtomicBool,
    seen: &Mutex<Seen>,
) {
    let mut number = 0;
    let mut connection: Option<BufReader<TcpStream>> = None;
    while !stop.load(Ordering::SeqCst) {
        let Some(open) = connection.as_mut() else {
            connection = connect(front).map(BufReader::new);
            if connection.is_none() {
                thread::sleep(Duration::from_millis(100));
            }
            continue;
        };
        number += 1;
        let id = format!("s{client}-{number}");
        let request = format!(
            "POST /switch/{client} HTTP/1.1\r\nHost: {}\r\nX-Request-Id: {id}\r\nX-Deadline-Remaining: 1000\r\n\
             Content-Length: 8\r\n\r\nenergise",
            site::HOST
        );
        let sent = open.get_mut().write_all(request.as_bytes());
        let answer = sent.and_then(|()| http::read(open, true));
        let mut seen = seen.lock().expect("no holder panics");
        match answer {
            Ok(answer) => {
                record.line(&format!("client: {id} answered {}", answer.status()));
                seen.answered += 1;
            }
            Err(error) => {
                record.line(&format!("client: {id} has no answer: {error}"));
                // A first request shows nothing of a kept connection.
                if number > 1 {
                    seen.closed.push(id);
                }
                connection = None;
            }
        }
        drop(seen);
        thread::sleep(Duration::from_millis(20));
    }
}

/// Begins uploads, [`UPLOADS_PER_S`] times `factor`, until `stop` is set.
fn begin_uploads(record: &Record, front: SocketAddr, stop: &AtomicBool, factor: &Mutex<f64>) {
    let body = Arc::new(vec![b'x'; BODY_BYTES]);
    let mut number = 0;
    while !stop.load(Ordering::SeqCst) {
        number += 1;
        let (record, body, id) = (record.clone(), body.clone(), format!("u{number}"));
        thread::spawn(move || {
            let text = match upload(&id, front, &body) {
                Ok(status) => status.to_string(),
                Err(error) => error.to_string(),
            };
            record.line(&format!("client: {id} answered {text}"));
        });
        let rate = UPLOADS_PER_S * *factor.lock().expect("no holder panics");
        thread::sleep(Duration::from_secs_f64(1.0 / rate));
    }
}

/// Uploads a body at the speed of a client's link; returns the status of the response.
fn upload(id: &str, front: SocketAddr, body: &[u8]) -> std::io::Result<u16> {
    let stream = connect(front).ok_or(std::io::ErrorKind::NotConnected)?;
    let mut open = BufReader::new(stream);
    let head = format!(
        "POST /logs/{id} HTTP/1.1\r\nHost: {}\r\nX-Request-Id: {id}\r\nX-Deadline-Remaining: {UPLOAD_TIMEOUT_MS}\r\n\
         Content-Length: {}\r\n\r\n",
        site::HOST,
        body.len()
    );
    open.get_mut().write_all(head.as_bytes())?;
    let start = Instant::now();
    for (number, part) in body.chunks(BYTES_PER_TICK).enumerate() {
        thread::sleep((TICK * number as u32).saturating_sub(start.elapsed()));
        open.get_mut().write_all(part)?;
    }
    Ok(http::read(&mut open, true)?.status())
}

fn connect(front: SocketAddr) -> Option<TcpStream> {
    let stream = TcpStream::connect_timeout(&front, Duration::from_secs(1)).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
    Some(stream)
}
