//! The messages between gates and keepers.
//!
//! They are encoded by position: fields and variants must not change, and a new variant comes last, with a new
//! [`Revision`].

use std::sync::Arc;

use base::Code;
use base::Name;
use raft::message::Id;
use raft::message::Message;
use serde::Deserialize;
use serde::Serialize;

use crate::document::Document;
use crate::endpoint::Announcement;
use crate::endpoint::Endpoint;
use crate::endpoint::Incarnation;
use crate::extension::Extension;
use crate::limit::Limit;
use crate::origin::Origin;
use crate::plan::Plan;
use crate::quarantine::Crash;
use crate::quarantine::Loss;
use crate::quarantine::Subject;
use crate::quarantine::Survival;
use crate::registry::Registry;
use crate::revision::Revision;

/// A message over a link between two processes.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Frame {
    /// Keeps an idle link alive.
    Ping,
    /// Identifies the sender. The first frame of the side that connected; repeated on each change.
    Hello(Hello),
    /// The keeper's view of its group. The first frame of a keeper; repeated on each change.
    Welcome(Welcome),
    /// Raft messages.
    Raft(Envelope),
    /// A replica requests to join the group.
    Join {
        /// The id of the replica.
        id: Id,
        /// The address at which the replica accepts links.
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
    /// All endpoints that accept new requests.
    Endpoints(Vec<Endpoint>),
    /// The leader's registry, for the other keepers.
    Registry(Box<Registry>),
    /// Adapters that engines hold or no longer hold.
    Holds(Vec<Holding>),
    /// A gate queries the scheduler for the engine of a request.
    Ask(Box<Query>),
    /// Cancels the query with this request number; the request was not sent to an engine.
    Withdraw(u64),
    /// The engine for a request.
    Grant(Grant),
    /// The refusal of a request.
    Denial(Denial),
    /// The first event of a response arrived.
    Began {
        /// The gate's number for the request.
        request: u64,
        /// The time from sending the request to the first event, in ms.
        after_ms: u32,
    },
    /// The end of a granted request.
    Ended(Ended),
    /// The requests of a gate that are in flight at engines; sent to a new leader.
    Running(Vec<Running>),
    /// A gate records where streams began.
    Origins(Vec<Origin>),
    /// A gate asks a keeper where a stream began; answered with [`Frame::Located`].
    Locate {
        /// The gate's number for the lookup.
        lookup: u64,
        /// The stream, as in [`Origin::stream`].
        stream: u64,
        /// The service to which the route leads; `None` if there are several.
        service: Option<Name>,
    },
    /// The answer to [`Frame::Locate`].
    Located {
        /// The gate's number for the lookup.
        lookup: u64,
        /// Where the stream began; `None` if this keeper does not know it.
        origin: Option<Origin>,
        /// The only build of the service in the time in which the stream can have begun; `None` if there were
        /// several, or if this keeper does not know.
        sole_build: Option<Name>,
    },
    /// A gate reports endpoints that were lost while they ran requests; also sent to a new leader.
    Losses(Vec<Loss>),
    /// The leader names subjects that were in progress when an endpoint was lost.
    Suspects(Vec<Subject>),
    /// A gate reports that an endpoint ended the response to a suspected request.
    Survived(Survival),
    /// All subjects whose requests are to be refused.
    Quarantine(Vec<Subject>),
    /// A gate refused a request with a quarantined subject.
    QuarantineHit(Subject),
    /// The leader asks one gate to admit a single request with a quarantined subject.
    Probe(Subject),
    /// The leader has learned that an endpoint crashed; gates report with [`Frame::Losses`] what it may have run.
    Crashed(Crash),
    /// A gate reports that an endpoint named, changed or lifted a limit on its request rate; also sent to a new leader.
    Limit(Limit),
    /// The limits of all endpoints.
    Limits(Vec<Limit>),
    /// A gate asks the leader to admit a request to an endpoint with a limit; answered with [`Frame::Permit`].
    AskPermit {
        /// The gate's number for the request.
        request: u64,
        /// The endpoint.
        endpoint: Name,
        /// The start time of the endpoint.
        born: u64,
    },
    /// The answer to [`Frame::AskPermit`].
    Permit {
        /// The gate's number for the request.
        request: u64,
        /// The time until the next permit, in ms; `None` if the request is admitted.
        wait_ms: Option<u32>,
    },
    /// A gate reports an endpoint that says in its responses that it leaves; also sent to a new leader.
    Leaving(Incarnation),
    /// The gates through which a gate can reach endpoints.
    Peers(Vec<Peer>),
    /// The plan in force with the fields that [`Frame::Plan`] lacks. Replaces that frame for receivers that know it.
    ExtendedPlan(Arc<Plan>, Arc<Extension>),
    /// A gate queries the scheduler; replaces [`Frame::Ask`] for leaders that know it.
    Submit(Box<Submission>),
    /// The longest pause between two events of a granted request; sent before [`Frame::Ended`].
    Paused {
        /// The gate's number for the request.
        request: u64,
        /// The longest pause, in ms.
        longest_ms: u32,
    },
    /// A gate reserves units of a tenant's quota; answered with [`Frame::Reserved`].
    Reserve {
        /// The gate's number for the reservation.
        request: u64,
        /// The tenant.
        tenant: Name,
        /// The units that the request needs.
        need: u64,
        /// The units that the gate expects to need soon in addition.
        extra: u64,
    },
    /// The answer to [`Frame::Reserve`].
    Reserved {
        /// The gate's number for the reservation.
        request: u64,
        /// The units that were reserved: at least those needed, or 0.
        granted: u64,
        /// The units that all gates have used in the window.
        used: u64,
        /// The time until the units are available, in ms, if none were reserved; `None` if they will never be.
        wait_ms: Option<u32>,
    },
    /// A gate returns units that it reserved and did not use.
    Unspent {
        /// The tenant.
        tenant: Name,
        /// The units.
        units: u64,
    },
    /// What a gate has spent of the quotas; sent to a new leader.
    Spent(Vec<Spending>),
    /// The leader's totals of the quotas, for the other keepers.
    Ledger(Vec<Spending>),
    /// A gate asks the leader to choose the endpoint of a request to a plain service; answered with [`Frame::Placed`]
    /// or [`Frame::Denial`].
    Place(Box<Placement>),
    /// The answer to [`Frame::Place`].
    Placed {
        /// The gate's number for the request.
        request: u64,
        /// The endpoint.
        endpoint: Name,
        /// The start time of the endpoint.
        born: u64,
    },
    /// The end of a placed request.
    PlacedEnded {
        /// The gate's number for the request.
        request: u64,
        /// The outcome.
        outcome: Outcome,
        /// The time from sending the request to the end of the response, in ms.
        ran_ms: u32,
        /// The load that the endpoint reported with the response, if it did.
        load: Option<Load>,
    },
    /// The first event of a response arrived from an engine that states the pace of its host. Replaces [`Frame::Began`]
    /// for leaders that know it.
    BeganLoaded {
        /// The gate's number for the request.
        request: u64,
        /// The time from sending the request to the first event, in ms.
        after_ms: u32,
        /// The load that the engine stated in the response.
        load: Load,
    },
}

