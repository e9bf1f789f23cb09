//! Requests to the driver task.

use state::Command;
use state::Outcome;
use state::View;
use tokio::sync::oneshot;
use wire::keeper::Bid;
use wire::keeper::Chunk;
use wire::keeper::Envelope;
use wire::keeper::Fault;
use wire::keeper::Grant;
use wire::keeper::Permit;
use wire::keeper::Renewal;
use wire::keeper::Status;

/// The sender of the reply to a call.
pub(crate) type Reply<T> = oneshot::Sender<Result<T, Fault>>;

/// A request to the driver task.
#[derive(Debug)]
pub(crate) enum Request {
    /// Delivers Raft messages of another replica.
    Deliver(Envelope),
    /// Delivers a chunk of a snapshot.
    Install(Box<Chunk>),
    /// Adds a new replica as a learner.
    Enroll(raft::message::Member, Reply<()>),
    /// Renews or releases the lease of a gate.
    Renew(Renewal, Reply<Grant>),
    /// Commits a command.
    Submit(Command, Reply<Outcome>),
    /// Queues a bid for a permit to load an adapter.
    Permit(Bid, Reply<Permit>),
    /// Releases the permit of a load that has ended.
    Settle(u64),
    /// Reads the view after a majority has confirmed the leader.
    View(Reply<View>),
    /// Returns the status of the keeper.
    Status(oneshot::Sender<Status>),
    /// Returns whether this replica is a member of its group.
    Member(oneshot::Sender<bool>),
    /// Stops the keeper.
    Stop,
}
