//! The capacity of the endpoints of plain services: how fast they work, how many calls they take, and which one gets a
//! call. Pure: no I/O, and times are arguments.

mod balancer;
mod curve;
mod estimate;
mod pick;
mod queue;
mod service;
mod site;

pub use crate::balancer::Answer;
pub use crate::balancer::Balancer;
pub use crate::balancer::Status;
pub use crate::estimate::Basis;
pub use crate::estimate::Estimate;
pub use crate::estimate::Run;
pub use crate::pick::pick_of_two;
