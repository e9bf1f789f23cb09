//! What a cell of the fleet is told and what its processes tell each other: the plan of routes and
//! services, the endpoints that announce themselves, and the messages between gates and keepers.

pub mod endpoint;
pub mod message;
pub mod plan;
pub mod registry;
pub mod routing;
