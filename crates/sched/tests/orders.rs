//! Orders keep to an engine's places, whatever is lost, late or repeated.

mod common;

use std::time::Duration;

use base::Name;
use common::Cell;
use common::Loss;
use fleet::message::Outcome;
use fleet::message::Running;
use fleet::message::Version;
use proptest::prelude::ProptestConfig;
use proptest::prop_assert;
use proptest::proptest;
use sched::Scheduler;
use sched::action::Operation;
use sched::settings::Settings;

const MS: fn(u64) -> Duration = Duration::from_millis;

fn version(adapter: &str, version: u64) -> Version {
    Version { model: Name::from(common::MODEL), adapter: Name::from(adapter), version }
}

#[test]
fn a_request_waits_for_its_adapter_and_is_granted() {
    let mut cell = Cell::new(1);
    let request = cell.ask("x");
    assert_eq!(cell.granted(request), None);
    cell.advance(300);
    assert_eq!(cell.granted(request).as_deref(), Some("engine-0"));
}

#[test]
fn a_repeated_load_is_not_counted() {
    let mut cell = Cell::new(1);
    cell.ask("x");
    // The questions whether `x` is there are the same order again; `y` must still be accepted.
    cell.advance(245);
    let second = cell.ask("y");
    cell.advance(300);
    assert!(cell.granted(second).is_some());
    assert_eq!(cell.engines["engine-0"].sequence, 2);
}

#[test]
fn a_report_that_lags_brings_nothing_back() {
    let mut cell = Cell::new(1);
    for adapter in ["a", "b", "c", "d", "e"] {
        let request = cell.ask(adapter);
        cell.advance(300);
        cell.end_at_gate(request, Outcome::Done);
    }
    // Five lost answers in a row make the scheduler ask what the engine holds.
    cell.lose = vec![Loss::Answer; 6];
    for adapter in ["f", "g", "h"] {
        let request = cell.ask(adapter);
        cell.advance(900);
        cell.end_at_gate(request, Outcome::Done);
    }
    cell.check_places();
    let held: Vec<&str> = cell.engines["engine-0"].present.keys().map(|name| &**name).collect();
    assert!(held.contains(&"h"), "{held:?}");
}

#[test]
fn a_new_version_is_loaded_after_the_old_one_has_gone() {
    let mut cell = Cell::new(1);
    let requests = ["a", "b", "c", "d", "e"].map(|adapter| cell.start(adapter));
    cell.scheduler.set_version(&version("a", 2));
    // All places are taken and the old version is in use: nothing can be loaded now.
    let waits = cell.ask("a");
    cell.advance(50);
    assert_eq!(cell.granted(waits), None);
    cell.end(requests[0], "a");
    cell.advance(300);
    assert_eq!(cell.granted(waits).as_deref(), Some("engine-0"));
    assert_eq!(cell.engines["engine-0"].present["a"].0, 2);
    cell.check_places();
}

#[test]
fn a_version_announced_during_a_load_is_loaded_afterwards() {
    let mut cell = Cell::new(2);
    let request = cell.ask_with("a", |ask| ask.target_ms = 3_000);
    cell.advance(100);
    cell.scheduler.set_version(&version("a", 2));
    cell.advance(900);
    let id = cell.granted(request).expect("granted");
    assert_eq!(cell.engines[&id].present["a"].0, 2);
    let grant = cell.grants.iter().find(|grant| grant.request == request).expect("granted");
    assert_eq!(grant.version, Some(2));
    cell.check_places();
}

#[test]
fn a_drop_that_waits_for_its_runs_keeps_its_place() {
    let mut cell = Cell::new(1);
    let requests = ["a", "b", "c", "d", "e"].map(|adapter| cell.start(adapter));
    // The caller of `a` has gone, but its engine still works on it.
    cell.end_at_gate(requests[0], Outcome::Cancelled);
    let next = cell.ask_with("f", |ask| ask.target_ms = 3_000);
    cell.advance(200);
    assert_eq!(cell.granted(next), None);
    cell.check_places();
    cell.end_at_engine(requests[0], "a");
    cell.advance(500);
    assert!(cell.granted(next).is_some());
    cell.check_places();
}

