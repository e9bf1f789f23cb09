//! The incarnations of endpoints whose departure was acknowledged. Replicated, so that no later leader uses them again,
//! whatever its own list of endpoints or a delayed heartbeat says.

use base::Map;
use base::Name;
use fleet::endpoint::Incarnation;
use serde::Deserialize;
use serde::Serialize;

/// The limit on remembered departures; beyond it the oldest is dropped. More than a fleet of 10,000 endpoints has while
/// all of them are replaced.
pub const MAX_DEPARTED: usize = 16_384;

/// The latest departure of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Entry {
    born: u64,
    /// The number of the departure, by which the oldest is found.
    number: u64,
}

/// The incarnations that have departed.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct List {
    /// The latest departure of each endpoint.
    ///
    /// Invariant: at most [`MAX_DEPARTED`], the same ones on all replicas.
    entries: Map<Name, Entry>,
    next_number: u64,
}

impl List {
    /// Adds an incarnation; returns whether it is new.
    pub fn insert(&mut self, incarnation: Incarnation) -> bool {
        let Incarnation { endpoint, born } = incarnation;
        if self.includes(&endpoint, born) {
            return false;
        }
        let entry = Entry { born, number: self.next_number };
        self.next_number += 1;
        self.entries.insert(endpoint, entry);
        if self.entries.len() > MAX_DEPARTED {
            self.remove_oldest();
        }
        true
    }

    fn remove_oldest(&mut self) {
        let oldest = self.entries.iter().min_by_key(|(_, entry)| entry.number);
        if let Some(id) = oldest.map(|(id, _)| id.clone()) {
            self.entries.remove(&id);
        }
    }

    /// Returns whether an incarnation, or a later one of the same endpoint, has departed.
    pub fn includes(&self, id: &str, born: u64) -> bool {
        self.entries.get(id).is_some_and(|entry| born <= entry.born)
    }

    /// Returns the number of endpoints in the list.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the list is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
