//! Servers deregister, and all keepers are killed right afterwards.

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
use crate::site::DRAIN;
use crate::site::STABILITY_WINDOW;
use crate::site::Site;

/// The time for which a server works on a request.
const WORK: Duration = Duration::from_millis(30);
/// The time between the departures of the two servers.
const DEPARTURE_GAP: Duration = Duration::from_millis(500);
/// The time from the second departure to the kill.
const KILL_DELAY: Duration = Duration::from_millis(100);
/// The time after which killed processes are started again; the pages allow a second.
const DOWN: Duration = Duration::from_millis(500);
/// The time for which the second server serves on after its departure.
const LINGER: Duration = Duration::from_secs(10);

/// A request as its client sent it.
#[derive(Clone)]
struct Sent {
    id: String,
    at: Duration,
}

pub fn run(record: &Record, trouble: bool) -> Outcome {
    let site = Site::start(record, 2, 3)?;
    let config = site::config(
        1,
        &[site::route("switch", "/switch/", "unsafe", "switchyard", 1)],
        &[site::service("switchyard")],
    );
    site.publish(&config, Duration::from_secs(1), Duration::from_secs(20))?;
    record.line("operator: configuration 1 is acknowledged");
    let endpoints: Vec<Endpoint> = (0..4u8)
        .map(|number| {
            let address = site.server_address(number);
            let id = format!("i-{number}");
            Endpoint::start(record, &id, "switchyard", address, site.controls(), WORK)
        })
        .collect::<Result<_, _>>()?;
    site.await_ready()?;
    let stop = Arc::new(AtomicBool::new(false));
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let clients: Vec<_> = (0..site.gates())
        .map(|gate| {
            let (record, stop, sent) = (record.clone(), stop.clone(), sent.clone());
            let front = site.front(gate);
            thread::spawn(move || send_requests(&record, gate, front, &stop, &sent))
        })
        .collect();
    // Calm for longer than the stability window.
    thread::sleep(STABILITY_WINDOW + Duration::from_secs(3));
    endpoints[2].deregister()?;
    thread::sleep(DEPARTURE_GAP);
    let acknowledged = endpoints[3].deregister()?;
    thread::sleep(KILL_DELAY);
    if trouble {
        site.kill(&site.keeper_names());
        thread::sleep(DOWN);
        for number in 0..3 {
            site.start_keeper(number, false)?;
        }
    }
    let stable_from = record.now() + STABILITY_WINDOW;
    thread::sleep((acknowledged + LINGER).saturating_sub(record.now()));
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        client.join().map_err(|_| "a client has failed")?;
    }
    let allowed_until = acknowledged + DRAIN;
    let judged_from = if trouble { stable_from.max(allowed_until) } else { allowed_until };
    let sent = sent.lock().expect("no holder panics");
    let late: Vec<_> = endpoints[3]
        .runs()
        .into_iter()
        .filter(|run| run.at > judged_from)
        // Sent and passed on while all machines are in touch.
        .filter(|run| sent.iter().any(|sent| sent.id == run.id && (sent.at > judged_from)))
        .collect();
    record.line(&format!(
        "i-3 left at {:.3}; requests may reach it until {:.3}; machines are in touch from {:.3}; {} requests ran there later",
        acknowledged.as_secs_f64(),
        allowed_until.as_secs_f64(),
        judged_from.as_secs_f64(),
        late.len()
    ));
    for run in &late {
        record.line(&format!("late: {} at {:.3}", run.id, run.at.as_secs_f64()));
    }
    if endpoints.iter().all(|endpoint| endpoint.runs().is_empty()) {
        return Err("no request was run".to_owned());
    }
    Ok(if late.is_empty() { Verdict::Held } else { Verdict::Broken })
}

/// Sends a request every 50 ms until `stop` is set.
fn send_requests(
    record: &Record,
    gate: u8,
    front: std::net::SocketAddr,
    stop: &AtomicBool,
    sent: &Mutex<Vec<Sent>>,
) {
    let mut number = 0;
    while !stop.load(Ordering::SeqCst) {
        number += 1;
        let id = format!("c{gate}-{number}");
        sent.lock().expect("no holder panics").push(Sent { id: id.clone(), at: record.now() });
        let headers =
            [("Host", site::HOST), ("X-Request-Id", &id), ("X-Deadline-Remaining", "1000")];
        let answer =
            http::call(front, "POST", "/switch/7", &headers, b"energise", Duration::from_secs(2));
        let text =
            answer.map_or_else(|error| error.to_string(), |answer| answer.status().to_string());
        record.line(&format!("client: {id} sent to gate-{gate}, answered {text}"));
        thread::sleep(Duration::from_millis(50));
    }
}
