//! The runs of requests at endpoints whose end the gate has not seen, kept until it is known what became of the
//! endpoints.

use std::collections::VecDeque;
use std::time::Duration;

use base::Name;
use base::Set;
use fleet::quarantine::Fingerprint;
use fleet::quarantine::Loss;

/// The limit on runs; beyond it the oldest are dropped.
const MAX_RUNS: usize = 4_096;
/// The time for which a run is kept after its possible end, within which the leader learns of a crash: longer than an
/// endpoint may be silent before it is removed, and than a crashed one takes to start again.
const RETENTION: Duration = Duration::from_secs(15);
/// The tolerance of the time at which an endpoint was last known to run.
const TOLERANCE: Duration = Duration::from_millis(100);

/// A run of a request at an endpoint whose end the gate has not seen. All times are of the gate's clock.
#[derive(Clone, Debug)]
pub struct Run {
    /// The endpoint.
    pub endpoint: Name,
    /// The start time of the endpoint, as in [`fleet::endpoint::Announcement::born`].
    pub born: u64,
    /// The request.
    pub fingerprint: Fingerprint,
    /// When it was sent.
    pub sent: Duration,
    /// When the first bytes of the response body arrived.
    pub began: Option<Duration>,
    /// When the gate stopped waiting for the response.
    pub ended: Duration,
    /// Until when the endpoint may have run the request: the same time if the connection broke, the deadline if the gate
    /// closed it.
    pub until: Duration,
}

impl Run {
    fn is_at(&self, endpoint: &str, born: u64) -> bool {
        &*self.endpoint == endpoint && self.born == born
    }

    /// Returns the loss of the endpoint under this run, with its time. The endpoint was last known to run at `alive`.
    fn lost(self, alive: Duration) -> (Duration, Loss) {
        let at = self.ended.max(alive.min(self.until));
        let ms = |since: Duration| at.saturating_sub(since).as_millis() as u32;
        let loss = Loss {
            endpoint: self.endpoint,
            born: self.born,
            fingerprint: self.fingerprint,
            ran_ms: ms(self.sent),
            answering_ms: self.began.map(ms).unwrap_or_default(),
            age_ms: 0,
        };
        (at, loss)
    }
}

/// The runs whose end the gate has not seen.
#[derive(Debug, Default)]
pub struct Runs {
    /// The oldest first.
    runs: VecDeque<Run>,
    /// The incarnations that are being watched.
    watched: Set<(Name, u64)>,
}

impl Runs {
    /// Adds a run; returns whether a watch of its endpoint is to be started.
    pub fn add(&mut self, run: Run) -> bool {
        let now = run.ended;
        self.runs.retain(|run| now < run.until + RETENTION);
        if self.runs.len() >= MAX_RUNS {
            self.runs.pop_front();
        }
        let watch = self.watched.insert((run.endpoint.clone(), run.born));
        self.runs.push_back(run);
        watch
    }

    /// Returns until when an incarnation of an endpoint may run requests.
    pub fn open_until(&self, endpoint: &str, born: u64) -> Option<Duration> {
        self.runs.iter().filter(|run| run.is_at(endpoint, born)).map(|run| run.until).max()
    }

    /// Ends the watch of an incarnation, unless it may still run requests; returns whether the watch has ended.
    pub fn end_watch(&mut self, endpoint: &Name, born: u64, now: Duration) -> bool {
        let open = self.open_until(endpoint, born).is_some_and(|until| now < until);
        if !open {
            self.watched.remove(&(endpoint.clone(), born));
        }
        !open
    }

    /// Removes the runs that may have been in progress when an incarnation of an endpoint crashed; returns the losses
    /// with their times. The endpoint was last known to run at `alive`.
    pub fn take_crashed(
        &mut self,
        endpoint: &str,
        born: u64,
        alive: Duration,
    ) -> Vec<(Duration, Loss)> {
        let mut crashed = Vec::new();
        for run in std::mem::take(&mut self.runs) {
            if run.is_at(endpoint, born) && run.until + TOLERANCE >= alive {
                crashed.push(run.lost(alive));
            } else {
                self.runs.push_back(run);
            }
        }
        crashed
    }
}
