//! Interface to the engines, independent of the wire format.

use std::future::Future;

use base::Name;
use fleet::endpoint::Endpoint;
use sched::action::Answer;
use sched::action::Order;
use sched::action::Report;

/// The keeper that issues an order: the holder of the leadership.
#[derive(Clone, Debug, PartialEq)]
pub struct Holder {
    /// The keeper's node name.
    pub node: Name,
    /// The fencing token: the term in which the keeper leads, which grows with each new leader.
    pub fence: u64,
}

/// The response of an engine to a call.
#[derive(Clone, Debug, PartialEq)]
pub struct Response<T> {
    /// The answer.
    pub answer: T,
    /// Whether the response says that the engine leaves.
    pub leaving: bool,
}

/// Client for the engines.
pub trait Engines: Send + Sync + 'static {
    /// Sends an order and returns the engine's answer.
    fn order(
        &self,
        order: &Order,
        holder: &Holder,
    ) -> impl Future<Output = Response<Answer>> + Send;

    /// Queries an engine's state. The answer is `None` if it gave no valid one.
    fn inspect(&self, endpoint: &Endpoint)
    -> impl Future<Output = Response<Option<Report>>> + Send;
}
