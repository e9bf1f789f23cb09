//! Tests of load balancing and of the retry budget.

use std::time::Duration;

use base::Map;
use base::Name;
use edge::Budget;
use edge::Limit;
use edge::Stats;
use edge::choose;
use fleet::endpoint::Endpoint;

const NOW: Duration = Duration::from_secs(100);

fn endpoint(id: &str, domain: &str) -> Endpoint {
    Endpoint {
        id: Name::from(id),
        born: 1,
        service: Name::from("ledger"),
        address: ([127, 0, 0, 1], 1).into(),
        domain: Name::from(domain),
        slots: 6,
        build: Name::from("v1"),
    }
}

fn stats_of(running: u32, reported: Option<(u32, Duration)>) -> Stats {
    let mut stats = Stats::default();
    stats.running = running;
    stats.reported = reported;
    stats
}

fn chosen(endpoints: &[Endpoint], stats: &Map<Name, Stats>, excluded: &[Name]) -> String {
    let best = choose(endpoints.iter(), stats, "a", excluded, 0, NOW);
    best.expect("there are endpoints").id.to_string()
}

#[test]
fn the_least_loaded_endpoint_is_chosen() {
    let endpoints = [endpoint("x", "a"), endpoint("y", "a")];
    let mut stats = Map::default();
    stats.insert(Name::from("x"), stats_of(3, None));
    assert_eq!(chosen(&endpoints, &stats, &[]), "y");
    // A load that the endpoint just reported counts as well; an old report does not.
    stats.insert(Name::from("y"), stats_of(0, Some((9, NOW))));
    assert_eq!(chosen(&endpoints, &stats, &[]), "x");
    let old = NOW - Duration::from_secs(2);
    stats.insert(Name::from("y"), stats_of(0, Some((9, old))));
    assert_eq!(chosen(&endpoints, &stats, &[]), "y");
}

#[test]
fn endpoints_of_the_own_domain_are_preferred_at_equal_load() {
    let endpoints = [endpoint("x", "b"), endpoint("y", "a")];
    assert_eq!(chosen(&endpoints, &Map::default(), &[]), "y");
}

#[test]
fn failing_endpoints_are_avoided_until_the_failure_rate_decays() {
    let endpoints = [endpoint("x", "a"), endpoint("y", "b")];
    let mut failing = Stats::default();
    failing.record(true, NOW);
    failing.record(true, NOW);
    let mut stats = Map::default();
    stats.insert(Name::from("x"), failing.clone());
    assert_eq!(chosen(&endpoints, &stats, &[]), "y");
    assert!(failing.failure_rate(NOW + Duration::from_secs(20)) < 0.001);
}

#[test]
fn excluded_endpoints_are_avoided() {
    let endpoints = [endpoint("x", "a"), endpoint("y", "b")];
    assert_eq!(chosen(&endpoints, &Map::default(), &[Name::from("x")]), "y");
}

const LIMIT: Limit = Limit { ratio: 0.2, slack: 48.0, window: Duration::from_secs(10) };

/// Takes retries from a budget until none is left; returns their number.
fn take_all(budget: &mut Budget, service: &str, gates: Option<u32>, now: Duration) -> usize {
    let service = Name::from(service);
    (0..100_000).take_while(|_| budget.try_retry(&service, None, gates, now)).count()
}

/// Returns a budget that has counted 100 requests for the ledger.
fn budget() -> Budget {
    let mut budget = Budget::new(LIMIT);
    for ms in 0..100 {
        budget.record_request(&Name::from("ledger"), None, Duration::from_millis(ms));
    }
    budget
}

#[test]
fn retries_are_limited_to_the_budget() {
    let mut budget = budget();
    let now = Duration::from_millis(100);
    assert_eq!(take_all(&mut budget, "ledger", Some(5), now), 18);
    // Requests and retries leave the budget at the end of the window.
    assert_eq!(take_all(&mut budget, "ledger", Some(5), now + LIMIT.window), 3);
}

