//! What other tasks ask of the driver.

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

/// Where the answer to a call goes.
pub(crate) type Reply<T> = oneshot::Sender<Result<T, Fault>>;

/// What other tasks ask of the driver.
#[derive(Debug)]
pub(crate) enum Request {
    /// Messages of another replica.
    Deliver(Envelope),
    /// A piece of a snapshot.
    Install(Box<Chunk>),
    /// A new replica wants to become a member.
    Enroll(raft::message::Member, Reply<()>),
    /// A gate renews its lease or gives it back.
    Renew(Renewal, Reply<Grant>),
    /// A command is to be committed.
    Submit(Command, Reply<Outcome>),
    /// A gate wants to load an adapter.
    Permit(Bid, Reply<Permit>),
    /// A load has ended.
    Settle(u64),
    /// A read of the view.
    View(Reply<View>),
    /// How the keeper is.
    Status(oneshot::Sender<Status>),
    /// Whether this replica is a member of its group.
    Member(oneshot::Sender<bool>),
    /// The keeper is to stop.
    Stop,
}
