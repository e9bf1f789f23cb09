//! Who a replica is.

use base::Name;
use serde::Deserialize;
use serde::Serialize;

/// Who a replica is; written once, when its folder is new.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// The group.
    pub group: u64,
    /// The replica.
    pub replica: u64,
    /// The host.
    pub host: Name,
}
