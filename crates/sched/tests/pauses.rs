//! Streams that pause while their engine reads prompts of other requests.

mod common;

use std::time::Duration;

use base::Name;
use base::Set;
use common::streams::Load;
use common::streams::Streams;
use common::streams::Totals;
use fleet::message::Submission;
use sched::action::Action;

/// 213 requests a second with 2,368 prompt tokens on average on 60 engines that read up to 4,096 of them in a step.
const V: Load = Load {
    requests_per_s: 213.0,
    chunk: 4_096.0,
    stride: 3,
    first_event_steps: 1,
    gap_ms: 400,
    states_gap: true,
    tokens_per_ms: 19.1,
    uneven: false,
    noise: 0.0,
    states_pace: false,
    seed: 1,
};
const SEEDS: [u64; 3] = [1, 2, 3];

/// Plays a load for 15 s after its warm-up.
fn play(load: Load) -> Streams {
    Streams::play(load, 15_000.0)
}

// Guards against prompts that are sent to an engine together and stop its streams, as in 16 to 21% of the requests of this
// load if the gap is not stated; and against first events that are late instead.
#[test]
fn load_v_has_few_late_streams() {
    for seed in SEEDS {
        let unaware = play(Load { states_gap: false, seed, ..V }).totals;
        assert!(unaware.late_share() > 0.12, "the load shows no pauses: {unaware:?}");
        let totals = play(Load { seed, ..V }).totals;
        assert!(totals.late_share() < 0.015, "seed {seed}: {totals:?}");
        assert!(totals.late_first + totals.denied < 15, "seed {seed}: {totals:?}");
        assert!(totals.first_ms <= unaware.first_ms * 1.05, "seed {seed}: {totals:?}");
    }
}

// Guards against times that are right only if the first event comes with the first token. On this load it comes after a
// stride, so that later prompts delay it, and 4 to 5% are late if the gap is not stated.
#[test]
fn load_v_has_few_late_streams_if_first_events_take_a_stride() {
    for seed in SEEDS {
        let load = Load { first_event_steps: 3, seed, ..V };
        let unaware = play(Load { states_gap: false, ..load }).totals;
        let totals = play(load).totals;
        assert!(totals.late_share() < unaware.late_share() * 0.3, "seed {seed}: {totals:?}");
        assert!(totals.late_first + totals.denied < 15, "seed {seed}: {totals:?}");
    }
}

// Guards against a price for the same with half as many requests again, where waiting for gaps costs capacity.
#[test]
fn load_v_and_half_has_fewer_late_streams() {
    for seed in SEEDS {
        let load = Load { requests_per_s: 320.0, seed, ..V };
        let unaware = play(Load { states_gap: false, ..load }).totals;
        let totals = play(load).totals;
        assert!(totals.late_share() < unaware.late_share() * 0.5, "seed {seed}: {totals:?}");
    }
}

// Guards against requests that wait or go elsewhere where no prompt can make a stream pause for too long.
#[test]
fn nothing_changes_where_engines_read_few_tokens_in_a_step() {
    for seed in SEEDS {
        let load = Load { chunk: 1_024.0, gap_ms: 300, seed, ..V };
        let unaware = play(Load { states_gap: false, ..load }).totals;
        let totals = play(load).totals;
        assert_eq!(totals, unaware, "seed {seed}");
    }
}

// Guards against a bound that follows the prompts that were sent instead of those that were read.
#[test]
fn the_tokens_of_an_event_are_learned() {
    for (chunk, seed) in [(4_096.0, 1), (4_096.0, 2), (1_024.0, 1), (1_024.0, 2)] {
        let played = play(Load { chunk, seed, ..V });
        let (_, bound) = played.scheduler.pause_bounds().next().expect("learned");
        let share = bound.tokens / (chunk * 3.0);
        assert!((0.8..=1.1).contains(&share), "chunk {chunk}, seed {seed}: {bound:?}");
        assert!(bound.error < bound.tokens * 0.1, "chunk {chunk}, seed {seed}: {bound:?}");
    }
}

/// Returns the mean share of late requests, and the mean time to the first event in ms.
fn mean(load: Load) -> (f64, f64) {
    let totals = SEEDS.map(|seed| play(Load { seed, ..load }).totals);
    let late: f64 = totals.iter().map(Totals::late_share).sum();
    let first: f64 = totals.iter().map(|t| t.first_ms / f64::from(t.streams)).sum();
    (late / SEEDS.len() as f64, first / SEEDS.len() as f64)
}

// Guards against fast engines that are taken for engines of twice the default at most, so that slow ones get their
// requests. The load is V on engines of 0.7 to 1.7 times the speed.
#[test]
fn fast_engines_are_used_where_the_pace_of_hosts_is_stated() {
    let uneven = Load { uneven: true, states_gap: false, ..V };
    let (late, first) = mean(uneven);
    let (paced_late, paced_first) = mean(Load { states_pace: true, ..uneven });
    assert!(paced_late < late * 0.8, "late: {paced_late} for {late}");
    assert!(paced_first < first, "first event: {paced_first} ms for {first} ms");
}

// Guards against an estimate that follows the noise of hosts. The load is that before, and every third host takes 2.5 times
// as long for 600 ms at a time, in 3 of 10 s.
#[test]
fn slow_moments_of_hosts_do_not_mislead() {
    let noisy = Load { uneven: true, noise: 0.3, states_gap: false, ..V };
    let (late, first) = mean(noisy);
    let (paced_late, paced_first) = mean(Load { states_pace: true, states_gap: true, ..noisy });
    assert!(paced_late < late * 0.5, "late: {paced_late} for {late}");
    assert!(paced_first < first, "first event: {paced_first} ms for {first} ms");
}

// Guards against prompts that are sent together to an engine that reads prompts all the time, so that all its streams stand
// still, although they could be sent one after another: 6 to 8% of the requests of this load are late then.
#[test]
fn load_v_and_three_quarters_is_read_one_after_another() {
    for seed in SEEDS {
        let totals = play(Load { requests_per_s: 373.0, seed, ..V }).totals;
        assert!(totals.late_share() < 0.02, "seed {seed}: {totals:?}");
    }
}

// Guards against requests that wait for an engine and are forgotten with it: half of the engines are lost, and the others
// send no more events.
#[test]
fn requests_that_wait_for_lost_and_silent_engines_are_answered() {
    let mut played = play(V);
    let first = 1_000_000;
    let adapters = (0..60).map(|number| Name::from(format!("adapter-{number}")));
    let requests = (first..).zip(adapters.cycle().take(600)).map(|(request, adapter)| {
        let mut query = common::query(request, &adapter);
        (query.input, query.target_ms, query.left_ms) = (2_368, 1_000, 4_000);
        let submission = Submission { query, tenant: None, gap_ms: 400 };
        let now = played.now();
        played.scheduler.submit(1, &Name::from("a"), submission, now);
        request
    });
    let requests: Vec<u64> = requests.collect();
    let mut answered = Set::default();
    for ms in (0..4_000).step_by(10) {
        let now = played.now() + Duration::from_millis(ms);
        for action in played.scheduler.poll(now) {
            match action {
                Action::Grant { grant, .. } => answered.insert(grant.request),
                Action::Deny { denial, .. } => answered.insert(denial.request),
                _ => false,
            };
        }
        if ms == 50 {
            let engines: Vec<Name> = played.scheduler.engines().cloned().collect();
            for id in engines.iter().step_by(2) {
                played.scheduler.remove_engine(id, now);
            }
        }
    }
    let lost = requests.iter().filter(|request| !answered.contains(request)).count();
    assert_eq!(lost, 0, "of {}", requests.len());
}
