//! The next load, rule by rule.

use std::time::Duration;

use base::Map;
use base::Name;
use placement::Backoff;
use placement::Engine;
use placement::Entry;
use placement::Held;
use placement::Loss;
use placement::Plan;
use placement::Policy;
use placement::Popularity;
use placement::Queue;
use placement::Reason;
use placement::Tables;
use placement::Waiting;
use state::view::Exception;
use state::view::Rule;
use wire::endpoint::Model;

const NOW: Duration = Duration::from_secs(1_000);

/// The tables of a gate with one engine of two slots.
struct Site {
    engines: Vec<Engine>,
    waiting: Vec<Waiting>,
    popularity: Popularity,
    exceptions: Map<Name, Exception>,
    backoff: Backoff,
    policy: Policy,
    spare: bool,
}

impl Site {
    fn new(held: &[(&str, u32)]) -> Site {
        Site {
            engines: vec![engine("e1", held)],
            waiting: Vec::new(),
            popularity: Popularity::new(Duration::from_secs(300), 10_000),
            exceptions: Map::default(),
            backoff: Backoff::default(),
            policy: Policy::default(),
            spare: false,
        }
    }

    fn hits(&mut self, adapter: &str, count: u32) {
        (0..count).for_each(|_| self.popularity.hit(&model(adapter), NOW));
    }

    fn wait(&mut self, adapter: &str, requests: u32, age_ms: u64) {
        self.waiting.push(Waiting {
            model: model(adapter),
            requests,
            weight: requests * Waiting::weight(5),
            oldest: NOW - Duration::from_millis(age_ms),
            deadline: NOW + Duration::from_secs(10),
        });
    }

    fn except(&mut self, adapter: &str, rule: Rule) {
        let (reason, author) = (Name::from("test"), Name::from("test"));
        let exception = Exception { rule, reason, author, created_ms: 0 };
        self.exceptions.insert(Name::from(adapter), exception);
    }

    fn tables(&self) -> Tables<'_> {
        Tables {
            engines: &self.engines,
            waiting: &self.waiting,
            popularity: &self.popularity,
            exceptions: &self.exceptions,
            backoff: &self.backoff,
            policy: &self.policy,
            elsewhere: &|_| false,
            spare: self.spare,
        }
    }

    fn next(&self) -> Option<Plan> {
        placement::next(&self.tables(), NOW)
    }

    fn load(&self) -> Option<(String, Option<String>)> {
        let plan = self.next()?;
        Some((plan.load.adapter.to_string(), plan.evict.map(|model| model.adapter.to_string())))
    }
}

fn model(adapter: &str) -> Model {
    Model { adapter: Name::from(adapter), version: Name::from("1") }
}

fn engine(name: &str, held: &[(&str, u32)]) -> Engine {
    let held = held.iter().map(|(adapter, in_use)| Held {
        model: model(adapter),
        in_use: *in_use,
        loading: false,
        used: NOW,
    });
    let held: Vec<Held> = held.collect();
    let in_flight = held.iter().map(|held| held.in_use).sum();
    Engine { name: Name::from(name), ready: true, slots: 2, batch: 8, in_flight, held }
}

fn evicts(load: &str, evict: &str) -> Option<(String, Option<String>)> {
    Some((load.into(), Some(evict.into())))
}

#[test]
fn loads_what_most_wait_for() {
    let mut site = Site::new(&[]);
    site.wait("a", 1, 0);
    site.wait("b", 3, 0);
    assert_eq!(site.load(), Some(("b".into(), None)));
}

#[test]
fn age_counts() {
    let mut site = Site::new(&[]);
    site.wait("one-off", 1, 6_000);
    site.wait("hot", 5, 100);
    assert_eq!(site.load().unwrap().0, "one-off");
    site.policy.aging = false;
    assert_eq!(site.load().unwrap().0, "hot");
}

#[test]
fn evicts_the_least_popular_that_is_not_in_use() {
    let mut site = Site::new(&[("a", 0), ("b", 0)]);
    site.hits("a", 1);
    site.hits("b", 5);
    site.hits("c", 9);
    site.wait("c", 1, 0);
    assert_eq!(site.load(), evicts("c", "a"));
    site.engines[0].held[0].in_use = 1;
    assert_eq!(site.load(), evicts("c", "b"));
    site.engines[0].held[1].loading = true;
    assert_eq!(site.load(), None);
}

#[test]
fn keeps_what_is_excepted() {
    let mut site = Site::new(&[("a", 0), ("b", 0)]);
    site.hits("b", 5);
    site.hits("c", 9);
    site.hits("never", 9);
    site.wait("c", 1, 0);
    site.wait("never", 9, 0);
    site.except("a", Rule::Pinned);
    site.except("never", Rule::Never);
    assert_eq!(site.load(), evicts("c", "b"));
    let losers = site.next().unwrap().losers;
    assert_eq!((&*losers[0].model.adapter, losers[0].loss), ("never", Loss::Never));
}

#[test]
fn loads_what_is_pinned_and_held_nowhere() {
    let mut site = Site::new(&[("a", 0), ("b", 0)]);
    site.except("a", Rule::Pinned);
    site.except("c", Rule::Pinned);
    let pinned = [model("a"), model("c")];
    let plan = placement::pin(&site.tables(), pinned.iter(), NOW).unwrap();
    assert_eq!((&*plan.load.adapter, plan.reason), ("c", Reason::Pinned));
    assert_eq!(plan.evict, Some(model("b")));
    assert_eq!(placement::pin(&site.tables(), pinned[..1].iter(), NOW), None);
}

