//! The scheduler's outputs, and the results of orders and inspections.

use base::Name;
use fleet::endpoint::Endpoint;
use fleet::endpoint::Model;
use fleet::message::Denial;
use fleet::message::Grant;
use fleet::message::Holding;

/// An action that the scheduler requests.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a grant to the gate of a request.
    Grant {
        /// The gate's link.
        gate: u64,
        /// The grant to send.
        grant: Grant,
        /// The state behind the decision.
        reason: Reason,
    },
    /// Send a denial to the gate of a request.
    Deny {
        /// The gate's link.
        gate: u64,
        /// The denial to send.
        denial: Denial,
        /// The state of the best engine; `None` if no engine was considered.
        reason: Option<Reason>,
        /// The adapter; empty for the base model itself.
        adapter: Name,
        /// The requests for the adapter that were refused since its last grant, this one included.
        unmet: u32,
    },
    /// Send an order to an engine and pass its answer to [`crate::Scheduler::order_answered`].
    Order(Order),
    /// Query the state of an engine and pass its report to [`crate::Scheduler::engine_inspected`].
    Inspect(Endpoint),
    /// Notify all gates that an engine holds an adapter or no longer does.
    Publish(Holding),
}

/// The state of an engine at a scheduling decision, for the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reason {
    /// The expected time to the first event, in ms.
    pub expected_ms: f64,
    /// The engine's prefill backlog, in tokens.
    pub backlog: f64,
    /// The number of requests at the engine.
    pub running: u32,
    /// The time that the request spent in the scheduler, in ms.
    pub held_ms: f64,
    /// Whether the adapter must be loaded from the store; always `false` for a grant.
    pub cold: bool,
    /// The number of adapter loads from the store, in progress and, for a refusal, queued.
    pub loads: usize,
}

/// The operation of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Load a base model or an adapter.
    Load,
    /// Unload it.
    Unload,
}

/// An order to an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Order {
    /// The engine.
    pub endpoint: Endpoint,
    /// The operation.
    pub operation: Operation,
    /// The base model.
    pub model: Name,
    /// The adapter; `None` for the base model itself.
    pub adapter: Option<Name>,
    /// The version to load; the newest one if `None`.
    pub version: Option<u64>,
    /// The sequence (number of accepted orders) that the engine must have to accept this one.
    pub expected: u64,
}

/// An engine's answer to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The order is accepted or already being carried out.
    Accepted,
    /// The engine is already in the requested state.
    Holds,
    /// The engine has another sequence or is busy.
    Conflict,
    /// The engine has seen a higher fencing token.
    Fenced,
    /// Refused for another reason, or by another engine at the same address.
    Refused,
    /// The engine did not answer; it may still carry out the order later.
    Lost,
}

/// The result of an inspection of an engine.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// The start time, as in [`fleet::endpoint::Announcement::born`]; 0 if the engine does not
    /// report it.
    pub born: u64,
    /// The number of orders that the engine has accepted.
    pub sequence: u64,
    /// Whether an order is in progress.
    pub busy: bool,
    /// The base models in memory, with their adapters.
    pub held: Vec<Model>,
    /// The adapters that are being loaded, with their versions.
    pub loading: Vec<(Name, u64)>,
}
