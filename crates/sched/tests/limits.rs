//! Scheduling at engines that limit the rate of their requests.

mod common;

use std::time::Duration;

use base::Code;
use base::Name;
use common::Cell;
use fleet::limit::Limit;
use fleet::message::Outcome;
use limit::Rate;

/// Lets an engine name a limit, or lift it.
fn set_limit(cell: &mut Cell, engine: &Name, per_second: Option<f64>) {
    let rate = per_second.and_then(Rate::new);
    cell.scheduler.set_limit(&Limit { endpoint: engine.clone(), born: 1, rate }, cell.now);
    cell.process_actions();
}

/// Submits a request for the base model every 50 ms for some seconds; each ends 100 ms after its grant. Returns how many
/// each engine got, in the order of `engines`.
fn run(cell: &mut Cell, engines: &[Name], seconds: u64) -> Vec<usize> {
    let first = cell.grants.len();
    let mut running: Vec<(Duration, u64)> = Vec::new();
    let mut seen = first;
    for _ in 0..seconds * 20 {
        cell.submit("");
        cell.advance(50);
        for grant in &cell.grants[seen..] {
            running.push((cell.now + Duration::from_millis(100), grant.request));
        }
        seen = cell.grants.len();
        let now = cell.now;
        let ended: Vec<u64> =
            running.iter().filter(|(at, _)| now >= *at).map(|(_, request)| *request).collect();
        running.retain(|(at, _)| now < *at);
        for request in ended {
            cell.scheduler.request_began(1, request, Duration::from_millis(90), now);
            cell.end_at_gate(request, Outcome::Done);
        }
    }
    let granted = &cell.grants[first..];
    let count = |id: &Name| granted.iter().filter(|grant| grant.endpoint.id == *id).count();
    engines.iter().map(count).collect()
}

fn engines(cell: &Cell) -> Vec<Name> {
    cell.engines.keys().cloned().collect()
}

#[test]
fn an_engine_with_a_limit_gets_what_it_says_and_the_others_the_rest() {
    let mut cell = Cell::new(3);
    let engines = engines(&cell);
    set_limit(&mut cell, &engines[1], Some(1.0));
    let got = run(&mut cell, &engines, 20);
    assert!((10..=20).contains(&got[1]), "{got:?}");
    assert_eq!(got.iter().sum::<usize>(), 400, "{got:?}");
}

// Guards against an engine that never gets a request by which it could lift its limit, because another one is better.
#[test]
fn an_idle_engine_with_a_limit_gets_a_request_although_another_is_better() {
    let mut cell = Cell::new(2);
    let engines = engines(&cell);
    let unlimited = run(&mut cell, &engines, 5);
    let worse = if unlimited[0] < unlimited[1] { 0 } else { 1 };
    set_limit(&mut cell, &engines[worse], Some(50.0));
    let got = run(&mut cell, &engines, 10);
    assert!(got[worse] >= 5, "{unlimited:?}, then {got:?}");
}

#[test]
fn a_request_beyond_all_limits_is_refused_at_once_with_a_time_that_the_limits_support() {
    let mut cell = Cell::new(2);
    for engine in engines(&cell) {
        set_limit(&mut cell, &engine, Some(0.5));
    }
    let request = cell.submit("");
    cell.process_actions();
    assert_eq!(cell.denial_code(request), Some(Code::LimitReached));
    let denial = cell.denials.iter().find(|denial| denial.request == request).expect("denied");
    assert!((2_000..=4_000).contains(&denial.retry_ms), "{}", denial.retry_ms);
}

#[test]
fn a_request_waits_for_a_limit_that_admits_it_in_time() {
    let mut cell = Cell::new(1);
    let engine = engines(&cell).remove(0);
    set_limit(&mut cell, &engine, Some(5.0));
    let request = cell.submit("");
    cell.process_actions();
    assert_eq!(cell.granted_engine(request), None);
    cell.advance(300);
    assert_eq!(cell.granted_engine(request), Some(engine));
}

#[test]
fn an_adapter_is_loaded_elsewhere_if_its_engine_has_reached_its_limit() {
    let mut cell = Cell::new(2);
    let request = cell.submit_and_run("a1");
    let engine = cell.granted_engine(request).expect("granted");
    cell.end_request(request, "a1");
    set_limit(&mut cell, &engine, Some(0.5));
    let next = cell.submit("a1");
    cell.advance(400);
    let other = cell.granted_engine(next).expect("granted");
    assert_ne!(other, engine);
}

#[test]
fn a_grant_that_is_not_used_does_not_count() {
    let mut cell = Cell::new(1);
    let engine = engines(&cell).remove(0);
    set_limit(&mut cell, &engine, Some(1.0));
    cell.advance(1_000);
    let request = cell.submit("");
    cell.process_actions();
    assert!(cell.granted_engine(request).is_some());
    cell.scheduler.cancel(1, request, cell.now);
    let next = cell.submit("");
    cell.process_actions();
    assert!(cell.granted_engine(next).is_some());
}

#[test]
fn a_limit_ends_with_the_incarnation_that_named_it() {
    let mut cell = Cell::new(1);
    let engine = engines(&cell).remove(0);
    let stale = Limit { endpoint: engine, born: 0, rate: Rate::new(0.1) };
    cell.scheduler.set_limit(&stale, cell.now);
    let request = cell.submit("");
    cell.process_actions();
    assert!(cell.granted_engine(request).is_some());
}
