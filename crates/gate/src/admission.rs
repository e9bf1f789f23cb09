//! Admission of requests within the limits on requests in progress.

use std::sync::Arc;

use base::Code;
use base::Map;
use base::Name;
use parking_lot::Mutex;
use tokio::sync::Notify;

/// The requests in progress, by caller.
#[derive(Debug, Default)]
pub(crate) struct Admission {
    table: Mutex<Table>,
    ended: Notify,
}

#[derive(Debug, Default)]
struct Table {
    /// Invariant: the sum of `callers`.
    total: usize,
    callers: Map<Name, usize>,
}

/// A request in progress; it ends when the guard is dropped.
#[derive(Debug)]
pub(crate) struct Guard {
    admission: Arc<Admission>,
    caller: Name,
}

impl Admission {
    /// Admits a request of `caller`.
    ///
    /// Fails with [`Code::QueueFull`] at `limit` requests in progress, and with [`Code::CallerLimit`] at
    /// `caller_limit` requests of the caller.
    pub(crate) fn admit(
        self: &Arc<Admission>,
        caller: &Name,
        limit: usize,
        caller_limit: usize,
    ) -> Result<Guard, Code> {
        let mut table = self.table.lock();
        if table.total >= limit {
            return Err(Code::QueueFull);
        }
        let count = table.callers.entry(caller.clone()).or_default();
        if *count >= caller_limit {
            return Err(Code::CallerLimit);
        }
        *count += 1;
        table.total += 1;
        Ok(Guard { admission: Arc::clone(self), caller: caller.clone() })
    }

    /// Admits work that is not subject to limits.
    pub(crate) fn admit_unlimited(self: &Arc<Admission>) -> Guard {
        let caller = Name::default();
        let mut table = self.table.lock();
        *table.callers.entry(caller.clone()).or_default() += 1;
        table.total += 1;
        Guard { admission: Arc::clone(self), caller }
    }

    /// Returns the number of requests in progress.
    pub(crate) fn total(&self) -> usize {
        self.table.lock().total
    }

    /// Waits until no request is in progress.
    pub(crate) async fn idle(&self) {
        loop {
            let ended = self.ended.notified();
            if self.total() == 0 {
                return;
            }
            ended.await;
        }
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        let mut table = self.admission.table.lock();
        table.total -= 1;
        if let Some(count) = table.callers.get_mut(&self.caller) {
            *count -= 1;
            if *count == 0 {
                table.callers.remove(&self.caller);
            }
        }
        drop(table);
        self.admission.ended.notify_waiters();
    }
}