impl Frame {
    /// Returns the first revision that has this kind of frame. A node of an earlier one can't decode it.
    pub fn revision(&self) -> Revision {
        match self {
            Frame::Leaving(_) => Revision::LEAVING,
            Frame::Peers(_) => Revision::TUNNELS,
            Frame::ExtendedPlan(..)
            | Frame::Submit(_)
            | Frame::Paused { .. }
            | Frame::Reserve { .. }
            | Frame::Reserved { .. }
            | Frame::Unspent { .. }
            | Frame::Spent(_)
            | Frame::Ledger(_)
            | Frame::Place(_)
            | Frame::Placed { .. }
            | Frame::PlacedEnded { .. }
            | Frame::BeganLoaded { .. } => Revision::TENANTS,
            _ => Revision::UNNAMED,
        }
    }
}

/// The sender of the frames on a link.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Hello {
    /// The name of the node.
    pub node: Name,
    /// A random number that identifies a start of the process.
    pub incarnation: u64,
    /// The failure domain.
    pub domain: Name,
    /// The address to which callers connect; `None` for a keeper.
    pub front: Option<Name>,
    /// Whether it accepts connections of callers.
    pub accepting: bool,
    /// The revision of the sender. The last field, since earlier releases did not send it.
    pub revision: Revision,
}

