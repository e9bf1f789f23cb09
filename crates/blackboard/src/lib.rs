//! The blackboard of a gate: shared tables that its controllers read and write.
//!
//! Lock order: `view`, `lease`, `floor`, `peers`. A thread that holds one takes only later ones, and
//! no lock is held across an await point.

mod board;
mod endpoint;
mod floor;
mod lease;
mod peers;
mod ticket;

pub use crate::board::Board;
pub use crate::endpoint::Endpoint;
pub use crate::endpoint::Flight;
pub use crate::endpoint::Phase;
pub use crate::endpoint::Slot;
pub use crate::floor::Crash;
pub use crate::floor::Floor;
pub use crate::floor::Target;
pub use crate::floor::Waiter;
pub use crate::lease::Lease;
pub use crate::lease::Moment;
pub use crate::peers::Peer;
pub use crate::peers::Peers;
pub use crate::ticket::Abandoned;
pub use crate::ticket::Ticket;
