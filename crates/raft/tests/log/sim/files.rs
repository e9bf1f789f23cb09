//! A keeper's real store over in-memory files.

use disk::Error;
use disk::Store;
use raft::node::PersistentState;
use raft::node::Ready;
use rand::RngExt;
use rand::rngs::SmallRng;

use super::memory::Memory;

/// Segment size in bytes; small, so that there are many segments.
const SEGMENT_BYTES: u64 = 2_000;

/// A store over in-memory files that a crash can tear.
pub(crate) struct Disk {
    files: Memory,
    store: Store,
}

impl Disk {
    pub(crate) fn new() -> Disk {
        let files = Memory::default();
        let (mut store, ..) = Store::with_files(files.clone()).expect("new");
        store.set_segment_bytes(SEGMENT_BYTES);
        Disk { files, store }
    }

    /// Writes a node's output.
    pub(crate) fn write(&mut self, ready: &Ready) -> Result<(), Error> {
        if let Some(snapshot) = &ready.snapshot {
            self.store.write_snapshot(snapshot)?;
        }
        self.store.append(ready.entries.iter().cloned());
        if let Some(hard_state) = ready.hard_state {
            self.store.set_hard_state(hard_state);
        }
        self.store.sync()
    }

    /// Crashes, optionally in the middle of a write: loses unsynced data and reopens the store.
    pub(crate) fn crash(
        &mut self,
        writing: Option<&Ready>,
        random: &mut SmallRng,
    ) -> PersistentState {
        if let Some(ready) = writing {
            self.files.fail_after(random.random_range(0..8));
            self.write(ready).ok();
        }
        self.files = self.files.crash(random);
        let (mut store, stored, _) =
            Store::with_files(self.files.clone()).expect("at most a torn tail");
        store.set_segment_bytes(SEGMENT_BYTES);
        self.store = store;
        stored
    }
}
