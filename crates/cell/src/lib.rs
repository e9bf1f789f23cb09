//! A keeper of a cell: a replica of the plan and the adapters' versions, the registry of endpoints, and,
//! while it leads, the scheduler that places requests and gives the engines their orders.
//!
//! Lock order: `coordinator` before `state`; neither is held across an await.

pub mod engines;
pub mod settings;

mod calls;
mod coordinator;
mod dispatch;
mod error;
mod keeper;
mod links;
mod metrics;
mod peers;
mod replica;
mod state;
mod storage;

pub use crate::error::Error;
pub use crate::keeper::Keeper;
