//! The leader's placement: what it counts, whom it refuses, and what remains after failures.

use std::time::Duration;

use base::Code;
use base::Name;
use capacity::Answer;
use capacity::Balancer;
use fleet::endpoint::Endpoint;
use fleet::explanation;
use fleet::message::Load;
use fleet::message::Outcome;
use fleet::message::Placement;
use fleet::placed::Call;
use proptest::prelude::ProptestConfig;
use proptest::prop_assert;
use proptest::proptest;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn endpoints(count: usize) -> Vec<Endpoint> {
    let endpoint = |index| Endpoint {
        id: Name::from(format!("e{index}")),
        born: 1,
        service: Name::from("plain"),
        address: ([127, 0, 0, 1], 1).into(),
        domain: Name::from("a"),
        slots: 6,
        build: Name::from("v1"),
    };
    (0..count).map(endpoint).collect()
}

fn balancer(count: usize) -> Balancer {
    let mut balancer = Balancer::default();
    balancer.set_endpoints(endpoints(count).iter(), at(0));
    balancer
}

fn placement(request: u64) -> Placement {
    Placement {
        request,
        service: Name::from("plain"),
        target_ms: 300,
        left_ms: 1_500,
        rank: 1,
        tenant: None,
        excluded: Vec::new(),
        build: None,
    }
}

fn load(pace: u32) -> Option<Load> {
    Some(Load { running: 0, queued: 0, slots: 6, pace: Some(pace) })
}

/// Places requests of a gate; returns the endpoints that they got, with their numbers, and the number of refusals.
fn place(
    balancer: &mut Balancer,
    gate: u64,
    requests: std::ops::Range<u64>,
    ms: u64,
) -> (Vec<(u64, Name)>, usize) {
    for request in requests {
        balancer.place(gate, "a", placement(request), 1.0, at(ms));
    }
    answers(balancer)
}

fn answers(balancer: &mut Balancer) -> (Vec<(u64, Name)>, usize) {
    let (mut placed, mut denied) = (Vec::new(), 0);
    for answer in balancer.take_answers() {
        match answer {
            Answer::Placed { request, endpoint, .. } => placed.push((request, endpoint)),
            Answer::Denied { .. } => denied += 1,
        }
    }
    (placed, denied)
}

/// Answers calls alone at each endpoint, in `ms` each, so that the speeds are known; returns the time afterwards.
fn train(balancer: &mut Balancer, gate: u64, work: impl Fn(&str) -> u64) -> u64 {
    let mut now = 0;
    for round in 0..200 {
        let request = 1_000_000 + round;
        let (placed, _) = place(balancer, gate, request..request + 1, now);
        let ran = work(&placed[0].1);
        now += ran;
        balancer.ended(gate, request, Outcome::Done, at(ran), load(100), at(now));
    }
    now
}

fn in_progress(balancer: &Balancer, ms: u64) -> u32 {
    balancer.statuses(at(ms)).map(|status| status.in_progress).sum()
}

#[test]
fn endpoints_get_no_more_than_their_slots_and_a_short_queue() {
    let mut balancer = balancer(2);
    let now = train(&mut balancer, 1, |_| 60);
    let (placed, denied) = place(&mut balancer, 1, 0..200, now);
    for id in ["e0", "e1"] {
        assert_eq!(placed.iter().filter(|(_, endpoint)| **endpoint == *id).count(), 12);
    }
    let waiting: usize = balancer.waiting().map(|(_, waiting)| waiting).sum();
    // 12 slots complete some 20 calls in the 100 ms for which calls wait.
    assert!((10..30).contains(&waiting), "{waiting}");
    assert_eq!(placed.len() + denied + waiting, 200);
    // An end makes room for the oldest one.
    balancer.ended(1, placed[0].0, Outcome::Done, at(60), load(100), at(now + 1));
    assert_eq!(answers(&mut balancer).0, [(24, placed[0].1.clone())]);
}

