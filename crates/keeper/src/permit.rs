//! Permits to load adapters from the weight store.

use std::time::Duration;

use base::Map;
use base::Name;
use state::command::Incarnation;

/// The most wishes that wait.
const QUEUE: usize = 1_024;
/// The time of waiting that raises a wish by a worth of 1.
const AGE: Duration = Duration::from_millis(100);
/// The time after which a permit that was not given back is free again.
const LIFE: Duration = Duration::from_secs(30);
/// The bits of a permit's number that count within a term.
const COUNT_BITS: u32 = 32;

/// The bounds of the weight store.
#[derive(Clone, Copy, Debug)]
pub struct Rate {
    /// The loads a second.
    pub per_second: f64,
    /// The loads in flight.
    pub in_flight: usize,
}

/// The permits of a leader: a bucket of one token, a bound on loads in flight, and waiting wishes.
///
/// Times are on the leader's clock, since any fixed start. `T` is whom to tell.
#[derive(Debug)]
pub struct Permits<T> {
    rate: Rate,
    /// When the next permit may be granted.
    ///
    /// Invariant: one interval of the rate after the last grant at least.
    next: Duration,
    /// The number of the last permit: the term and a count within it, so that none is given twice.
    last: u64,
    granted: Map<u64, Granted>,
    waiting: Vec<Waiting<T>>,
}

/// A permit that was not given back yet.
#[derive(Debug)]
struct Granted {
    gate: Name,
    incarnation: Incarnation,
    until: Duration,
}

/// A wish that waits.
#[derive(Debug)]
pub struct Waiting<T> {
    /// The gate.
    pub gate: Name,
    /// The run of the gate.
    pub incarnation: Incarnation,
    /// What the load is worth.
    pub worth: u32,
    /// When the wish came.
    pub since: Duration,
    /// When the wish is worth nothing.
    pub until: Duration,
    /// Whom to tell.
    pub reply: T,
}

impl<T> Permits<T> {
    /// Starts with an empty bucket in a term.
    ///
    /// The loads that the former leader permitted count as filling the bound on loads in flight
    /// until `open`; it is at least one interval of the rate ahead.
    pub fn new(rate: Rate, term: u64, open: Duration) -> Permits<T> {
        Permits {
            rate,
            next: open,
            last: term << COUNT_BITS,
            granted: Map::default(),
            waiting: Vec::new(),
        }
    }

    /// Adds a wish, or gives it back if the queue is full.
    pub fn wish(&mut self, wish: Waiting<T>) -> Result<(), T> {
        if self.waiting.len() >= QUEUE {
            return Err(wish.reply);
        }
        self.waiting.push(wish);
        Ok(())
    }

    /// Takes the wishes that are worth nothing any more.
    pub fn overdue(&mut self, now: Duration) -> Vec<T> {
        let overdue = self.waiting.extract_if(.., |wish| now >= wish.until);
        overdue.map(|wish| wish.reply).collect()
    }

    /// Grants a permit to the wish that is worth most, if the rate and the bound allow one now.
    pub fn grant(&mut self, now: Duration) -> Option<(u64, T)> {
        self.granted.retain(|_, granted| now < granted.until);
        if now < self.next || self.granted.len() >= self.rate.in_flight {
            return None;
        }
        let at = self.best(now)?;
        let wish = self.waiting.remove(at);
        self.next = now + interval(self.rate.per_second);
        self.last += 1;
        let granted = Granted { gate: wish.gate, incarnation: wish.incarnation, until: now + LIFE };
        self.granted.insert(self.last, granted);
        Some((self.last, wish.reply))
    }

    /// Takes a permit back.
    pub fn settle(&mut self, permit: u64) {
        self.granted.remove(&permit);
    }

    /// Takes the permits of runs back that hold no lease, and returns their wishes.
    pub fn retain(&mut self, holds: impl Fn(&Name, Incarnation) -> bool) -> Vec<T> {
        self.granted.retain(|_, granted| holds(&granted.gate, granted.incarnation));
        let ended = self.waiting.extract_if(.., |wish| !holds(&wish.gate, wish.incarnation));
        ended.map(|wish| wish.reply).collect()
    }

    /// Drops the wishes of those who went away.
    pub fn discard(&mut self, gone: impl Fn(&T) -> bool) {
        self.waiting.retain(|wish| !gone(&wish.reply));
    }

    /// Returns whom to tell of all wishes that wait.
    pub fn into_waiting(self) -> impl Iterator<Item = T> {
        self.waiting.into_iter().map(|wish| wish.reply)
    }

    /// Returns the permits that were not given back yet.
    pub fn in_flight(&self) -> usize {
        self.granted.len()
    }

    /// Returns the wishes that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Finds the wish that is worth most with its age; the older one among equals.
    fn best(&self, now: Duration) -> Option<usize> {
        let worth = |wish: &Waiting<T>| {
            let age = now.saturating_sub(wish.since).as_millis() / AGE.as_millis();
            u128::from(wish.worth) + age
        };
        let order = |at: &usize| (worth(&self.waiting[*at]), std::cmp::Reverse(*at));
        (0..self.waiting.len()).max_by_key(order)
    }
}

/// Returns the time between two loads at a rate.
pub fn interval(per_second: f64) -> Duration {
    Duration::try_from_secs_f64(1.0 / per_second).unwrap_or(Duration::MAX / 4)
}
