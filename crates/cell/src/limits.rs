//! The leader's limits on the request rates of endpoints. All gates draw on one bucket for each endpoint.

use std::time::Duration;

use base::Map;
use base::Name;
use fleet::limit::Limit;
use fleet::limit::RETENTION;
use fleet::presence::Presence;
use limit::Bucket;

/// The limit of an endpoint.
#[derive(Debug)]
struct Entry {
    born: u64,
    /// Admits the requests to an endpoint that is no engine of the scheduler, which has a bucket for each of its own.
    bucket: Bucket,
    presence: Presence,
}

/// The limits that endpoints have named.
#[derive(Debug, Default)]
pub struct Limits {
    entries: Map<Name, Entry>,
}

impl Limits {
    /// Applies a limit that a gate reports; returns whether it changes anything.
    pub fn set(&mut self, limit: &Limit, now: Duration) -> bool {
        let known = self.entries.get_mut(&limit.endpoint);
        match (limit.rate, known) {
            (_, Some(known)) if known.born > limit.born => false,
            (Some(rate), Some(known)) if known.born == limit.born => {
                let changed = known.bucket.rate() != rate;
                known.bucket.set_rate(rate, now);
                changed
            }
            (Some(rate), _) => {
                let entry = Entry {
                    born: limit.born,
                    bucket: Bucket::new(rate, now),
                    presence: Presence::default(),
                };
                self.entries.insert(limit.endpoint.clone(), entry);
                true
            }
            (None, known) => known.is_some() && self.entries.remove(&limit.endpoint).is_some(),
        }
    }

    /// Returns all limits.
    pub fn list(&self) -> Vec<Limit> {
        let limit = |(endpoint, entry): (&Name, &Entry)| Limit {
            endpoint: endpoint.clone(),
            born: entry.born,
            rate: Some(entry.bucket.rate()),
        };
        self.entries.iter().map(limit).collect()
    }

    /// Admits a request to an endpoint; returns the time until the next one if the limit is reached.
    pub fn try_take(&mut self, endpoint: &str, born: u64, now: Duration) -> Result<(), Duration> {
        let entry = self.entries.get_mut(endpoint).filter(|entry| entry.born == born);
        entry.map_or(Ok(()), |entry| entry.bucket.try_take(now))
    }

    /// Drops the limits of incarnations that have ended. `known` returns the start time of an endpoint.
    pub fn expire(&mut self, known: impl Fn(&Name) -> Option<u64>, now: Duration) {
        self.entries
            .retain(|id, entry| entry.presence.update(entry.born, known(id), RETENTION, now));
    }
}
