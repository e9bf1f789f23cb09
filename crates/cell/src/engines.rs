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

/// Client for the engines.
pub trait Engines: Send + Sync + 'static {
    /// Sends an order and returns the engine's answer.
    fn order(&self, order: &Order, holder: &Holder) -> impl Future<Output = Answer> + Send;

    /// Queries an engine's state. Returns `None` if it gave no valid answer.
    fn inspect(&self, endpoint: &Endpoint) -> impl Future<Output = Option<Report>> + Send;
}