#[test]
fn a_service_has_no_part_in_the_budget_of_another() {
    let now = Duration::from_millis(100);
    assert_eq!(take_all(&mut budget(), "llm", Some(5), now), 3);
    assert_eq!(take_all(&mut budget(), "llm", None, now), 0);
}

// Guards against gates, started twice in a window, that use more than the slack in total.
#[test]
fn the_slack_is_divided_among_all_gates() {
    for gates in [1, 5, 16, 32, 100, 700] {
        let budgets = (0..2 * gates).map(|_| Budget::new(LIMIT));
        let retries: usize =
            budgets.map(|mut budget| take_all(&mut budget, "ledger", Some(gates), NOW)).sum();
        assert!(retries as f64 <= LIMIT.slack, "{retries} retries of {gates} gates");
    }
}

/// Returns the number of `times` in the window that starts at `start`.
fn count_in(times: &[Duration], start: Duration) -> usize {
    times.iter().filter(|at| **at >= start && **at < start + LIMIT.window).count()
}

// Guards against retries of requests of which only a part lies in any of the windows by which retries are limited:
// the one of the retries, the one before it and the one half a window before it.
#[test]
fn retries_keep_to_the_limit_wherever_its_windows_start() {
    let gates = 5;
    let begin = Duration::from_secs(100);
    let requests: Vec<Duration> = (0..10_000).map(|ms| begin + Duration::from_millis(ms)).collect();
    for retry_ms in (1_000..20_000).step_by(500) {
        let now = begin + Duration::from_millis(retry_ms);
        let mut budgets: Vec<Budget> = (0..gates).map(|_| Budget::new(LIMIT)).collect();
        for (number, at) in requests.iter().enumerate().filter(|(_, at)| **at <= now) {
            budgets[number % gates].record_request(&Name::from("ledger"), None, *at);
        }
        let taken = budgets.iter_mut().map(|budget| take_all(budget, "ledger", Some(5), now));
        let retries: usize = taken.sum();
        for offset_ms in (0..10_000).step_by(250) {
            let start = now - Duration::from_millis(offset_ms);
            let starts = [start, start - LIMIT.window, start - LIMIT.window / 2];
            let counted = starts.map(|start| count_in(&requests, start)).into_iter().max();
            let allowed = counted.unwrap_or_default() as f64 * LIMIT.ratio + LIMIT.slack;
            assert!(
                retries as f64 <= allowed,
                "{retries} retries at {retry_ms} ms, {allowed} allowed in the window that starts {offset_ms} ms before"
            );
        }
    }
}

// Guards against a tenant whose requests fail and which leaves no retries to the others.
#[test]
fn no_tenant_uses_up_the_retries_of_a_service() {
    let service = Name::from("ledger");
    let limit = Limit { ratio: 0.2, slack: 0.0, window: Duration::from_secs(10) };
    let now = Duration::from_secs(1);
    let tenants: Vec<Name> = (0..16).map(|number| Name::from(format!("t{number}"))).collect();
    let mut budget = Budget::new(limit);
    for request in 0..1_600 {
        budget.record_request(&service, Some(&tenants[request % 16]), now);
    }
    let mut retry = |tenant: usize, most: usize| {
        let tenant = Some(&tenants[tenant]);
        (0..most).take_while(|_| budget.try_retry(&service, tenant, None, now)).count()
    };
    // The budget is 1,600 x 0.2 x 0.75 = 240.
    assert_eq!(retry(0, 1_000), 120);
    let others: Vec<usize> = (1..16).map(|tenant| retry(tenant, 8)).collect();
    assert_eq!(others, [8; 15]);
    assert_eq!((1..16).map(|tenant| retry(tenant, 1_000)).sum::<usize>(), 0);
    // A tenant alone has the whole budget.
    let mut budget = Budget::new(limit);
    for _ in 0..1_600 {
        budget.record_request(&service, Some(&tenants[0]), now);
    }
    let retries =
        (0..1_000).take_while(|_| budget.try_retry(&service, Some(&tenants[0]), None, now));
    assert_eq!(retries.count(), 240);
}
