//! The registry of live endpoints.

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

/// The limit on remembered incarnations that have ended; beyond it all are dropped. They are
/// remembered so that a delayed announcement does not register them again.
const MAX_ENDED_INCARNATIONS: usize = 4_096;

/// The time for which a build is remembered after its last announcement.
const BUILD_MEMORY: Duration = Duration::from_secs(600);

/// The effect of an announcement or of a deregistration.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// No effect: the announcement is delayed, from a former incarnation, or changes nothing.
    None,
    /// The endpoint now accepts requests.
    Joined,
    /// An endpoint no longer accepts requests.
    Left,
}

/// An endpoint that ended without notice.
#[derive(Clone, Debug, PartialEq)]
pub struct Lost {
    /// The endpoint.
    pub id: Name,
    /// Its start time.
    pub born: u64,
    /// When it last announced itself.
    pub heard: Duration,
}

/// The latest announcement of an endpoint and when it was received.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Entry {
    announcement: Announcement,
    heard: Duration,
}

impl Entry {
    /// Returns the endpoint as lost, unless it had announced the time of its end.
    fn lost(&self) -> Option<Lost> {
        let Announcement { id, born, state, .. } = &self.announcement;
        let announced = matches!(state, State::Draining(Some(_)));
        (!announced).then(|| Lost { id: id.clone(), born: *born, heard: self.heard })
    }
}

/// The endpoints that announced themselves recently.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Registry {
    entries: Map<Name, Entry>,
    /// The latest start time known at each address.
    ///
    /// Invariant: never decreases, so an endpoint whose address was taken over does not return.
    addresses: Map<SocketAddr, u64>,
    /// The latest start time of each endpoint that left or lost its address.
    ended: Map<Name, u64>,
    /// The start time of each endpoint that fell silent, by which its deregistration is recorded.
    ///
    /// Invariant: at most [`MAX_ENDED_INCARNATIONS`]; beyond it all are dropped.
    silent: Map<Name, u64>,
    /// When each build of a service was last announced, also if its endpoints have left.
    builds: Map<Name, Map<Name, Duration>>,
    /// The endpoints that ended without notice and have not been taken.
    #[serde(skip)]
    lost: Vec<Lost>,
}

