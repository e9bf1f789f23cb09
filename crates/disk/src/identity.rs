//! Identity of a replica.

use base::Name;
use serde::Deserialize;
use serde::Serialize;

/// The identity of a replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// The id of the group; 0 if not known yet.
    pub group: u64,
    /// The id of the replica, chosen when its directory is new.
    pub replica: u64,
    /// The host of the replica.
    pub host: Name,
}
