//! Calls to keepers.

use base::Name;
use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use state::Command;
use state::Delta;
use state::Outcome;
use state::View;
use state::view;

/// The calls that a keeper answers.
#[tarpc::service]
pub trait Keeper {
    /// Delivers messages of the replicated log from another replica.
    async fn deliver(parcel: Envelope);
    /// Asks to become a replica; repeated until `Members` has the sender.
    async fn enroll(member: raft::message::Member) -> Result<(), Fault>;
    /// Renews the lease of a gate and brings its view up to date.
    async fn renew(renewal: Renewal) -> Result<Grant, Fault>;
    /// Commits a command and returns its outcome.
    async fn submit(command: Command) -> Result<Outcome, Fault>;
    /// Waits for a permit to load an adapter.
    async fn permit(wish: Bid) -> Result<Permit, Fault>;
    /// Gives a permit back when the load has ended.
    async fn settle(permit: u64);
    /// Reads the view, confirmed by a majority.
    async fn view() -> Result<View, Fault>;
    /// Tells how the keeper is.
    async fn status() -> Status;
    /// Delivers a piece of a snapshot that is too large for one parcel.
    async fn install(piece: Chunk);
}

/// Messages of the replicated log.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Envelope {
    /// The group; messages of another group are dropped.
    pub group: u64,
    /// The replica that sends.
    pub from: u64,
    /// The host of the replica that sends.
    pub host: Name,
    /// The replica that is meant.
    pub to: u64,
    /// The messages, in order.
    pub messages: Vec<raft::Message>,
}

/// A piece of a message with a snapshot; the pieces of one message are sent in order.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Chunk {
    /// The group, the replicas and the host, with the message alone; its snapshot has no data.
    pub parcel: Envelope,
    /// Where the piece begins in the data of the snapshot, in bytes.
    pub offset: u64,
    /// The length of the data of the snapshot, in bytes.
    pub total: u64,
    /// The piece.
    pub bytes: Bytes,
}

/// Why a keeper did not carry out a call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, thiserror::Error)]
pub enum Fault {
    /// Another keeper leads.
    #[error("not the leader; the leader is {leader:?}")]
    NotLeader {
        /// The host of the leader, where it is known.
        leader: Option<Name>,
    },
    /// The command may have been committed; the same command may be sent again.
    #[error("the outcome is unknown")]
    Unknown,
    /// The lease of the sender has ended; it must join as a new run.
    #[error("the lease has ended")]
    LeaseEnded,
    /// The queue of permits is full.
    #[error("busy")]
    Busy,
}

/// A gate's renewal of its lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Renewal {
    /// The gate.
    pub gate: view::Gate,
    /// The revision of the view that the gate has applied; 0 asks for the whole view.
    pub applied: u64,
    /// Whether the gate gives its lease back now.
    pub leave: bool,
}

/// A renewed lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// How long the lease lasts, counted from before the renewal was sent, in milliseconds.
    pub lease_ms: u64,
    /// The part of the view that the gate lacks; apply it before the lease is used.
    pub update: Update,
    /// The revision of the view that every gate of the view has applied: a configuration up to it is in
    /// force, and nobody acts on an older owner of an endpoint. A new leader starts with 0.
    pub in_force: u64,
}

/// The part of the view that a gate lacks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Update {
    /// The changes in order; empty if there are none.
    Deltas(Vec<Delta>),
    /// The whole view.
    Whole(Box<View>),
}

/// A gate's wish to load an adapter.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Bid {
    /// The gate.
    pub gate: Name,
    /// The run of the gate.
    pub incarnation: u64,
    /// What the load is worth; the highest is granted first, and age raises it.
    pub worth: u32,
    /// The time after which the wish is worth nothing, in milliseconds from now.
    pub patience_ms: u64,
}

/// A permit for one load.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Permit {
    /// The number of the permit.
    pub id: u64,
}

/// How a keeper is.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The host of the keeper.
    pub host: Name,
    /// The replica.
    pub id: u64,
    /// The group.
    pub group: u64,
    /// `leader`, `follower`, `candidate` or `learner`.
    pub role: Name,
    /// The term.
    pub term: u64,
    /// The host of the leader, where it is known.
    pub leader: Option<Name>,
    /// The committed index.
    pub commit: u64,
    /// The applied index.
    pub applied: u64,
    /// The voters' hosts.
    pub voters: Vec<Name>,
    /// The learners' hosts.
    pub learners: Vec<Name>,
    /// The revision of the configuration.
    pub configuration: u64,
    /// The revision of the view that every gate has applied; 0 on followers.
    pub in_force: u64,
}
