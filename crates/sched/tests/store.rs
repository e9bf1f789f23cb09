//! Loads of a new leader that knows neither what engines hold nor how many loads the store bears: callers ask for many
//! adapters at once, and nearly all come from the store.

mod common;

use std::time::Duration;

use common::load::Load;
use common::load::Site;
use common::load::Unobserved;

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
        base_loads_per_s,
        seed,
    }
}

/// Returns the requests that were served in time.
fn served(site: Site) -> u64 {
    let mut load = Load::new(site, Unobserved);
    load.run(TIME, 1.0);
    load.totals.on_time
}

/// Asserts that nearly as many requests are served in time as by a scheduler that knows the store.
fn assert_found(store_loads: usize, base_loads_per_s: f64) {
    for seed in [1, 2, 3] {
        let site = site(store_loads, base_loads_per_s, seed);
        let informed = Site { store_limit: store_loads, base_loads_per_s: 0.0, ..site.clone() };
        let (served, best) = (served(site), served(informed));
        let least = (best as f64 * SHARE) as u64;
        assert!(served >= least, "seed {seed}: {served} in time, {best} by one that knows");
    }
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
