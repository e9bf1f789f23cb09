//! The queue of waiting requests: ordering by priority, fairness between callers, and deadlines.

use std::cmp::Ordering;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::hash::Hash;
use std::time::Duration;

use base::Map;
use base::Name;
use wire::endpoint::Model;

use crate::demand::Demand;

/// The wait that raises a request's priority by one, which prevents starvation of low priorities.
const AGING_STEP: Duration = Duration::from_secs(2);
/// The maximum number of requests per caller that count towards the load of an adapter.
const MAX_WEIGHED_PER_CALLER: usize = 4;
/// The number of callers below which none is pruned.
const PRUNE_THRESHOLD: usize = 256;

/// The requests that wait at one gate, by the key that they wait for (`K`, such as an adapter version).
///
/// Requests are ordered by priority, which increases by one for every two seconds of waiting. Among
/// callers with requests of the same priority, the least served caller goes first; each request sent is
/// charged to its caller at the request's cost. The requests of one caller are ordered by deadline.
#[derive(Clone, Debug)]
pub struct Queue<K, T> {
    entries: Map<u64, Stored<K, T>>,
    subqueues: Map<K, Subqueue>,
    /// All requests by deadline.
    deadlines: BTreeSet<(Duration, u64)>,
    callers: Map<Name, Caller>,
    /// The virtual time of the fair queue: the charge of the caller served last, at which new callers
    /// start. Never decreases.
    virtual_time: u64,
    /// The number of the next request.
    next_number: u64,
    /// The number of callers at which idle ones are pruned next.
    prune_at: usize,
}

/// A waiting request.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry<K, T> {
    /// The key that the request waits for.
    pub key: K,
    /// The caller.
    pub caller: Name,
    /// The priority from 0 (low) to 9 (high).
    pub priority: u8,
    /// The arrival time.
    pub arrived: Duration,
    /// The deadline of the answer.
    pub deadline: Duration,
    /// The charge to the caller, in a unit common to all requests; at least 1.
    pub cost: u32,
    /// The data that the gate attaches to the request.
    pub payload: T,
}

/// The queue for a key is full.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the queue is full")]
pub struct Full;

#[derive(Clone, Debug)]
struct Stored<K, T> {
    entry: Entry<K, T>,
    rank: Rank,
}

/// The sort key among the requests of one caller: descending priority, then deadline, then number.
type Rank = (Reverse<u8>, Duration, u64);

/// The requests for one key.
///
/// Invariant: no set is empty, and all three contain the same requests.
#[derive(Clone, Debug, Default)]
struct Subqueue {
    ranks: BTreeMap<Name, BTreeSet<Rank>>,
    arrivals: BTreeSet<(Duration, u64)>,
    deadlines: BTreeSet<(Duration, u64)>,
}

/// The account of a caller.
#[derive(Clone, Debug, Default)]
struct Caller {
    /// The cost of the requests sent so far, in virtual time.
    charged: u64,
    /// The number of waiting requests.
    waiting: u32,
}

impl<K, T> Default for Queue<K, T> {
    fn default() -> Queue<K, T> {
        Queue {
            entries: Map::default(),
            subqueues: Map::default(),
            deadlines: BTreeSet::new(),
            callers: Map::default(),
            virtual_time: 0,
            next_number: 0,
            prune_at: 0,
        }
    }
}

impl<K: Clone + Eq + Hash, T> Queue<K, T> {
    /// Appends a request and returns its number, or [`Full`] if `limit` requests wait for its key.
    pub fn push(&mut self, entry: Entry<K, T>, limit: u32) -> Result<u64, Full> {
        let subqueue = self.subqueues.get(&entry.key);
        if subqueue.map_or(0, |subqueue| subqueue.arrivals.len()) >= limit as usize {
            return Err(Full);
        }
        let number = self.next_number;
        self.next_number += 1;
        let rank = (Reverse(entry.priority), entry.deadline, number);
        let subqueue = self.subqueues.entry(entry.key.clone()).or_default();
        subqueue.ranks.entry(entry.caller.clone()).or_default().insert(rank);
        subqueue.arrivals.insert((entry.arrived, number));
        subqueue.deadlines.insert((entry.deadline, number));
        self.deadlines.insert((entry.deadline, number));
        let caller = self.callers.entry(entry.caller.clone()).or_default();
        if caller.waiting == 0 {
            caller.charged = caller.charged.max(self.virtual_time);
        }
        caller.waiting += 1;
        self.entries.insert(number, Stored { entry, rank });
        Ok(number)
    }

