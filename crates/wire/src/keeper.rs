//! RPC calls to keepers.

use base::Name;
use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use state::Command;
use state::Delta;
use state::Outcome;
use state::View;
use state::view;

/// The RPC service that a keeper provides to gates and other keepers.
#[tarpc::service]
pub trait Keeper {
    /// Delivers Raft messages from another replica.
    async fn deliver(parcel: Envelope);
    /// Requests membership for a replica; repeated until `Members` contains the sender.
    async fn enroll(member: raft::message::Member) -> Result<(), Fault>;
    /// Renews the lease of a gate and returns the changes of the view since its last renewal.
    async fn renew(renewal: Renewal) -> Result<Grant, Fault>;
    /// Commits a command and returns its outcome.
    async fn submit(command: Command) -> Result<Outcome, Fault>;
    /// Waits for a permit to load an adapter.
    async fn permit(wish: Bid) -> Result<Permit, Fault>;
    /// Returns a permit after the load has ended.
    async fn settle(permit: u64);
    /// Returns the view after a majority has confirmed the leader.
    async fn view() -> Result<View, Fault>;
    /// Returns the status of the keeper.
    async fn status() -> Status;
    /// Delivers a chunk of a snapshot that is too large for one envelope.
    async fn install(piece: Chunk);
}

/// Raft messages from one replica to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Envelope {
    /// The Raft group; messages of other groups are dropped.
    pub group: u64,
    /// The sending replica.
    pub from: u64,
    /// The host of the sending replica.
    pub host: Name,
    /// The receiving replica.
    pub to: u64,
    /// The messages, in order.
    pub messages: Vec<raft::Message>,
}

/// A chunk of a message with a snapshot; the chunks of a message are sent in order.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Chunk {
    /// The envelope with only this message, whose snapshot has no data.
    pub parcel: Envelope,
    /// The offset of the chunk in the snapshot data, in bytes.
    pub offset: u64,
    /// The total length of the snapshot data, in bytes.
    pub total: u64,
    /// The data of the chunk.
    pub bytes: Bytes,
}

/// The reason for which a keeper did not execute a call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, thiserror::Error)]
pub enum Fault {
    /// This keeper is not the leader.
    #[error("not the leader; the leader is {leader:?}")]
    NotLeader {
        /// The host of the leader, if known.
        leader: Option<Name>,
    },
    /// The command may have been committed; the caller may send the same command again.
    #[error("the outcome is unknown")]
    Unknown,
    /// The lease of the sender has ended; it must join with a new incarnation.
    #[error("the lease has ended")]
    LeaseEnded,
    /// The keeper cannot execute the call at present, for example because a queue is full; the caller may
    /// retry later.
    #[error("busy")]
    Busy,
}

/// A request of a gate to renew its lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Renewal {
    /// The gate.
    pub gate: view::Gate,
    /// The view revision that the gate has applied; 0 requests the whole view.
    pub applied: u64,
    /// Whether the gate releases its lease.
    pub leave: bool,
}

/// A renewed lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// The duration of the lease in milliseconds, counted from before the renewal was sent.
    pub lease_ms: u64,
    /// The changes of the view, which the gate must apply before it uses the lease.
    pub update: Update,
    /// The view revision that all gates of the view have applied. A configuration up to this revision is in
    /// force, and no gate acts on an earlier owner of an endpoint. A new leader starts with 0.
    pub in_force: u64,
}

/// The changes of the view that a gate has not applied.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Update {
    /// The changes in order, possibly none.
    Deltas(Vec<Delta>),
    /// The whole view.
    Whole(Box<View>),
}

/// The bid of a gate for a permit to load an adapter.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Bid {
    /// The gate.
    pub gate: Name,
    /// The incarnation of the gate.
    pub incarnation: u64,
    /// The worth of the load. The bid with the highest worth is granted first; waiting raises its worth.
    pub worth: u32,
    /// The time after which the bid expires, in milliseconds from now.
    pub patience_ms: u64,
}

/// A permit for one load.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Permit {
    /// The number of the permit.
    pub id: u64,
}

/// The status of a keeper.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The host of the keeper.
    pub host: Name,
    /// The id of the replica.
    pub id: u64,
    /// The Raft group.
    pub group: u64,
    /// `leader`, `follower`, `candidate` or `learner`.
    pub role: Name,
    /// The current Raft term.
    pub term: u64,
    /// The host of the leader, if known.
    pub leader: Option<Name>,
    /// The commit index of the log.
    pub commit: u64,
    /// The applied index of the log.
    pub applied: u64,
    /// The hosts of the voters.
    pub voters: Vec<Name>,
    /// The hosts of the learners.
    pub learners: Vec<Name>,
    /// The revision of the configuration.
    pub configuration: u64,
    /// The view revision that all gates have applied; 0 on followers.
    pub in_force: u64,
}
