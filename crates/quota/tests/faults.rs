//! The bounds of docs/design/quotas.md on what is admitted while parts fail.

mod sim;

use std::time::Duration;

use rand::RngExt;
use sim::Demand;
use sim::Site;
use sim::for_sites;
use sim::ms;
use sim::run;

const OVERLOAD: Demand = Demand { rate: 3.0, few: 3, within: false };

fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

/// Asserts that no window since `from` had more than `part` of the limit.
fn assert_at_most(site: &Site, part: f64, seed: u64) {
    let (most, limit) = (site.busiest(Duration::ZERO), site.quota.limit() as f64);
    let ratio = most as f64 / limit;
    println!("seed {seed}, {} gates, limit {limit}: {ratio:.3}", site.gates.len());
    assert!(ratio <= part, "seed {seed}, {} gates, limit {limit}: {ratio}", site.gates.len());
}

// Guards against a new leader that does not know what gates have spent.
#[test]
fn a_new_leader_continues_the_ledger() {
    for_sites(|mut site, _, seed| {
        for _ in 0..3 {
            run(&mut site, OVERLOAD, secs(10));
            site.kill_leader();
            if seed % 2 == 0 {
                run(&mut site, OVERLOAD, ms(100));
                site.depute();
            }
            let election = ms(site.rng.random_range(1_000..3_000));
            run(&mut site, OVERLOAD, election);
            site.elect();
        }
        run(&mut site, OVERLOAD, secs(10));
        assert_at_most(&site, 1.1, seed);
    });
}

// Guards against shares that add up to more than the limit, or to much less.
#[test]
fn without_a_leader_shares_add_up() {
    for_sites(|mut site, quota, seed| {
        run(&mut site, OVERLOAD, secs(20));
        site.kill_leader();
        run(&mut site, OVERLOAD, secs(12));
        let admitted = site.admitted_in(secs(22), secs(32)) as f64;
        println!("seed {seed}: {:.2} of the rate without a leader", admitted / quota.rate / 10.0);
        site.elect();
        run(&mut site, OVERLOAD, secs(10));
        assert_at_most(&site, 1.1, seed);
    });
}

// Guards against spending that is forgotten with the gates that die with the leader.
#[test]
fn gates_that_die_with_the_leader_are_counted() {
    for_sites(|mut site, _, seed| {
        run(&mut site, OVERLOAD, secs(10));
        site.kill_leader();
        for gate in (0..site.gates.len()).step_by(2) {
            site.gates[gate].up = false;
        }
        run(&mut site, OVERLOAD, secs(2));
        site.elect();
        run(&mut site, OVERLOAD, secs(10));
        assert_at_most(&site, 1.1, seed);
    });
}

// Guards against a gate that has a new share with each start.
#[test]
fn restarts_do_not_add_up() {
    for_sites(|mut site, _, seed| {
        run(&mut site, OVERLOAD, secs(10));
        for with_leader in [true, false] {
            if !with_leader {
                site.kill_leader();
            }
            for _ in 0..10 {
                for gate in 0..site.gates.len().min(10) {
                    site.restart(gate);
                }
                run(&mut site, OVERLOAD, ms(700));
            }
        }
        assert_at_most(&site, 1.1, seed);
    });
}

// Guards against gates without a link that spend what the others also get.
#[test]
fn gates_that_are_cut_off_are_counted() {
    for_sites(|mut site, _, seed| {
        run(&mut site, OVERLOAD, secs(20));
        let cut: Vec<usize> = (0..site.gates.len()).step_by(3).collect();
        for gate in &cut {
            site.cut_off(*gate);
        }
        run(&mut site, OVERLOAD, secs(20));
        for gate in &cut {
            site.follow(*gate);
        }
        run(&mut site, OVERLOAD, secs(10));
        assert_at_most(&site, 1.1, seed);
    });
}

