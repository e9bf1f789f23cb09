//! Keepers end by themselves and are started again while they order an engine in turn.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::Outcome;
use crate::Verdict;
use crate::http;
use crate::memory;
use crate::memory::KEEPERS;
use crate::model::Engine;
use crate::model::MODEL;
use crate::model::Order;
use crate::record::Record;
use crate::site;
use crate::site::LEASE;
use crate::site::Site;

/// The routes by which the configuration grows in a step (`big_config`), and the number of steps.
const ROUTES_PER_STEP: usize = 350;
const STEPS: usize = 16;
/// The time at which no more changes are sent. The operator has one in progress at a time; the pages allow eight.
const LENGTH: Duration = Duration::from_secs(80);
/// The clients, the pause between two requests of a client, and the adapters that they ask for.
const CLIENTS: u64 = 4;
const PAUSE: Duration = Duration::from_millis(50);
const ADAPTERS: u64 = 40;

pub fn run(record: &Record, trouble: bool) -> Outcome {
    let site = Arc::new(Site::start(record, 1, KEEPERS)?);
    let stop = Arc::new(AtomicBool::new(false));
    let ends: Arc<Mutex<BTreeMap<u8, u32>>> = Arc::default();
    let version = AtomicU64::new(0);
    let publish = |routes: usize| {
        let version = version.fetch_add(1, Ordering::SeqCst) + 1;
        let first = [
            site::route_with_timeout("digest", "/digest/", "streaming", "berth-llm", 1, 4_000)
                .replace("\"TargetLatencyMs\":150", "\"TargetLatencyMs\":800"),
            site::route("switch", "/switch/", "unsafe", "switchyard", 1),
        ];
        let services = [site::model_service("berth-llm", MODEL), site::service("switchyard")];
        let config = memory::grown_config(version, routes, &first, &services);
        site.publish(&config, Duration::from_secs(4), Duration::from_secs(30))
    };
    publish(0)?;
    let engine =
        Engine::start(record, "e-0", "berth-llm", site.server_address(0), site.controls())?;
    site.await_ready()?;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (record, stop, front) = (record.clone(), stop.clone(), site.front(0));
            thread::spawn(move || send_requests(&record, client, front, &stop))
        })
        .collect();
    let platform = {
        let (record, site, stop, ends) = (record.clone(), site.clone(), stop.clone(), ends.clone());
        thread::spawn(move || memory::limit_memory(&record, &site, &stop, &ends))
    };
    thread::sleep(Duration::from_secs(4));
    let steps = if trouble { STEPS } else { 0 };
    for step in 1..=steps {
        publish(step * ROUTES_PER_STEP)?;
    }
    let mut changes = 0;
    while record.now() < LENGTH && turn(&engine.orders()).is_none() {
        publish(steps * ROUTES_PER_STEP)?;
        changes += 1;
    }
    record
        .line(&format!("operator: {changes} changes with {} routes", 2 + steps * ROUTES_PER_STEP));
    // Orders that are on their way.
    thread::sleep(Duration::from_millis(500));
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        client.join().map_err(|_| "a client has failed")?;
    }
    platform.join().map_err(|_| "the platform has failed")??;
    let orders = engine.orders();
    record.line(&format!(
        "{} orders; processes that ended because of their memory, by keeper: {:?}",
        orders.len(),
        ends.lock().expect("no holder panics")
    ));
    if orders.len() < 10 {
        return Err("the engine got hardly any order".to_owned());
    }
    let Some([before, between, after]) = turn(&orders) else { return Ok(Verdict::Held) };
    for order in [before, between, after] {
        record.line(&format!(
            "turn: order of {} with token {} at {:.3}, answered {}",
            order.holder,
            order.fence,
            order.at.as_secs_f64(),
            order.status
        ));
    }
    Ok(Verdict::Broken)
}

/// Returns three orders, the first and the last of one holder within the lease and one of another holder between them.
fn turn(orders: &[Order]) -> Option<[&Order; 3]> {
    let pairs = orders.windows(2).filter(|pair| pair[0].holder != pair[1].holder);
    pairs.into_iter().find_map(|pair| {
        let [before, between] = pair else { return None };
        let mut later = orders.iter().filter(|order| order.at > between.at);
        let after = later.find(|order| order.holder == before.holder)?;
        (after.at < before.at + LEASE).then_some([before, between, after])
    })
}

/// Asks for one adapter after the other until `stop` is set.
fn send_requests(record: &Record, client: u64, front: SocketAddr, stop: &AtomicBool) {
    let mut number = 0;
    while !stop.load(Ordering::SeqCst) {
        number += 1;
        let id = format!("c{client}-{number}");
        let model = format!("{MODEL}/a{}", (number * 7 + client * 10) % ADAPTERS + 1);
        let headers = [
            ("Host", site::HOST),
            ("X-Request-Id", &id),
            ("X-Model", &model),
            ("X-Token-Usage", "600,24"),
            ("X-Prompt-Prefix", "5c1e07a2:500,91bd3f06:100"),
            ("X-Deadline-Remaining", "4000"),
        ];
        let answer =
            http::call(front, "POST", "/digest/7", &headers, b"summarise", Duration::from_secs(5));
        let text =
            answer.map_or_else(|error| error.to_string(), |answer| answer.status().to_string());
        record.line(&format!("client: {id} ({model}) answered {text}"));
        thread::sleep(PAUSE);
    }
}