/// Guards against an explanation that takes another path than the placement, or that counts as a call.
#[test]
fn calls_go_where_the_explanation_says() {
    let mut balancer = balancer(3);
    let now = train(&mut balancer, 1, |id| if id == "e0" { 40 } else { 70 });
    let mut outcomes = Vec::new();
    for request in 0..120 {
        let explanation = balancer.explain("a", &placement(request), 1.0, at(now));
        assert_eq!(explanation, balancer.explain("a", &placement(request), 1.0, at(now)));
        assert_eq!(explanation.endpoints.len(), 3);
        balancer.place(1, "a", placement(request), 1.0, at(now));
        let answer = balancer.take_answers().next();
        match (explanation.outcome, answer) {
            (explanation::Outcome::Granted, Some(Answer::Placed { endpoint, .. })) => {
                assert_eq!(explanation.endpoint, Some(endpoint));
            }
            (explanation::Outcome::Refused, Some(Answer::Denied { denial, .. })) => {
                assert_eq!(explanation.code, Some(denial.code));
            }
            (explanation::Outcome::Queued, None) => {}
            other => panic!("request {request}: {other:?}"),
        }
        outcomes.push(explanation.outcome);
    }
    let all = [
        explanation::Outcome::Granted,
        explanation::Outcome::Queued,
        explanation::Outcome::Refused,
    ];
    assert!(all.iter().all(|outcome| outcomes.contains(outcome)));
}

#[test]
fn a_refused_call_is_told_when_the_calls_before_it_are_served() {
    let mut balancer = balancer(1);
    let now = train(&mut balancer, 1, |_| 60);
    for request in 0..200 {
        balancer.place(1, "a", placement(request), 1.0, at(now));
    }
    let retries = balancer.take_answers().filter_map(|answer| match answer {
        Answer::Denied { denial, .. } => Some((denial.code, denial.retry_ms)),
        Answer::Placed { .. } => None,
    });
    let retries: Vec<(Code, u32)> = retries.collect();
    assert!(retries.iter().all(|(code, _)| *code == Code::QueueFull));
    assert!(retries.is_sorted_by_key(|(_, ms)| *ms));
    // Six slots serve 100 calls a second.
    let (_, last) = retries[retries.len() - 1];
    let served = retries.len() as u32 * 10;
    assert!((served * 7 / 10..served * 14 / 10).contains(&last), "{last} ms for {served} ms");
}

#[test]
fn urgent_calls_and_tenants_below_their_share_go_first() {
    let mut balancer = balancer(1);
    let now = train(&mut balancer, 1, |_| 20);
    place(&mut balancer, 1, 0..12, now);
    balancer.place(1, "a", placement(30), 3.0, at(now));
    balancer.place(1, "a", placement(31), 1.0, at(now));
    balancer.place(1, "a", Placement { rank: 0, ..placement(32) }, 3.0, at(now));
    let served = (0..3).map(|request| {
        balancer.ended(1, request, Outcome::Done, at(20), load(100), at(now + 1));
        answers(&mut balancer).0[0].0
    });
    assert_eq!(served.collect::<Vec<u64>>(), [32, 31, 30]);
}

#[test]
fn a_slow_host_gets_fewer_calls_as_soon_as_it_says_so() {
    let mut balancer = balancer(2);
    let now = train(&mut balancer, 1, |_| 60);
    let (placed, _) = place(&mut balancer, 1, 0..2, now);
    for (request, endpoint) in placed {
        let pace = if *endpoint == *"e0" { 400 } else { 100 };
        for _ in 0..3 {
            balancer.ended(1, request, Outcome::Done, at(60), load(pace), at(now));
        }
    }
    let (placed, _) = place(&mut balancer, 1, 10..16, now);
    assert!(placed.iter().all(|(_, endpoint)| **endpoint == *"e1"), "{placed:?}");
}