    /// Removes and returns the request for one of `keys` that is to be sent next.
    pub fn pop<'a>(
        &mut self,
        keys: impl IntoIterator<Item = &'a K>,
        now: Duration,
    ) -> Option<Entry<K, T>>
    where
        K: 'a,
    {
        let subqueues = keys.into_iter().filter_map(|key| self.subqueues.get(key));
        let heads = subqueues.flat_map(|subqueue| {
            subqueue.ranks.values().filter_map(|ranks| ranks.first().map(|rank| rank.2))
        });
        let best = heads.min_by(|left, right| self.compare(*left, *right, now))?;
        let entry = self.remove(best)?;
        self.charge(&entry);
        Some(entry)
    }

    /// Removes a request by its number, for example after a cancellation.
    pub fn remove(&mut self, number: u64) -> Option<Entry<K, T>> {
        let Stored { entry, rank } = self.entries.remove(&number)?;
        self.deadlines.remove(&(entry.deadline, number));
        if let Some(subqueue) = self.subqueues.get_mut(&entry.key) {
            subqueue.remove(&entry.caller, rank, (entry.arrived, number));
            if subqueue.arrivals.is_empty() {
                self.subqueues.remove(&entry.key);
            }
        }
        if let Some(caller) = self.callers.get_mut(&entry.caller) {
            caller.waiting -= 1;
        }
        Some(entry)
    }

    /// Removes and returns a request whose deadline has passed, or `None` if there is none left.
    pub fn pop_expired(&mut self, now: Duration) -> Option<Entry<K, T>> {
        let (deadline, number) = *self.deadlines.first()?;
        if deadline > now { None } else { self.remove(number) }
    }

    /// Removes and returns a request for `key` whose deadline is before `start`, the earliest time at
    /// which a request for the key can start, or `None` if there is none left.
    pub fn pop_unreachable(&mut self, key: &K, start: Duration) -> Option<Entry<K, T>> {
        let (deadline, number) = *self.subqueues.get(key)?.deadlines.first()?;
        if deadline >= start { None } else { self.remove(number) }
    }

    /// Returns the earliest deadline of all requests.
    pub fn next_deadline(&self) -> Option<Duration> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    /// Returns the number of requests that wait for a key.
    pub fn count(&self, key: &K) -> usize {
        self.subqueues.get(key).map_or(0, |subqueue| subqueue.arrivals.len())
    }

    /// Returns the number of all requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Iterates over the keys that requests wait for.
    pub fn keys(&self) -> impl Iterator<Item = &K> {
        self.subqueues.keys()
    }

    /// Iterates over the keys that requests wait for, each with the arrival of its oldest request.
    pub fn oldest_arrivals(&self) -> impl Iterator<Item = (&K, Duration)> {
        let subqueues = self.subqueues.iter();
        subqueues.filter_map(|(key, subqueue)| Some((key, subqueue.arrivals.first()?.0)))
    }

    /// Compares two requests; the lesser one is sent first.
    fn compare(&self, left: u64, right: u64, now: Duration) -> Ordering {
        let (left, right) = (&self.entries[&left], &self.entries[&right]);
        let charged = |stored: &Stored<K, T>| {
            self.callers.get(&stored.entry.caller).map_or(0, |caller| caller.charged)
        };
        aged_priority(&right.entry, now)
            .cmp(&aged_priority(&left.entry, now))
            .then_with(|| charged(left).cmp(&charged(right)))
            .then_with(|| left.entry.deadline.cmp(&right.entry.deadline))
            .then_with(|| left.rank.2.cmp(&right.rank.2))
    }

    /// Removes idle callers that are charged no more than a new caller would be, once there are many.
    fn prune(&mut self) {
        if self.callers.len() < self.prune_at.max(PRUNE_THRESHOLD) {
            return;
        }
        let virtual_time = self.virtual_time;
        self.callers.retain(|_, caller| caller.waiting > 0 || caller.charged > virtual_time);
        self.prune_at = self.callers.len() * 2;
    }

    /// Charges a sent request to its caller.
    fn charge(&mut self, entry: &Entry<K, T>) {
        if let Some(caller) = self.callers.get_mut(&entry.caller) {
            self.virtual_time = self.virtual_time.max(caller.charged);
            caller.charged += u64::from(entry.cost.max(1));
        }
        self.prune();
    }
}

impl<T> Queue<Model, T> {
    /// Returns the demand by adapter, an input of [`next_load`](crate::next_load).
    pub fn demand(&self) -> Vec<Demand> {
        let subqueues = self.subqueues.iter();
        subqueues.filter_map(|(model, subqueue)| subqueue.demand(model)).collect()
    }
}

impl Subqueue {
    fn remove(&mut self, caller: &Name, rank: Rank, arrival: (Duration, u64)) {
        if let Some(ranks) = self.ranks.get_mut(caller) {
            ranks.remove(&rank);
            if ranks.is_empty() {
                self.ranks.remove(caller);
            }
        }
        self.arrivals.remove(&arrival);
        self.deadlines.remove(&(rank.1, rank.2));
    }

    /// Returns the sum of the requests' weights, counting at most [`MAX_WEIGHED_PER_CALLER`] requests
    /// per caller.
    fn weight(&self) -> u32 {
        let per_caller = self.ranks.values();
        let counted = per_caller.flat_map(|ranks| ranks.iter().take(MAX_WEIGHED_PER_CALLER));
        counted.map(|(Reverse(priority), ..)| Demand::priority_weight(*priority)).sum()
    }

    fn demand(&self, model: &Model) -> Option<Demand> {
        Some(Demand {
            model: model.clone(),
            requests: self.arrivals.len() as u32,
            weight: self.weight(),
            oldest_arrival: self.arrivals.first()?.0,
            latest_deadline: self.deadlines.last()?.0,
        })
    }
}

/// Returns the priority of a request, raised by its wait.
fn aged_priority<K, T>(entry: &Entry<K, T>, now: Duration) -> u64 {
    let waited = now.saturating_sub(entry.arrived);
    u64::from(entry.priority) + (waited.as_millis() / AGING_STEP.as_millis()) as u64
}
