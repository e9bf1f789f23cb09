//! Tracks a request at an endpoint until it ends.

use std::sync::Arc;
use std::time::Duration;

use base::Name;
use fleet::message::Ended;
use fleet::message::Frame;
use fleet::message::Outcome;
use fleet::origin::Origin;
use tokio::time::Instant;

use crate::keepers::Keepers;
use crate::view::View;

/// Tracks a request at an endpoint. On drop it updates the endpoint's statistics and, if the scheduler placed
/// the request, reports its end to the leader.
#[derive(Debug)]
pub(crate) struct Tracker {
    view: Arc<View>,
    /// The links to the keepers and the request's number, if the scheduler placed the request.
    scheduled: Option<(Arc<Keepers>, u64)>,
    endpoint: Name,
    sent: Instant,
    started: bool,
    /// The origin to record when the stream begins, if it can be resumed.
    origin: Option<(Arc<Keepers>, Origin)>,
    outcome: Outcome,
}

impl Tracker {
    pub(crate) fn new(
        view: &Arc<View>,
        scheduled: Option<(Arc<Keepers>, u64)>,
        endpoint: &Name,
    ) -> Tracker {
        view.stats.lock().entry(endpoint.clone()).or_default().running += 1;
        Tracker {
            view: view.clone(),
            scheduled,
            endpoint: endpoint.clone(),
            sent: Instant::now(),
            started: false,
            origin: None,
            // A request that is dropped before it ends was cancelled by its caller.
            outcome: Outcome::Cancelled,
        }
    }

    /// Records the first bytes of the response body.
    pub(crate) fn record_first_byte(&mut self) {
        if std::mem::replace(&mut self.started, true) {
            return;
        }
        if let Some((keepers, origin)) = self.origin.take() {
            keepers.record_origin(&origin);
        }
        if let Some((keepers, request)) = &self.scheduled {
            let after_ms = self.sent.elapsed().as_millis() as u32;
            keepers.send(Frame::Began { request: *request, after_ms });
        }
    }

    /// Sets the origin to record when the response begins.
    pub(crate) fn set_origin(&mut self, keepers: &Arc<Keepers>, origin: Origin) {
        self.origin = Some((keepers.clone(), origin));
    }

    /// Sets the outcome of the request.
    pub(crate) fn set_outcome(&mut self, outcome: Outcome) {
        self.outcome = outcome;
    }

    /// Records the number of requests that the endpoint reported.
    pub(crate) fn record_load(&self, requests: u32) {
        let now = self.view.now();
        if let Some(stats) = self.view.stats.lock().get_mut(&self.endpoint) {
            stats.reported = Some((requests, now));
        }
    }

    /// Returns the time since the request was sent.
    pub(crate) fn elapsed(&self) -> Duration {
        self.sent.elapsed()
    }
}

impl Drop for Tracker {
    fn drop(&mut self) {
        let now = self.view.now();
        if let Some(stats) = self.view.stats.lock().get_mut(&self.endpoint) {
            stats.running = stats.running.saturating_sub(1);
            match self.outcome {
                Outcome::Done => stats.record(false, now),
                Outcome::Failed | Outcome::Lost | Outcome::Refused => stats.record(true, now),
                Outcome::Misdirected | Outcome::Cancelled => {}
            }
        }
        if let Some((keepers, request)) = &self.scheduled {
            keepers.report_end(Ended { request: *request, outcome: self.outcome });
        }
    }
}
