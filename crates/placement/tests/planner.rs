//! The rules that select the next load.

use std::time::Duration;

use base::Map;
use base::Name;
use placement::Backoff;
use placement::Demand;
use placement::Engine;
use placement::Entry;
use placement::Input;
use placement::Plan;
use placement::Policy;
use placement::Popularity;
use placement::Queue;
use placement::Reason;
use placement::Rejection;
use placement::Resident;
use state::view::Exception;
use state::view::Rule;
use wire::endpoint::Model;

const NOW: Duration = Duration::from_secs(1_000);

/// The placement input of a gate, by default with one engine of two slots.
struct Fixture {
    engines: Vec<Engine>,
    demand: Vec<Demand>,
    popularity: Popularity,
    exceptions: Map<Name, Exception>,
    backoff: Backoff,
    policy: Policy,
    spare_permits: bool,
}

impl Fixture {
    fn new(residents: &[(&str, u32)]) -> Fixture {
        Fixture {
            engines: vec![engine("e1", residents)],
            demand: Vec::new(),
            popularity: Popularity::new(Duration::from_secs(300), 10_000),
            exceptions: Map::default(),
            backoff: Backoff::default(),
            policy: Policy::default(),
            spare_permits: false,
        }
    }

    fn record(&mut self, adapter: &str, count: u32) {
        (0..count).for_each(|_| self.popularity.record(&model(adapter), NOW));
    }

    fn queue(&mut self, adapter: &str, requests: u32, age_ms: u64) {
        self.demand.push(Demand {
            model: model(adapter),
            requests,
            weight: requests * Demand::priority_weight(5),
            oldest_arrival: NOW - Duration::from_millis(age_ms),
            latest_deadline: NOW + Duration::from_secs(10),
        });
    }

    fn set_exception(&mut self, adapter: &str, rule: Rule) {
        let (reason, author) = (Name::from("test"), Name::from("test"));
        let exception = Exception { rule, reason, author, created_ms: 0 };
        self.exceptions.insert(Name::from(adapter), exception);
    }

    fn input(&self) -> Input<'_> {
        Input {
            engines: &self.engines,
            demand: &self.demand,
            popularity: &self.popularity,
            exceptions: &self.exceptions,
            backoff: &self.backoff,
            policy: &self.policy,
            held_elsewhere: &|_| false,
            spare_permits: self.spare_permits,
        }
    }

    fn next_load(&self) -> Option<Plan> {
        placement::next_load(&self.input(), NOW)
    }

    fn choice(&self) -> Option<(String, Option<String>)> {
        let plan = self.next_load()?;
        Some((plan.load.adapter.to_string(), plan.evict.map(|model| model.adapter.to_string())))
    }
}

fn model(adapter: &str) -> Model {
    Model { adapter: Name::from(adapter), version: Name::from("1") }
}

fn engine(name: &str, residents: &[(&str, u32)]) -> Engine {
    let residents = residents.iter().map(|(adapter, in_use)| Resident {
        model: model(adapter),
        in_use: *in_use,
        loading: false,
        last_used: NOW,
    });
    let residents: Vec<Resident> = residents.collect();
    let in_flight = residents.iter().map(|resident| resident.in_use).sum();
    Engine { name: Name::from(name), ready: true, slots: 2, batch: 8, in_flight, residents }
}

fn load_evicting(load: &str, evict: &str) -> Option<(String, Option<String>)> {
    Some((load.into(), Some(evict.into())))
}

#[test]
fn loads_the_adapter_with_the_most_waiting_requests() {
    let mut fixture = Fixture::new(&[]);
    fixture.queue("a", 1, 0);
    fixture.queue("b", 3, 0);
    assert_eq!(fixture.choice(), Some(("b".into(), None)));
}

#[test]
fn waiting_time_raises_the_worth_of_a_load() {
    let mut fixture = Fixture::new(&[]);
    fixture.queue("one-off", 1, 6_000);
    fixture.queue("hot", 5, 100);
    assert_eq!(fixture.choice().unwrap().0, "one-off");
    fixture.policy.aging = false;
    assert_eq!(fixture.choice().unwrap().0, "hot");
}

