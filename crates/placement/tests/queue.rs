//! Ordering, fairness, limits and expiry of the queue.

use std::time::Duration;

use base::Name;
use placement::Demand;
use placement::Entry;
use placement::Full;
use placement::Queue;
use wire::endpoint::Model;

const NO_LIMIT: u32 = u32::MAX;

fn entry(caller: &str, priority: u8, deadline_ms: u64, payload: u32) -> Entry<u8, u32> {
    Entry {
        key: 0,
        caller: Name::from(caller),
        priority,
        arrived: Duration::ZERO,
        deadline: Duration::from_millis(deadline_ms),
        cost: 1,
        payload,
    }
}

fn drain(queue: &mut Queue<u8, u32>, now: Duration) -> Vec<u32> {
    let keys = [0, 1];
    std::iter::from_fn(|| queue.pop(&keys, now)).map(|entry| entry.payload).collect()
}

#[test]
fn a_caller_with_many_requests_does_not_delay_one_with_few() {
    let mut queue = Queue::default();
    for number in 0..6 {
        queue.push(entry("greedy", 5, 1_000, number), NO_LIMIT).unwrap();
    }
    queue.push(entry("modest", 5, 1_000, 10), NO_LIMIT).unwrap();
    queue.push(Entry { key: 1, ..entry("modest", 5, 1_000, 11) }, NO_LIMIT).unwrap();
    assert_eq!(drain(&mut queue, Duration::ZERO), [0, 10, 1, 11, 2, 3, 4, 5]);
}

#[test]
fn an_idle_caller_accumulates_no_credit() {
    let mut queue = Queue::default();
    for number in 0..100 {
        queue.push(entry("steady", 5, 1_000, number), NO_LIMIT).unwrap();
    }
    (0..50).for_each(|_| {
        queue.pop(&[0], Duration::ZERO).unwrap();
    });
    for number in 200..210 {
        queue.push(entry("late", 5, 1_000, number), NO_LIMIT).unwrap();
    }
    let next: Vec<u32> = drain(&mut queue, Duration::ZERO).into_iter().take(10).collect();
    let late = next.iter().filter(|number| **number >= 200).count();
    assert!((4..=6).contains(&late), "{late} of 10");
}

#[test]
fn higher_priorities_go_first_and_waiting_raises_the_priority() {
    let mut queue = Queue::default();
    queue.push(entry("a", 1, 60_000, 1), NO_LIMIT).unwrap();
    queue.push(entry("b", 9, 60_000, 9), NO_LIMIT).unwrap();
    assert_eq!(drain(&mut queue.clone(), Duration::ZERO), [9, 1]);
    let now = Duration::from_secs(20);
    queue.push(Entry { arrived: now, ..entry("c", 9, 60_000, 10) }, NO_LIMIT).unwrap();
    assert_eq!(drain(&mut queue, now), [9, 1, 10]);
}

#[test]
fn requests_of_one_caller_are_ordered_by_deadline() {
    let mut queue = Queue::default();
    for (number, deadline_ms) in [(1, 900), (2, 300), (3, 600)] {
        queue.push(entry("a", 5, deadline_ms, number), NO_LIMIT).unwrap();
    }
    assert_eq!(drain(&mut queue, Duration::ZERO), [2, 3, 1]);
}

#[test]
fn at_most_four_requests_per_caller_count_towards_a_load() {
    let model = |adapter: &str| Model { adapter: Name::from(adapter), version: Name::from("1") };
    let mut queue = Queue::default();
    let mut push = |adapter: &str, caller: &str, priority: u8| {
        let Entry { arrived, deadline, cost, payload, .. } = entry(caller, priority, 1_000, 0);
        let (key, caller) = (model(adapter), Name::from(caller));
        let entry = Entry { key, caller, priority, arrived, deadline, cost, payload };
        queue.push(entry, NO_LIMIT).unwrap();
    };
    (0..50).for_each(|_| push("flooded", "greedy", 5));
    (0..5).for_each(|number| push("shared", &format!("modest {number}"), 5));
    let mut demand = queue.demand();
    demand.sort_by(|left, right| left.model.cmp(&right.model));
    let found: Vec<_> = demand.iter().map(|demand| (demand.requests, demand.weight)).collect();
    assert_eq!(found, [(50, 4 * Demand::priority_weight(5)), (5, 5 * Demand::priority_weight(5))]);
}

#[test]
fn the_queue_is_bounded_and_requests_expire() {
    let mut queue = Queue::default();
    queue.push(entry("a", 5, 100, 1), 2).unwrap();
    let second = queue.push(entry("a", 5, 500, 2), 2).unwrap();
    assert_eq!(queue.push(entry("b", 9, 500, 3), 2), Err(Full));
    assert_eq!(queue.pop_expired(Duration::from_millis(99)), None);
    assert_eq!(queue.pop_expired(Duration::from_millis(100)).unwrap().payload, 1);
    assert_eq!(queue.pop_unreachable(&0, Duration::from_millis(500)), None);
    assert_eq!(queue.pop_unreachable(&0, Duration::from_millis(501)).unwrap().payload, 2);
    assert_eq!(queue.remove(second), None);
    assert!(queue.is_empty() && queue.count(&0) == 0 && queue.next_deadline().is_none());
}
