//! Tenants that compete for one server, without a network: who is answered in time.

use std::time::Duration;

use base::Map;
use base::Name;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use share::Usage;
use share::level;

/// The work of the server, in units per second. A request takes about one unit.
const CAPACITY: f64 = 200.0;
/// The time after which a request that waits is refused.
const TARGET: Duration = Duration::from_millis(800);
const HALF_LIFE: Duration = Duration::from_secs(4);
const TIME: Duration = Duration::from_secs(60);

/// The load of a tenant.
#[derive(Clone, Debug)]
struct Tenant {
    name: Name,
    weight: f64,
    /// Requests per second.
    rate: f64,
    /// When it begins to send.
    from: Duration,
    /// The mean units of a request.
    size: f64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Count {
    sent: f64,
    served: f64,
    /// The units of the requests that were served.
    units: f64,
}

impl Count {
    fn share(&self) -> f64 {
        self.served / self.sent.max(1.0)
    }
}

/// How the server orders the requests that wait.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Order {
    Age,
    Share,
}

/// Returns `count` tenants which together send `load` times what the server can do.
fn tenants(count: usize, load: f64) -> Vec<Tenant> {
    let rate = CAPACITY * load / count as f64;
    let tenant = |number| Tenant {
        name: Name::from(format!("t{number}")),
        weight: 1.0,
        rate,
        from: Duration::ZERO,
        size: 1.0,
    };
    (0..count).map(tenant).collect()
}

/// Plays the tenants; returns what was sent and served by tenant.
fn play(tenants: &[Tenant], order: Order, seed: u64) -> Vec<Count> {
    play_until(tenants, order, seed, TIME)
}

fn play_until(tenants: &[Tenant], order: Order, seed: u64, end: Duration) -> Vec<Count> {
    let mut arrivals: Vec<(Duration, usize, f64)> = Vec::new();
    for (index, tenant) in tenants.iter().enumerate() {
        // A tenant sends the same whoever else does.
        let mut rng = StdRng::seed_from_u64(seed ^ base::digest(tenant.name.as_bytes()));
        let mut at = tenant.from.as_secs_f64();
        loop {
            at += -(1.0 - rng.random::<f64>()).ln() / tenant.rate;
            if at >= end.as_secs_f64() {
                break;
            }
            let size = tenant.size * (0.5 + rng.random::<f64>());
            arrivals.push((Duration::from_secs_f64(at), index, size));
        }
    }
    arrivals.sort_by_key(|(at, ..)| *at);
    let mut usage = Usage::new(HALF_LIFE);
    usage.set_weights(tenants.iter().map(|tenant| (tenant.name.clone(), tenant.weight)));
    let mut counts = vec![Count::default(); tenants.len()];
    let mut queue: Vec<(Duration, usize, f64)> = Vec::new();
    let mut arrivals = arrivals.into_iter().peekable();
    let mut now = Duration::ZERO;
    while arrivals.peek().is_some() || !queue.is_empty() {
        if queue.is_empty() {
            now = now.max(arrivals.peek().map_or(now, |(at, ..)| *at));
        }
        while let Some(arrival) = arrivals.next_if(|(at, ..)| *at <= now) {
            counts[arrival.1].sent += 1.0;
            queue.push(arrival);
        }
        queue.retain(|(at, ..)| *at + TARGET >= now);
        let place = |(at, index, _): &(Duration, usize, f64)| match order {
            Order::Age => (0, *at),
            Order::Share => (level(usage.excess(&tenants[*index].name, now)), *at),
        };
        let Some(next) = (0..queue.len()).min_by_key(|at| place(&queue[*at])) else { continue };
        let (_, index, size) = queue.remove(next);
        usage.record(&tenants[index].name, size, now);
        counts[index].served += 1.0;
        counts[index].units += size;
        now += Duration::from_secs_f64(size / CAPACITY);
    }
    counts
}

/// Returns the lowest share of requests served, among the tenants from `first` on.
fn lowest(counts: &[Count], first: usize) -> f64 {
    counts[first..].iter().map(Count::share).fold(1.0, f64::min)
}

// Guards against a tenant that sends six times its usual load at the cost of the others.
#[test]
fn one_hot_tenant_of_16_costs_the_others_nothing() {
    for seed in 0..10 {
        let mut all = tenants(16, 0.9);
        all[0].rate *= 6.0;
        let counts = play(&all, Order::Share, seed);
        assert!(lowest(&counts, 1) > 0.99, "{seed}: {counts:?}");
        // It gets what the others leave.
        assert!(counts[0].share() > 0.4, "{seed}: {counts:?}");
        let by_age = play(&all, Order::Age, seed);
        assert!(lowest(&by_age, 1) < 0.9, "the load is not scarce: {by_age:?}");
    }
}

// Guards against several hot tenants that cost the others their answers, or of which one gets more than the others.
#[test]
fn three_hot_tenants_share_what_the_others_leave() {
    for seed in 0..10 {
        let mut all = tenants(16, 0.9);
        all[..3].iter_mut().for_each(|tenant| tenant.rate *= 6.0);
        let counts = play(&all, Order::Share, seed);
        assert!(lowest(&counts, 3) > 0.99, "{seed}: {counts:?}");
        let units: Vec<f64> = counts[..3].iter().map(|count| count.units).collect();
        let (least, most) = units.iter().fold((f64::MAX, 0.0_f64), |(least, most), units| {
            (least.min(*units), most.max(*units))
        });
        assert!(least > 0.85 * most, "{seed}: {units:?}");
    }
}

