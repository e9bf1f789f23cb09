//! How many requests buckets and shares admit within the span in which the platform counts them.

use std::time::Duration;

use limit::Bucket;
use limit::Rate;
use limit::Share;

const WINDOW: Duration = Duration::from_secs(4);
const STEP: Duration = Duration::from_millis(5);
const RATES: [f64; 8] = [0.1, 0.5, 1.0, 1.3, 3.0, 12.0, 50.0, 400.0];

/// Returns the requests that the platform allows within [`WINDOW`].
fn allowed(rate: f64) -> usize {
    (1.5 * rate * WINDOW.as_secs_f64() + 5.0) as usize
}

fn rate(per_second: f64) -> Rate {
    Rate::new(per_second).expect("a rate")
}

/// Returns the times at which requests are admitted in a minute of more demand than the rate.
fn admitted(mut try_take: impl FnMut(Duration) -> bool) -> Vec<Duration> {
    let times = (0..12_000).map(|step| STEP * step);
    times
        .flat_map(|now| {
            std::iter::from_fn(|| try_take(now).then_some(now)).take(100).collect::<Vec<_>>()
        })
        .collect()
}

fn busiest_window(admitted: &[Duration]) -> usize {
    let counts = admitted.iter().enumerate().map(|(index, start)| {
        admitted[index..].iter().take_while(|at| **at < *start + WINDOW).count()
    });
    counts.max().unwrap_or_default()
}

#[test]
fn a_bucket_admits_what_its_rate_allows() {
    for per_second in RATES {
        let mut bucket = Bucket::new(rate(per_second), Duration::ZERO);
        let admitted = admitted(|now| bucket.try_take(now).is_ok());
        assert!(busiest_window(&admitted) <= allowed(per_second), "{per_second}");
        let least = (per_second * 60.0 * 0.95) as usize;
        assert!(admitted.len() >= least, "{} at {per_second}", admitted.len());
    }
}

#[test]
fn a_bucket_has_a_token_after_the_wait_that_it_states() {
    let mut bucket = Bucket::new(rate(1.3), Duration::ZERO);
    let mut now = Duration::ZERO;
    for _ in 0..20 {
        now += bucket.try_take(now).expect_err("no token");
        assert!(bucket.wait(now).is_zero());
        assert!(bucket.try_take(now).is_ok());
    }
    bucket.give_back();
    assert!(bucket.try_take(now).is_ok());
}

#[test]
fn a_bucket_that_was_idle_admits_no_burst_at_a_low_rate() {
    let mut bucket = Bucket::new(rate(2.0), Duration::ZERO);
    let now = Duration::from_secs(3_600);
    assert!(bucket.try_take(now).is_ok());
    assert!(bucket.try_take(now).is_err());
    bucket.set_rate(rate(100.0), now);
    assert!(bucket.try_take(now).is_err());
}

// Guards against many nodes that use the unused turns of an idle time at the same moment.
#[test]
fn the_shares_of_many_nodes_admit_no_more_than_the_rate() {
    for nodes in [1_u32, 2, 5, 10, 700] {
        for per_second in [0.1, 1.0, 1.3, 12.0, 50.0] {
            let phase = |node: u32| f64::from(node) * 0.618 % 1.0;
            let share = |node| Share::new(rate(per_second), nodes, phase(node), Duration::ZERO);
            let mut shares: Vec<Share> = (0..nodes).map(share).collect();
            // Demand arrives after an idle minute.
            let admitted = admitted(|now| {
                now > Duration::from_secs(20)
                    && shares.iter_mut().any(|share| share.try_take(now).is_ok())
            });
            let most = busiest_window(&admitted);
            assert!(most <= allowed(per_second), "{most} of {nodes} nodes at {per_second}");
        }
    }
}

#[test]
fn an_endpoint_is_idle_once_it_has_had_no_request_for_a_while() {
    for (per_second, idle_ms) in [(0.5, 2_000), (1.3, 1_000), (100.0, 1_000)] {
        let mut bucket = Bucket::new(rate(per_second), Duration::ZERO);
        let start = Duration::from_secs(60);
        assert!(bucket.try_take(start).is_ok());
        let idle = Duration::from_millis(idle_ms);
        assert!(!bucket.is_idle(start + idle - STEP), "{per_second}");
        assert!(bucket.is_idle(start + idle), "{per_second}");
    }
}
