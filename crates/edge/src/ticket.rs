//! A request at an endpoint, until it has ended in whatever way.

use std::sync::Arc;
use std::time::Duration;

use base::Name;
use fleet::message::Ended;
use fleet::message::Frame;
use fleet::message::Outcome;
use tokio::time::Instant;

use crate::board::Board;
use crate::uplink::Uplink;

/// A request at an endpoint; its end is told when this is dropped.
#[derive(Debug)]
pub(crate) struct Ticket {
    board: Arc<Board>,
    /// Present where a scheduler placed the request.
    placed: Option<(Arc<Uplink>, u64)>,
    endpoint: Name,
    sent: Instant,
    began: bool,
    outcome: Outcome,
}

impl Ticket {
    pub(crate) fn new(
        board: &Arc<Board>,
        placed: Option<(Arc<Uplink>, u64)>,
        endpoint: &Name,
    ) -> Ticket {
        board.stats.lock().entry(endpoint.clone()).or_default().running += 1;
        Ticket {
            board: board.clone(),
            placed,
            endpoint: endpoint.clone(),
            sent: Instant::now(),
            began: false,
            // What ends without another word was given up by its caller.
            outcome: Outcome::Cancelled,
        }
    }

    /// Notes the first bytes of the answer's body.
    pub(crate) fn begin(&mut self) {
        if std::mem::replace(&mut self.began, true) {
            return;
        }
        if let Some((uplink, request)) = &self.placed {
            let after_ms = self.sent.elapsed().as_millis() as u32;
            uplink.tell(Frame::Began { request: *request, after_ms });
        }
    }

    /// Notes how the request ended.
    pub(crate) fn end(&mut self, outcome: Outcome) {
        self.outcome = outcome;
    }

    /// Notes what the endpoint said of its load.
    pub(crate) fn load(&self, running: u32) {
        let now = self.board.now();
        if let Some(stats) = self.board.stats.lock().get_mut(&self.endpoint) {
            stats.told = Some((running, now));
        }
    }

    /// Returns the time since the request was sent.
    pub(crate) fn age(&self) -> Duration {
        self.sent.elapsed()
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let now = self.board.now();
        if let Some(stats) = self.board.stats.lock().get_mut(&self.endpoint) {
            stats.running = stats.running.saturating_sub(1);
            match self.outcome {
                Outcome::Done => stats.note(false, now),
                Outcome::Failed | Outcome::Lost | Outcome::Refused => stats.note(true, now),
                Outcome::Misdirected | Outcome::Cancelled => {}
            }
        }
        if let Some((uplink, request)) = &self.placed {
            uplink.ended(Ended { request: *request, outcome: self.outcome });
        }
    }
}
