//! Persistent state of a replica.

use std::path::Path;

use base::Event;
use base::Name;
use conf::Entry;
use disk::Identity;
use disk::Store;
use raft::message::Id;
use raft::message::Snapshot;
use raft::node::PersistentState;
use raft::node::Ready;

use crate::error::Error;

/// The persistent state of a replica.
pub(crate) enum Storage {
    /// No files: after a restart the process is a new replica with another id.
    Memory,
    /// Files in the data directory; `None` while a write is in progress and after a write has failed.
    Disk(Option<Store>),
}

/// The state with which a replica starts.
#[derive(Debug)]
pub(crate) struct Recovery {
    /// The id of the replica.
    pub(crate) id: Id,
    /// The Raft group; 0 if it is not known yet.
    pub(crate) group: u64,
    /// The hard state, the snapshot and the log.
    pub(crate) stored: PersistentState,
}

impl Recovery {
    /// Creates the state of a new replica with a random id.
    fn new_replica() -> Recovery {
        Recovery {
            id: rand::random_range(1..=u64::MAX),
            group: 0,
            stored: PersistentState::default(),
        }
    }

    /// Returns whether the replica has never taken part in a group.
    pub(crate) fn is_new(&self) -> bool {
        let PersistentState { hard_state, snapshot, entries } = &self.stored;
        hard_state.term == 0 && snapshot.is_none() && entries.is_empty()
    }
}

impl Storage {
    /// Opens the data directory of a host; without one all state stays in memory.
    ///
    /// A damaged directory is moved aside, and the host starts as a new replica.
    pub(crate) async fn open(entry: &Entry) -> Result<(Storage, Recovery), Error> {
        let Some(path) = entry.data.clone() else {
            return Ok((Storage::Memory, Recovery::new_replica()));
        };
        let host = entry.host.clone();
        let opened = tokio::task::spawn_blocking(move || open(&path, &host)).await;
        let (store, recovery) = opened.map_err(|error| Error::Task(error.to_string()))??;
        Ok((Storage::Disk(Some(store)), recovery))
    }

    /// Writes and syncs the identity of the replica.
    pub(crate) async fn write_identity(&mut self, identity: Identity) -> Result<(), Error> {
        self.run_blocking(move |store| store.write_identity(&identity)).await
    }

    /// Writes and syncs the state on which the messages of `ready` depend. Returns `false` if nothing had to be
    /// written.
    pub(crate) async fn write(&mut self, ready: &mut Ready) -> Result<bool, Error> {
        let snapshot = ready.snapshot.take();
        let entries = std::mem::take(&mut ready.entries);
        let hard_state = ready.hard_state.take();
        let nothing = snapshot.is_none() && entries.is_empty() && hard_state.is_none();
        if nothing || matches!(self, Storage::Memory) {
            return Ok(false);
        }
        self.run_blocking(move |store| {
            if let Some(snapshot) = snapshot {
                store.write_snapshot(&snapshot)?;
            }
            store.append(entries);
            if let Some(hard_state) = hard_state {
                store.set_hard_state(hard_state);
            }
            store.sync()
        })
        .await?;
        Ok(true)
    }

    /// Writes and syncs a snapshot, which replaces the log up to its index.
    pub(crate) async fn write_snapshot(&mut self, snapshot: Snapshot) -> Result<(), Error> {
        self.run_blocking(move |store| store.write_snapshot(&snapshot)).await
    }

    /// Runs file operations on a blocking thread. Without files it does nothing.
    async fn run_blocking(
        &mut self,
        operation: impl FnOnce(&mut Store) -> Result<(), disk::Error> + Send + 'static,
    ) -> Result<(), Error> {
        let Storage::Disk(slot) = self else { return Ok(()) };
        let mut store = slot.take().ok_or(disk::Error::WriteFailed)?;
        let done = tokio::task::spawn_blocking(move || {
            let result = operation(&mut store);
            (store, result)
        });
        let (store, result) = done.await.map_err(|error| Error::Task(error.to_string()))?;
        result?;
        *slot = Some(store);
        Ok(())
    }
}

/// Opens a data directory and writes an identity for a new replica if there is none.
fn open(path: &Path, host: &Name) -> Result<(Store, Recovery), Error> {
    let opened = match Store::open(path) {
        Err(disk::Error::Damaged { file, offset, message }) => {
            base::event!(ERROR, Event::LogDamaged, %host, file, offset, message);
            disk::move_aside(path)?;
            Store::open(path)?
        }
        opened => opened?,
    };
    let (mut store, stored, identity) = opened;
    if let Some(identity) = identity {
        if identity.host != *host {
            return Err(Error::OtherHost(identity.host));
        }
        return Ok((store, Recovery { id: identity.replica, group: identity.group, stored }));
    }
    let recovery = Recovery::new_replica();
    store.write_identity(&Identity {
        group: recovery.group,
        replica: recovery.id,
        host: host.clone(),
    })?;
    Ok((store, recovery))
}
