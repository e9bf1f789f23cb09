//! Adapters under a store and engines that can't serve all requests: which callers go without.

mod common;

use std::time::Duration;

use base::Code;
use common::Cell;
use common::load::Demand;
use common::load::Load;
use common::load::Site;
use common::load::Unobserved;
use sched::settings::Settings;

/// The requests, and the time between the first and the last of them, from which an adapter is asked for throughout.
const LASTING: (u32, Duration) = (4, Duration::from_secs(8));
/// The adapters, and the share of all, that may go without service beyond [`CHANCE_FACTOR`].
const ALLOWED: (f64, f64) = (1.0, 0.1);
/// The multiple of the adapters that would go without if each request had the same chance.
const CHANCE_FACTOR: f64 = 3.0;
const TIME: Duration = Duration::from_secs(25);

fn large(seed: u64) -> Site {
    Site {
        engines: 156,
        adapter_slots: 5,
        adapters: 24_000,
        zipf_exponent: 0.9,
        gates: 77,
        requests_per_s: 781.0,
        store_limit: 80,
        store_loads: 80,
        load_time: common::COLD_LOAD,
        expected_load_time: common::COLD_LOAD,
        base_loads_per_s: 0.0,
        seed,
    }
}

fn crowded(seed: u64) -> Site {
    Site { adapter_slots: 3, store_limit: 57, store_loads: 57, ..large(seed) }
}

fn small(seed: u64) -> Site {
    Site {
        engines: 18,
        adapter_slots: 3,
        adapters: 3_000,
        gates: 5,
        requests_per_s: 92.0,
        store_limit: 8,
        store_loads: 8,
        ..large(seed)
    }
}

/// Plays a site at `factor` times its rate. Asserts that few adapters that are asked for throughout are never served.
fn assert_all_served(site: Site, factor: f64) {
    let mut load = Load::new(site, Unobserved);
    load.run(TIME, factor);
    let lasting = |demand: &&Demand| {
        demand.requests >= LASTING.0 && demand.last_at - demand.first_at >= LASTING.1
    };
    let lasting: Vec<&Demand> = load.demand.values().filter(lasting).collect();
    let starved = lasting.iter().filter(|demand| demand.served == 0).count();
    let refused = 1.0 - load.totals.served as f64 / load.totals.submitted as f64;
    let chance: f64 = lasting.iter().map(|demand| refused.powf(demand.requests.into())).sum();
    let most = ALLOWED.0 + ALLOWED.1 * lasting.len() as f64 + CHANCE_FACTOR * chance;
    assert!(
        starved as f64 <= most,
        "{starved} of {} adapters are never served, {most:.0} may be: {:?}",
        lasting.len(),
        load.totals
    );
}

#[test]
fn adapters_are_not_starved_by_a_full_store() {
    assert_all_served(large(1), 2.5);
}

#[test]
fn adapters_are_not_starved_where_slots_are_few() {
    assert_all_served(crowded(1), 1.7);
}

#[test]
fn adapters_are_not_starved_on_a_small_site() {
    for seed in 1..=5 {
        assert_all_served(small(seed), 2.5);
    }
}

#[test]
fn an_adapter_that_was_refused_precedes_others_at_a_full_store() {
    let mut cell = Cell::with_settings(8, Settings { cold_load_limit: 8, ..Settings::default() });
    for number in 0..8 {
        cell.submit(&format!("first-{number}"));
    }
    let refused = cell.submit("refused");
    assert_eq!(cell.denial_code(refused), Some(Code::DeadlineUnreachable));
    let new = cell.submit("new");
    let again = cell.submit("refused");
    cell.advance(700);
    assert_eq!(cell.denial_code(new), Some(Code::DeadlineUnreachable));
    assert!(cell.granted_engine(again).is_some());
}

#[test]
fn a_retry_does_not_raise_the_claim_of_its_adapter() {
    let mut cell = Cell::with_settings(8, Settings { cold_load_limit: 8, ..Settings::default() });
    for number in 0..8 {
        cell.submit(&format!("first-{number}"));
    }
    for _ in 0..2 {
        cell.advance(5);
        let request = cell.submit_with("refused", |query| query.fingerprint = 7);
        assert_eq!(cell.denial_code(request), Some(Code::DeadlineUnreachable));
    }
}
