//! Persistent storage of a replica.

use std::path::Path;

use base::Event;
use base::Name;
use disk::Identity;
use disk::Store;
use raft::message::Entry;
use raft::message::HardState;
use raft::message::Id;
use raft::message::Member;
use raft::message::Members;
use raft::message::Payload;
use raft::message::Snapshot;
use raft::node::PersistentState;
use raft::node::Ready;

use crate::error::Error;
use crate::settings::Settings;

/// The files of a replica. `None` while a write is in progress and after a write failed.
pub(crate) struct Storage(Option<Store>);

/// The state from which a replica starts.
#[derive(Debug)]
pub(crate) struct Recovery {
    pub(crate) id: Id,
    /// The group id; 0 if not known yet.
    pub(crate) group: u64,
    pub(crate) stored: PersistentState,
}

impl Storage {
    /// Opens the data directory. An empty one becomes one of the first voters if `bootstrap` is set
    /// and this keeper is a seed; otherwise a new replica that has to join.
    /// With `probe`, fails unless a write succeeds.
    pub(crate) async fn open(
        settings: &Settings,
        probe: bool,
    ) -> Result<(Storage, Recovery), Error> {
        let settings = settings.clone();
        let opened = tokio::task::spawn_blocking(move || open(&settings, probe)).await;
        let (store, recovery) = opened.map_err(|error| Error::Task(error.to_string()))??;
        Ok((Storage(Some(store)), recovery))
    }

    /// Writes and syncs the replica's identity.
    pub(crate) async fn write_identity(&mut self, identity: Identity) -> Result<(), Error> {
        self.run_blocking(move |store| store.write_identity(&identity)).await
    }

    /// Writes and syncs the state on which the messages in `ready` depend.
    pub(crate) async fn write(&mut self, ready: &mut Ready) -> Result<(), Error> {
        let snapshot = ready.snapshot.take();
        let entries = std::mem::take(&mut ready.entries);
        let hard_state = ready.hard_state.take();
        if snapshot.is_none() && entries.is_empty() && hard_state.is_none() {
            return Ok(());
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
        .await
    }

    /// Writes and syncs a snapshot that replaces the log up to its index.
    pub(crate) async fn compact(&mut self, snapshot: Snapshot) -> Result<(), Error> {
        self.run_blocking(move |store| store.write_snapshot(&snapshot)).await
    }

    /// Runs file operations on a thread that may block.
    async fn run_blocking(
        &mut self,
        operation: impl FnOnce(&mut Store) -> Result<(), disk::Error> + Send + 'static,
    ) -> Result<(), Error> {
        let mut store = self.0.take().ok_or(disk::Error::WriteFailed)?;
        let done = tokio::task::spawn_blocking(move || {
            let result = operation(&mut store);
            (store, result)
        });
        let (store, result) = done.await.map_err(|error| Error::Task(error.to_string()))?;
        result?;
        self.0 = Some(store);
        Ok(())
    }
}

fn open(settings: &Settings, probe: bool) -> Result<(Store, Recovery), Error> {
    let opened = match Store::open(&settings.data_dir) {
        Err(disk::Error::Damaged { file, offset, message }) => {
            base::event!(ERROR, Event::LogDamaged, file, offset, message);
            disk::move_aside(&settings.data_dir)?;
            Store::open(&settings.data_dir)?
        }
        opened => opened?,
    };
    let (mut store, stored, identity) = opened;
    if let Some(identity) = identity {
        if probe {
            store.write_identity(&identity)?;
        }
        let recovery = Recovery { id: identity.replica, group: identity.group, stored };
        return Ok((store, recovery));
    }
    if settings.bootstrap && settings.seeds.contains(&settings.address) {
        return bootstrap_cell(settings, store);
    }
    let id = rand::random_range(1..=u64::MAX);
    store.write_identity(&Identity { group: 0, replica: id, host: local_host(settings) })?;
    Ok((store, Recovery { id, group: 0, stored }))
}

/// Makes the replica one of the first voters. All seeds write the same first entry, so two separate
/// groups can't form.
fn bootstrap_cell(settings: &Settings, mut store: Store) -> Result<(Store, Recovery), Error> {
    let mut hosts: Vec<String> = settings.seeds.iter().map(ToString::to_string).collect();
    hosts.sort();
    hosts.dedup();
    let group = base::digest(hosts.join(",").as_bytes()).max(1);
    let id_of = |host: &str| base::digest(host.as_bytes()).max(1);
    let voters = hosts.iter().map(|host| Member { id: id_of(host), host: host.clone() }).collect();
    let members = Members { voters, learners: Vec::new() };
    let entry = Entry { index: 1, term: 1, payload: Payload::Members(members) };
    let hard_state = HardState { term: 1, vote: None, commit: 1 };
    let host = local_host(settings);
    let id = id_of(&host);
    store.append([entry.clone()]);
    store.set_hard_state(hard_state);
    store.sync()?;
    store.write_identity(&Identity { group, replica: id, host })?;
    let stored = PersistentState { hard_state, snapshot: None, entries: vec![entry] };
    Ok((store, Recovery { id, group, stored }))
}

fn local_host(settings: &Settings) -> Name {
    Name::from(settings.address.to_string())
}

/// Returns whether a directory holds a replica.
pub(crate) fn exists(path: &Path) -> bool {
    path.join("identity").exists()
}
