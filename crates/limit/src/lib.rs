//! Limits on the request rate that endpoints name for themselves, and pauses for which they ask. Pure: no I/O, and times
//! are arguments.

mod bucket;
mod pause;
mod rate;
mod share;

pub use crate::bucket::Bucket;
pub use crate::pause::parse_pause;
pub use crate::rate::Notice;
pub use crate::rate::Rate;
pub use crate::share::Share;
