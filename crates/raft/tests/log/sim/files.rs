//! A replica's files as the keeper has them, in memory.

use disk::Error;
use disk::Store;
use raft::node::PersistentState;
use raft::node::Ready;
use rand::RngExt;
use rand::rngs::SmallRng;

use super::memory::Memory;

/// The length from which a segment is closed, in bytes; small, so that there are many.
const SEGMENT_BYTES: u64 = 2_000;

/// A store over files that a crash tears.
pub(crate) struct Real {
    files: Memory,
    store: Store,
}

impl Real {
    pub(crate) fn new() -> Real {
        let files = Memory::default();
        let (mut store, ..) = Store::with_files(files.clone()).expect("new");
        store.set_segment_bytes(SEGMENT_BYTES);
        Real { files, store }
    }

    /// Writes what a node wants written.
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

    /// Stops at any call of a write in progress, loses what was not synced, and opens again.
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
        let (mut store, stored, _) = Store::with_files(self.files.clone()).expect("torn at most");
        store.set_segment_bytes(SEGMENT_BYTES);
        self.store = store;
        stored
    }
}
