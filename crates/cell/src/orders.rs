//! The file with the term in which this keeper last ordered engines, from which the process that follows it knows that there
//! may be a lease to wait for.

use std::path::PathBuf;
use std::sync::Arc;

use base::Event;
use tokio::sync::Mutex;

use crate::engines::Engines;
use crate::keeper::Keeper;
use crate::settings::Settings;

/// The file with the last term.
#[derive(Debug)]
pub(crate) struct Record {
    path: PathBuf,
    /// The term in the file; `None` if no order of this keeper is within its lease.
    term: Mutex<Option<u64>>,
}

impl Record {
    /// Reads the file. A missing or damaged one has no term.
    pub(crate) async fn open(settings: &Settings) -> Record {
        let path = settings.data_dir.with_file_name("orders");
        let file = path.clone();
        let read = tokio::task::spawn_blocking(move || disk::load_cache(&file)).await;
        let term = match read {
            Ok(Ok(term)) => term.flatten(),
            Ok(Err(error)) => {
                base::event!(WARN, Event::DiskFailed, error = %error, "the last term with orders was not read");
                None
            }
            Err(error) => {
                base::event!(ERROR, Event::Fault, error = %error, "the last term with orders was not read");
                None
            }
        };
        Record { path, term: Mutex::new(term) }
    }

    /// Returns the term in the file.
    pub(crate) async fn term(&self) -> Option<u64> {
        *self.term.lock().await
    }

    /// Returns whether the file has a term; false while it is being written.
    fn has_term(&self) -> bool {
        self.term.try_lock().is_ok_and(|term| term.is_some())
    }

    /// Writes a term unless the file has it already. After a failure orders go on, and a
    /// process that follows this one within the lease may order too early.
    async fn write(&self, current: &mut Option<u64>, term: Option<u64>) {
        if *current == term {
            return;
        }
        let path = self.path.clone();
        let written = tokio::task::spawn_blocking(move || disk::save_cache(&path, &term)).await;
        match written {
            Ok(Ok(())) => *current = term,
            Ok(Err(error)) => {
                base::event!(WARN, Event::DiskFailed, error = %error, "the term of orders was not written");
            }
            Err(error) => {
                base::event!(ERROR, Event::Fault, error = %error, "the term of orders was not written");
            }
        }
    }
}

impl<E: Engines> Keeper<E> {
    /// Records that this keeper orders engines in a term. Called before each order; only the first one of a term waits
    /// for the disk.
    pub(crate) async fn record_orders(&self, term: u64) {
        let mut current = self.orders.term.lock().await;
        self.orders.write(&mut current, Some(term)).await;
    }

    /// Clears the record once the lease of the last order has ended, so that the next process need not wait.
    pub(crate) fn clear_orders(self: &Arc<Keeper<E>>) {
        if !self.coordinator.lock().has_no_lease() || !self.orders.has_term() {
            return;
        }
        let keeper = self.clone();
        tokio::spawn(async move {
            let mut current = keeper.orders.term.lock().await;
            // It may have been elected in the meantime.
            if keeper.coordinator.lock().has_no_lease() {
                keeper.orders.write(&mut current, None).await;
            }
        });
    }
}
