//! Faulty servers send bytes after a complete response, late, where the next response is expected.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::Outcome;
use crate::Verdict;
use crate::endpoint::Endpoint;
use crate::http;
use crate::record::Record;
use crate::site;
use crate::site::Site;

/// The time for which a server works on a request.
const WORK: Duration = Duration::from_millis(30);
/// The pause of a client between two commands.
const PAUSE: Duration = Duration::from_millis(20);
/// The time before the servers are faulty, for which they are, and afterwards.
const BEFORE: Duration = Duration::from_secs(4);
const FAULTY: Duration = Duration::from_secs(5);
const AFTER: Duration = Duration::from_secs(3);
/// The clients, and the servers of which the first three are faulty (`garble` with `share = 0.6`).
const CLIENTS: u8 = 6;
const SERVERS: u8 = 5;
const FAULTY_SERVERS: usize = 3;
/// The statuses that promise that a request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

pub fn run(record: &Record, trouble: bool) -> Outcome {
    let site = Site::start(record, 2, 3)?;
    let route = site::route("switch", "/switch/", "unsafe", "switchyard", 1);
    let config = site::config(1, &[route], &[site::service("switchyard")]);
    site.publish(&config, Duration::from_secs(1), Duration::from_secs(20))?;
    record.line("operator: configuration 1 is acknowledged");
    let endpoints: Vec<Endpoint> = (0..SERVERS)
        .map(|number| {
            let address = site.server_address(number);
            Endpoint::start(
                record,
                &format!("i-{number}"),
                "switchyard",
                address,
                site.controls(),
                WORK,
            )
        })
        .collect::<Result<_, _>>()?;
    site.await_ready()?;
    let stop = Arc::new(AtomicBool::new(false));
    let promised: Arc<Mutex<Vec<String>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (record, stop, promised) = (record.clone(), stop.clone(), promised.clone());
            let front = site.front(client % site.gates());
            thread::spawn(move || send_commands(&record, client, front, &stop, &promised))
        })
        .collect();
    thread::sleep(BEFORE);
    if trouble {
        for endpoint in &endpoints[..FAULTY_SERVERS] {
            endpoint.set_faulty(true);
        }
    }
    thread::sleep(FAULTY);
    for endpoint in &endpoints {
        endpoint.set_faulty(false);
    }
    thread::sleep(AFTER);
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        client.join().map_err(|_| "a client has failed")?;
    }
    let runs: Vec<String> = endpoints.iter().flat_map(Endpoint::runs).map(|run| run.id).collect();
    let promised = promised.lock().expect("no holder panics");
    let broken: Vec<&String> = promised.iter().filter(|id| runs.contains(id)).collect();
    let twice = broken.iter().filter(|id| runs.contains(&format!("{id}b"))).count();
    record.line(&format!(
        "{} requests ran; {} were answered with a status that promises that they never run; of these ran: {broken:?}; the \
         commands of {twice} of them ran once more when their clients came back",
        runs.len(),
        promised.len(),
    ));
    if runs.is_empty() {
        return Err("no request was run".to_owned());
    }
    Ok(if broken.is_empty() { Verdict::Held } else { Verdict::Broken })
}

/// Sends commands until `stop` is set. One that is answered with a promise is sent once more, with an id of its own.
fn send_commands(
    record: &Record,
    client: u8,
    front: SocketAddr,
    stop: &AtomicBool,
    promised: &Mutex<Vec<String>>,
) {
    let mut number = 0;
    while !stop.load(Ordering::SeqCst) {
        number += 1;
        let command = format!("energise outlet {client}, command {number}");
        let id = format!("c{client}-{number}");
        let status = send(record, front, &id, &command);
        if PROMISES.contains(&status) {
            promised.lock().expect("no holder panics").push(id.clone());
            send(record, front, &format!("{id}b"), &command);
        }
        thread::sleep(PAUSE);
    }
}

/// Sends a command as a client attempt of its own; returns the status, 0 without an answer.
fn send(record: &Record, front: SocketAddr, id: &str, command: &str) -> u16 {
    let headers = [("Host", site::HOST), ("X-Request-Id", id), ("X-Deadline-Remaining", "1000")];
    let answer = http::call(
        front,
        "POST",
        "/switch/7",
        &headers,
        command.as_bytes(),
        Duration::from_secs(2),
    );
    match answer {
        Ok(answer) => {
            let signature = answer.header("x-server-signature").unwrap_or("none");
            record
                .line(&format!("client: {id} answered {}, signature {signature}", answer.status()));
            answer.status()
        }
        Err(error) => {
            record.line(&format!("client: {id} has no answer: {error}"));
            0
        }
    }
}
