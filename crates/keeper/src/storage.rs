//! What a replica keeps across restarts.

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

/// What a replica keeps across restarts.
pub(crate) enum Storage {
    /// Nothing: after a restart it is another replica.
    Memory,
    /// Files; none while a write is in progress or after it failed.
    Disk(Option<Store>),
}

/// What a starting replica finds.
#[derive(Debug)]
pub(crate) struct Found {
    /// The replica.
    pub(crate) id: Id,
    /// The group; 0 if it is not known yet.
    pub(crate) group: u64,
    /// The log.
    pub(crate) stored: PersistentState,
}

impl Found {
    /// Makes what a new replica starts with.
    fn fresh() -> Found {
        Found { id: rand::random_range(1..=u64::MAX), group: 0, stored: PersistentState::default() }
    }

    /// Returns whether the replica has taken no part in a group.
    pub(crate) fn is_empty(&self) -> bool {
        let PersistentState { hard_state, snapshot, entries } = &self.stored;
        hard_state.term == 0 && snapshot.is_none() && entries.is_empty()
    }
}

impl Storage {
    /// Opens the data folder of a host; without one everything stays in memory.
    ///
    /// A damaged folder is set aside, and the host comes back as a new replica.
    pub(crate) async fn open(entry: &Entry) -> Result<(Storage, Found), Error> {
        let Some(path) = entry.data.clone() else {
            return Ok((Storage::Memory, Found::fresh()));
        };
        let host = entry.host.clone();
        let opened = tokio::task::spawn_blocking(move || open(&path, &host)).await;
        let (store, found) = opened.map_err(|error| Error::Task(error.to_string()))??;
        Ok((Storage::Disk(Some(store)), found))
    }

    /// Writes and syncs which replica this is.
    pub(crate) async fn identify(&mut self, identity: Identity) -> Result<(), Error> {
        self.work(move |store| store.write_identity(&identity)).await
    }

    /// Writes and syncs what the messages of `ready` depend on; returns whether there was anything.
    pub(crate) async fn write(&mut self, ready: &mut Ready) -> Result<bool, Error> {
        let snapshot = ready.snapshot.take();
        let entries = std::mem::take(&mut ready.entries);
        let hard_state = ready.hard_state.take();
        let nothing = snapshot.is_none() && entries.is_empty() && hard_state.is_none();
        if nothing || matches!(self, Storage::Memory) {
            return Ok(false);
        }
        self.work(move |store| {
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

    /// Writes and syncs a snapshot that replaces the log up to its index.
    pub(crate) async fn compact(&mut self, snapshot: Snapshot) -> Result<(), Error> {
        self.work(move |store| store.write_snapshot(&snapshot)).await
    }

    /// Does some work with the files on a thread that may block.
    async fn work(
        &mut self,
        work: impl FnOnce(&mut Store) -> Result<(), disk::Error> + Send + 'static,
    ) -> Result<(), Error> {
        let Storage::Disk(slot) = self else { return Ok(()) };
        let mut store = slot.take().ok_or(disk::Error::WriteFailed)?;
        let done = tokio::task::spawn_blocking(move || {
            let result = work(&mut store);
            (store, result)
        });
        let (store, result) = done.await.map_err(|error| Error::Task(error.to_string()))?;
        result?;
        *slot = Some(store);
        Ok(())
    }
}

/// Opens a folder and makes sure that the replica has an identity on disk.
fn open(path: &Path, host: &Name) -> Result<(Store, Found), Error> {
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
        return Ok((store, Found { id: identity.replica, group: identity.group, stored }));
    }
    let found = Found::fresh();
    store.write_identity(&Identity {
        group: found.group,
        replica: found.id,
        host: host.clone(),
    })?;
    Ok((store, found))
}