#[test]
fn evicts_the_least_popular_adapter_that_is_not_in_use() {
    let mut fixture = Fixture::new(&[("a", 0), ("b", 0)]);
    fixture.record("a", 1);
    fixture.record("b", 5);
    fixture.record("c", 9);
    fixture.queue("c", 1, 0);
    assert_eq!(fixture.choice(), load_evicting("c", "a"));
    fixture.engines[0].residents[0].in_use = 1;
    assert_eq!(fixture.choice(), load_evicting("c", "b"));
    fixture.engines[0].residents[1].loading = true;
    assert_eq!(fixture.choice(), None);
}

#[test]
fn exceptions_forbid_evictions_and_loads() {
    let mut fixture = Fixture::new(&[("a", 0), ("b", 0)]);
    fixture.record("b", 5);
    fixture.record("c", 9);
    fixture.record("never", 9);
    fixture.queue("c", 1, 0);
    fixture.queue("never", 9, 0);
    fixture.set_exception("a", Rule::Pinned);
    fixture.set_exception("never", Rule::Never);
    assert_eq!(fixture.choice(), load_evicting("c", "b"));
    let alternatives = fixture.next_load().unwrap().alternatives;
    assert_eq!(
        (&*alternatives[0].model.adapter, alternatives[0].rejection),
        ("never", Rejection::Never)
    );
}

#[test]
fn loads_a_pinned_adapter_that_no_engine_holds() {
    let mut fixture = Fixture::new(&[("a", 0), ("b", 0)]);
    fixture.set_exception("a", Rule::Pinned);
    fixture.set_exception("c", Rule::Pinned);
    let pinned = [model("a"), model("c")];
    let plan = placement::pinned_load(&fixture.input(), pinned.iter(), NOW).unwrap();
    assert_eq!((&*plan.load.adapter, plan.reason), ("c", Reason::Pinned));
    assert_eq!(plan.evict, Some(model("b")));
    assert_eq!(placement::pinned_load(&fixture.input(), pinned[..1].iter(), NOW), None);
}

#[test]
fn an_unpopular_adapter_takes_only_a_spare_slot_until_it_starves() {
    let mut fixture = Fixture::new(&[("warm", 1), ("hot", 0)]);
    fixture.record("warm", 5);
    fixture.record("hot", 9);
    fixture.record("one-off", 1);
    fixture.queue("one-off", 1, 0);
    assert_eq!(fixture.choice(), load_evicting("one-off", "hot"));
    fixture.policy.spare_slots = 1;
    assert_eq!(fixture.choice(), None);
    fixture.demand[0].oldest_arrival = NOW - Duration::from_secs(5);
    assert_eq!(fixture.choice(), load_evicting("one-off", "hot"));
    fixture.demand[0].oldest_arrival = NOW;
    fixture.engines[0].residents[0].in_use = 0;
    assert_eq!(fixture.choice(), load_evicting("one-off", "warm"));
}

#[test]
fn loads_nothing_for_requests_whose_deadline_is_too_close() {
    let mut fixture = Fixture::new(&[]);
    fixture.queue("late", 9, 0);
    fixture.demand[0].latest_deadline = NOW + Duration::from_millis(100);
    assert_eq!(fixture.choice(), None);
}

#[test]
fn another_copy_needs_full_holders_and_enough_waiting_requests() {
    let mut fixture = Fixture::new(&[("hot", 4)]);
    fixture.engines.push(engine("e2", &[]));
    fixture.queue("hot", 4, 0);
    fixture.policy.stall_weight = 0;
    assert_eq!(fixture.choice(), None);
    fixture.engines[0].in_flight = 8;
    assert_eq!(fixture.next_load().map(|plan| plan.reason), None);
    fixture.policy.stall_weight = 100;
    assert_eq!(fixture.next_load().map(|plan| plan.reason), Some(Reason::Copy));
    assert_eq!(&*fixture.next_load().unwrap().endpoint, "e2");
    let other = fixture.engines.pop().unwrap();
    assert_eq!(fixture.choice(), None, "an engine holds an adapter at most once");
    fixture.engines.push(other);
    fixture.policy.copies = false;
    assert_eq!(fixture.choice(), None);
}

