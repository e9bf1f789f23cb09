//! Loads of a new leader that knows neither what engines hold nor how many loads the store bears: callers ask for many
//! adapters at once, and nearly all come from the store.

mod common;

use std::time::Duration;

use common::Cell;
use common::Fault;
use common::load::Load;
use common::load::Site;
use common::load::Unobserved;
use sched::settings::Settings;

/// The share of the requests in time at a scheduler that knows the store, which one that does not must reach.
const SHARE: f64 = 0.75;
/// The time in which a leader has to find the limit.
const TIME: Duration = Duration::from_secs(4);

/// Returns a site of 86 hosts whose store bears `store_loads` loads.
fn site(store_loads: usize, base_loads_per_s: f64, seed: u64) -> Site {
    Site {
        engines: 156,
        adapter_slots: 5,
        adapters: 24_000,
        zipf_exponent: 1.2,
        gates: 77,
        requests_per_s: 781.0,
        store_limit: 8,
        store_loads,
        load_time: common::COLD_LOAD,
        expected_load_time: common::COLD_LOAD,
        base_loads_per_s,
        seed,
    }
}

/// Returns the requests that were served in time, of those of `duration`.
fn served_in(site: Site, duration: Duration) -> u64 {
    let mut load = Load::new(site, Unobserved);
    load.run(duration, 1.0);
    load.totals.on_time
}

/// Asserts that nearly as many requests are served in time as by a scheduler that knows the store.
fn assert_found(store_loads: usize, base_loads_per_s: f64) {
    for seed in [1, 2, 3] {
        let site = site(store_loads, base_loads_per_s, seed);
        let informed = Site { store_limit: store_loads, base_loads_per_s: 0.0, ..site.clone() };
        assert_share(served_in(site, TIME), served_in(informed, TIME), seed);
    }
}

fn assert_share(served: u64, best: u64, seed: u64) {
    let least = (best as f64 * SHARE) as u64;
    assert!(served >= least, "seed {seed}: {served} in time, {best} by one that knows");
}

#[test]
fn a_large_store_is_used_from_the_start() {
    assert_found(80, 44.0);
}

#[test]
fn a_store_that_bears_more_than_the_plan_suggests_is_used() {
    assert_found(80, 2.0);
}

// Guards against loads that all take longer than callers wait.
#[test]
fn a_store_that_bears_less_than_the_plan_suggests_is_not_flooded() {
    assert_found(8, 44.0);
}

#[test]
fn a_small_store_is_not_flooded() {
    assert_found(8, 4.8);
}

// Guards against a limit that takes each load for a slow one, because loads take longer than expected.
#[test]
fn a_store_whose_loads_take_longer_than_expected_is_used() {
    for seed in [1, 2, 3] {
        let load_time = Duration::from_millis(400);
        let site = Site { load_time, ..site(80, 44.0, seed) };
        let informed = Site { expected_load_time: load_time, ..site.clone() };
        assert_share(served_in(site, 2 * TIME), served_in(informed, 2 * TIME), seed);
    }
}

// Guards against a limit that takes each load for a fast one, because loads take less time than expected.
#[test]
fn a_store_whose_loads_take_less_than_expected_is_not_flooded() {
    for seed in [1, 2, 3] {
        let expected_load_time = Duration::from_millis(600);
        let site = Site { expected_load_time, ..site(8, 44.0, seed) };
        let informed = Site { expected_load_time: common::COLD_LOAD, ..site.clone() };
        assert_share(served_in(site, 2 * TIME), served_in(informed, 2 * TIME), seed);
    }
}

// Guards against a limit that falls because the leader did not hear that a load had ended.
#[test]
fn a_load_whose_end_was_seen_late_says_nothing_about_the_store() {
    let mut cell = Cell::with_settings(8, Settings { cold_load_limit: 8, ..Settings::default() });
    cell.submit("first");
    cell.advance(50);
    cell.order_faults.push(Fault::AnswerLost);
    cell.now += Duration::from_secs(1);
    cell.process_actions();
    for number in 0..8 {
        let request = cell.submit(&format!("adapter-{number}"));
        assert_eq!(cell.denial_code(request), None, "{number}");
    }
}
