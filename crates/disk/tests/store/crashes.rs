//! Random writes and crashes. After each crash the disk must hold the last synced state, or that
//! state with the interrupted write applied completely; never a part of a write.

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

/// The expected content of a [`Store`].
#[derive(Clone, Default)]
struct Model {
    stored: PersistentState,
}

impl Model {
    fn last(&self) -> u64 {
        let start = self.stored.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
        self.stored.entries.last().map_or(start, |entry| entry.index)
    }

    fn matches(&self, stored: &PersistentState) -> bool {
        let expected = &self.stored;
        (&expected.hard_state, &expected.snapshot, &expected.entries)
            == (&stored.hard_state, &stored.snapshot, &stored.entries)
    }
}

#[test]
fn crash_keeps_or_drops_whole_writes() {
    for seed in 0..SEEDS {
        run(seed);
    }
}

fn run(seed: u64) {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut files = Memory::default();
    let mut term = 1;
    let (mut store, ..) = Store::with_files(files.clone()).expect("new");
    let mut current = Model::default();
    let mut synced = current.clone();
    for _ in 0..WRITES {
        store.set_segment_bytes(random.random_range(1..2_000));
        if random.random_bool(0.2) {
            files.fail_after(random.random_range(0..8));
        }
        let snapshots = random.random_bool(0.15);
        let result = if snapshots {
            write_snapshot(&mut store, &mut current, &mut random)
        } else {
            term += u64::from(random.random_bool(0.2));
            append(&mut store, &mut current, term, &mut random)
        };
        if result.is_ok() && random.random_bool(0.9) {
            synced = current.clone();
            continue;
        }
        files = files.crash(&mut random);
        let (reopened, stored, _) =
            Store::with_files(files.clone()).unwrap_or_else(|error| panic!("seed {seed}: {error}"));
        let reverted = if result.is_ok() { false } else { synced.matches(&stored) };
        assert!(reverted || current.matches(&stored), "seed {seed}: {stored:?}");
        store = reopened;
        current.stored = stored;
        synced = current.clone();
    }
}

/// Appends entries, often replacing the last ones, and syncs.
fn append(
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

/// Writes a snapshot of the current entries, or one from a leader with another history.
fn write_snapshot(
    store: &mut Store,
    model: &mut Model,
    random: &mut SmallRng,
) -> Result<(), disk::Error> {
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
