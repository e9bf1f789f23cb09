//! The leader that a gate follows.

use std::net::SocketAddr;

use fleet::message::Frame;
use fleet::message::Submission;
use fleet::revision::Revision;
use link::Link;

/// The current leader.
#[derive(Clone, Debug)]
pub(crate) struct Leader {
    pub(crate) address: SocketAddr,
    pub(crate) term: u64,
    pub(crate) link: Link<Frame>,
    pub(crate) revision: Revision,
}

impl Leader {
    /// Sends a frame, unless the leader is of an earlier release that does not know it; returns whether it was sent.
    pub(crate) fn send(&self, frame: Frame) -> bool {
        frame.revision() <= self.revision && self.link.send(frame)
    }

    /// Sends a query; returns false if that is not possible. A leader of an earlier release gets the query alone.
    pub(crate) fn submit(&self, submission: Submission) -> bool {
        let extended = submission.tenant.is_some() || submission.gap_ms > 0;
        if extended && self.revision >= Revision::TENANTS {
            self.link.send(Frame::Submit(Box::new(submission)))
        } else {
            self.link.send(Frame::Ask(Box::new(submission.query)))
        }
    }
}
