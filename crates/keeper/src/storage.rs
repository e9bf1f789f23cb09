//! What a replica keeps across restarts.

use conf::Entry;
use raft::message::Id;
use raft::message::Snapshot;
use raft::node::Ready;
use raft::node::Stored;

use crate::error::Error;

/// What a replica keeps across restarts.
#[derive(Debug)]
pub(crate) enum Storage {
    /// Nothing: after a restart it is another replica.
    Memory,
}

/// What a starting replica finds.
#[derive(Debug)]
pub(crate) struct Found {
    /// The replica.
    pub(crate) id: Id,
    /// The group; 0 if it is not known yet.
    pub(crate) group: u64,
    /// Whether the replica is new.
    pub(crate) fresh: bool,
    /// The log.
    pub(crate) stored: Stored,
}

impl Storage {
    /// Opens the data folder of a host; without one everything stays in memory.
    pub(crate) async fn open(_entry: &Entry) -> Result<(Storage, Found), Error> {
        let id = rand::random_range(1..=u64::MAX);
        let found = Found { id, group: 0, fresh: true, stored: Stored::default() };
        Ok((Storage::Memory, found))
    }

    /// Writes and syncs what the messages of `ready` depend on; returns whether there was anything.
    pub(crate) async fn write(&mut self, _ready: &Ready) -> Result<bool, Error> {
        match self {
            Storage::Memory => Ok(false),
        }
    }

    /// Writes and syncs a snapshot that replaces the log up to its index.
    pub(crate) async fn compact(&mut self, _snapshot: &Snapshot) -> Result<(), Error> {
        match self {
            Storage::Memory => Ok(()),
        }
    }
}
