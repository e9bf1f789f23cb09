//! The permits of a batch, and a queue of waiting requests ordered by priority, highest first.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Arc;

use parking_lot::Mutex;
use tokio::sync::oneshot;

/// A semaphore with a priority queue of bounded length.
pub(crate) struct Batch {
    queue: Mutex<Queue>,
}

struct Queue {
    /// The free permits; invariant: 0 while a request waits.
    free: u32,
    /// The maximum number of waiting requests.
    limit: usize,
    /// The last arrival number; orders requests of equal priority by arrival.
    next: u64,
    waiting: BTreeMap<(Reverse<u64>, u64), oneshot::Sender<Permit>>,
}

/// Permission to run in the batch; passes to the next waiting request when dropped.
pub(crate) struct Permit {
    batch: Option<Arc<Batch>>,
}

impl Batch {
    pub(crate) fn new(capacity: u32, limit: u32) -> Batch {
        let waiting = BTreeMap::new();
        Batch {
            queue: Mutex::new(Queue { free: capacity, limit: limit as usize, next: 0, waiting }),
        }
    }

    /// Waits for a permit; returns `None` if the queue is full.
    pub(crate) async fn acquire(self: &Arc<Batch>, priority: u64) -> Option<Permit> {
        let waiter = {
            let mut queue = self.queue.lock();
            if queue.free > 0 {
                queue.free -= 1;
                return Some(Permit { batch: Some(self.clone()) });
            }
            queue.waiting.retain(|_, waiter| !waiter.is_closed());
            if queue.waiting.len() >= queue.limit {
                return None;
            }
            let (sender, receiver) = oneshot::channel();
            queue.next += 1;
            let key = (Reverse(priority), queue.next);
            queue.waiting.insert(key, sender);
            receiver
        };
        waiter.await.ok()
    }

    /// Returns the number of waiting requests.
    pub(crate) fn waiting(&self) -> u32 {
        let queue = self.queue.lock();
        let waiting = queue.waiting.values().filter(|waiter| !waiter.is_closed()).count();
        u32::try_from(waiting).unwrap_or(u32::MAX)
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let Some(batch) = self.batch.take() else { return };
        let mut permit = Permit { batch: Some(batch.clone()) };
        loop {
            let next = batch.queue.lock().waiting.pop_first();
            let Some((_, waiter)) = next else { break };
            match waiter.send(permit) {
                Ok(()) => return,
                Err(returned) => permit = returned,
            }
        }
        permit.batch = None;
        batch.queue.lock().free += 1;
    }
}
