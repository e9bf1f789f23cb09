//! Limits on the request rate that endpoints name for themselves. Pure: no I/O, and times are arguments.

mod rate;

pub use crate::rate::Notice;
pub use crate::rate::Rate;
