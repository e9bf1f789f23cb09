//! What a link does to the bytes that pass.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// The way that bytes go.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Direction {
    /// From who connected to the target.
    Request,
    /// From the target back.
    Answer,
}

/// The directions in which bytes vanish silently.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Drop {
    /// None.
    #[default]
    None,
    /// Towards the target.
    Request,
    /// From the target back.
    Answer,
    /// Both.
    Both,
}

/// What a link does; the default passes everything.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// How much later bytes arrive, each way, in milliseconds.
    pub delay_ms: u64,
    /// Resets the connections that are open and each new one; datagrams are lost.
    pub cut: bool,
    /// Where bytes vanish; a connection that lost some is reset when the rule ends.
    pub drop: Drop,
    /// Keeps bytes back until the rule ends, and delivers them then.
    pub hold: bool,
    /// Resets a connection after so many bytes towards the target, counted from this rule's start.
    pub cut_request_after: Option<u64>,
    /// Resets a connection after so many bytes of answer, counted from this rule's start.
    pub cut_answer_after: Option<u64>,
    /// How many more connections the two rules above reset; no end if missing.
    pub times: Option<u32>,
    /// The bytes a second that pass each way on a connection; no limit if missing.
    pub bytes_per_second: Option<u64>,
    /// The datagrams that are lost.
    pub loss_percent: u8,
    /// The datagrams that arrive twice.
    pub duplicate_percent: u8,
}

impl Rules {
    /// Returns whether bytes of a direction vanish.
    pub fn drops(&self, direction: Direction) -> bool {
        match self.drop {
            Drop::None => false,
            Drop::Request => direction == Direction::Request,
            Drop::Answer => direction == Direction::Answer,
            Drop::Both => true,
        }
    }

    /// Returns after how many bytes of a direction a connection is reset.
    pub fn cut_after(&self, direction: Direction) -> Option<u64> {
        match direction {
            Direction::Request => self.cut_request_after,
            Direction::Answer => self.cut_answer_after,
        }
    }

    /// Returns how much later bytes arrive.
    pub fn delay(&self) -> Duration {
        Duration::from_millis(self.delay_ms)
    }
}
