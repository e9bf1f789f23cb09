//! The choice of an endpoint, with a test for each rule.

use std::time::Duration;

use base::Code;
use base::Name;
use route::Candidate;
use route::Decision;
use route::Query;
use route::Reason;
use route::Refusal;
use route::Rejection;
use route::Residency;
use wire::endpoint::Model;

const DEADLINE: Duration = Duration::from_secs(10);

/// An engine with batches of eight requests that holds no adapter.
#[derive(Clone)]
struct Engine {
    name: Name,
    gate: Name,
    owned: bool,
    ready: bool,
    residency: Residency,
    in_flight: u32,
    waiting: u32,
    prefix_hit: bool,
}

fn engine(number: usize) -> Engine {
    Engine {
        name: Name::from(format!("e{number:02}")),
        gate: Name::from("g1"),
        owned: false,
        ready: true,
        residency: Residency::Absent,
        in_flight: 0,
        waiting: 0,
        prefix_hit: false,
    }
}

fn holder(number: usize, in_flight: u32) -> Engine {
    Engine { residency: Residency::Loaded, in_flight, ..engine(number) }
}

fn model(adapter: &str) -> Model {
    Model { adapter: Name::from(adapter), version: Name::from("1") }
}

fn choose(query: &Query<'_>, engines: &[Engine]) -> Result<Decision, Refusal> {
    route::choose(query, engines.iter().map(candidate))
}

fn candidate(engine: &Engine) -> Candidate<'_> {
    Candidate {
        endpoint: &engine.name,
        gate: &engine.gate,
        owned: engine.owned,
        ready: engine.ready,
        residency: engine.residency,
        in_flight: engine.in_flight,
        waiting: engine.waiting,
        batch: 8,
        free_slots: 0,
        prefix_hit: engine.prefix_hit,
    }
}

fn chosen(query: &Query<'_>, engines: &[Engine]) -> (String, Reason) {
    let decision = choose(query, engines).unwrap();
    (decision.endpoint.to_string(), decision.reason)
}

#[test]
fn fills_the_fullest_batch_below_the_knee() {
    let model = model("a");
    let query = Query { stall_weight: 0, ..Query::new(Some(&model), DEADLINE) };
    let engines = [holder(1, 3), holder(2, 7), holder(3, 8), engine(4)];
    assert_eq!(chosen(&query, &engines), ("e02".into(), Reason::FillsBatch));
    let stalls = Query { stall_weight: 100, ..query };
    assert_eq!(chosen(&stalls, &engines), ("e01".into(), Reason::FillsBatch));
}

#[test]
fn chooses_the_emptiest_batch_above_the_knee() {
    let model = model("a");
    let query = Query { stall_weight: 100, ..Query::new(Some(&model), DEADLINE) };
    let engines = [holder(1, 7), holder(2, 6), holder(3, 8)];
    assert_eq!(chosen(&query, &engines), ("e02".into(), Reason::LeastFull));
}

#[test]
fn balances_requests_to_services_that_do_not_batch() {
    let query = Query::new(None, DEADLINE);
    let engines = [holder(1, 3), holder(2, 1), holder(3, 5)];
    assert_eq!(chosen(&query, &engines), ("e02".into(), Reason::LeastFull));
}

#[test]
fn breaks_ties_by_prefix_then_ownership() {
    let model = model("a");
    let query = Query::new(Some(&model), DEADLINE);
    let owned = Engine { owned: true, ..holder(1, 2) };
    let cached = Engine { prefix_hit: true, ..holder(2, 2) };
    let engines = [holder(3, 2), owned, cached];
    assert_eq!(chosen(&query, &engines), ("e02".into(), Reason::Prefix));
    let without_affinity = Query { prefix_affinity: false, ..query };
    assert_eq!(chosen(&without_affinity, &engines), ("e01".into(), Reason::FillsBatch));
}

#[test]
fn the_same_prefix_goes_to_the_same_holder() {
    let model = model("a");
    let engines: Vec<Engine> = (0..4).map(|number| holder(number, 2)).collect();
    let holder_of = |prefix: u64| {
        let query = Query { prefix: Some(prefix), ..Query::new(Some(&model), DEADLINE) };
        chosen(&query, &engines).0
    };
    let holders: std::collections::BTreeSet<String> = (0..32).map(holder_of).collect();
    assert_eq!(holders.len(), 4);
    assert_eq!(holder_of(7), holder_of(7));
}

#[test]
fn chooses_the_shortest_wait_when_all_holders_are_full() {
    let model = model("a");
    let query = Query { allow_second_copy: false, ..Query::new(Some(&model), DEADLINE) };
    let long = Engine { waiting: 9, ..holder(1, 8) };
    let short = Engine { waiting: 2, ..holder(2, 8) };
    let engines = [long, short, engine(3)];
    assert_eq!(chosen(&query, &engines), ("e02".into(), Reason::ShortestWait));
}