/// A gate as other gates know it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Peer {
    /// The failure domain.
    pub domain: Name,
    /// The address to which callers connect.
    pub front: Name,
}

/// A keeper's view of its group.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Welcome {
    /// The term in which this keeper is the leader; `None` if it is not.
    pub leads: Option<u64>,
    /// The addresses at which the known members accept links.
    pub members: Vec<Name>,
    /// The number of gates with a link to this keeper.
    pub gates: u32,
    /// The revision of the sender. The last field, since earlier releases did not send it.
    pub revision: Revision,
}

/// Raft messages from one replica to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Envelope {
    /// The id of the Raft group.
    pub group: u64,
    /// The sender.
    pub from: Id,
    /// The address at which the sender accepts links.
    pub host: Name,
    /// The receiver.
    pub to: Id,
    /// The messages.
    pub messages: Vec<Message>,
}

/// A remote procedure call to the leader.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Call {
    /// Commits a plan and puts it into force.
    Publish {
        /// The plan.
        plan: Arc<Plan>,
        /// The original document, returned by [`Call::Document`].
        document: Document,
    },
    /// Commits a version of an adapter and puts it into force.
    Name(Version),
    /// Returns the original document of the newest plan.
    Document,
    /// Forwards the announcement of an endpoint.
    Announce(Announcement),
    /// Removes an endpoint that is leaving.
    Leave {
        /// The endpoint.
        id: Name,
        /// The start time, if the endpoint sent it.
        born: Option<u64>,
    },
    /// Commits a plan with the fields that [`Call::Publish`] lacks. Since [`Revision::TENANTS`].
    PublishExtended {
        /// The plan.
        plan: Arc<Plan>,
        /// The other fields.
        extension: Arc<Extension>,
        /// The original document, returned by [`Call::Document`].
        document: Document,
    },
}

impl Call {
    /// Returns the call as a node of a revision can decode it; `None` if such a node must not get it.
    pub fn for_revision(self, revision: Revision) -> Option<Call> {
        match self {
            Call::PublishExtended { plan, extension, document } if revision < Revision::TENANTS => {
                extension.tenants.is_empty().then_some(Call::Publish { plan, document })
            }
            call => Some(call),
        }
    }
}

/// The answer to a [`Call`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// The call took effect or had nothing to change.
    Done,
    /// The original document of the newest plan; `None` if there is no plan yet.
    Document(Option<Document>),
    /// The outcome is unknown; the call may have taken effect.
    Unsure,
    /// The change is larger than the memory of the keepers allows and did not take effect. Since
    /// [`Revision::TENANTS`], in answers to [`Call::PublishExtended`] only, which no earlier release sends.
    TooLarge {
        /// The size of the change, in bytes.
        bytes: u64,
        /// The limit, in bytes.
        limit: u64,
    },
}

/// The version of an adapter that is in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Version {
    /// The base model.
    pub model: Name,
    /// The adapter.
    pub adapter: Name,
    /// The version.
    pub version: u64,
}

/// Whether an engine holds an adapter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// The engine.
    pub endpoint: Name,
    /// The adapter; empty for the base model itself.
    pub adapter: Name,
    /// Whether the engine holds it.
    pub held: bool,
}

