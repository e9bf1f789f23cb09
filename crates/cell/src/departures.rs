//! The endpoints that have left as planned, whose lost connections are no crashes.

use std::time::Duration;

use base::Map;
use base::Name;
use fleet::endpoint::State;

/// The limit on remembered departures; beyond it all are dropped.
const MAX_DEPARTURES: usize = 4_096;
/// The time before its announced end from which an endpoint may be gone, because its announcement may have been delayed.
const TOLERANCE: Duration = Duration::from_millis(500);

/// The departure of an incarnation of an endpoint.
#[derive(Clone, Copy, Debug)]
struct Departure {
    born: u64,
    /// Whether the endpoint announced that it is draining.
    draining: bool,
    /// From when the endpoint may be gone; `None` until it deregisters.
    end: Option<Duration>,
}

/// The endpoints that have left as planned.
#[derive(Debug)]
pub struct Departures {
    /// The time for which an endpoint serves on after it has deregistered without draining before.
    drain: Duration,
    departures: Map<Name, Departure>,
}

impl Departures {
    /// Creates an empty table.
    pub fn new(drain: Duration) -> Departures {
        Departures { drain, departures: Map::default() }
    }

    /// Handles an endpoint's announcement.
    pub fn announced(&mut self, id: &Name, born: u64, state: State, now: Duration) {
        let State::Draining(left) = state else { return };
        if self.departures.get(id).is_some_and(|known| known.born == born) {
            return;
        }
        let end = left.map(|left| (now + left).saturating_sub(TOLERANCE));
        self.insert(id, Departure { born, draining: true, end });
    }

    /// Handles an endpoint's deregistration; returns whether the endpoint had drained, so that it may be gone from now on.
    pub fn left(&mut self, id: &Name, born: u64, now: Duration) -> bool {
        let known = self.departures.get(id).filter(|known| known.born == born);
        let drained = known.is_some_and(|known| known.draining);
        let end = known.and_then(|known| known.end);
        let deregistered = if drained { now } else { now + self.drain };
        let end = end.map_or(deregistered, |end| end.min(deregistered));
        self.insert(id, Departure { born, draining: drained, end: Some(end) });
        drained
    }

    /// Returns whether an endpoint that was lost at `at` had left as planned. One that crashes while it drains has not.
    pub fn includes(&self, id: &str, born: u64, at: Duration) -> bool {
        let departure = self.departures.get(id).filter(|departure| departure.born == born);
        departure.and_then(|departure| departure.end).is_some_and(|end| at >= end)
    }

    fn insert(&mut self, id: &Name, departure: Departure) {
        if self.departures.len() >= MAX_DEPARTURES {
            self.departures.clear();
        }
        self.departures.insert(id.clone(), departure);
    }
}