#[test]
fn failed_loads_back_off_exponentially() {
    let mut fixture = Fixture::new(&[]);
    fixture.queue("bad", 9, 0);
    let first = fixture.backoff.record_failure(&model("bad"), NOW) - NOW;
    assert_eq!(fixture.choice(), None);
    let second = fixture.backoff.record_failure(&model("bad"), NOW) - NOW;
    assert!(second > first);
    (0..9).for_each(|_| {
        fixture.backoff.record_failure(&model("bad"), NOW);
    });
    let longest = fixture.backoff.retry_at(&model("bad"), NOW).unwrap() - NOW;
    assert!(longest <= Duration::from_secs(38), "{longest:?}");
    fixture.backoff.record_success(&model("bad"));
    assert_eq!(fixture.choice().unwrap().0, "bad");
}

#[test]
fn empty_slots_reload_popular_adapters_after_all_waiting_requests() {
    let mut fixture = Fixture::new(&[]);
    fixture.record("hot", 50);
    fixture.record("warm", 5);
    assert_eq!(fixture.choice(), None);
    fixture.spare_permits = true;
    let plan = fixture.next_load().unwrap();
    assert_eq!((&*plan.load.adapter, plan.reason), ("hot", Reason::Reload));
    fixture.queue("one-off", 1, 0);
    let demanded = fixture.next_load().unwrap();
    assert_eq!((&*demanded.load.adapter, demanded.reason), ("one-off", Reason::Waiting));
    assert!(demanded.worth > plan.worth);
}

#[test]
fn loads_prefer_the_fullest_batch_unless_the_victim_is_popular() {
    let mut fixture = Fixture::new(&[("a", 6), ("b", 0)]);
    fixture.engines.push(engine("e2", &[("c", 1), ("d", 0)]));
    fixture.queue("new", 1, 0);
    assert_eq!(fixture.choice(), load_evicting("new", "b"));
    fixture.engines[0].in_flight = 8;
    assert_eq!(fixture.choice(), load_evicting("new", "d"));
    fixture.engines[0].in_flight = 6;
    fixture.record("b", 100);
    assert_eq!(fixture.choice(), load_evicting("new", "d"));
}

#[test]
fn rejects_requests_for_further_adapters_while_loads_are_slow() {
    let mut queue = Queue::default();
    let entry = |adapter: &str, age_ms: u64| Entry {
        key: model(adapter),
        caller: Name::from("caller"),
        priority: 5,
        arrived: NOW - Duration::from_millis(age_ms),
        deadline: NOW + Duration::from_secs(10),
        cost: 1,
        payload: (),
    };
    let engines = [engine("e1", &[("held", 8)])];
    let policy = Policy::default();
    let admit = |queue: &Queue<Model, ()>, adapter: &str| {
        placement::admit(&model(adapter), &engines, queue, &policy, NOW)
            .map_err(|overload| overload.retry_after)
    };
    queue.push(entry("held", 9_000), 9).unwrap();
    queue.push(entry("young", 3_000), 9).unwrap();
    assert_eq!(admit(&queue, "other"), Ok(()));
    queue.push(entry("old", 5_000), 9).unwrap();
    assert_eq!(admit(&queue, "other"), Err(Duration::from_secs(5)));
    assert_eq!(admit(&queue, "young"), Ok(()));
    assert_eq!(admit(&queue, "held"), Ok(()));
}

#[test]
fn the_baseline_loads_the_oldest_and_evicts_the_least_recently_used() {
    let mut fixture = Fixture::new(&[("a", 0), ("b", 0)]);
    fixture.record("a", 9);
    fixture.engines[0].residents[0].last_used = NOW - Duration::from_secs(9);
    fixture.queue("many", 9, 10);
    fixture.queue("old", 1, 500);
    let settings = conf::section::Placement {
        policy: conf::section::Strategy::LeastLru,
        ..conf::section::Placement::default()
    };
    fixture.policy = Policy::new(&settings, 50);
    assert_eq!(fixture.choice(), load_evicting("old", "a"));
}
