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
