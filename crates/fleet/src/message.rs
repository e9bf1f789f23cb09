//! The messages between gates and keepers.

use std::sync::Arc;

use base::Code;
use base::Name;
use bytes::Bytes;
use raft::message::Id;
use raft::message::Message;
use serde::Deserialize;
use serde::Serialize;

use crate::endpoint::Announcement;
use crate::endpoint::Endpoint;
use crate::plan::Plan;
use crate::registry::Registry;

/// What one process sends another over a link.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Frame {
    /// Keeps a quiet link alive.
    Ping,
    /// Who the sender is: the first frame of the side that connected, and again on each change.
    Hello(Hello),
    /// What the keeper knows of its group: its first frame, and again on each change.
    Welcome(Welcome),
    /// Messages of the replicated log.
    Raft(Envelope),
    /// A replica asks to become a member.
    Join {
        /// The replica.
        id: Id,
        /// The address for links.
        host: Name,
    },
    /// A call that the leader answers with [`Frame::Reply`].
    Call(u64, Call),
    /// The answer to a call.
    Reply(u64, Reply),
    /// The plan in force.
    Plan(Arc<Plan>),
    /// The versions of adapters in force.
    Versions(Vec<Version>),
    /// All endpoints that take work.
    Endpoints(Vec<Endpoint>),
    /// The leader's registry, for the other keepers.
    Registry(Box<Registry>),
    /// An engine holds an adapter, or no more.
    Holds(Vec<Holding>),
    /// A gate asks where to send a request.
    Ask(Box<Query>),
    /// A request was given up before it was sent.
    Withdraw(u64),
    /// Where to send a request.
    Grant(Grant),
    /// The request is refused.
    Denial(Denial),
    /// The first event of an answer came.
    Began {
        /// The request.
        request: u64,
        /// The time from the sending to the first event, in ms.
        after_ms: u32,
    },
    /// A request that was granted has ended.
    Ended(Ended),
    /// The requests that a gate has at engines, told to a new leader.
    Running(Vec<Running>),
}

/// Who the sender is.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Hello {
    /// The node.
    pub node: Name,
    /// Random for each start.
    pub incarnation: u64,
    /// The failure domain.
    pub domain: Name,
    /// Where callers connect; none for a keeper.
    pub front: Option<Name>,
    /// Whether it takes callers.
    pub accepting: bool,
}

/// What a keeper knows of its group.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Welcome {
    /// The term in which this keeper leads; none if it does not.
    pub leads: Option<u64>,
    /// The addresses for links of the members known.
    pub members: Vec<Name>,
}

/// Messages of the replicated log between two replicas.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Envelope {
    /// The group.
    pub group: u64,
    /// The sender.
    pub from: Id,
    /// The sender's address for links.
    pub host: Name,
    /// The receiver.
    pub to: Id,
    /// The messages.
    pub messages: Vec<Message>,
}

/// A call that the leader answers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Call {
    /// Make a plan durable and bring it into force.
    Publish {
        /// The plan.
        plan: Arc<Plan>,
        /// The plan as it was sent, to be given back.
        document: Bytes,
    },
    /// Make a version of an adapter durable and bring it into force.
    Name(Version),
    /// Return the newest plan as it was sent.
    Document,
    /// An endpoint announces itself.
    Announce(Announcement),
    /// An endpoint leaves.
    Leave {
        /// The endpoint.
        id: Name,
        /// The start, where it is told.
        born: Option<u64>,
    },
}

/// The answer to a call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// Done, or not needed any more.
    Done,
    /// The newest plan as it was sent; none if there is none yet.
    Document(Option<Bytes>),
    /// No leader could be sure; the call may have taken effect.
    Unsure,
}

/// A version of an adapter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Version {
    /// The base model.
    pub model: Name,
    /// The adapter.
    pub adapter: Name,
    /// The version.
    pub version: u64,
}

/// An adapter at an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// The engine.
    pub endpoint: Name,
    /// The adapter; empty for the base model itself.
    pub adapter: Name,
    /// Whether the engine holds it.
    pub held: bool,
}

/// Where should this request go?
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Query {
    /// The gate's number for the request.
    pub request: u64,
    /// The service.
    pub service: Name,
    /// The base model.
    pub model: Name,
    /// The adapter; empty for the base model itself.
    pub adapter: Name,
    /// A digest of what the request is, the same when its caller sends it again.
    pub fingerprint: u64,
    /// The tokens of the prompt.
    pub input: u32,
    /// The tokens of the answer, as estimated.
    pub output: u32,
    /// The parts of the prompt in order: a digest and its tokens.
    pub parts: Vec<(u64, u32)>,
    /// The time left until the answer loses worth, in ms; 0 if it has passed.
    pub target_ms: u32,
    /// The time left until the request must be answered, in ms.
    pub left_ms: u32,
    /// 0 is served first.
    pub rank: u8,
    /// The engines that must not get it.
    pub excluded: Vec<Name>,
}

/// Where to send a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// The gate's number for the request.
    pub request: u64,
    /// The engine.
    pub endpoint: Endpoint,
    /// The version that the engine must hold, where one was announced.
    pub version: Option<u64>,
    /// The urgency at the engine, 0 first and 9 last.
    pub urgency: u8,
}

/// Why a request gets no engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Denial {
    /// The gate's number for the request.
    pub request: u64,
    /// The reason.
    pub code: Code,
    /// When to come back, in ms.
    pub retry_ms: u32,
}

/// How a request ended at its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Answered in full.
    Done,
    /// The engine refused it and did not run it.
    Refused,
    /// The engine does not hold the adapter or is another one.
    Misdirected,
    /// The engine answered with a failure.
    Failed,
    /// The connection could not be opened, broke or stayed silent.
    Lost,
    /// The caller went away.
    Cancelled,
}

/// A request that was granted has ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Ended {
    /// The gate's number for the request.
    pub request: u64,
    /// How.
    pub outcome: Outcome,
}

/// A request at an engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Running {
    /// The gate's number for the request.
    pub request: u64,
    /// The engine.
    pub endpoint: Name,
    /// The adapter.
    pub adapter: Name,
    /// The tokens that it will hold at its end.
    pub tokens: u32,
    /// The time left until it must be answered, in ms.
    pub left_ms: u32,
}