impl Registry {
    /// Applies an announcement.
    pub fn announce(&mut self, new: Announcement, now: Duration) -> Change {
        if self.is_outdated(&new) {
            return Change::None;
        }
        let builds = self.builds.entry(new.service.clone()).or_default();
        builds.insert(new.build.clone(), now);
        self.detect_restart(&new);
        let replaced = self.replace_address(&new);
        let known = self.entries.get(&new.id).filter(|entry| entry.announcement.born == new.born);
        let was_ready = known.is_some_and(|entry| entry.announcement.state == State::Ready);
        let is_ready = new.state == State::Ready;
        self.addresses.insert(new.address, new.born);
        let (id, build) = (new.id.clone(), new.build.clone());
        self.entries.insert(id.clone(), Entry { announcement: new, heard: now });
        match (was_ready, is_ready) {
            (false, true) => {
                base::event!(INFO, Event::Announced, endpoint = %id, build = %build, replaced);
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

    /// Returns whether an announcement is delayed or from an incarnation that ended.
    fn is_outdated(&self, new: &Announcement) -> bool {
        let ended = self.ended.get(&new.id).is_some_and(|born| new.born <= *born);
        let displaced = self.addresses.get(&new.address).is_some_and(|born| new.born < *born);
        let late = self.entries.get(&new.id).is_some_and(|entry| {
            let old = &entry.announcement;
            (new.born, new.sequence) <= (old.born, old.sequence)
        });
        ended || displaced || late
    }

    /// Records the loss of the former incarnation of an endpoint that starts again under its id.
    fn detect_restart(&mut self, new: &Announcement) {
        let former = self.entries.get(&new.id).filter(|entry| entry.announcement.born < new.born);
        self.lost.extend(former.and_then(Entry::lost));
    }

    /// Removes another endpoint that had the same address; returns whether there was one.
    fn replace_address(&mut self, new: &Announcement) -> bool {
        let former = self
            .entries
            .iter()
            .find(|(id, entry)| **id != new.id && entry.announcement.address == new.address);
        let Some((id, lost)) = former.map(|(id, entry)| (id.clone(), entry.lost())) else {
            return false;
        };
        self.lost.extend(lost);
        self.end(&id);
        true
    }

    /// Records that an incarnation of an endpoint leaves, which its latest announcement does not say; returns whether it
    /// accepted requests until now. `source` is how that is known, for the log.
    pub fn drain(&mut self, id: &Name, born: u64, source: &str) -> bool {
        let entry = self.entries.get_mut(id).filter(|entry| {
            let Announcement { born: known, state, .. } = &entry.announcement;
            (*known, *state) == (born, State::Ready)
        });
        let Some(entry) = entry else { return false };
        entry.announcement.state = State::Draining(None);
        base::event!(INFO, Event::EndpointLeaves, endpoint = %id, born, how = source);
        true
    }

    /// Removes an endpoint that is leaving. Without `born`, this applies to the known incarnation.
    pub fn leave(&mut self, id: &Name, born: Option<u64>) -> Change {
        let Some(entry) = self.entries.get(id) else {
            let silent = self.silent.remove(id);
            if let Some(born) = born.or(silent) {
                self.record_ended(id.clone(), born);
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

    /// Removes the endpoints without an announcement within `timeout`; returns their ids.
    pub fn expire(&mut self, timeout: Duration, now: Duration) -> Vec<Name> {
        for builds in self.builds.values_mut() {
            builds.retain(|_, heard| now < *heard + BUILD_MEMORY);
        }
        let expired = self.entries.iter().filter(|(_, entry)| now >= entry.heard + timeout);
        let ids: Vec<Name> = expired.map(|(id, _)| id.clone()).collect();
        for id in &ids {
            base::event!(WARN, Event::EndpointSilent, endpoint = %id);
            let Some(entry) = self.entries.remove(id) else { continue };
            if self.silent.len() >= MAX_ENDED_INCARNATIONS {
                self.silent.clear();
            }
            self.silent.insert(id.clone(), entry.announcement.born);
            // One that drains may be gone without a deregistration that arrived.
            if entry.announcement.state == State::Ready {
                self.lost.extend(entry.lost());
            }
        }
        ids
    }

    /// Returns the endpoints that ended without notice since the last call: another incarnation took their id or their
    /// address, or they fell silent.
    pub fn take_lost(&mut self) -> Vec<Lost> {
        std::mem::take(&mut self.lost)
    }

    fn end(&mut self, id: &Name) {
        if let Some(entry) = self.entries.remove(id) {
            self.record_ended(id.clone(), entry.announcement.born);
        }
    }

    fn record_ended(&mut self, id: Name, born: u64) {
        if self.ended.len() >= MAX_ENDED_INCARNATIONS {
            self.ended.clear();
        }
        let latest = self.ended.entry(id).or_default();
        *latest = (*latest).max(born);
    }

    /// Returns the latest announcements of the endpoints that accept new requests.
    pub fn ready(&self) -> impl Iterator<Item = &Announcement> {
        let all = self.entries.values().map(|entry| &entry.announcement);
        all.filter(|announcement| announcement.state == State::Ready)
    }

    /// Returns the endpoints that accept new requests.
    pub fn endpoints(&self) -> Vec<Endpoint> {
        self.ready().map(Endpoint::from).collect()
    }

    /// Returns an endpoint's latest announcement.
    pub fn get(&self, id: &str) -> Option<&Announcement> {
        self.entries.get(id).map(|entry| &entry.announcement)
    }

    /// Returns the start time of the latest incarnation of an endpoint that is known or has fallen silent.
    pub fn latest_start(&self, id: &Name) -> Option<u64> {
        let known = self.entries.get(id).map(|entry| entry.announcement.born);
        known.or_else(|| self.silent.get(id).copied())
    }

    /// Returns the build of a service if it is the only one that was announced within `window`, which is at
    /// most ten minutes.
    pub fn sole_build(&self, service: &str, window: Duration, now: Duration) -> Option<&Name> {
        let builds = self.builds.get(service).filter(|_| window <= BUILD_MEMORY)?;
        let mut recent = builds.iter().filter(|(_, heard)| now < **heard + window);
        let (build, _) = recent.next()?;
        recent.next().is_none().then_some(build)
    }

    /// Restarts the timeouts of all endpoints, after a time in which announcements could not be
    /// received.
    pub fn refresh_all(&mut self, now: Duration) {
        for entry in self.entries.values_mut() {
            entry.heard = now;
        }
        for heard in self.builds.values_mut().flat_map(Map::values_mut) {
            *heard = now;
        }
    }
}
