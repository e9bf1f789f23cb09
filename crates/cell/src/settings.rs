//! Settings of a keeper.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use base::Name;

/// Settings of a keeper.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The node name.
    pub node: Name,
    /// The failure domain.
    pub domain: Name,
    /// The address on which this keeper accepts links.
    pub address: SocketAddr,
    /// Link addresses of the keepers known at start.
    pub seeds: Vec<SocketAddr>,
    /// Whether to bootstrap a new cell with the seeds as its first voters.
    pub bootstrap: bool,
    /// Number of keepers that may be lost at the same time. It determines the number of voters; the
    /// other keepers are standbys.
    pub tolerated_losses: usize,
    /// Whether all keepers vote. Needed to tolerate the loss of a failure domain or region, because
    /// voters are chosen without regard to theirs.
    pub all_vote: bool,
    /// The replica's data directory.
    pub data_dir: PathBuf,
    /// Settings of the scheduler.
    pub scheduler: sched::settings::Settings,
    /// The time after a keeper's last order in which it does not order again once another keeper
    /// has led, and after an election if orders are not fenced.
    pub order_lease: Duration,
    /// Whether engines refuse orders with an outdated fencing token.
    pub fenced_orders: bool,
    /// Time without an announcement after which an endpoint is removed.
    pub endpoint_timeout: Duration,
    /// The memory at which the process is killed, in bytes. The bounds in [`crate::budget`] follow from
    /// it.
    pub memory_bytes: usize,
    /// Time for which an endpoint serves on after it has announced its departure.
    pub endpoint_drain: Duration,
}

/// Interval between the leader's heartbeats.
pub(crate) const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum election timeout: four heartbeats, and longer than a slow sync.
pub(crate) const ELECTION_TIMEOUT: Duration = Duration::from_millis(400);
/// Interval between ticks of the replica.
pub(crate) const TICK_INTERVAL: Duration = Duration::from_millis(25);
/// Timeout of a call to the leader.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_millis(900);
/// Time without contact after which a voter is replaced.
pub(crate) const VOTER_TIMEOUT: Duration = Duration::from_millis(3_500);
/// Minimum number of voters, if there are as many keepers.
pub(crate) const MIN_VOTERS: usize = 3;
/// Interval between requests to join.
pub(crate) const JOIN_INTERVAL: Duration = Duration::from_millis(400);
/// Number of applied entries after which a snapshot is taken.
pub(crate) const COMPACT_ENTRIES: u64 = 256;
/// Size of applied entries, in bytes, after which a snapshot is taken; small against a 128 MB disk.
pub(crate) const COMPACT_BYTES: usize = 4 << 20;
/// Interval between scheduler rounds while work is pending.
pub(crate) const SCHEDULER_INTERVAL: Duration = Duration::from_millis(5);
/// Shortest pause after a scheduler round; short against the time of a message between hosts.
pub(crate) const MIN_SCHEDULER_PAUSE: Duration = Duration::from_millis(2);
/// Longest pause after a scheduler round.
pub(crate) const MAX_SCHEDULER_PAUSE: Duration = Duration::from_millis(20);
/// Time without a maintenance round after which the main thread counts as stalled.
pub(crate) const MAIN_THREAD_TIMEOUT: Duration = Duration::from_secs(3);
/// Interval between maintenance rounds.
pub(crate) const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(200);
/// Time after the start during which the list of gates is withheld, because gates are still
/// connecting to this keeper.
pub(crate) const WARM_UP: Duration = Duration::from_millis(700);
/// Delay before files are reopened after a disk error.
pub(crate) const REOPEN_DELAY: Duration = Duration::from_millis(500);
