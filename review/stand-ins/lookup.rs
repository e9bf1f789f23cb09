//! All servers of a service crash at the same moment, each while it runs the same harmless lookup.

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
use crate::site::STABILITY_WINDOW;

/// The time for which a server works on a request.
const WORK: Duration = Duration::from_millis(60);
/// The pause between two requests of a client.
const PAUSE: Duration = Duration::from_millis(60);
/// The time for which the crashed servers are down.
const DOWN: Duration = Duration::from_millis(4_500);
/// The length of the day after the crash.
const AFTER: Duration = Duration::from_secs(75);
/// The clients that look up the state of the same outlet.
const LOOKUPS: u8 = 4;

/// The requests of a kind, and how many of them were served.
#[derive(Clone, Copy, Default)]
struct Count {
    sent: u32,
    served: u32,
}

pub fn run(record: &Record, trouble: bool) -> Outcome {
    let site = Site::start(record, 2, 3)?;
    let routes = [
        site::route("status", "/status/", "safe", "switchyard", 2),
        site::route("switch", "/switch/", "unsafe", "switchyard", 1),
    ];
    let config = site::config(1, &routes, &[site::service("switchyard")]);
    site.publish(&config, Duration::from_secs(1), Duration::from_secs(20))?;
    record.line("operator: configuration 1 is acknowledged");
    let start = |number: u8, run: u8| {
        let address = site.server_address(number);
        Endpoint::start(record, &format!("i-{number}-{run}"), "switchyard", address, site.controls(), WORK)
    };
    let endpoints: Vec<Endpoint> = (0..3).map(|number| start(number, 1)).collect::<Result<_, _>>()?;
    site.await_ready()?;
    let stop = Arc::new(AtomicBool::new(false));
    let counts: Arc<Mutex<[Count; 2]>> = Arc::default();
    let clients: Vec<_> = (0..LOOKUPS + 2)
        .map(|client| {
            let (record, stop, counts) = (record.clone(), stop.clone(), counts.clone());
            let front = site.front(client % site.gates());
            let kind = usize::from(client >= LOOKUPS);
            thread::spawn(move || send_requests(&record, client, kind, front, &stop, &counts))
        })
        .collect();
    thread::sleep(STABILITY_WINDOW + Duration::from_secs(2));
    if trouble {
        crash(record, &endpoints)?;
        thread::sleep(DOWN);
        for number in 0..3 {
            start(number, 2)?;
        }
    }
    thread::sleep(AFTER);
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        client.join().map_err(|_| "a client has failed")?;
    }
    let [lookups, others] = *counts.lock().expect("no holder panics");
    let share = |count: Count| f64::from(count.served) / f64::from(count.sent.max(1));
    let all = Count { sent: lookups.sent + others.sent, served: lookups.served + others.served };
    record.line(&format!(
        "lookups: {} of {} served ({:.3}); all requests: {} of {} served ({:.3})",
        lookups.served,
        lookups.sent,
        share(lookups),
        all.served,
        all.sent,
        share(all)
    ));
    Ok(if share(lookups) < share(all) / 4.0 { Verdict::Broken } else { Verdict::Held })
}

/// Ends all servers at a moment at which each of them runs a lookup.
fn crash(record: &Record, endpoints: &[Endpoint]) -> Result<(), String> {
    for _ in 0..20_000 {
        if endpoints.iter().all(|endpoint| endpoint.runs_path("/status/7")) {
            record.line("servers: the rack loses power");
            Endpoint::end_all(endpoints);
            return Ok(());
        }
        thread::sleep(Duration::from_millis(1));
    }
    Err("the servers never ran lookups at the same time".to_owned())
}

/// Sends requests of a kind until `stop` is set: lookups of the same outlet (0) or switching commands (1).
fn send_requests(
    record: &Record,
    client: u8,
    kind: usize,
    front: SocketAddr,
    stop: &AtomicBool,
    counts: &Mutex<[Count; 2]>,
) {
    let mut number = 0;
    while !stop.load(Ordering::SeqCst) {
        number += 1;
        let id = format!("c{client}-{number}");
        let headers =
            [("Host", site::HOST), ("X-Request-Id", &id), ("X-Deadline-Remaining", "1000")];
        let (method, path, body) = match kind {
            0 => ("GET", "/status/7".to_owned(), Vec::new()),
            _ => ("POST", format!("/switch/{client}"), id.clone().into_bytes()),
        };
        let answer = http::call(front, method, &path, &headers, &body, Duration::from_secs(2));
        let served = answer.as_ref().is_ok_and(|answer| {
            answer.status() == 200 && answer.header("x-server-signature").is_some()
        });
        let text = answer.map_or_else(
            |error| error.to_string(),
            |answer| {
                let retry = answer.header("retry-after").unwrap_or("-");
                format!("{} (Retry-After {retry})", answer.status())
            },
        );
        record.line(&format!("client: {id} {method} {path} answered {text}"));
        let mut counts = counts.lock().expect("no holder panics");
        counts[kind].sent += 1;
        counts[kind].served += u32::from(served);
        drop(counts);
        thread::sleep(PAUSE);
    }
}
