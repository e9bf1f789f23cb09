//! The rules that a link applies to the bytes it forwards.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// The direction of bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Direction {
    /// From the client to the target.
    Request,
    /// From the target to the client.
    Answer,
}

/// The directions in which bytes are dropped silently.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Drop {
    /// None.
    #[default]
    None,
    /// From the client to the target.
    Request,
    /// From the target to the client.
    Answer,
    /// Both.
    Both,
}

/// The rules of a link; the default forwards everything unchanged.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// The delay in each direction, in milliseconds.
    pub delay_ms: u64,
    /// Resets open and new connections; datagrams are lost.
    pub cut: bool,
    /// The directions in which bytes are dropped; a connection that lost bytes is reset when the rule ends.
    pub drop: Drop,
    /// Holds bytes back until the rule ends, then delivers them.
    pub hold: bool,
    /// Resets a connection after this number of bytes to the target, counted from the start of the rule.
    pub cut_request_after: Option<u64>,
    /// Resets a connection after this number of bytes from the target, counted from the start of the rule.
    pub cut_answer_after: Option<u64>,
    /// The number of connections that the two rules above still reset; unlimited if missing.
    pub times: Option<u32>,
    /// The bandwidth of a connection in each direction, in bytes per second; unlimited if missing.
    pub bytes_per_second: Option<u64>,
    /// The share of datagrams that are lost.
    pub loss_percent: u8,
    /// The share of datagrams that are delivered twice.
    pub duplicate_percent: u8,
}

impl Rules {
    /// Returns whether bytes of a direction are dropped.
    pub fn drops(&self, direction: Direction) -> bool {
        match self.drop {
            Drop::None => false,
            Drop::Request => direction == Direction::Request,
            Drop::Answer => direction == Direction::Answer,
            Drop::Both => true,
        }
    }

    /// Returns the number of bytes of a direction after which a connection is reset.
    pub fn cut_after(&self, direction: Direction) -> Option<u64> {
        match direction {
            Direction::Request => self.cut_request_after,
            Direction::Answer => self.cut_answer_after,
        }
    }

    /// Returns the delay in each direction.
    pub fn delay(&self) -> Duration {
        Duration::from_millis(self.delay_ms)
    }
}
