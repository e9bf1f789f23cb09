//! A replicated log as a state machine without I/O: leader election, commit by majority, snapshots,
//! learners and membership changes one server at a time.
//!
//! The driver calls [`Node::tick`], [`Node::step`], [`Node::propose`] and [`Node::read`], then takes
//! [`Node::ready`] and carries it out: first it writes and syncs what must last, then it sends the
//! messages, then it applies the committed entries.

pub mod message;
pub mod node;

mod election;
mod follower;
mod log;
mod membership;
mod progress;
mod read;
mod recover;
mod replication;

pub use crate::message::Message;
pub use crate::node::Node;
pub use crate::recover::recover;
