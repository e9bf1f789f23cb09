//! The data types that gates and keepers of a cell share: the plan of routes and services, the
//! announcements of endpoints, the origins of streams, and the messages between gates and keepers.

pub mod document;
pub mod endpoint;
pub mod explanation;
pub mod extension;
pub mod limit;
pub mod message;
pub mod origin;
pub mod placed;
pub mod plan;
pub mod presence;
pub mod quarantine;
pub mod registry;
pub mod revision;
pub mod routing;
pub mod tenant;
pub mod tunnel;
