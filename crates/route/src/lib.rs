//! Routing: the choice of an endpoint for a request.
//!
//! [`choose`] is a pure function. Its input is a [`Query`] and the [`Candidate`]s; its output is a
//! [`Decision`] with the reason and the rejected alternatives, or a [`Refusal`].

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