// Guards against what was granted and never arrived, and answers that arrive after the gate has given up.
#[test]
fn losses_and_delays_do_not_exceed_the_limit() {
    for_sites(|mut site, quota, seed| {
        site.loss = 0.05;
        site.delay = (ms(1), ms(120));
        run(&mut site, OVERLOAD, secs(40));
        let admitted = site.admitted_in(Duration::ZERO, site.now) as f64;
        println!("seed {seed}: {:.2} of the rate with losses", admitted / quota.rate / 40.0);
        assert_at_most(&site, 1.1, seed);
    });
}

// Guards against a gate that uses its credit, or an old answer, after it was frozen.
#[test]
fn a_frozen_gate_uses_nothing_old() {
    for_sites(|mut site, _, seed| {
        for time in [ms(400), ms(700), secs(3), secs(10)] {
            run(&mut site, OVERLOAD, secs(3));
            let gates = site.gates.len().min(4);
            for gate in 0..gates {
                site.gates[gate].frozen = true;
            }
            run(&mut site, OVERLOAD, time);
            for gate in 0..gates {
                site.gates[gate].frozen = false;
            }
        }
        run(&mut site, OVERLOAD, secs(10));
        assert_at_most(&site, 1.1, seed);
    });
}

// Guards against a lower limit that is not enforced, and a higher one that is not used.
#[test]
fn a_changed_limit_holds() {
    for_sites(|mut site, quota, seed| {
        run(&mut site, OVERLOAD, secs(20));
        let mut half = quota;
        half.rate /= 2.0;
        half.burst /= 2.0;
        site.set_quota(half);
        site.stale = half;
        run(&mut site, OVERLOAD, secs(8));
        let from = site.now;
        run(&mut site, OVERLOAD, secs(12));
        let most = site.busiest(from);
        assert!(most <= half.limit(), "seed {seed}: {most} of {}", half.limit());
        site.set_quota(quota);
        site.stale = quota;
        let raised = site.now;
        run(&mut site, OVERLOAD, secs(8));
        let admitted = site.admitted_in(raised, site.now) as f64;
        let least = (quota.limit() - half.limit()) as f64;
        assert!(admitted >= least, "seed {seed}: {admitted}, at least {least}");
    });
}

// Guards against two leaders that each have the whole limit: both know what was spent before the partition, so a former
// leader adds no more than what is free and what its window frees within its lease.
#[test]
fn a_former_leader_adds_no_more_than_its_lease_allows() {
    for_sites(|mut site, quota, seed| {
        run(&mut site, OVERLOAD, secs(20));
        let (start, lease) = (site.now, ms(1_000));
        let (_, mut former) = site.leader.take().expect("a leader");
        let used = former.list(start).first().map_or(0, |total| total.used);
        let gate = base::Name::from("gate-0");
        let need = (quota.limit() / 16).min(2_000);
        let mut granted = 0;
        while site.now < start + lease {
            granted += former.reserve(&gate, "t", (need, 0), site.now).granted;
            site.now += ms(5);
        }
        // What leaves the window within the lease; units of credit were counted up to 600 ms before they were used.
        let span = quota::span(&quota);
        let (from, to) = (start - span - quota::SLICE, site.now - span + ms(600));
        let most = quota.limit().saturating_sub(used) + site.admitted_in(from, to);
        println!("seed {seed}: {granted} of {most}");
        assert!(granted <= most, "seed {seed}: {granted} of {most}");
    });
}

// Guards against a gate whose clock jumps and which then uses credit that has expired.
#[test]
fn a_clock_that_jumps_drops_credit() {
    let quota = sim::quota(40_000.0, 80_000.0);
    let tenant = base::Name::from("t");
    for jump in [ms(501), secs(3), secs(100)] {
        let mut account = quota::Account::new(Duration::ZERO);
        account.follow(1, Duration::ZERO);
        let quota::Charge::Reserve(need) = account.charge(&tenant, &quota, 100, ms(1)) else {
            panic!("a reservation");
        };
        let answer = (5_000, 5_000);
        assert_eq!(account.settle(&tenant, &quota, &need, answer, ms(2)), quota::Source::Paid);
        assert_eq!(account.charge(&tenant, &quota, 100, ms(3)), quota::Charge::Paid);
        let charge = account.charge(&tenant, &quota, 100, ms(3) + jump);
        assert!(matches!(charge, quota::Charge::Reserve(_)), "{charge:?}");
        // An answer to what was asked before the jump is not trusted either.
        let settled = account.settle(&tenant, &quota, &need, answer, ms(4) + jump);
        assert!(matches!(settled, quota::Source::Outdated(_)), "{settled:?}");
    }
}

