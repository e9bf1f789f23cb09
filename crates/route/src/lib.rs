//! Routing: which endpoint is to answer a request.
//!
//! [`choose`] is a pure function: the tables go in as [`Candidate`]s, and the decision comes out
//! with its reason and the alternatives that lost.

mod ask;
mod candidate;
mod choice;
mod choose;
mod hash;
mod wait;

pub use crate::ask::Ask;
pub use crate::ask::Pace;
pub use crate::ask::Policy;
pub use crate::candidate::Candidate;
pub use crate::candidate::Holding;
pub use crate::choice::Choice;
pub use crate::choice::Loser;
pub use crate::choice::Loss;
pub use crate::choice::Reason;
pub use crate::choice::Refusal;
pub use crate::choose::choose;
pub use crate::hash::rank;
