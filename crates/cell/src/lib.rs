//! A keeper of a cell: a replica of the plan and the adapters' versions, the registry of endpoints, and,
//! while it leads, the scheduler that places requests and gives the engines their orders.
//!
//! Lock order: `hub` before `state`; neither is held across an await.

pub mod engines;
pub mod settings;

mod calls;
mod error;
mod hub;
mod keeper;
mod links;
mod machine;
mod metrics;
mod peers;
mod replica;
mod storage;
mod work;

pub use crate::error::Error;
pub use crate::keeper::Keeper;
