//! Adapter placement: which adapter to load on which engine, and in which order to send requests.
//!
//! The crate does no I/O and reads no clock. Times are [`Duration`](std::time::Duration)s since a fixed
//! point on the gate's clock; inputs are passed as values, and decisions are returned with their
//! reasons.

mod admission;
mod backoff;
mod demand;
mod engine;
mod plan;
mod planner;
mod policy;
mod popularity;
mod queue;
mod slot;
mod worth;

pub use crate::admission::Overload;
pub use crate::admission::admit;
pub use crate::backoff::Backoff;
pub use crate::demand::Demand;
pub use crate::engine::Engine;
pub use crate::engine::Resident;
pub use crate::plan::Alternative;
pub use crate::plan::Plan;
pub use crate::plan::Reason;
pub use crate::plan::Rejection;
pub use crate::planner::Input;
pub use crate::planner::next_load;
pub use crate::planner::pinned_load;
pub use crate::policy::Eviction;
pub use crate::policy::Order;
pub use crate::policy::Policy;
pub use crate::popularity::Popularity;
pub use crate::queue::Entry;
pub use crate::queue::Full;
pub use crate::queue::Queue;
