//! The revision of the protocol between nodes, by which processes of two releases work side by side.

use std::fmt;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;

/// A revision of the protocol between nodes. Each one adds frames to those of the former.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Revision(u32);

impl Revision {
    /// The frames of the releases that did not name a revision.
    pub const UNNAMED: Revision = Revision(0);
    /// Adds [`crate::message::Frame::Leaving`].
    pub const LEAVING: Revision = Revision(1);
    /// Adds [`crate::message::Frame::Peers`]; gates accept tunnels.
    pub const TUNNELS: Revision = Revision(2);
    /// Adds commands to the replicated log: the departures of endpoints, and the level by which they are allowed.
    pub const DEPARTURES: Revision = Revision(3);
    /// Adds tenants: [`crate::message::Frame::ExtendedPlan`] and the frames of quotas and placement, and the command of the
    /// log for a plan with an extension.
    pub const TENANTS: Revision = Revision(4);
    /// The revision of this release.
    pub const CURRENT: Revision = Revision::TENANTS;
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl<'de> Deserialize<'de> for Revision {
    /// Decodes a revision. It is [`Revision::UNNAMED`] if the input has ended, so it must be the last field of a frame.
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Revision, D::Error> {
        Ok(u32::deserialize(deserializer).map_or(Revision::UNNAMED, Revision))
    }
}
