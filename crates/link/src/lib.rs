//! Links between nodes: one TCP connection that carries typed frames both ways and notices a silent peer.

mod connect;
mod link;

pub use crate::connect::bind;
pub use crate::connect::connect;
pub use crate::connect::guard;
pub use crate::link::Inbox;
pub use crate::link::Link;
pub use crate::link::open;
