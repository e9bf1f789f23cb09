//! Random fault schedules. `RAFT_SEED=N` runs only seed N, `RAFT_SEEDS=N` runs the first N seeds.

use std::env;
use std::ops::Range;

use super::sim::Cluster;
use super::sim::HOSTS;
use super::sim::rates::Report;

/// Number of seeds run by default.
const SEEDS: u64 = 300;
/// Steps with faults in each schedule; 2000 steps are 10 s.
const STEPS: usize = 2_000;

#[test]
fn random_faults() {
    let mut total = Report::default();
    for seed in seeds() {
        println!("seed {seed}");
        let mut cluster = Cluster::new(seed, HOSTS);
        cluster.heal();
        cluster.run_with_faults(STEPS);
        cluster.heal();
        let report = cluster.report();
        total.committed += report.committed;
        total.terms += report.terms;
        total.reads += report.reads;
        total.installs += report.installs;
        total.crashes += report.crashes;
        total.wipes += report.wipes;
        total.splits += report.splits;
        total.removals += report.removals;
    }
    println!("{total:?}");
    assert!(
        total.committed > 0 && total.reads > 0,
        "no entry was committed or no read was confirmed"
    );
}

fn seeds() -> Range<u64> {
    let number = |name: &str| env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    if let Some(seed) = number("RAFT_SEED") {
        return seed..seed + 1;
    }
    0..number("RAFT_SEEDS").unwrap_or(SEEDS)
}
