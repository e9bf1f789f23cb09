//! The right to send one request to one endpoint.

use std::sync::Arc;
use std::time::Duration;

use base::Name;

use crate::board::Board;

/// The right to send one request to one endpoint. The request counts as in flight until the ticket is
/// dropped; if it may still run then, it is abandoned and counts until it is known to have ended.
#[derive(Debug)]
pub struct Ticket {
    /// The request.
    pub request: Name,
    /// The endpoint.
    pub endpoint: Name,
    /// The address of the endpoint.
    pub address: Name,
    /// The fencing token to send with the request.
    pub fence: u64,
    /// The generation of the endpoint.
    pub generation: u64,
    /// The time for which the request waited for the adapter to load.
    pub stall: Duration,
    /// The fraction of the batch in use, including this request.
    pub batch_fill: f64,
    board: Arc<Board>,
    /// Whether the request may be running at the endpoint.
    sent: bool,
}

/// A request that was abandoned and may still run at its endpoint.
#[derive(Clone, Debug)]
pub struct Abandoned {
    /// The request.
    pub request: Name,
    /// The endpoint.
    pub endpoint: Name,
    /// The address of the endpoint.
    pub address: Name,
    /// The fencing token under which the request was sent.
    pub fence: u64,
    /// The generation of the endpoint.
    pub generation: u64,
}

impl Ticket {
    pub(crate) fn new(board: Arc<Board>, dispatch: &crate::pool::Dispatch) -> Ticket {
        Ticket {
            request: dispatch.waiter.request.clone(),
            endpoint: dispatch.endpoint.clone(),
            address: dispatch.address.clone(),
            fence: dispatch.fence,
            generation: dispatch.generation,
            stall: dispatch.stall,
            batch_fill: dispatch.fill as f64 / dispatch.batch.max(1) as f64,
            board,
            sent: false,
        }
    }

    /// Records that bytes of the request may reach the endpoint from now on.
    pub fn mark_sent(&mut self) {
        self.sent = true;
    }

    /// Records that the request did not run at the endpoint or has ended.
    pub fn mark_finished(&mut self) {
        self.sent = false;
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        if !self.sent {
            self.board.release(&self.endpoint, self.fence, &self.request);
            return;
        }
        self.board.abandon(Abandoned {
            request: self.request.clone(),
            endpoint: self.endpoint.clone(),
            address: self.address.clone(),
            fence: self.fence,
            generation: self.generation,
        });
    }
}
