//! Whether this gate reaches the endpoints. While it does not, its connections to them go through other gates.

use std::time::Duration;

use base::Event;
use base::Name;
use base::Set;
use parking_lot::Mutex;

/// The number of endpoints that fail without a response in between from which the path counts as lost. A single one may
/// be down.
const MIN_FAILED_ENDPOINTS: usize = 2;
/// The delay before the lost path is tried again, which doubles with each failure up to the maximum.
const MIN_PROBE_BACKOFF: Duration = Duration::from_millis(250);
const MAX_PROBE_BACKOFF: Duration = Duration::from_secs(4);

#[derive(Debug)]
struct State {
    /// The endpoints that failed since the last success.
    failed: Set<Name>,
    succeeded_at: Duration,
    lost: bool,
    /// Whether the next connection is opened directly although the path is lost, because a probe was successful.
    trial: bool,
    probe_at: Duration,
    backoff: Duration,
}

/// The state of this gate's path to the endpoints.
#[derive(Debug)]
pub struct Path {
    state: Mutex<State>,
}

impl Default for Path {
    fn default() -> Path {
        Path {
            state: Mutex::new(State {
                failed: Set::default(),
                succeeded_at: Duration::ZERO,
                lost: false,
                trial: false,
                probe_at: Duration::ZERO,
                backoff: MIN_PROBE_BACKOFF,
            }),
        }
    }
}

impl Path {
    /// Returns whether the path is lost.
    pub fn is_lost(&self) -> bool {
        self.state.lock().lost
    }

    /// Returns when an endpoint last responded over the path.
    pub fn succeeded_at(&self) -> Duration {
        self.state.lock().succeeded_at
    }

    /// Records a response over the path, which shows that it works.
    pub fn record_success(&self, now: Duration) {
        let mut state = self.state.lock();
        state.failed.clear();
        state.succeeded_at = now;
        if state.lost {
            state.lost = false;
            base::event!(INFO, Event::PathRestored);
        }
    }

    /// Records that an endpoint could not be reached or did not respond; returns whether the path is now taken for lost.
    pub fn record_failure(&self, endpoint: &Name, now: Duration) -> bool {
        let mut state = self.state.lock();
        state.failed.insert(endpoint.clone());
        if state.lost || state.failed.len() < MIN_FAILED_ENDPOINTS {
            return false;
        }
        state.lost = true;
        state.trial = false;
        state.backoff = MIN_PROBE_BACKOFF;
        state.probe_at = now + state.backoff;
        base::event!(
            WARN,
            Event::PathLost,
            endpoints = state.failed.len(),
            silent_ms = now.saturating_sub(state.succeeded_at).as_millis() as u64
        );
        true
    }

    /// Returns whether the lost path is to be tried now, and schedules the next try.
    pub fn take_probe(&self, now: Duration) -> bool {
        let mut state = self.state.lock();
        let due = state.lost && now >= state.probe_at;
        if due {
            state.probe_at = now + state.backoff;
            state.backoff = (state.backoff * 2).min(MAX_PROBE_BACKOFF);
        }
        due
    }

    /// Allows one direct connection after a successful probe. Its response restores the path: endpoints may accept
    /// connections without responding.
    pub fn allow_trial(&self) {
        let mut state = self.state.lock();
        state.trial = state.lost;
    }

    /// Returns whether a connection must be opened through another gate. Uses up the trial, if one is allowed.
    pub fn needs_tunnel(&self) -> bool {
        let mut state = self.state.lock();
        state.lost && !std::mem::take(&mut state.trial)
    }
}
