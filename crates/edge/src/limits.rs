//! The limits on their request rates that endpoints have named. The leader keeps the rate for all gates; without a leader
//! each gate has a share.

use std::time::Duration;

use base::Event;
use base::Map;
use base::Name;
use fleet::endpoint::Endpoint;
use fleet::limit::Limit;
use fleet::limit::RETENTION;
use fleet::presence::Presence;
use limit::Notice;
use limit::Rate;
use limit::Share;
use parking_lot::Mutex;

/// The limit of an incarnation of an endpoint.
#[derive(Clone, Debug)]
struct Entry {
    born: u64,
    rate: Rate,
    /// When this gate learned of it.
    learned: Duration,
    /// Until when this gate sends nothing, because the limit is reached.
    reached_until: Duration,
    /// This gate's share while there is no leader; created when it is first used.
    share: Option<Share>,
    presence: Presence,
}

/// The limits that endpoints have named.
#[derive(Debug, Default)]
pub struct Limits {
    entries: Mutex<Map<Name, Entry>>,
}

/// Whether a gate may send a request to an endpoint now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    /// The endpoint has named no limit.
    Unlimited,
    /// The endpoint has named a limit, so the request needs a permit.
    Limited,
    /// The limit is reached; there may be a permit after this time.
    Reached(Duration),
}

impl Limits {
    /// Applies the notice in a response to a request that was sent at `sent`. `ran` states whether the endpoint ran the
    /// request; only such a response lifts a limit, and only if the request was sent after the limit was known. Returns
    /// the change, if there is one.
    pub fn record(
        &self,
        endpoint: &Endpoint,
        notice: Notice,
        ran: bool,
        sent: Duration,
        now: Duration,
    ) -> Option<Limit> {
        let mut entries = self.entries.lock();
        let known = entries.get(&endpoint.id).filter(|entry| entry.born == endpoint.born);
        let former = known.map(|entry| entry.rate);
        let rate = match (notice, known) {
            (Notice::Named(rate), _) if former != Some(rate) => Some(rate),
            (Notice::Absent, Some(known)) if ran && sent > known.learned => None,
            _ => return None,
        };
        base::event!(
            INFO, Event::LimitChanged, endpoint = %endpoint.id, born = endpoint.born,
            rate = rate.map(Rate::per_second), former = former.map(Rate::per_second)
        );
        let limit = Limit { endpoint: endpoint.id.clone(), born: endpoint.born, rate };
        match rate {
            Some(_) => set(&mut entries, &limit, now),
            None => drop(entries.remove(&endpoint.id)),
        }
        Some(limit)
    }

    /// Replaces all limits by those of the leader.
    pub fn replace(&self, limits: &[Limit], now: Duration) {
        let mut entries = self.entries.lock();
        entries.retain(|id, _| limits.iter().any(|limit| limit.endpoint == *id));
        for limit in limits {
            set(&mut entries, limit, now);
        }
    }

    /// Returns all limits.
    pub fn list(&self) -> Vec<Limit> {
        let limit = |(endpoint, entry): (&Name, &Entry)| Limit {
            endpoint: endpoint.clone(),
            born: entry.born,
            rate: Some(entry.rate),
        };
        self.entries.lock().iter().map(limit).collect()
    }

    /// Drops the limits of incarnations that have ended. `known` returns the start time of an endpoint.
    pub fn expire(&self, known: impl Fn(&Name) -> Option<u64>, now: Duration) {
        let mut entries = self.entries.lock();
        entries.retain(|id, entry| entry.presence.update(entry.born, known(id), RETENTION, now));
    }

    /// Returns whether this gate may send a request to an endpoint.
    pub fn admission(&self, endpoint: &Endpoint, now: Duration) -> Admission {
        let entries = self.entries.lock();
        match entries.get(&endpoint.id).filter(|entry| entry.born == endpoint.born) {
            None => Admission::Unlimited,
            Some(entry) if now < entry.reached_until => {
                Admission::Reached(entry.reached_until - now)
            }
            Some(_) => Admission::Limited,
        }
    }

    /// Records that the limit of an endpoint is reached for this time.
    pub fn set_reached(&self, endpoint: &Endpoint, wait: Duration, now: Duration) {
        if let Some(entry) = self.entries.lock().get_mut(&endpoint.id) {
            entry.reached_until = now + wait;
        }
    }

    /// Uses this gate's share of an endpoint's limit, of which `gates` gates have one each; returns the time until the
    /// next request if there is none left. `phase`, from 0 to 1, should be random.
    pub fn take_share(
        &self,
        endpoint: &Endpoint,
        gates: u32,
        phase: f64,
        now: Duration,
    ) -> Result<(), Duration> {
        let mut entries = self.entries.lock();
        let entry = entries.get_mut(&endpoint.id).filter(|entry| entry.born == endpoint.born);
        let Some(entry) = entry else { return Ok(()) };
        let rate = entry.rate;
        entry.share.get_or_insert_with(|| Share::new(rate, gates, phase, now)).try_take(now)
    }
}

/// Sets a limit, and keeps what is known of it if it does not change.
fn set(entries: &mut Map<Name, Entry>, limit: &Limit, now: Duration) {
    let Some(rate) = limit.rate else { return };
    let known = entries.get(&limit.endpoint);
    if known.is_some_and(|known| known.born == limit.born && known.rate == rate) {
        return;
    }
    let entry = Entry {
        born: limit.born,
        rate,
        learned: now,
        reached_until: Duration::ZERO,
        share: None,
        presence: Presence::default(),
    };
    entries.insert(limit.endpoint.clone(), entry);
}
