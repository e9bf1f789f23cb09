//! A keeper of a cell: a replica of the plan and the adapter versions, the registry of endpoints
//! and, while it leads, the scheduler that assigns requests to engines and sends orders to them.
//!
//! The replica and the links between keepers run on a thread of their own, so that neither a long
//! scheduler round nor a burst of requests delays the leader's heartbeats. That thread never takes
//! the lock of `coordinator`.
//!
//! Lock order: `coordinator` before `state`. Neither lock is held across an await.

pub mod departed;
pub mod departures;
pub mod engines;
pub mod lease;
pub mod leaving;
pub mod limits;
pub mod quarantine;
pub mod settings;
pub mod state;

mod acceptor;
mod budget;
mod calls;
mod coordinator;
mod delay;
mod dispatch;
mod endpoints;
mod error;
mod explanation;
mod keeper;
mod leadership;
mod links;
mod metrics;
mod notices;
mod orders;
mod peers;
mod placing;
mod quotas;
mod replica;
mod storage;
mod supervision;
mod thread;
mod tolerance;
mod watchdog;

pub use crate::error::Error;
pub use crate::keeper::Keeper;
