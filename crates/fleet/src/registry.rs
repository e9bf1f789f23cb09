//! The endpoints that announced themselves lately.

use std::net::SocketAddr;
use std::time::Duration;

use base::Event;
use base::Map;
use base::Name;
use serde::Deserialize;
use serde::Serialize;

use crate::endpoint::Announcement;
use crate::endpoint::Endpoint;
use crate::endpoint::State;

/// The starts remembered after they ended, so that a late announcement does not bring them back.
const ENDED: usize = 4_096;

/// What an announcement changed.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// Nothing: it is late, of a former start, or says nothing new.
    None,
    /// A new start takes work.
    Joined,
    /// It takes no more work.
    Left,
}

/// An endpoint and when it was heard last.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Entry {
    announcement: Announcement,
    heard: Duration,
}

/// The endpoints that announced themselves lately.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Registry {
    entries: Map<Name, Entry>,
    /// The latest start known at each address.
    ///
    /// Invariant: never gets older, so an endpoint that lost its address stays out.
    addresses: Map<SocketAddr, u64>,
    /// The latest start of each id that left.
    ended: Map<Name, u64>,
}

impl Registry {
    /// Takes an announcement.
    pub fn announce(&mut self, new: Announcement, now: Duration) -> Change {
        if self.is_outdated(&new) {
            return Change::None;
        }
        let replaced = self.replace_address(&new);
        let known = self.entries.get(&new.id).filter(|entry| entry.announcement.born == new.born);
        let was_ready = known.is_some_and(|entry| entry.announcement.state == State::Ready);
        let is_ready = new.state == State::Ready;
        self.addresses.insert(new.address, new.born);
        let id = new.id.clone();
        self.entries.insert(id.clone(), Entry { announcement: new, heard: now });
        match (was_ready, is_ready) {
            (false, true) => {
                base::event!(INFO, Event::Announced, endpoint = %id, replaced);
                Change::Joined
            }
            (true, false) => {
                base::event!(INFO, Event::EndpointLeaves, endpoint = %id, how = "draining");
                Change::Left
            }
            _ if replaced => Change::Left,
            _ => Change::None,
        }
    }

    /// Returns whether an announcement is late or of a start that ended.
    fn is_outdated(&self, new: &Announcement) -> bool {
        let ended = self.ended.get(&new.id).is_some_and(|born| new.born <= *born);
        let displaced = self.addresses.get(&new.address).is_some_and(|born| new.born < *born);
        let late = self.entries.get(&new.id).is_some_and(|entry| {
            let old = &entry.announcement;
            (new.born, new.sequence) <= (old.born, old.sequence)
        });
        ended || displaced || late
    }

    /// Removes the former holder of an address.
    fn replace_address(&mut self, new: &Announcement) -> bool {
        let former = self
            .entries
            .iter()
            .find(|(id, entry)| **id != new.id && entry.announcement.address == new.address);
        let Some(id) = former.map(|(id, _)| id.clone()) else { return false };
        self.end(&id);
        true
    }

    /// Takes an endpoint's word that it leaves; none as `born` means the start that is known.
    pub fn leave(&mut self, id: &Name, born: Option<u64>) -> Change {
        let Some(entry) = self.entries.get(id) else {
            if let Some(born) = born {
                self.note_ended(id.clone(), born);
            }
            return Change::None;
        };
        if born.is_some_and(|born| born < entry.announcement.born) {
            return Change::None;
        }
        base::event!(INFO, Event::EndpointLeaves, endpoint = %id, how = "gone");
        self.end(id);
        Change::Left
    }

    /// Removes the endpoints that were not heard for `limit`; returns their ids.
    pub fn expire(&mut self, limit: Duration, now: Duration) -> Vec<Name> {
        let silent = self.entries.iter().filter(|(_, entry)| now >= entry.heard + limit);
        let ids: Vec<Name> = silent.map(|(id, _)| id.clone()).collect();
        for id in &ids {
            base::event!(WARN, Event::EndpointSilent, endpoint = %id);
            self.entries.remove(id);
        }
        ids
    }

    fn end(&mut self, id: &Name) {
        if let Some(entry) = self.entries.remove(id) {
            self.note_ended(id.clone(), entry.announcement.born);
        }
    }

    fn note_ended(&mut self, id: Name, born: u64) {
        if self.ended.len() >= ENDED {
            self.ended.clear();
        }
        let latest = self.ended.entry(id).or_default();
        *latest = (*latest).max(born);
    }

    /// Returns the endpoints that take new work.
    pub fn ready(&self) -> impl Iterator<Item = &Announcement> {
        let all = self.entries.values().map(|entry| &entry.announcement);
        all.filter(|announcement| announcement.state == State::Ready)
    }

    /// Returns the endpoints that take new work, as gates need them.
    pub fn endpoints(&self) -> Vec<Endpoint> {
        self.ready().map(Endpoint::from).collect()
    }

    /// Returns an endpoint's latest announcement.
    pub fn get(&self, id: &str) -> Option<&Announcement> {
        self.entries.get(id).map(|entry| &entry.announcement)
    }

    /// Counts all endpoints as heard now, after a time in which nothing could be heard.
    pub fn refresh_all(&mut self, now: Duration) {
        for entry in self.entries.values_mut() {
            entry.heard = now;
        }
    }
}
