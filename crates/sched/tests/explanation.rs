//! Explanations name what the scheduler then does, and change nothing.

mod common;

use std::time::Duration;

use common::Cell;
use common::explained::Explained;
use common::load::Load;
use common::load::Site;
use common::load::Tenant;
use common::load::Unobserved;
use fleet::explanation::Adapter;
use fleet::explanation::Obstacle;
use fleet::explanation::Outcome;

fn site(seed: u64) -> Site {
    Site {
        engines: 12,
        adapter_slots: 4,
        adapters: 600,
        zipf_exponent: 1.2,
        gates: 5,
        requests_per_s: 70.0,
        store_limit: 8,
        store_loads: usize::MAX,
        load_time: common::COLD_LOAD,
        expected_load_time: common::COLD_LOAD,
        base_loads_per_s: 5.0,
        seed,
    }
}

/// Plays usual load, and a burst that brings waits and refusals.
fn play(seed: u64, explains: bool) -> Load<Unobserved> {
    let mut load = Load::new(site(seed), Unobserved);
    load.explained = explains.then(Explained::default);
    load.tenants = vec![Tenant::new("large", 6), Tenant::new("small", 1)];
    load.start_scheduler();
    load.run(Duration::from_secs(3), 1.0);
    load.run(Duration::from_secs(2), 3.0);
    load.run(Duration::from_secs(3), 1.0);
    load
}

/// Guards against an explanation that takes another path than the decision.
#[test]
fn requests_go_where_the_explanation_says() {
    for seed in 1..=4 {
        let explained = play(seed, true).explained.expect("explained");
        assert_eq!(explained.contradicted, Vec::<String>::new(), "seed {seed}");
        for outcome in [Outcome::Granted, Outcome::LoadsFirst, Outcome::Refused] {
            let confirmed = explained.confirmed.iter().filter(|other| **other == outcome).count();
            assert!(confirmed >= 20, "seed {seed}: {confirmed} of {outcome:?}");
        }
    }
}

/// Guards against an explanation that counts as a request: popularity, refusals, usage, or the recognition of retries.
#[test]
fn explanations_change_no_decision() {
    for seed in 1..=4 {
        let (with, without) = (play(seed, true), play(seed, false));
        assert_eq!((with.totals, with.digest), (without.totals, without.digest), "seed {seed}");
    }
}

/// Guards against engines that are left out, and against a missing or a wrong reason.
#[test]
fn each_engine_has_an_estimate_or_an_obstacle() {
    let mut cell = Cell::new(3);
    let request = cell.submit_and_run("adapter");
    let loaded = cell.granted_engine(request).expect("granted");
    let excluded = cell.engines.keys().find(|id| **id != loaded).cloned().expect("three engines");
    let mut query = common::query(1_000, "adapter");
    query.excluded.push(excluded.clone());
    let explanation = cell.scheduler.explain(&base::Name::from("a"), query, cell.now);
    assert_eq!(explanation.endpoint.as_ref(), Some(&loaded));
    assert_eq!(explanation.endpoints.len(), 3);
    for estimate in &explanation.endpoints {
        let adapter = if estimate.endpoint == loaded { Adapter::Loaded } else { Adapter::Absent };
        assert_eq!(estimate.adapter, Some(adapter));
        let obstacle = (estimate.endpoint == excluded).then_some(Obstacle::Excluded);
        assert_eq!(estimate.obstacle, obstacle);
        assert_eq!(estimate.expected_ms.is_some(), obstacle.is_none());
    }
}
