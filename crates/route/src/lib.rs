//! Routing: which endpoint is to answer a request.
//!
//! [`choose`] is a pure function: the tables go in as [`Candidate`]s, and the decision comes out
//! with its reason and the alternatives that lost.

mod candidate;
mod choose;
mod decision;
mod hash;
mod query;
mod wait;

pub use crate::candidate::Candidate;
pub use crate::candidate::Residency;
pub use crate::choose::choose;
pub use crate::decision::Alternative;
pub use crate::decision::Decision;
pub use crate::decision::Reason;
pub use crate::decision::Refusal;
pub use crate::decision::Rejection;
pub use crate::hash::rank;
pub use crate::query::Policy;
pub use crate::query::Query;
pub use crate::query::Timing;
