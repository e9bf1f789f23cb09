//! The blackboard of a gate: shared tables that its controllers read and write.
//!
//! Lock order: `view`, `lease`, `pool`, `peers`. A thread that holds a lock takes only later ones, and
//! no lock is held across an await point.

mod board;
mod disconnect;
mod endpoint;
mod lease;
mod peers;
mod pool;
mod ticket;

pub use crate::board::Board;
pub use crate::endpoint::Endpoint;
pub use crate::endpoint::InFlight;
pub use crate::endpoint::Phase;
pub use crate::endpoint::Slot;
pub use crate::lease::Lease;
pub use crate::lease::Timestamp;
pub use crate::peers::Peer;
pub use crate::peers::Peers;
pub use crate::pool::Crash;
pub use crate::pool::Pool;
pub use crate::pool::Target;
pub use crate::pool::Waiter;
pub use crate::ticket::Abandoned;
pub use crate::ticket::Ticket;
