//! Reads and evaluates the records of the stub engines and of the weight store.

use std::time::Duration;

use base::Map;
use base::Name;
use futures::future;
use hyper::Method;
use stub::client::Client;
use stub::record::Change;
use stub::record::Record;
use stub::record::Status;
use stub::record::Totals;
use stub::store;
use wire::endpoint::Model;

use crate::report::Engines;

/// Request timeout of `/control/record`.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(20);

/// An eviction counts as regretted if the adapter is loaded again within this time.
const REGRET_WINDOW_MS: u64 = 60_000;

/// Reads the records of engines; `None` for an engine that does not respond.
pub async fn read(engines: &[Name], summary: bool) -> Vec<Option<Record>> {
    let client = Client::default();
    let path = format!("/control/record?summary={summary}");
    let read_one = async |engine: &Name| {
        let answer = client.send(Method::GET, engine, &path, "", REQUEST_TIMEOUT).await;
        answer.ok().and_then(|answer| serde_json::from_slice(answer.body()).ok())
    };
    future::join_all(engines.iter().map(read_one)).await
}

/// Reads the record of the weight store; returns `None` if it does not respond.
pub async fn read_store(store: &Name) -> Option<store::Record> {
    let client = Client::default();
    let answer =
        client.send(Method::GET, store, "/control/record", "", REQUEST_TIMEOUT).await.ok()?;
    serde_json::from_slice(answer.body()).ok()
}

/// Returns descriptions of the violations since `since_ms` (milliseconds since the Unix epoch).
pub fn violations(
    engines: &[Option<Record>],
    store: Option<&store::Record>,
    since_ms: u64,
) -> Vec<String> {
    let of_engines = engines.iter().flatten().flat_map(|record| {
        record.violations.iter().map(|violation| (record.name.as_str(), violation))
    });
    let of_store = store.into_iter().flat_map(|record| &record.violations);
    of_engines
        .chain(of_store.map(|violation| ("store", violation)))
        .filter(|(_, violation)| violation.at_ms >= since_ms)
        .map(|(name, violation)| format!("violation at {name}: {}", violation.what))
        .collect()
}

/// Aggregates the differences between two readings; leaves out engines that missed one of them.
///
/// `seconds` is the time between the readings, `answered` the number of answered requests.
pub fn aggregate(
    before: &[Option<Record>],
    after: &[Option<Record>],
    seconds: f64,
    answered: u64,
) -> Engines {
    let mut engines = Engines::default();
    let mut full_ms = 0.0;
    let mut run_ms = 0.0;
    let mut loads = 0;
    for pair in before.iter().zip(after) {
        let (Some(before), Some(after)) = pair else {
            engines.unread += 1;
            continue;
        };
        let new = &after.totals;
        // The totals of a restarted process begin at 0.
        let restarted = new.begun < before.totals.begun;
        let old = if restarted { &Totals::default() } else { &before.totals };
        let busy_ms = new.busy_ms - old.busy_ms;
        engines.busy_seconds += busy_ms / 1_000.0;
        full_ms += busy_ms * f64::from(new.batch);
        run_ms += new.run_ms - old.run_ms;
        loads += new.loads.saturating_sub(old.loads);
        engines.failed_loads += new.failed_loads.saturating_sub(old.failed_loads);
        engines.evictions += new.unloads.saturating_sub(old.unloads);
    }
    engines.fill = if full_ms > 0.0 { run_ms / full_ms } else { 0.0 };
    engines.loads_per_second = loads as f64 / seconds;
    engines.seconds_per_answer = engines.busy_seconds / (answered as f64).max(1.0);
    engines
}

/// Counts the evictions since `since_ms` whose adapter was loaded again on any engine within 60 s.
pub fn regretted_evictions(records: &[Option<Record>], since_ms: u64) -> u64 {
    let changes = records.iter().flatten().flat_map(|record| &record.changes);
    let mut loads: Map<&Model, Vec<u64>> = Map::default();
    let mut evictions: Vec<&Change> = Vec::new();
    for change in changes.filter(|change| change.start_ms >= since_ms) {
        match (change.load, change.end) {
            (true, Status::Complete) => {
                loads.entry(&change.model).or_default().push(change.start_ms);
            }
            (true, _) => {}
            (false, _) => evictions.push(change),
        }
    }
    let reloaded = |eviction: &&&Change| {
        let until = eviction.end_ms + REGRET_WINDOW_MS;
        let times = loads.get(&eviction.model);
        times.is_some_and(|times| times.iter().any(|at| (eviction.end_ms..=until).contains(at)))
    };
    evictions.iter().filter(reloaded).count() as u64
}
