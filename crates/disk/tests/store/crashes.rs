//! Random writes and crashes: after each crash the disk holds what the last sync promised, or that and
//! all of the write in progress, never a part of it.

use disk::Store;
use raft::node::PersistentState;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::entries;
use super::hard_state;
use super::memory::Memory;
use super::snapshot;

const SEEDS: u64 = 400;
const WRITES: usize = 60;

/// What the disk must hold, by the rules of [`Store`].
#[derive(Clone, Default)]
struct Model {
    stored: PersistentState,
}

impl Model {
    fn last(&self) -> u64 {
        let start = self.stored.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
        self.stored.entries.last().map_or(start, |entry| entry.index)
    }

    fn holds(&self, stored: &PersistentState) -> bool {
        let ours = &self.stored;
        (&ours.hard_state, &ours.snapshot, &ours.entries)
            == (&stored.hard_state, &stored.snapshot, &stored.entries)
    }
}

#[test]
fn a_crash_leaves_whole_writes() {
    for seed in 0..SEEDS {
        run(seed);
    }
}

fn run(seed: u64) {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut files = Memory::default();
    let mut term = 1;
    let (mut store, ..) = Store::with_files(files.clone()).expect("new");
    let mut now = Model::default();
    let mut last = now.clone();
    for _ in 0..WRITES {
        store.set_segment_bytes(random.random_range(1..2_000));
        if random.random_bool(0.2) {
            files.fail_after(random.random_range(0..8));
        }
        let snapshots = random.random_bool(0.15);
        let result = if snapshots {
            take(&mut store, &mut now, &mut random)
        } else {
            term += u64::from(random.random_bool(0.2));
            write(&mut store, &mut now, term, &mut random)
        };
        if result.is_ok() && random.random_bool(0.9) {
            last = now.clone();
            continue;
        }
        files = files.crash(&mut random);
        let (reopened, stored, _) =
            Store::with_files(files.clone()).unwrap_or_else(|error| panic!("seed {seed}: {error}"));
        let kept = if result.is_ok() { false } else { last.holds(&stored) };
        assert!(kept || now.holds(&stored), "seed {seed}: {stored:?}");
        store = reopened;
        now.stored = stored;
        last = now.clone();
    }
}

/// Appends, often in the place of the last entries.
fn write(
    store: &mut Store,
    model: &mut Model,
    term: u64,
    random: &mut SmallRng,
) -> Result<(), disk::Error> {
    let start = model.stored.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
    let first = model.last().saturating_sub(random.random_range(0..3)).max(start) + 1;
    let new = entries(first, first + random.random_range(0..6), term);
    model.stored.entries.retain(|entry| entry.index < first);
    model.stored.entries.extend(new.clone());
    store.append(new);
    if random.random_bool(0.5) {
        model.stored.hard_state = hard_state(term, random.random_range(1..4), start);
        store.set_hard_state(model.stored.hard_state);
    }
    store.sync()
}

/// Takes a snapshot of what is there, or one of a leader with another history.
fn take(store: &mut Store, model: &mut Model, random: &mut SmallRng) -> Result<(), disk::Error> {
    let known = &model.stored.entries;
    let own = !known.is_empty() && random.random_bool(0.7);
    let new = if own {
        let entry = &known[random.random_range(0..known.len())];
        snapshot(entry.index, entry.term)
    } else {
        snapshot(model.last() + random.random_range(1..9), 1_000)
    };
    model.stored.entries.retain(|entry| own && entry.index > new.index);
    model.stored.snapshot = Some(new.clone());
    store.write_snapshot(&new)
}