#[test]
fn a_lost_order_is_given_again_at_once() {
    let mut cell = Cell::new(1);
    cell.lose = vec![Loss::Late(MS(5_000)), Loss::Answer];
    let request = cell.ask("x");
    cell.advance(350);
    assert!(cell.granted(request).is_some());
    cell.advance(6_000);
    cell.check_places();
}

#[test]
fn orders_of_a_former_leader_are_made_room_for() {
    let mut cell = Cell::new(1);
    for adapter in ["a", "b", "c", "d"] {
        let request = cell.ask(adapter);
        cell.advance(300);
        cell.end_at_gate(request, Outcome::Done);
    }
    // Another leader has taken the last place, and reports do not show it yet.
    let engine = cell.engines.get_mut("engine-0").expect("known");
    engine.sequence += 1;
    engine.present.insert(Name::from("e"), (1, 0));
    let request = cell.ask("f");
    cell.advance(700);
    assert!(cell.granted(request).is_some());
    cell.check_places();
}

#[test]
fn a_new_leader_drops_no_adapter_that_a_running_request_uses() {
    let mut cell = Cell::new(1);
    for adapter in ["a", "b", "c", "d", "e"] {
        let request = cell.ask(adapter);
        cell.advance(300);
        cell.end_at_gate(request, Outcome::Done);
    }
    cell.engines.get_mut("engine-0").expect("known").present.get_mut("a").expect("held").1 = 1;
    // The next leader hears of the request before the engine has told what it holds.
    cell.scheduler = Scheduler::new(Settings::default());
    cell.scheduler.set_plan(&common::plan());
    let id = Name::from("engine-0");
    cell.scheduler.engine_announced(&common::announcement(&id, 0), cell.now);
    let running = Running {
        request: 900,
        endpoint: id,
        adapter: Name::from("a"),
        tokens: 2_000,
        left_ms: 4_000,
    };
    cell.scheduler.restore_running(1, &[running], cell.now);
    cell.settle();
    cell.orders.clear();
    let request = cell.ask("f");
    // The first report lags, so the first order fails and the engine is asked anew.
    cell.advance(700);
    assert!(cell.granted(request).is_some());
    let dropped = |(_, operation, adapter): &(Name, Operation, Name)| {
        *operation == Operation::Unload && &**adapter == "a"
    };
    assert!(!cell.orders.iter().any(dropped), "{:?}", cell.orders);
    cell.check_places();
}

#[test]
fn an_idle_adapter_makes_way() {
    let mut cell = Cell::new(1);
    for adapter in ["a", "b", "c", "d", "e"] {
        let request = cell.ask(adapter);
        cell.advance(300);
        cell.end_at_gate(request, Outcome::Done);
    }
    let request = cell.ask("f");
    cell.advance(300);
    assert!(cell.granted(request).is_some());
    let drops = cell.orders.iter().filter(|(_, operation, _)| *operation == Operation::Unload);
    assert_eq!(drops.count(), 1);
    cell.check_places();
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, ..ProptestConfig::default() })]

    /// Requests for many adapters on few engines, with orders lost, late and answered, versions
    /// announced and requests ended in any order.
    #[test]
    fn places_are_never_exceeded(seed in 0_u64..1_000_000) {
        let mut cell = Cell::new(2);
        let mut state = seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1;
        let mut random = move |below: u64| {
            state ^= state << 13;
            state ^= state >> 7;
            state ^= state << 17;
            state % below
        };
        let mut running: Vec<(u64, String)> = Vec::new();
        let mut versions = 1;
        for _ in 0..150 {
            match random(10) {
                0..=4 => {
                    let adapter = format!("a{}", random(12));
                    let request = cell.ask(&adapter);
                    running.push((request, adapter));
                }
                5 | 6 if !running.is_empty() => {
                    let (request, _) = running.swap_remove(random(running.len() as u64) as usize);
                    cell.end_at_gate(request, Outcome::Done);
                }
                7 => {
                    cell.lose.push(Loss::Late(MS(random(4_000))));
                }
                8 => cell.lose.push(Loss::Answer),
                9 if random(4) == 0 => {
                    versions += 1;
                    cell.scheduler.set_version(&version(&format!("a{}", random(12)), versions));
                }
                _ => {}
            }
            cell.advance(random(120));
            for engine in cell.engines.values() {
                prop_assert!(engine.most <= common::PLACES as usize);
            }
        }
    }
}
