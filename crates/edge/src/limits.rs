//! The limits on their request rates that endpoints have named.

use std::time::Duration;

use base::Event;
use base::Map;
use base::Name;
use fleet::endpoint::Endpoint;
use limit::Notice;
use limit::Rate;
use parking_lot::Mutex;

/// The limit of an incarnation of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Limit {
    born: u64,
    rate: Rate,
    /// When this gate learned of it.
    learned: Duration,
}

/// The limits that endpoints have named.
#[derive(Debug, Default)]
pub(crate) struct Limits {
    limits: Mutex<Map<Name, Limit>>,
}

impl Limits {
    /// Records what a response to a request, sent at `sent`, tells about the limit of its endpoint. `ran` states whether
    /// the endpoint ran the request; only such a response lifts a limit, and only if the request was sent after the
    /// limit was known.
    pub(crate) fn record(
        &self,
        endpoint: &Endpoint,
        notice: Notice,
        ran: bool,
        sent: Duration,
        now: Duration,
    ) {
        let mut limits = self.limits.lock();
        let known = limits.get(&endpoint.id).filter(|limit| limit.born == endpoint.born).copied();
        let rate = match (notice, known) {
            (Notice::Named(rate), None) => Some(rate),
            (Notice::Named(rate), Some(known)) if known.rate != rate => Some(rate),
            (Notice::Absent, Some(known)) if ran && sent > known.learned => None,
            _ => return,
        };
        base::event!(
            INFO, Event::LimitChanged, endpoint = %endpoint.id, born = endpoint.born,
            rate = rate.map(Rate::per_second), former = known.map(|known| known.rate.per_second())
        );
        match rate {
            Some(rate) => {
                let limit = Limit { born: endpoint.born, rate, learned: now };
                limits.insert(endpoint.id.clone(), limit);
            }
            None => drop(limits.remove(&endpoint.id)),
        }
    }

    /// Drops the limits of endpoints for which `known` returns false.
    pub(crate) fn retain(&self, known: impl Fn(&Name, u64) -> bool) {
        self.limits.lock().retain(|id, limit| known(id, limit.born));
    }
}
