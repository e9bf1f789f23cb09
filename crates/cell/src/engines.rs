//! What the scheduler says to engines, whatever it looks like on the wire.

use std::future::Future;

use base::Name;
use fleet::endpoint::Endpoint;
use sched::action::Answer;
use sched::action::Order;
use sched::action::Report;

/// Who gives an order.
#[derive(Clone, Debug, PartialEq)]
pub struct Holder {
    /// The node.
    pub node: Name,
    /// The number of its leadership; grows from one leader to the next.
    pub fence: u64,
}

/// The way to the engines.
pub trait Engines: Send + Sync + 'static {
    /// Gives an order.
    fn order(&self, order: &Order, holder: &Holder) -> impl Future<Output = Answer> + Send;

    /// Asks an engine what it holds; none without a good answer.
    fn inspect(&self, endpoint: &Endpoint) -> impl Future<Output = Option<Report>> + Send;
}