// Guards against calls of a lost gate that take up slots for ever, and against counting them twice once it is back.
#[test]
fn the_calls_of_a_lost_gate_are_forgotten() {
    let mut balancer = balancer(1);
    let (placed, _) = place(&mut balancer, 1, 0..20, 0);
    assert_eq!(placed.len(), 12);
    let (placed, _) = place(&mut balancer, 2, 50..52, 0);
    assert!(placed.is_empty());
    balancer.gate_lost(1, at(10));
    assert_eq!(answers(&mut balancer).0.len(), 2);
    assert_eq!(in_progress(&balancer, 10), 2);
    let call = |request| Call {
        request,
        service: Name::from("plain"),
        endpoint: Name::from("e0"),
        born: 1,
        left_ms: 1_000,
    };
    let calls: Vec<Call> = (0..4).map(call).collect();
    balancer.restore(3, &calls, at(20));
    balancer.restore(3, &calls, at(20));
    assert_eq!(in_progress(&balancer, 20), 6);
    balancer.ended(3, 0, Outcome::Done, at(60), load(100), at(30));
    assert_eq!(in_progress(&balancer, 30), 5);
    // One whose end is never reported is forgotten after its deadline.
    balancer.poll(at(10_000));
    assert_eq!(in_progress(&balancer, 10_000), 0);
}

// Guards against a new leader that takes endpoints for idle, because it has placed nothing there.
#[test]
fn a_new_leader_counts_what_gates_and_endpoints_report() {
    let mut balancer = balancer(1);
    let (placed, _) = place(&mut balancer, 1, 0..1, 0);
    assert_eq!(placed.len(), 1);
    let full = Load { running: 6, queued: 10, slots: 6, pace: Some(100) };
    balancer.ended(1, 0, Outcome::Done, at(60), Some(full), at(60));
    assert!(place(&mut balancer, 1, 1..2, 60).0.is_empty());
    // Reported calls end without a notice.
    balancer.poll(at(400));
    assert_eq!(answers(&mut balancer).0.len() + place(&mut balancer, 1, 2..3, 900).0.len(), 2);
}

#[test]
fn the_calls_of_a_lost_endpoint_are_forgotten() {
    let mut balancer = balancer(2);
    let (placed, _) = place(&mut balancer, 1, 0..30, 0);
    assert_eq!(placed.len(), 24);
    balancer.set_endpoints(endpoints(1).iter(), at(10));
    assert_eq!(in_progress(&balancer, 10), 12);
    balancer.ended(1, placed[0].0, Outcome::Lost, at(10), None, at(10));
    balancer.ended(1, placed[1].0, Outcome::Lost, at(10), None, at(10));
    assert!(in_progress(&balancer, 10) <= 12);
    balancer.set_endpoints([].iter(), at(20));
    balancer.place(1, "a", placement(99), 1.0, at(20));
    let denied = balancer.take_answers().any(
        |answer| matches!(answer, Answer::Denied { denial, .. } if denial.code == Code::NoEndpoint),
    );
    assert!(denied);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, ..ProptestConfig::default() })]

    // Guards against an endpoint that is not tried again after it was slow, and against a herd when it is.
    #[test]
    fn no_endpoint_is_starved(slow_ms in 100u64..600, interval in 20u64..200) {
        let mut balancer = balancer(3);
        let work = |endpoint: &str| if endpoint == "e0" { slow_ms } else { 30 };
        let start = train(&mut balancer, 1, work);
        let mut ends: Vec<(u64, u64, u64)> = Vec::new();
        let mut tried = start;
        for request in 0..2_000 {
            let now = start + request * interval;
            ends.retain(|(end, request, ran)| {
                if *end <= now {
                    balancer.ended(1, *request, Outcome::Done, at(*ran), load(100), at(*end));
                }
                *end > now
            });
            let (placed, _) = place(&mut balancer, 1, request..request + 1, now);
            for (request, endpoint) in placed {
                let ran = work(&endpoint);
                if ran == slow_ms {
                    tried = now;
                }
                ends.push((now + ran, request, ran));
            }
            prop_assert!(now - tried < 5_000, "not tried for {} ms", now - tried);
            let slow = balancer.statuses(at(now)).find(|status| *status.endpoint == *"e0");
            prop_assert!(slow.is_some_and(|slow| slow.in_progress <= 1), "a herd");
        }
    }
}
