//! The settings of a gate.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;

use base::Name;

use crate::budget::Limit;

/// The settings of a gate.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The name of the node.
    pub node: Name,
    /// The failure domain of the node.
    pub domain: Name,
    /// The local address of all connections that the gate opens.
    pub ip: IpAddr,
    /// The address on which the gate accepts callers.
    pub front: SocketAddr,
    /// The address on which the gate accepts tunnels of other gates, all on the same port.
    pub tunnels: SocketAddr,
    /// The link addresses of the keepers known at startup.
    pub keepers: Vec<SocketAddr>,
    /// The memory for the bodies of the requests in progress, in bytes.
    pub body_memory: usize,
    /// The limit on retries at each service.
    pub retries: Limit,
    /// The time from the stop signal until the gate closes its listener and its idle connections.
    pub drain: Duration,
    /// The time from the stop signal until requests in progress get their last answer. The process exits
    /// [`FLUSH_TIME`] later.
    pub grace: Duration,
}

/// The time for writing the answers that a stopping gate gives at the end of its grace period.
pub const FLUSH_TIME: Duration = Duration::from_millis(200);

/// The timeout for opening a connection to an endpoint; several round trips between failure domains.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// The time after which a connection to an endpoint that is not open yet is also tried through another gate.
pub(crate) const TUNNEL_DELAY: Duration = Duration::from_millis(100);
/// The number of gates that are tried for a tunnel, one after the other.
pub(crate) const MAX_TUNNEL_TRIES: usize = 3;
/// The time without any response from endpoints after which one that does not respond counts as not reached.
pub(crate) const SILENCE: Duration = Duration::from_millis(400);
/// The time for which an idle connection is kept if its endpoint announces no idle timeout.
pub(crate) const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// The share of an endpoint's announced idle timeout for which a connection is reused.
pub(crate) const IDLE_TIMEOUT_SHARE: f64 = 0.7;
/// The share of a request's target latency for which the scheduler may queue the request.
pub(crate) const SCHEDULER_QUEUE_SHARE: f64 = 0.6;
/// The time in addition to [`SCHEDULER_QUEUE_SHARE`] for which a gate waits for the scheduler's decision
/// before it chooses an engine itself.
pub(crate) const SCHEDULER_REPLY_MARGIN: Duration = Duration::from_millis(250);
/// The share of its target latency for which a request waits for a new leader if no engine is known to hold
/// its adapter. An election takes less, and the rest is enough to serve the request.
pub(crate) const LEADER_WAIT_SHARE: f64 = 0.5;
/// The share of its deadline for which a request waits for the gate's first plan.
pub(crate) const PLAN_WAIT_SHARE: f64 = 0.125;
/// The retry delay in a refusal for which there is no better estimate.
pub(crate) const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(400);
/// The retry delay in the refusal of a quarantined request; a quarantine ends after ten minutes without such requests.
pub(crate) const QUARANTINE_RETRY_AFTER: Duration = Duration::from_secs(600);
/// The largest response that is buffered before it is forwarded, so that a broken one can be replaced by a
/// retry; in bytes.
pub(crate) const MAX_BUFFERED_BYTES: u64 = 256 << 10;
/// The timeout for looking up where a resumed stream began; several round trips to a keeper.
pub(crate) const ORIGIN_TIMEOUT: Duration = Duration::from_millis(250);
/// The largest body of an endpoint's refusal that is read so that its connection can be reused, in bytes.
pub(crate) const MAX_REFUSAL_BYTES: usize = 64 << 10;
/// The timeout for reading it.
pub(crate) const REFUSAL_TIMEOUT: Duration = Duration::from_secs(1);
/// The largest head of an endpoint's response, in bytes.
pub(crate) const MAX_HEAD_BYTES: usize = 64 << 10;
/// The number of attempts without a byte sent, for example failed connects, after which a request is refused.
pub(crate) const MAX_UNSENT: u32 = 3;
/// The expected time from startup until a gate serves requests if the keepers start with it: an election and
/// the first announcements of the endpoints.
pub(crate) const STARTUP_TIME: Duration = Duration::from_millis(1_300);
/// The limit on the engines that are declined for a request because they leave or have asked for a pause.
pub(crate) const MAX_DECLINED: u32 = 4;
/// The shortest retry delay in the refusal of a request while all endpoints have asked for a pause.
pub(crate) const MIN_PAUSE_RETRY: Duration = Duration::from_millis(100);
/// The random addition to that delay, as a share of it, so that callers do not retry together.
pub(crate) const PAUSE_RETRY_SPREAD: f64 = 0.25;
