//! Requests whose connections to endpoints broke, until it is known whether the endpoints crashed.

use std::time::Duration;

use base::Map;
use base::Name;
use state::View;
use tokio::time::Instant;

use crate::pool::Crash;

/// The time within which a crashed endpoint is expected to start again.
const RETENTION: Duration = Duration::from_secs(30);

/// The requests whose connections broke, by endpoint.
///
/// They are kept apart from the endpoints that this gate owns, because an endpoint may move to another gate
/// before its next generation is known.
#[derive(Debug, Default)]
pub(crate) struct Disconnects {
    entries: Map<Name, Disconnect>,
}

#[derive(Debug)]
struct Disconnect {
    /// The generation of the endpoint.
    generation: u64,
    /// Invariant: not empty.
    fingerprints: Vec<u64>,
    /// The time of the last broken connection.
    at: Instant,
}

impl Disconnects {
    /// Records a broken connection to the current generation of an endpoint.
    pub(crate) fn record(&mut self, endpoint: &Name, generation: u64, fingerprint: u64) {
        let at = Instant::now();
        self.entries.retain(|_, entry| at.duration_since(entry.at) < RETENTION);
        let new = || Disconnect { generation, fingerprints: Vec::new(), at };
        let entry = self.entries.entry(endpoint.clone()).or_insert_with(new);
        if entry.generation < generation {
            *entry = new();
        }
        entry.fingerprints.push(fingerprint);
        entry.at = at;
    }

    /// Removes and returns the requests whose connections to an endpoint broke.
    pub(crate) fn take(&mut self, endpoint: &Name) -> Vec<u64> {
        self.entries.remove(endpoint).map(|entry| entry.fingerprints).unwrap_or_default()
    }

    /// Removes and returns the crashes of the generations that are over according to the view.
    pub(crate) fn take_ended(&mut self, view: &View) -> Vec<Crash> {
        let now = Instant::now();
        let ended = self.entries.extract_if(|endpoint, entry| {
            let current = view.endpoints.get(endpoint);
            current.is_some_and(|current| entry.generation < current.endpoint.generation)
        });
        let recent = ended.filter(|(_, entry)| now.duration_since(entry.at) < RETENTION);
        recent
            .map(|(endpoint, entry)| Crash::new(endpoint, entry.generation, entry.fingerprints))
            .collect()
    }
}
