//! Random schedules of faults. `RAFT_SEED=N` runs one seed and prints it, `RAFT_SEEDS=N` the first N.

mod sim;

use std::env;
use std::ops::Range;

use sim::Report;
use sim::World;

/// The seeds that always run.
const SEEDS: u64 = 300;
/// The steps with faults in each schedule: 10 s.
const STEPS: usize = 2_000;

#[test]
fn random_faults() {
    let mut total = Report::default();
    for seed in seeds() {
        println!("seed {seed}");
        let mut world = World::new(seed);
        world.heal();
        world.torment(STEPS);
        world.heal();
        let report = world.report();
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
    assert!(total.committed > 0 && total.reads > 0, "the schedules did something");
}

fn seeds() -> Range<u64> {
    let number = |name: &str| env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    if let Some(seed) = number("RAFT_SEED") {
        return seed..seed + 1;
    }
    0..number("RAFT_SEEDS").unwrap_or(SEEDS)
}
