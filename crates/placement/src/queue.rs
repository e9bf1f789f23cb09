//! The order in which waiting requests are sent.

use std::cmp::Ordering;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::hash::Hash;
use std::time::Duration;

use base::Map;
use base::Name;
use wire::endpoint::Model;

use crate::waiting::Waiting;

/// The wait that raises a request's priority by one, so that low priorities are not starved.
const PRIORITY_STEP: Duration = Duration::from_secs(2);

/// The requests of one caller that count for the load of an adapter.
const COUNTED: usize = 4;
/// The callers below which none is forgotten.
const FORGET_ABOVE: usize = 256;

/// The requests that wait at one gate, by what they wait for (`K`, such as an adapter's version).
///
/// The highest priority goes first, raised by one for each two seconds of waiting. Between callers
/// of the same priority the one that has been served least goes first (each request is charged its
/// cost); a caller's own requests go by deadline.
#[derive(Clone, Debug)]
pub struct Queue<K, T> {
    entries: Map<u64, Stored<K, T>>,
    lanes: Map<K, Lane>,
    /// All requests by deadline.
    deadlines: BTreeSet<(Duration, u64)>,
    callers: Map<Name, Caller>,
    /// The service that the least served caller has got; new callers start from here.
    clock: u64,
    /// The number of the next request.
    sequence: u64,
    /// The number of callers at which idle ones are forgotten next.
    forget_at: usize,
}

/// A waiting request.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry<K, T> {
    /// What it waits for.
    pub key: K,
    /// The caller.
    pub caller: Name,
    /// The priority from 0 (low) to 9 (high).
    pub priority: u8,
    /// When it arrived.
    pub arrived: Duration,
    /// When the caller needs the answer.
    pub deadline: Duration,
    /// What the caller is charged, in any unit that is the same for all requests; at least 1.
    pub cost: u32,
    /// What the gate keeps with it.
    pub ticket: T,
}

/// The queue for one key is full.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the queue is full")]
pub struct Full;

#[derive(Clone, Debug)]
struct Stored<K, T> {
    entry: Entry<K, T>,
    place: Place,
}

/// The place of a request within its caller's: a higher priority first, then an earlier deadline.
type Place = (Reverse<u8>, Duration, u64);

/// The requests for one key.
///
/// Invariant: no set is empty, and `arrivals` has the same requests as `places`.
#[derive(Clone, Debug, Default)]
struct Lane {
    places: BTreeMap<Name, BTreeSet<Place>>,
    arrivals: BTreeSet<(Duration, u64)>,
    deadlines: BTreeSet<(Duration, u64)>,
}

/// What a caller has been charged.
#[derive(Clone, Debug, Default)]
struct Caller {
    served: u64,
    waiting: u32,
}

impl<K, T> Default for Queue<K, T> {
    fn default() -> Queue<K, T> {
        Queue {
            entries: Map::default(),
            lanes: Map::default(),
            deadlines: BTreeSet::new(),
            callers: Map::default(),
            clock: 0,
            sequence: 0,
            forget_at: 0,
        }
    }
}

impl<K: Clone + Eq + Hash, T> Queue<K, T> {
    /// Appends a request and returns its number; [`Full`] if `limit` requests wait for the key.
    pub fn push(&mut self, entry: Entry<K, T>, limit: u32) -> Result<u64, Full> {
        let lane = self.lanes.get(&entry.key);
        if lane.map_or(0, |lane| lane.arrivals.len()) >= limit as usize {
            return Err(Full);
        }
        let number = self.sequence;
        self.sequence += 1;
        let place = (Reverse(entry.priority), entry.deadline, number);
        let lane = self.lanes.entry(entry.key.clone()).or_default();
        lane.places.entry(entry.caller.clone()).or_default().insert(place);
        lane.arrivals.insert((entry.arrived, number));
        lane.deadlines.insert((entry.deadline, number));
        self.deadlines.insert((entry.deadline, number));
        let caller = self.callers.entry(entry.caller.clone()).or_default();
        if caller.waiting == 0 {
            caller.served = caller.served.max(self.clock);
        }
        caller.waiting += 1;
        self.entries.insert(number, Stored { entry, place });
        Ok(number)
    }

