//! The rates of faults in a schedule, and its counters.

use rand::RngExt;
use rand::rngs::SmallRng;

/// Rates of faults per thousand steps, messages or writes.
pub(crate) struct Rates {
    pub(crate) loss: u32,
    pub(crate) duplicate: u32,
    pub(crate) delay: u32,
    pub(crate) slow_sync: u32,
    pub(crate) crash: u32,
    pub(crate) crash_leader: u32,
    pub(crate) restart: u32,
    pub(crate) wipe: u32,
    pub(crate) pause: u32,
    pub(crate) split: u32,
    pub(crate) remove: u32,
}

/// Counters of a schedule.
#[derive(Debug, Default)]
pub(crate) struct Report {
    pub(crate) committed: u64,
    pub(crate) terms: usize,
    pub(crate) reads: usize,
    pub(crate) installs: usize,
    pub(crate) crashes: usize,
    pub(crate) wipes: usize,
    pub(crate) splits: usize,
    pub(crate) removals: usize,
}

impl Rates {
    pub(crate) fn random(random: &mut SmallRng) -> Rates {
        Rates {
            loss: random.random_range(0..200),
            duplicate: random.random_range(0..100),
            delay: random.random_range(0..100),
            slow_sync: random.random_range(0..60),
            crash: random.random_range(0..10),
            crash_leader: random.random_range(0..2) * random.random_range(0..60),
            restart: random.random_range(10..300),
            wipe: random.random_range(0..4),
            pause: random.random_range(0..10),
            split: random.random_range(0..8),
            remove: random.random_range(0..2) * random.random_range(0..30),
        }
    }
}
