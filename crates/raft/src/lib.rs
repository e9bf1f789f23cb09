//! Raft as a state machine without I/O: leader election with pre-vote, log replication, snapshots,
//! learners, linearizable reads, and membership changes one server at a time.
//!
//! The driver calls [`Node::tick`], [`Node::step`], [`Node::propose`] and [`Node::read`], then
//! calls [`Node::ready`] and carries out its result in this order: write and sync the persistent
//! state, send the messages, apply the committed entries.

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
mod transfer;

pub use crate::message::Message;
pub use crate::node::Node;
pub use crate::recover::recover;
