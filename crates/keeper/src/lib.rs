//! The keeper: a Raft replica with the replicated state machine, the leases of the gates and the permits to
//! load from the weight store.
//!
//! One task, the driver, owns the replica, the state machine and the files. All other tasks send it requests
//! through a bounded queue.

mod admin;
mod clock;
mod driver;
mod enroll;
mod error;
mod handle;
mod keeper;
mod leadership;
mod metrics;
mod peer;
mod request;
mod server;
mod status;
mod storage;
mod trace;

pub mod balance;
pub mod cli;
pub mod history;
pub mod lease;
pub mod permit;
pub mod transfer;

pub use crate::error::Error;
pub use crate::keeper::Keeper;
pub use crate::keeper::Options;
