//! Invariants of each plan for arbitrary inputs.

use std::time::Duration;

use base::Map;
use base::Name;
use placement::Backoff;
use placement::Demand;
use placement::Engine;
use placement::Input;
use placement::Policy;
use placement::Popularity;
use placement::Resident;
use proptest::collection::vec;
use proptest::prelude::ProptestConfig;
use proptest::prop_assert;
use proptest::proptest;
use proptest::test_runner::RngSeed;
use state::view::Exception;
use state::view::Rule;
use wire::endpoint::Model;

const NOW: Duration = Duration::from_secs(100);
const SLOTS: u32 = 3;

fn model(number: u8) -> Model {
    Model { adapter: Name::from(format!("a{number}")), version: Name::from("1") }
}

/// Creates an engine from its residents: adapter, requests in progress and whether it is loading.
fn engine(number: usize, residents: &[(u8, u32, bool)]) -> Engine {
    let mut engine = Engine {
        name: Name::from(format!("e{number}")),
        ready: number != 1,
        slots: SLOTS,
        batch: 4,
        ..Engine::default()
    };
    for (adapter, in_use, loading) in residents {
        let (model, in_use) = (model(*adapter), if *loading { 0 } else { *in_use });
        if engine.find(&model).is_none() {
            engine.in_flight += in_use;
            engine.residents.push(Resident { model, in_use, loading: *loading, last_used: NOW });
        }
    }
    engine
}

fn exceptions() -> Map<Name, Exception> {
    let rules = [(0, Rule::Pinned), (1, Rule::Never)];
    let exceptions = rules.map(|(adapter, rule)| {
        let (reason, author) = (Name::from("test"), Name::from("test"));
        (model(adapter).adapter, Exception { rule, reason, author, created_ms: 0 })
    });
    exceptions.into_iter().collect()
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn plans_respect_slots_uses_and_exceptions(
        residents in vec(vec((0_u8..8, 0_u32..3, proptest::bool::weighted(0.2)), 0..4), 1..4),
        queued in vec((0_u8..12, 1_u32..9, 0_u64..20_000, 0_u64..2_000), 0..6),
        requests in vec(0_u8..12, 0..40),
        spare_slots in 0_u32..2,
        spare_permits: bool,
    ) {
        let engines: Vec<Engine> =
            residents.iter().enumerate().map(|(number, held)| engine(number, held)).collect();
        let demand: Vec<Demand> = queued
            .iter()
            .map(|(adapter, requests, age_ms, left_ms)| Demand {
                model: model(*adapter),
                requests: *requests,
                weight: requests * Demand::priority_weight(5),
                oldest_arrival: NOW - Duration::from_millis(*age_ms),
                latest_deadline: NOW + Duration::from_millis(*left_ms),
            })
            .collect();
        let mut popularity = Popularity::new(Duration::from_secs(60), 100);
        requests.iter().for_each(|adapter| popularity.record(&model(*adapter), NOW));
        let policy = Policy { spare_slots, ..Policy::default() };
        let input = Input {
            engines: &engines,
            demand: &demand,
            popularity: &popularity,
            exceptions: &exceptions(),
            backoff: &Backoff::default(),
            policy: &policy,
            held_elsewhere: &|_| false,
            spare_permits,
        };
        if let Some(plan) = placement::next_load(&input, NOW) {
            let engine = engines.iter().find(|engine| engine.name == plan.endpoint).unwrap();
            prop_assert!(engine.ready);
            prop_assert!(engine.find(&plan.load).is_none());
            prop_assert!(plan.load != model(1), "the exception forbids this load");
            match &plan.evict {
                None => prop_assert!(engine.free() > 0),
                Some(evict) => {
                    let evicted = engine.find(evict).unwrap();
                    prop_assert!(evicted.in_use == 0 && !evicted.loading);
                    prop_assert!(*evict != model(0), "the evicted adapter is pinned");
                }
            }
        }
    }
}
