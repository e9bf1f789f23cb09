//! Endpoints to which this gate must not send requests, according to their responses: those that leave, and those that
//! have asked for a pause. This takes precedence over heartbeats and over the leader's list of endpoints.

use std::time::Duration;

use base::Event;
use base::Map;
use base::Name;
use fleet::endpoint::Endpoint;
use fleet::endpoint::Incarnation;
use fleet::presence::Presence;
use parking_lot::Mutex;

/// The time for which an entry is kept while its endpoint is not listed. A leaving endpoint usually is not, and may serve
/// for minutes.
const RETENTION: Duration = Duration::from_secs(600);

/// The availability of an incarnation of an endpoint.
#[derive(Clone, Debug)]
struct Entry {
    born: u64,
    leaving: bool,
    /// The end of the pause that it has asked for.
    paused_until: Duration,
    presence: Presence,
}

/// The reason why this gate must not send requests to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Unavailable {
    /// The endpoint leaves.
    Leaving,
    /// The endpoint has asked for a pause, of which this time is left.
    Paused(Duration),
}

/// The endpoints to which this gate must not send requests.
#[derive(Debug, Default)]
pub struct Availability {
    entries: Mutex<Map<Name, Entry>>,
}

impl Availability {
    /// Records that an endpoint leaves; returns whether that is new.
    pub fn record_leaving(&self, endpoint: &Endpoint) -> bool {
        let mut entries = self.entries.lock();
        let Some(entry) = entry(&mut entries, endpoint) else { return false };
        let new = !entry.leaving;
        entry.leaving = true;
        if new {
            base::event!(
                INFO, Event::EndpointLeaves, endpoint = %endpoint.id, born = endpoint.born,
                how = "response"
            );
        }
        new
    }

    /// Records that an endpoint has asked this gate for a pause. It does not shorten an earlier one.
    pub fn record_pause(&self, endpoint: &Endpoint, pause: Duration, now: Duration) {
        let mut entries = self.entries.lock();
        let Some(entry) = entry(&mut entries, endpoint) else { return };
        entry.paused_until = entry.paused_until.max(now + pause);
        base::event!(
            INFO, Event::EndpointPaused, endpoint = %endpoint.id, born = endpoint.born,
            pause_ms = pause.as_millis() as u64
        );
    }

    /// Returns the reason why this gate must not send requests to an endpoint; `None` if it may.
    pub fn check(&self, endpoint: &Endpoint, now: Duration) -> Option<Unavailable> {
        let entries = self.entries.lock();
        let entry = entries.get(&endpoint.id).filter(|entry| entry.born == endpoint.born)?;
        match entry.paused_until.checked_sub(now) {
            _ if entry.leaving => Some(Unavailable::Leaving),
            Some(left) if !left.is_zero() => Some(Unavailable::Paused(left)),
            _ => None,
        }
    }

    /// Returns the endpoints that leave.
    pub fn leaving(&self) -> Vec<Incarnation> {
        let entries = self.entries.lock();
        let leaving = entries.iter().filter(|(_, entry)| entry.leaving);
        let incarnation = |(endpoint, entry): (&Name, &Entry)| Incarnation {
            endpoint: endpoint.clone(),
            born: entry.born,
        };
        leaving.map(incarnation).collect()
    }

    /// Returns whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.lock().is_empty()
    }

    /// Drops the entries of incarnations and of pauses that have ended. `known` returns the start time of an endpoint.
    pub fn expire(&self, known: impl Fn(&Name) -> Option<u64>, now: Duration) {
        self.entries.lock().retain(|id, entry| {
            let in_force = entry.leaving || now < entry.paused_until;
            in_force && entry.presence.update(entry.born, known(id), RETENTION, now)
        });
    }
}

/// Returns the entry of an endpoint, which is created if there is none; `None` if a later incarnation is known.
fn entry<'a>(entries: &'a mut Map<Name, Entry>, endpoint: &Endpoint) -> Option<&'a mut Entry> {
    let new = Entry {
        born: endpoint.born,
        leaving: false,
        paused_until: Duration::ZERO,
        presence: Presence::default(),
    };
    let entry = entries.entry(endpoint.id.clone()).or_insert_with(|| new.clone());
    if entry.born < new.born {
        *entry = new;
    }
    (entry.born == endpoint.born).then_some(entry)
}
