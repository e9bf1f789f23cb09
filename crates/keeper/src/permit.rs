//! Admission of adapter loads from the weight store.

use std::time::Duration;

use base::Map;
use base::Name;
use state::command::Incarnation;

/// The maximum number of waiting bids.
const MAX_WAITING: usize = 1_024;
/// The waiting time that raises the worth of a bid by 1.
const AGING_INTERVAL: Duration = Duration::from_millis(100);
/// The time after which a permit that was not returned is released.
const PERMIT_TIMEOUT: Duration = Duration::from_secs(30);
/// The low bits of a permit id, a counter within the term; the high bits are the term.
const COUNTER_BITS: u32 = 32;

/// The load limits of the weight store.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The maximum rate, in loads per second.
    pub loads_per_second: f64,
    /// The maximum number of concurrent loads.
    pub max_in_flight: usize,
}

/// The permits granted by a leader: a token bucket of one token, a limit on concurrent loads, and a queue
/// of bids ordered by worth.
///
/// Times are on the leader's monotonic clock. `T` identifies the receiver of the reply to a bid.
#[derive(Debug)]
pub struct Permits<T> {
    limits: Limits,
    /// The earliest time of the next grant.
    ///
    /// Invariant: at least one interval of the rate after the last grant.
    next_grant: Duration,
    /// The id of the last permit. It combines the term and a counter, so that ids are unique across terms.
    last_id: u64,
    granted: Map<u64, Granted>,
    waiting: Vec<Waiter<T>>,
}

/// A permit that was not returned yet.
#[derive(Debug)]
struct Granted {
    gate: Name,
    incarnation: Incarnation,
    expires_at: Duration,
}

/// A bid that waits for a permit.
#[derive(Debug)]
pub struct Waiter<T> {
    /// The gate.
    pub gate: Name,
    /// The incarnation of the gate.
    pub incarnation: Incarnation,
    /// The worth of the load.
    pub worth: u32,
    /// The time at which the bid was received.
    pub queued_at: Duration,
    /// The time at which the bid expires.
    pub expires_at: Duration,
    /// The receiver of the reply.
    pub reply: T,
}

impl<T> Permits<T> {
    /// Creates the permits of a term without a token in the bucket.
    ///
    /// Nothing is granted before `opens_at`, since loads permitted by the previous leader may use the whole
    /// limit until then. `opens_at` must be at least one interval of the rate in the future.
    pub fn new(limits: Limits, term: u64, opens_at: Duration) -> Permits<T> {
        Permits {
            limits,
            next_grant: opens_at,
            last_id: term << COUNTER_BITS,
            granted: Map::default(),
            waiting: Vec::new(),
        }
    }

    /// Queues a bid.
    ///
    /// # Errors
    ///
    /// The receiver of the reply if the queue is full.
    pub fn enqueue(&mut self, waiter: Waiter<T>) -> Result<(), T> {
        if self.waiting.len() >= MAX_WAITING {
            return Err(waiter.reply);
        }
        self.waiting.push(waiter);
        Ok(())
    }

    /// Removes the bids that have expired and returns their receivers.
    pub fn take_expired(&mut self, now: Duration) -> Vec<T> {
        let expired = self.waiting.extract_if(.., |waiter| now >= waiter.expires_at);
        expired.map(|waiter| waiter.reply).collect()
    }

    /// Grants a permit to the bid of the highest worth. Returns the permit id and the receiver, or `None`
    /// if no bid waits or the limits allow no load now.
    pub fn grant(&mut self, now: Duration) -> Option<(u64, T)> {
        self.granted.retain(|_, granted| now < granted.expires_at);
        if now < self.next_grant || self.granted.len() >= self.limits.max_in_flight {
            return None;
        }
        let index = self.highest_worth(now)?;
        let waiter = self.waiting.remove(index);
        self.next_grant = now + interval(self.limits.loads_per_second);
        self.last_id += 1;
        let expires_at = now + PERMIT_TIMEOUT;
        let granted = Granted { gate: waiter.gate, incarnation: waiter.incarnation, expires_at };
        self.granted.insert(self.last_id, granted);
        Some((self.last_id, waiter.reply))
    }

    /// Releases a permit after its load has ended.
    pub fn release(&mut self, permit: u64) {
        self.granted.remove(&permit);
    }

    /// Releases the permits of gates without a lease, removes their bids, and returns the receivers of these
    /// bids.
    pub fn retain_leased(&mut self, holds: impl Fn(&Name, Incarnation) -> bool) -> Vec<T> {
        self.granted.retain(|_, granted| holds(&granted.gate, granted.incarnation));
        let ended = self.waiting.extract_if(.., |waiter| !holds(&waiter.gate, waiter.incarnation));
        ended.map(|waiter| waiter.reply).collect()
    }

    /// Removes the bids whose receiver no longer waits.
    pub fn remove_closed(&mut self, is_closed: impl Fn(&T) -> bool) {
        self.waiting.retain(|waiter| !is_closed(&waiter.reply));
    }

    /// Returns the receivers of all waiting bids.
    pub fn into_replies(self) -> impl Iterator<Item = T> {
        self.waiting.into_iter().map(|waiter| waiter.reply)
    }

    /// Returns the number of granted permits that were not returned yet.
    pub fn in_flight(&self) -> usize {
        self.granted.len()
    }

    /// Returns the number of waiting bids.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the index of the bid with the highest worth including aging, the oldest one among equals.
    fn highest_worth(&self, now: Duration) -> Option<usize> {
        let worth = |waiter: &Waiter<T>| {
            let waited = now.saturating_sub(waiter.queued_at);
            let aging = waited.as_millis() / AGING_INTERVAL.as_millis();
            u128::from(waiter.worth) + aging
        };
        let order = |index: &usize| (worth(&self.waiting[*index]), std::cmp::Reverse(*index));
        (0..self.waiting.len()).max_by_key(order)
    }
}

/// Returns the interval between two loads at a rate.
pub fn interval(per_second: f64) -> Duration {
    Duration::try_from_secs_f64(1.0 / per_second).unwrap_or(Duration::MAX / 4)
}