/// A gate's query for the engine of a request.
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
    /// A digest of the request's content, which is the same for each retry by its caller.
    pub fingerprint: u64,
    /// The prompt length, in tokens.
    pub input: u32,
    /// The estimated output length, in tokens.
    pub output: u32,
    /// The parts of the prompt, in order: the digest and the length in tokens of each.
    pub parts: Vec<(u64, u32)>,
    /// The time left of the latency target, in ms; 0 if it has passed.
    pub target_ms: u32,
    /// The time left until the deadline, in ms.
    pub left_ms: u32,
    /// The priority class; 0 is the most urgent.
    pub rank: u8,
    /// The engines that must not be chosen.
    pub excluded: Vec<Name>,
    /// The build that the engine must have, if the request resumes a stream.
    pub build: Option<Name>,
}

/// A query with what [`Query`] lacks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Submission {
    /// The query.
    pub query: Query,
    /// The tenant, if the plan has tenants.
    pub tenant: Option<Name>,
    /// The longest pause between two events with which the stream is on time, in ms; 0 if there is no such bound.
    pub gap_ms: u32,
}

impl From<Query> for Submission {
    /// Returns a submission without a tenant and without a bound on pauses.
    fn from(query: Query) -> Submission {
        Submission { query, tenant: None, gap_ms: 0 }
    }
}

/// The units of a tenant's quota that were used in a part of the window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Spending {
    /// The tenant.
    pub tenant: Name,
    /// The units by age: the age of the part's end in ms, and the units used in it.
    pub slices: Vec<(u32, u64)>,
}

/// A gate's query for the endpoint of a request to a plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Placement {
    /// The gate's number for the request.
    pub request: u64,
    /// The service.
    pub service: Name,
    /// The time left of the latency target, in ms; 0 if it has passed.
    pub target_ms: u32,
    /// The time left until the deadline, in ms.
    pub left_ms: u32,
    /// The priority class; 0 is the most urgent.
    pub rank: u8,
    /// The tenant, if the plan has tenants.
    pub tenant: Option<Name>,
    /// The endpoints that must not be chosen.
    pub excluded: Vec<Name>,
    /// The build that the endpoint must have, if the request resumes a stream.
    pub build: Option<Name>,
}

/// The load that an endpoint states in a response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// The requests in progress.
    pub running: u32,
    /// The requests that wait for a slot.
    pub queued: u32,
    /// The slots; 0 if it is not stated.
    pub slots: u32,
    /// How long work takes on the endpoint's host at the moment, in percent of the usual time, if it is stated.
    pub pace: Option<u32>,
}

impl Load {
    /// Returns the number of requests at the endpoint.
    pub fn requests(&self) -> u32 {
        self.running.saturating_add(self.queued)
    }
}

/// The engine for a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// The gate's number for the request.
    pub request: u64,
    /// The engine.
    pub endpoint: Endpoint,
    /// The version of the adapter that the engine must hold, if one was announced.
    pub version: Option<u64>,
    /// The urgency at the engine, from 0 (most urgent) to 9.
    pub urgency: u8,
}

/// The refusal of a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Denial {
    /// The gate's number for the request.
    pub request: u64,
    /// The reason.
    pub code: Code,
    /// The delay after which the caller should retry, in ms.
    pub retry_ms: u32,
}

/// The outcome of a request at its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Answered in full.
    Done,
    /// The engine refused the request without running it.
    Refused,
    /// The engine does not hold the adapter, or another engine answered.
    Misdirected,
    /// The engine answered with an error.
    Failed,
    /// The connection failed, broke or timed out.
    Lost,
    /// The caller disconnected.
    Cancelled,
}

/// The end of a granted request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Ended {
    /// The gate's number for the request.
    pub request: u64,
    /// The outcome.
    pub outcome: Outcome,
}

/// A request in flight at an engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Running {
    /// The gate's number for the request.
    pub request: u64,
    /// The engine.
    pub endpoint: Name,
    /// The adapter.
    pub adapter: Name,
    /// The tokens in the KV cache at the end of the request.
    pub tokens: u32,
    /// The time left until the deadline, in ms.
    pub left_ms: u32,
}
