//! Links between nodes: a TCP connection that carries typed frames in both directions and closes when the
//! peer stops sending.

mod connect;
mod link;

pub use crate::connect::bind;
pub use crate::connect::connect;
pub use crate::connect::set_options;
pub use crate::link::Accepted;
pub use crate::link::Inbox;
pub use crate::link::Link;
pub use crate::link::accept;
pub use crate::link::broadcast;
pub use crate::link::open;
