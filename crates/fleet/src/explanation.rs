//! Where a request would be sent now, and why.

use base::Code;
use base::Name;
use serde::Deserialize;
use serde::Serialize;

/// The decision that the leader would take on a request now, with what it knows of each endpoint of the service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// What would be done with the request.
    pub outcome: Outcome,
    /// The endpoint that it would be sent to, or whose slot or gap it would wait for.
    pub endpoint: Option<Name>,
    /// The code with which it would be refused.
    pub code: Option<Code>,
    /// The time within which the first event, or the call, must be expected to be on time, in ms. The margins for the rank
    /// and for the tenant's share are subtracted.
    pub goal_ms: f64,
    /// What the tenant has received relative to its share; 1 if exactly that.
    pub excess: f64,
    /// The number of requests that wait.
    pub waiting: usize,
    /// The endpoints of the service.
    pub endpoints: Vec<Estimate>,
}

/// What would be done with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// It is sent at once.
    Granted,
    /// It is sent once its adapter is loaded.
    LoadsFirst,
    /// It waits for a free adapter slot at an engine that caches the adapter.
    AwaitsSlot,
    /// It waits until its prompt makes no stream pause for too long.
    AwaitsGap,
    /// It waits in the queue until an endpoint can take it.
    Queued,
    /// It is refused.
    Refused,
}

/// What the leader knows of an endpoint, with the estimate for a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Estimate {
    /// The endpoint.
    pub endpoint: Name,
    /// Why it can't take the request now; `None` if it can.
    pub obstacle: Option<Obstacle>,
    /// The expected time to the first event, or that of the call, in ms.
    pub expected_ms: Option<f64>,
    /// The expected time plus the penalties by which endpoints are compared, in ms.
    pub cost: Option<f64>,
    /// The prompt tokens of requests without a first event; for a plain service, the calls beyond those in progress that the
    /// endpoint reported.
    pub backlog: f64,
    /// The requests in progress.
    pub running: u32,
    /// The requests that it takes at the same time.
    pub slots: f64,
    /// The speed at which it reads prompts, in tokens per ms; `None` for a plain service.
    pub speed: Option<f64>,
    /// The time of a call that does not wait, in ms; `None` for an engine, or without any run.
    pub work_ms: Option<f64>,
    /// The time that its host takes for work, in percent of the usual time.
    pub pace: f64,
    /// The time since an engine stated its pace, or since the estimate of a plain endpoint was updated, in ms.
    pub age_ms: Option<f64>,
    /// Where the adapter is; `None` for a plain service or for the base model itself.
    pub adapter: Option<Adapter>,
    /// The streams that are expected to pause for too long.
    pub stalled: Option<f64>,
}

/// Where an adapter is, relative to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Adapter {
    /// In a slot.
    Loaded,
    /// Queued or being loaded.
    Loading,
    /// Being unloaded.
    Unloading,
    /// Not in a slot, but cached by the engine.
    Cached,
    /// Only in the store.
    Absent,
}

/// Why an endpoint can't take a request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Obstacle {
    /// The base model is not in memory.
    Model,
    /// The KV cache has no room.
    Memory,
    /// All slots are in use.
    Slots,
    /// It refused a request recently because it was full.
    Full,
    /// Its limit on the request rate is reached.
    Limit,
    /// Requests have failed there, and it is tried with few.
    Health,
    /// The request excludes it.
    Excluded,
    /// It has another build than the request needs.
    Build,
    /// The adapter is being unloaded.
    Unloading,
    /// It holds an earlier version of the adapter.
    Version,
    /// The number of its orders is not known yet, so that it can't be ordered to load the adapter.
    Orders,
    /// Every adapter slot is in use.
    AdapterSlots,
    /// It has as many loads in progress as it may have.
    Loads,
    /// The adapter would have to be loaded from the store, which has no capacity left.
    Store,
}

/// What a tenant has used of its quota.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Budget {
    /// The tenant.
    pub tenant: Name,
    /// The units that may be used in a window.
    pub limit: u64,
    /// The units used.
    pub used: u64,
    /// The reservations refused since the leader began to lead.
    pub refused: u64,
}

/// The answer of the keeper that leads.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The decision.
    pub decision: Explanation,
    /// The tenant's budget, if it has a quota.
    pub budget: Option<Budget>,
}

/// Why a keeper does not answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// It does not lead.
    NotLeader {
        /// The link address of the leader, if it is known.
        leader: Option<Name>,
    },
    /// The plan has no such service.
    UnknownService,
    /// The plan has no such tenant.
    UnknownTenant,
    /// The question is not valid.
    Invalid {
        /// What is not valid.
        message: String,
    },
}

/// The request that is asked about.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Question {
    /// The service.
    pub service: Name,
    /// The base model; the first one of the service if missing.
    pub model: Option<Name>,
    /// The adapter; the base model itself if missing.
    #[serde(default)]
    pub adapter: Name,
    /// The length of the prompt, in tokens.
    #[serde(default)]
    pub input: u32,
    /// The estimated length of the output, in tokens.
    #[serde(default)]
    pub output: u32,
    /// The latency target, in ms; that of a route to the service if missing.
    pub target_ms: Option<u32>,
    /// The time left until the deadline, in ms; the time-out of a route to the service if missing.
    pub left_ms: Option<u32>,
    /// The priority class; that of the tenant, or that of a route to the service, if missing.
    pub rank: Option<u8>,
    /// The tenant.
    pub tenant: Option<Name>,
    /// The failure domain of the gate.
    #[serde(default)]
    pub domain: Name,
}