#[test]
fn loads_a_second_copy_only_when_all_holders_are_full() {
    let model = model("a");
    let query = Query { stall_weight: 100, ..Query::new(Some(&model), DEADLINE) };
    let full = Engine { waiting: 20, ..holder(1, 8) };
    let engines = [full.clone(), engine(2)];
    assert_eq!(chosen(&query, &engines), ("e02".into(), Reason::SecondCopy));
    let batches = Query { stall_weight: 0, ..query.clone() };
    assert_eq!(chosen(&batches, &engines), ("e01".into(), Reason::ShortestWait));
    let engines = [full, holder(3, 0), engine(2)];
    assert_eq!(chosen(&query, &engines), ("e03".into(), Reason::FillsBatch));
}

#[test]
fn shares_a_load_in_progress() {
    let model = model("a");
    let query = Query::new(Some(&model), DEADLINE);
    let loading = Engine { residency: Residency::Loading, waiting: 1, ..engine(5) };
    let engines = [engine(1), loading, engine(2)];
    assert_eq!(chosen(&query, &engines), ("e05".into(), Reason::SharesLoad));
}

#[test]
fn all_gates_agree_on_the_engine_that_loads() {
    let mut engines: Vec<Engine> = (0..18).map(engine).collect();
    for adapter in 0..200 {
        let model = model(&format!("a{adapter}"));
        let query = Query::new(Some(&model), DEADLINE);
        let first = chosen(&query, &engines);
        engines.rotate_left(5);
        engines[3].owned ^= true;
        assert_eq!(chosen(&query, &engines), first);
        assert_eq!(first.1, Reason::Hash);
    }
}

#[test]
fn removing_an_engine_moves_only_its_share() {
    let engines: Vec<Engine> = (0..18).map(engine).collect();
    let mut moved = 0;
    for adapter in 0..1_000 {
        let model = model(&format!("a{adapter}"));
        let query = Query::new(Some(&model), DEADLINE);
        let before = chosen(&query, &engines).0;
        let after = chosen(&query, &engines[1..]).0;
        assert!(before == after || before == "e00");
        moved += usize::from(before != after);
    }
    assert!((20..110).contains(&moved), "{moved} of 1000 moved, expected about 1000 / 18");
}

#[test]
fn spills_to_the_next_rank_when_the_first_is_overloaded() {
    let model = model("a");
    let query = Query::new(Some(&model), DEADLINE);
    let mut engines: Vec<Engine> = (0..6).map(engine).collect();
    let first = chosen(&query, &engines).0;
    engines.iter_mut().find(|engine| *engine.name == *first).unwrap().waiting = 8;
    let (second, reason) = chosen(&query, &engines);
    assert_ne!(second, first);
    assert_eq!(reason, Reason::Spill);
    engines.retain(|engine| *engine.name != *first);
    assert_eq!(chosen(&query, &engines), (second, Reason::Hash));
}

#[test]
fn the_fullest_of_the_highest_ranked_engines_loads() {
    let model = model("a");
    let query = Query { stall_weight: 100, ..Query::new(Some(&model), DEADLINE) };
    let mut engines: Vec<Engine> = (0..6).map(engine).collect();
    let first = chosen(&query, &engines).0;
    let others: Vec<Engine> =
        engines.iter().filter(|engine| *engine.name != *first).cloned().collect();
    let second = chosen(&query, &others).0;
    let busy = |name: &str, engines: &mut [Engine]| {
        engines.iter_mut().filter(|engine| *engine.name == *name).for_each(|engine| {
            engine.in_flight = 3;
        });
    };
    let last = others.iter().find(|engine| *engine.name != *second).unwrap().name.clone();
    busy(&last, &mut engines);
    assert_eq!(chosen(&query, &engines), (first, Reason::Hash), "not among the first two");
    busy(&second, &mut engines);
    assert_eq!(chosen(&query, &engines), (second, Reason::Packed));
}

#[test]
fn refuses_requests_that_cannot_start_before_their_deadline() {
    let model = model("a");
    let query = Query::new(Some(&model), Duration::from_millis(200));
    let refusal = choose(&query, &[engine(1), engine(2)]).unwrap_err();
    assert_eq!(refusal.code, Code::DeadlineUnreachable);
    assert_eq!(refusal.retry_after, Some(query.timing.load_time));
    assert!(
        refusal.alternatives.iter().any(|alternative| alternative.rejection == Rejection::Deadline)
    );
}

#[test]
fn refuses_without_a_ready_endpoint() {
    let query = Query::new(None, DEADLINE);
    assert_eq!(choose(&query, &[]).unwrap_err().code, Code::NoEndpoint);
    let not_ready = Engine { ready: false, ..holder(1, 0) };
    let excluded = [Name::from("e02")];
    let query = Query { excluded: &excluded, ..query };
    let refusal = choose(&query, &[not_ready, holder(2, 0)]).unwrap_err();
    assert_eq!(refusal.code, Code::NoEndpoint);
    let rejections: Vec<Rejection> =
        refusal.alternatives.iter().map(|alternative| alternative.rejection).collect();
    assert_eq!(rejections, [Rejection::NotReady, Rejection::Excluded]);
}
