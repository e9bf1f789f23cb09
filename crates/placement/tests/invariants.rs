//! What holds of each plan, whatever the tables.

use std::time::Duration;

use base::Map;
use base::Name;
use placement::Backoff;
use placement::Engine;
use placement::Held;
use placement::Policy;
use placement::Popularity;
use placement::Tables;
use placement::Waiting;
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

/// An engine from its adapters, each with its uses and whether it is being loaded.
fn engine(number: usize, held: &[(u8, u32, bool)]) -> Engine {
    let mut engine = Engine {
        name: Name::from(format!("e{number}")),
        ready: number != 1,
        slots: SLOTS,
        batch: 4,
        ..Engine::default()
    };
    for (adapter, in_use, loading) in held {
        let (model, in_use) = (model(*adapter), if *loading { 0 } else { *in_use });
        if engine.find(&model).is_none() {
            engine.in_flight += in_use;
            engine.held.push(Held { model, in_use, loading: *loading, used: NOW });
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
    fn no_plan_harms(
        held in vec(vec((0_u8..8, 0_u32..3, proptest::bool::weighted(0.2)), 0..4), 1..4),
        waiting in vec((0_u8..12, 1_u32..9, 0_u64..20_000, 0_u64..2_000), 0..6),
        hits in vec(0_u8..12, 0..40),
        spare_slots in 0_u32..2,
        spare: bool,
    ) {
        let engines: Vec<Engine> =
            held.iter().enumerate().map(|(number, held)| engine(number, held)).collect();
        let waiting: Vec<Waiting> = waiting
            .iter()
            .map(|(adapter, requests, age_ms, left_ms)| Waiting {
                model: model(*adapter),
                requests: *requests,
                weight: requests * Waiting::weight(5),
                oldest: NOW - Duration::from_millis(*age_ms),
                deadline: NOW + Duration::from_millis(*left_ms),
            })
            .collect();
        let mut popularity = Popularity::new(Duration::from_secs(60), 100);
        hits.iter().for_each(|adapter| popularity.hit(&model(*adapter), NOW));
        let policy = Policy { spare_slots, ..Policy::default() };
        let tables = Tables {
            engines: &engines,
            waiting: &waiting,
            popularity: &popularity,
            exceptions: &exceptions(),
            backoff: &Backoff::default(),
            policy: &policy,
            elsewhere: &|_| false,
            spare,
        };
        if let Some(plan) = placement::next(&tables, NOW) {
            let engine = engines.iter().find(|engine| engine.name == plan.endpoint).unwrap();
            prop_assert!(engine.ready);
            prop_assert!(engine.find(&plan.load).is_none());
            prop_assert!(plan.load != model(1), "never loaded");
            match &plan.evict {
                None => prop_assert!(engine.free() > 0),
                Some(evict) => {
                    let evicted = engine.find(evict).unwrap();
                    prop_assert!(evicted.in_use == 0 && !evicted.loading);
                    prop_assert!(*evict != model(0), "pinned");
                }
            }
        }
    }
}
