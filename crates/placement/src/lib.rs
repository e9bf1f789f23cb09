//! Placement: which adapter is to be loaded at which engine, and in which order requests are sent.
//!
//! All is pure: times are [`Duration`](std::time::Duration)s since any fixed point on the clock of
//! the gate, the tables go in as values, and decisions come out with their reasons.

mod admit;
mod backoff;
mod engine;
mod next;
mod plan;
mod policy;
mod popularity;
mod queue;
mod site;
mod waiting;
mod worth;

pub use crate::admit::Late;
pub use crate::admit::admit;
pub use crate::backoff::Backoff;
pub use crate::engine::Engine;
pub use crate::engine::Held;
pub use crate::next::Tables;
pub use crate::next::next;
pub use crate::next::pin;
pub use crate::plan::Loser;
pub use crate::plan::Loss;
pub use crate::plan::Plan;
pub use crate::plan::Reason;
pub use crate::policy::Evict;
pub use crate::policy::Order;
pub use crate::policy::Policy;
pub use crate::popularity::Popularity;
pub use crate::queue::Entry;
pub use crate::queue::Full;
pub use crate::queue::Queue;
pub use crate::waiting::Waiting;