    /// Takes the request that is to be sent next among those for `keys`.
    pub fn pop<'a>(
        &mut self,
        keys: impl IntoIterator<Item = &'a K>,
        now: Duration,
    ) -> Option<Entry<K, T>>
    where
        K: 'a,
    {
        let heads = keys.into_iter().filter_map(|key| self.lanes.get(key)).flat_map(|lane| {
            lane.places.values().filter_map(|places| places.first().map(|place| place.2))
        });
        let best = heads.min_by(|left, right| self.compare(*left, *right, now))?;
        let entry = self.remove(best)?;
        self.charge(&entry);
        Some(entry)
    }

    /// Takes a request by its number, such as one that was cancelled.
    pub fn remove(&mut self, number: u64) -> Option<Entry<K, T>> {
        let Stored { entry, place } = self.entries.remove(&number)?;
        self.deadlines.remove(&(entry.deadline, number));
        if let Some(lane) = self.lanes.get_mut(&entry.key) {
            lane.remove(&entry.caller, place, (entry.arrived, number));
            if lane.arrivals.is_empty() {
                self.lanes.remove(&entry.key);
            }
        }
        if let Some(caller) = self.callers.get_mut(&entry.caller) {
            caller.waiting -= 1;
        }
        Some(entry)
    }

    /// Takes one request whose deadline has passed; call it until it returns none.
    pub fn expire(&mut self, now: Duration) -> Option<Entry<K, T>> {
        let (deadline, number) = *self.deadlines.first()?;
        if deadline > now { None } else { self.remove(number) }
    }

    /// Takes one request for `key` that cannot start before its deadline, because nothing for the
    /// key starts before `start`; call it until it returns none.
    pub fn hopeless(&mut self, key: &K, start: Duration) -> Option<Entry<K, T>> {
        let (deadline, number) = *self.lanes.get(key)?.deadlines.first()?;
        if deadline >= start { None } else { self.remove(number) }
    }

    /// Returns the earliest deadline of all requests.
    pub fn next_deadline(&self) -> Option<Duration> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    /// Returns the number of requests that wait for a key.
    pub fn count(&self, key: &K) -> usize {
        self.lanes.get(key).map_or(0, |lane| lane.arrivals.len())
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
        self.lanes.keys()
    }

    /// Iterates over the keys that requests wait for, with the arrival of the oldest for each.
    pub fn oldest(&self) -> impl Iterator<Item = (&K, Duration)> {
        let lanes = self.lanes.iter();
        lanes.filter_map(|(key, lane)| Some((key, lane.arrivals.first()?.0)))
    }

    /// Compares two requests: the lesser goes first.
    fn compare(&self, left: u64, right: u64, now: Duration) -> Ordering {
        let (left, right) = (&self.entries[&left], &self.entries[&right]);
        let served = |stored: &Stored<K, T>| {
            self.callers.get(&stored.entry.caller).map_or(0, |caller| caller.served)
        };
        raised(&right.entry, now)
            .cmp(&raised(&left.entry, now))
            .then_with(|| served(left).cmp(&served(right)))
            .then_with(|| left.entry.deadline.cmp(&right.entry.deadline))
            .then_with(|| left.place.2.cmp(&right.place.2))
    }

    /// Forgets callers that are owed nothing, once they are many.
    fn forget(&mut self) {
        if self.callers.len() < self.forget_at.max(FORGET_ABOVE) {
            return;
        }
        let clock = self.clock;
        self.callers.retain(|_, caller| caller.waiting > 0 || caller.served > clock);
        self.forget_at = self.callers.len() * 2;
    }

    /// Charges the caller of a request that is sent.
    fn charge(&mut self, entry: &Entry<K, T>) {
        if let Some(caller) = self.callers.get_mut(&entry.caller) {
            self.clock = self.clock.max(caller.served);
            caller.served += u64::from(entry.cost.max(1));
        }
        self.forget();
    }
}

impl<T> Queue<Model, T> {
    /// Sums up the requests by adapter for [`next`](crate::next).
    pub fn waiting(&self) -> Vec<Waiting> {
        let lanes = self.lanes.iter();
        lanes.filter_map(|(model, lane)| lane.waiting(model)).collect()
    }
}

impl Lane {
    fn remove(&mut self, caller: &Name, place: Place, arrival: (Duration, u64)) {
        if let Some(places) = self.places.get_mut(caller) {
            places.remove(&place);
            if places.is_empty() {
                self.places.remove(caller);
            }
        }
        self.arrivals.remove(&arrival);
        self.deadlines.remove(&(place.1, place.2));
    }

    /// The sum of the requests' weights, of each caller only the first few.
    fn weight(&self) -> u32 {
        let counted = self.places.values().flat_map(|places| places.iter().take(COUNTED));
        counted.map(|(Reverse(priority), ..)| Waiting::weight(*priority)).sum()
    }

    fn waiting(&self, model: &Model) -> Option<Waiting> {
        Some(Waiting {
            model: model.clone(),
            requests: self.arrivals.len() as u32,
            weight: self.weight(),
            oldest: self.arrivals.first()?.0,
            deadline: self.deadlines.last()?.0,
        })
    }
}

/// The priority of a request, raised by its wait.
fn raised<K, T>(entry: &Entry<K, T>, now: Duration) -> u64 {
    let waited = now.saturating_sub(entry.arrived);
    u64::from(entry.priority) + (waited.as_millis() / PRIORITY_STEP.as_millis()) as u64
}