#[test]
fn a_one_off_takes_a_spare_slot_only_until_it_starves() {
    let mut site = Site::new(&[("warm", 1), ("hot", 0)]);
    site.hits("warm", 5);
    site.hits("hot", 9);
    site.hits("one-off", 1);
    site.wait("one-off", 1, 0);
    assert_eq!(site.load(), evicts("one-off", "hot"));
    site.policy.spare_slots = 1;
    assert_eq!(site.load(), None);
    site.waiting[0].oldest = NOW - Duration::from_secs(5);
    assert_eq!(site.load(), evicts("one-off", "hot"));
    site.waiting[0].oldest = NOW;
    site.engines[0].held[0].in_use = 0;
    assert_eq!(site.load(), evicts("one-off", "warm"));
}

#[test]
fn spends_no_load_on_requests_that_their_deadline_ends() {
    let mut site = Site::new(&[]);
    site.wait("late", 9, 0);
    site.waiting[0].deadline = NOW + Duration::from_millis(100);
    assert_eq!(site.load(), None);
}

#[test]
fn a_second_copy_needs_full_holders_and_more_waiting_than_batches_are_weighed() {
    let mut site = Site::new(&[("hot", 4)]);
    site.engines.push(engine("e2", &[]));
    site.wait("hot", 4, 0);
    site.policy.stall_weight = 0;
    assert_eq!(site.load(), None);
    site.engines[0].in_flight = 8;
    assert_eq!(site.next().map(|plan| plan.reason), None);
    site.policy.stall_weight = 100;
    assert_eq!(site.next().map(|plan| plan.reason), Some(Reason::Copy));
    assert_eq!(&*site.next().unwrap().endpoint, "e2");
    let other = site.engines.pop().unwrap();
    assert_eq!(site.load(), None, "an engine holds an adapter once");
    site.engines.push(other);
    site.policy.copies = false;
    assert_eq!(site.load(), None);
}

#[test]
fn failed_loads_wait_longer_each_time() {
    let mut site = Site::new(&[]);
    site.wait("bad", 9, 0);
    let first = site.backoff.fail(&model("bad"), NOW) - NOW;
    assert_eq!(site.load(), None);
    let second = site.backoff.fail(&model("bad"), NOW) - NOW;
    assert!(second > first);
    (0..9).for_each(|_| {
        site.backoff.fail(&model("bad"), NOW);
    });
    let longest = site.backoff.until(&model("bad"), NOW).unwrap() - NOW;
    assert!(longest <= Duration::from_secs(38), "{longest:?}");
    site.backoff.succeed(&model("bad"));
    assert_eq!(site.load().unwrap().0, "bad");
}

#[test]
fn a_cold_engine_reloads_what_was_hot_after_what_waits() {
    let mut site = Site::new(&[]);
    site.hits("hot", 50);
    site.hits("warm", 5);
    assert_eq!(site.load(), None);
    site.spare = true;
    let plan = site.next().unwrap();
    assert_eq!((&*plan.load.adapter, plan.reason), ("hot", Reason::Reload));
    site.wait("one-off", 1, 0);
    let waiting = site.next().unwrap();
    assert_eq!((&*waiting.load.adapter, waiting.reason), ("one-off", Reason::Waiting));
    assert!(waiting.worth > plan.worth);
}

#[test]
fn loads_join_the_fullest_batch_unless_what_they_evict_is_popular() {
    let mut site = Site::new(&[("a", 6), ("b", 0)]);
    site.engines.push(engine("e2", &[("c", 1), ("d", 0)]));
    site.wait("new", 1, 0);
    assert_eq!(site.load(), evicts("new", "b"));
    site.engines[0].in_flight = 8;
    assert_eq!(site.load(), evicts("new", "d"));
    site.engines[0].in_flight = 6;
    site.hits("b", 100);
    assert_eq!(site.load(), evicts("new", "d"));
}

#[test]
fn refuses_further_adapters_while_loads_take_too_long() {
    let mut queue = Queue::default();
    let entry = |adapter: &str, age_ms: u64| Entry {
        key: model(adapter),
        caller: Name::from("caller"),
        priority: 5,
        arrived: NOW - Duration::from_millis(age_ms),
        deadline: NOW + Duration::from_secs(10),
        cost: 1,
        ticket: (),
    };
    let engines = [engine("e1", &[("held", 8)])];
    let policy = Policy::default();
    let admit = |queue: &Queue<Model, ()>, adapter: &str| {
        placement::admit(&model(adapter), &engines, queue, &policy, NOW)
            .map_err(|late| late.retry_after)
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
fn baselines_load_the_oldest_and_evict_the_least_recent() {
    let mut site = Site::new(&[("a", 0), ("b", 0)]);
    site.hits("a", 9);
    site.engines[0].held[0].used = NOW - Duration::from_secs(9);
    site.wait("many", 9, 10);
    site.wait("old", 1, 500);
    let settings = conf::section::Placement {
        policy: conf::section::Scheme::LeastLru,
        ..conf::section::Placement::default()
    };
    site.policy = Policy::new(&settings, 50);
    assert_eq!(site.load(), evicts("old", "a"));
}
