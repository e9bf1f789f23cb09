//! What the scheduler wants done, and what it is told of the outcome.

use base::Name;
use fleet::endpoint::Endpoint;
use fleet::endpoint::Model;
use fleet::message::Denial;
use fleet::message::Grant;
use fleet::message::Holding;

/// What the scheduler wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Tell a gate where to send a request.
    Grant {
        /// The gate's link.
        gate: u64,
        /// The answer.
        grant: Grant,
        /// Why this engine.
        reason: Reason,
    },
    /// Tell a gate that a request is refused.
    Deny {
        /// The gate's link.
        gate: u64,
        /// The answer.
        denial: Denial,
        /// What the best engine could have done; none if there was no engine.
        reason: Option<Reason>,
    },
    /// Give an engine an order, and report with [`crate::Scheduler::order_answered`].
    Order(Order),
    /// Query an engine what it holds, and report with [`crate::Scheduler::engine_inspected`].
    Inspect(Endpoint),
    /// Tell all gates what an engine holds.
    Publish(Holding),
}

/// Why an engine was chosen.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reason {
    /// The expected time to the first event, in ms.
    pub expected_ms: f64,
    /// The prompt tokens before it at the engine.
    pub backlog: f64,
    /// The requests at the engine.
    pub running: u32,
    /// The time that the request was held, in ms.
    pub held_ms: f64,
    /// Whether its adapter had to come from the store.
    pub cold: bool,
    /// The adapters on their way from the store or waiting for it.
    pub loads: usize,
}

/// What an engine is told to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Load a base model or an adapter.
    Load,
    /// Drop it.
    Unload,
}

/// An order to an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Order {
    /// The engine.
    pub endpoint: Endpoint,
    /// What to do.
    pub operation: Operation,
    /// The base model.
    pub model: Name,
    /// The adapter; none for the base model itself.
    pub adapter: Option<Name>,
    /// The version to load; the newest one if none.
    pub version: Option<u64>,
    /// The number of orders that the engine must have accepted before this one.
    pub expected: u64,
}

/// How an engine answered an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// It carries the order out.
    Accepted,
    /// What the order asks for holds already.
    Holds,
    /// It has accepted another number of orders, or is busy.
    Conflict,
    /// It has seen a higher fencing number.
    Fenced,
    /// It refuses the order for another reason, or another engine is there.
    Refused,
    /// No answer; the order may be carried out later.
    Lost,
}

/// What an engine says of itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// The start, as in an announcement; 0 if it does not say.
    pub born: u64,
    /// The orders that it has accepted.
    pub sequence: u64,
    /// Whether an order is in progress.
    pub busy: bool,
    /// What it holds.
    pub held: Vec<Model>,
    /// The adapters on their way to it, with their versions.
    pub loading: Vec<(Name, u64)>,
}
