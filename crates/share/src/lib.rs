//! Fair shares of a scarce resource: what each tenant has received lately, against its share of what all have received.
//! Pure: no I/O, and times are arguments.
//!
//! Usage is an exponentially decayed sum, so a tenant that was idle has no more credit than its share of one half-life, and
//! a tenant over its share is served again once its usage has decayed.

mod usage;

pub use crate::usage::Usage;
pub use crate::usage::level;
