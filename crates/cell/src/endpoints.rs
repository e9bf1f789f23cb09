//! The file with a copy of the registry, from which keepers start after all of them were killed. It may be missing or
//! outdated; endpoints that have ended are detected as after any other loss.

use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use base::Event;
use fleet::registry::Registry;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::engines::Engines;
use crate::keeper::Keeper;
use crate::settings::Settings;

/// The shortest time between two writes.
const INTERVAL: Duration = Duration::from_secs(1);

/// Writes the registry to its file.
#[derive(Debug)]
pub(crate) struct Writer {
    path: PathBuf,
    /// The number of changes of the registry that the file contains.
    written: Arc<AtomicU64>,
    last_write: Instant,
    /// The write in progress; no other one starts before it ends.
    writing: Option<JoinHandle<()>>,
}

impl Writer {
    pub(crate) fn new(settings: &Settings) -> Writer {
        let path = path(settings);
        Writer { path, written: Arc::default(), last_write: Instant::now(), writing: None }
    }

    /// Starts a write if the registry has changed and the write interval has passed.
    pub(crate) fn update<E: Engines>(&mut self, keeper: &Arc<Keeper<E>>) {
        let busy = self.writing.as_ref().is_some_and(|writing| !writing.is_finished());
        if busy || self.last_write.elapsed() < INTERVAL {
            return;
        }
        let (registry, changes) = {
            let coordinator = keeper.coordinator.lock();
            if coordinator.registry_changes == self.written.load(Ordering::Relaxed) {
                return;
            }
            (coordinator.registry.clone(), coordinator.registry_changes)
        };
        self.last_write = Instant::now();
        let (path, written) = (self.path.clone(), self.written.clone());
        self.writing = Some(tokio::task::spawn_blocking(move || {
            // After a failure the next round tries again.
            if write(&path, &registry) {
                written.store(changes, Ordering::Relaxed);
            }
        }));
    }
}

/// Returns whether the file was written; otherwise it is as before.
fn write(path: &Path, registry: &Registry) -> bool {
    let written = disk::save_cache(path, registry);
    if let Err(error) = &written {
        base::event!(WARN, Event::DiskFailed, error = %error, "the endpoints were not written");
    }
    written.is_ok()
}

/// Reads the registry; returns an empty one if the file is missing or damaged.
pub(crate) async fn read(settings: &Settings) -> Registry {
    let path = path(settings);
    let read = tokio::task::spawn_blocking(move || disk::load_cache(&path)).await;
    match read {
        Ok(Ok(registry)) => registry.unwrap_or_default(),
        Ok(Err(error)) => {
            base::event!(WARN, Event::DiskFailed, error = %error, "the endpoints were not read");
            Registry::default()
        }
        Err(error) => {
            base::event!(ERROR, Event::Fault, error = %error, "the endpoints were not read");
            Registry::default()
        }
    }
}

fn path(settings: &Settings) -> PathBuf {
    settings.data_dir.with_file_name("endpoints")
}