// Guards against an order that prefers some tenants when all are over their share.
#[test]
fn tenants_that_are_all_over_their_share_get_it_by_weight() {
    for seed in 0..5 {
        let mut all = tenants(12, 4.0);
        for (index, tenant) in all.iter_mut().enumerate() {
            tenant.weight = [0.5, 1.0, 2.0][index % 3];
        }
        let counts = play(&all, Order::Share, seed);
        let total: f64 = counts.iter().map(|count| count.units).sum();
        let weights: f64 = all.iter().map(|tenant| tenant.weight).sum();
        for (tenant, count) in all.iter().zip(&counts) {
            let share = count.units / (total * tenant.weight / weights);
            assert!((0.8..1.25).contains(&share), "{seed}: {} {share}", tenant.name);
        }
    }
}

// Guards against an order in which what a single request costs decides, or one that takes longer with many tenants.
#[test]
fn many_tenants_with_one_request_each_are_served_by_age() {
    let mut all = tenants(1_000, 1.0);
    let mut rng = StdRng::seed_from_u64(7);
    for tenant in &mut all {
        // About one request each, all within some seconds, at 1.6 times the capacity.
        tenant.rate = 1.0 / 3.0;
        tenant.from = Duration::from_secs_f64(rng.random::<f64>());
    }
    let end = Duration::from_secs(4);
    let served = |order| {
        let counts = play_until(&all, order, 3, end);
        let sent: f64 = counts.iter().map(|count| count.sent).sum();
        counts.iter().map(|count| count.served).sum::<f64>() / sent
    };
    let (by_age, by_share) = (served(Order::Age), served(Order::Share));
    assert!((by_age - by_share).abs() < 0.05, "{by_age} {by_share}");
}

// Guards against a tenant whose requests crash endpoints, and so cost far more than they seem to, at the cost of the others.
#[test]
fn a_tenant_whose_requests_crash_endpoints_costs_the_others_nothing() {
    for seed in 0..10 {
        let mut all = tenants(16, 0.9);
        // What a crash loses is recorded as received by the tenant.
        all[0].size = 12.0;
        let counts = play(&all, Order::Share, seed);
        assert!(lowest(&counts, 1) > 0.98, "{seed}: {counts:?}");
        let by_age = play(&all, Order::Age, seed);
        assert!(lowest(&by_age, 1) < 0.9, "the load is not scarce: {by_age:?}");
    }
}

// Guards against credit that a tenant collects while it is idle.
#[test]
fn a_tenant_that_was_idle_has_no_more_credit_than_a_burst() {
    for seed in 0..10 {
        let mut all = tenants(16, 0.9);
        all[0].from = Duration::from_secs(50);
        all[0].rate = CAPACITY * 4.0;
        let before = play_until(&all[1..], Order::Share, seed, Duration::from_secs(52));
        let with = play_until(&all, Order::Share, seed, Duration::from_secs(52));
        let served = |counts: &[Count]| counts.iter().map(|count| count.served).sum::<f64>();
        let (before, with) = (served(&before), served(&with[1..]));
        assert!(with > 0.998 * before, "{seed}: {before} {with}");
        let by_age = play_until(&all, Order::Age, seed, Duration::from_secs(52));
        assert!(served(&by_age[1..]) < 0.99 * before, "the load is not scarce: {by_age:?}");
    }
}

// Guards against a tenant that goes before the others for its whole share of the past when it was idle then.
#[test]
fn the_burst_of_an_idle_tenant_is_less_than_its_share() {
    let mut usage = Usage::new(HALF_LIFE);
    let mut now = Duration::ZERO;
    for number in 0..20_000 {
        now += Duration::from_millis(5);
        usage.record(&Name::from(format!("t{}", number % 15)), 1.0, now);
    }
    let idle = Name::from("idle");
    let mut burst = 0;
    while level(usage.excess(&idle, now)) == 0 {
        usage.record(&idle, 1.0, now);
        burst += 1;
    }
    // 200 units per second for a mean age of 5.8 s, divided among 16.
    let share = 200.0 * HALF_LIFE.as_secs_f64() / std::f64::consts::LN_2 / 16.0;
    assert!(f64::from(burst) < 0.85 * share, "{burst} {share}");
    assert!(f64::from(burst) > 0.3 * share, "{burst} {share}");
}

// Guards against a tenant that is over its share once and never served again.
#[test]
fn usage_decays_and_idle_tenants_are_forgotten() {
    let mut usage = Usage::new(HALF_LIFE);
    let (hot, cold) = (Name::from("hot"), Name::from("cold"));
    assert_eq!(usage.excess(&hot, Duration::ZERO), 0.0);
    for _ in 0..1_000 {
        usage.record(&hot, 1.0, Duration::ZERO);
    }
    // A tenant alone has exactly its share.
    let alone = usage.excess(&hot, Duration::ZERO);
    assert!((0.9..=1.0).contains(&alone), "{alone}");
    let mut now = Duration::ZERO;
    for _ in 0..100 {
        now += Duration::from_millis(10);
        usage.record(&cold, 1.0, now);
    }
    assert!(level(usage.excess(&hot, now)) > 0);
    for _ in 0..6_000 {
        now += Duration::from_millis(10);
        usage.record(&cold, 1.0, now);
    }
    assert_eq!(level(usage.excess(&hot, now)), 0);
    assert_eq!(usage.active(), 1);
    let levels: Map<u32, f64> = [(0, 1.1), (1, 1.2), (2, 1.5), (8, 4.0)].into_iter().collect();
    for (expected, excess) in levels {
        assert_eq!(level(excess), expected, "{excess}");
    }
}