// Guards against a time to come back at which the limit has no room, if nobody else comes.
#[test]
fn a_refused_request_fits_when_it_comes_back() {
    for_sites(|mut site, quota, seed| {
        run(&mut site, OVERLOAD, secs(15));
        site.step();
        let (_, mut ledger) = site.leader.take().expect("a leader");
        let gate = base::Name::from("gate-0");
        let mut refused = Vec::new();
        for _ in 0..5 {
            let need = quota.limit() / 8;
            let answer = ledger.reserve(&gate, "t", (need, 0), site.now);
            if answer.granted == 0 {
                refused.push((site.now + answer.wait.expect("a time"), need));
            }
        }
        for (at, need) in refused {
            let answer = ledger.reserve(&gate, "t", (need, 0), at);
            assert_eq!(answer.granted, need, "seed {seed}: {answer:?}");
        }
    });
}

// Guards against refusals of a tenant that is within its limit while a deputy replaces the leader, for long also.
#[test]
fn a_deputy_refuses_nothing_within_the_limit() {
    for_sites(|mut site, _, seed| {
        let demand = Demand { rate: 0.5, few: 0, within: true };
        run(&mut site, demand, secs(20));
        site.kill_leader();
        site.depute();
        run(&mut site, demand, secs(10));
        site.kill_leader();
        site.elect();
        run(&mut site, demand, secs(10));
        let refused: u64 = site.refused.iter().map(|(_, units, _)| units).sum();
        let part = refused as f64 / (refused + site.admitted_in(secs(20), site.now)) as f64;
        println!("seed {seed}: refused {part:.3} beside a deputy");
        assert!(part < 0.01, "seed {seed}: {part}");
    });
}

// Guards against deputies on both sides of a partition that each grant what is free.
#[test]
fn deputies_divide_what_is_free() {
    for_sites(|mut site, quota, seed| {
        run(&mut site, Demand { rate: 0.5, few: 0, within: true }, secs(20));
        let gate = base::Name::from("gate-0");
        let tenant = fleet::tenant::Tenant {
            name: base::Name::from("t"),
            keys: Vec::new(),
            rank: None,
            quota: Some(quota),
        };
        let (mut sum, mut used) = (0, 0);
        for part in [0.3, 0.7] {
            let mut ledger = quota::Ledger::new(site.follower.clone(), Vec::new(), 0);
            ledger.set_tenants(std::slice::from_ref(&tenant), site.now);
            ledger.set_part(part);
            used = ledger.list(site.now).first().map_or(0, |total| total.used);
            while ledger.reserve(&gate, "t", (100, 0), site.now).granted > 0 {
                sum += 100;
            }
        }
        assert!(sum <= quota.limit() - used, "seed {seed}: {sum} with {used} used");
    });
}

// Guards against an election that costs more than the shares explain: callers use half of the rate, evenly.
#[test]
fn an_election_refuses_few_requests_of_large_tenants() {
    for_sites(|mut site, quota, seed| {
        let demand = Demand { rate: 0.5, few: 0, within: true };
        run(&mut site, demand, secs(20));
        assert!(site.refused.is_empty(), "seed {seed}: {:?}", site.refused.first());
        site.kill_leader();
        run(&mut site, demand, secs(2));
        let refused: u64 = site.refused.iter().map(|(_, units, _)| units).sum();
        let part = refused as f64 / (refused + site.admitted_in(secs(20), site.now)) as f64;
        let gates = site.gates.len();
        println!("seed {seed}, {gates} gates, {} of limit: refused {part:.2}", quota.limit());
        // A share of 25 requests and more.
        if quota.limit() / gates as u64 > 7_000 * 25 {
            assert!(part < 0.1, "seed {seed}: {part}");
        }
    });
}
