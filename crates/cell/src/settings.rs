//! The settings of a keeper.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use base::Name;

/// The settings of a keeper.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The node.
    pub node: Name,
    /// The failure domain.
    pub domain: Name,
    /// Where other nodes open links.
    pub address: SocketAddr,
    /// The addresses for links of the keepers that are known at the start.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole cell starts for the first time; the seeds are its first voters then.
    pub bootstrap: bool,
    /// The folder of the replica.
    pub data_dir: PathBuf,
    /// The figures of the scheduler.
    pub scheduler: sched::settings::Settings,
    /// The time without an announcement after which an endpoint gets no new work.
    pub endpoint_timeout: Duration,
}

/// The time between two heartbeats of the leader.
pub(crate) const HEARTBEAT: Duration = Duration::from_millis(100);
/// The shortest time without a leader before an election: four heartbeats, and more than a slow sync.
pub(crate) const ELECTION: Duration = Duration::from_millis(400);
/// The time between two ticks of the replica.
pub(crate) const TICK: Duration = Duration::from_millis(25);
/// The time in which the leader must answer a call.
pub(crate) const CALL: Duration = Duration::from_millis(900);
/// The silence after which a voter is removed while enough others are left.
pub(crate) const REMOVE: Duration = Duration::from_millis(3_500);
/// The voters that are left at least when a silent one is removed.
pub(crate) const VOTERS: usize = 3;
/// The time between two requests to join.
pub(crate) const JOIN: Duration = Duration::from_millis(400);
/// The entries after which a snapshot is taken.
pub(crate) const COMPACT_ENTRIES: u64 = 256;
/// The bytes of entries after which a snapshot is taken; a small part of a disk of 128 MB.
pub(crate) const COMPACT_BYTES: usize = 4 << 20;
/// The time between two rounds of the scheduler while something is due.
pub(crate) const ROUND: Duration = Duration::from_millis(5);
/// The time between two rounds of upkeep.
pub(crate) const UPKEEP: Duration = Duration::from_millis(200);
/// The time after the start in which the gates are still finding this keeper.
pub(crate) const WARM_UP: Duration = Duration::from_millis(700);
/// The wait before files that failed are opened again.
pub(crate) const REOPEN: Duration = Duration::from_millis(500);
