//! Endpoints that leave according to their responses to gates and to the leader. Their heartbeats may still say that they
//! are ready.

use std::time::Duration;

use base::Map;
use base::Name;
use fleet::endpoint::Announcement;
use fleet::endpoint::Incarnation;
use fleet::endpoint::State;
use fleet::presence::Presence;

/// The time for which an entry is kept while its endpoint is not known.
const RETENTION: Duration = Duration::from_secs(600);

/// The endpoints that leave according to their responses.
#[derive(Debug, Default)]
pub struct Leaving {
    /// The start time of each, with its presence.
    entries: Map<Name, (u64, Presence)>,
}

impl Leaving {
    /// Adds an endpoint; returns whether it is new.
    pub fn insert(&mut self, incarnation: &Incarnation) -> bool {
        let Incarnation { endpoint, born } = incarnation;
        if self.entries.get(endpoint).is_some_and(|(known, _)| born <= known) {
            return false;
        }
        self.entries.insert(endpoint.clone(), (*born, Presence::default()));
        true
    }

    /// Marks the announcement of an endpoint that leaves as draining.
    pub fn mark_draining(&self, announcement: &mut Announcement) {
        let known = self.entries.get(&announcement.id);
        let leaves = known.is_some_and(|(born, _)| *born == announcement.born);
        if leaves && announcement.state == State::Ready {
            announcement.state = State::Draining(None);
        }
    }

    /// Drops the incarnations that have ended. `known` returns the start time of an endpoint.
    pub fn expire(&mut self, known: impl Fn(&Name) -> Option<u64>, now: Duration) {
        self.entries
            .retain(|id, (born, presence)| presence.update(*born, known(id), RETENTION, now));
    }
}
