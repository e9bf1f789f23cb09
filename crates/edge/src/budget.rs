//! The retry budgets of the services.

use std::collections::VecDeque;
use std::time::Duration;

use base::Map;
use base::Name;

/// The share of the ratio that is used. Windows start at different times: the requests in a gate's window may lie
/// in any window of the limit, the one before it or the one half a window before it only to three quarters.
const RATIO_SHARE: f64 = 0.75;
/// The number of gates among which the slack is divided at least.
const MIN_GATES: u32 = 8;
/// The number of processes for each gate among which the slack is divided. A gate that restarts within the window
/// starts with an empty count.
const PROCESSES_PER_GATE: u32 = 2;

/// The limit on the retries at a service, over all gates.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// The retries per request.
    pub ratio: f64,
    /// The retries that all gates together may make on top of the ratio.
    pub slack: f64,
    /// The sliding window over which requests and retries are counted.
    pub window: Duration,
}

/// Limits the retries at each service to a share of the recently received requests for that service. Each gate
/// applies the ratio to its own requests and uses its share of the slack, so that all gates together keep to the
/// limit without coordination.
#[derive(Debug)]
pub struct Budget {
    limit: Limit,
    services: Map<Name, Count>,
}

/// The requests and retries of a service in the window, by time.
#[derive(Debug, Default)]
struct Count {
    requests: VecDeque<Duration>,
    retries: VecDeque<Duration>,
}

impl Budget {
    /// Creates a budget without requests.
    pub fn new(limit: Limit) -> Budget {
        Budget { limit, services: Map::default() }
    }

    /// Counts a received request for a service.
    pub fn record_request(&mut self, service: &Name, now: Duration) {
        self.expire(now);
        self.services.entry(service.clone()).or_default().requests.push_back(now);
    }

    /// Takes one retry from the budget of a service; returns false if none is left. `gates` is the number of gates
    /// of the cell; `None` if it is unknown, in which case the slack is not used.
    pub fn try_retry(&mut self, service: &Name, gates: Option<u32>, now: Duration) -> bool {
        self.expire(now);
        let count = self.services.entry(service.clone()).or_default();
        let slack = gates.map_or(0.0, |gates| {
            self.limit.slack / f64::from(gates.max(MIN_GATES) * PROCESSES_PER_GATE)
        });
        let allowed = count.requests.len() as f64 * self.limit.ratio * RATIO_SHARE + slack;
        let free = (count.retries.len() + 1) as f64 <= allowed;
        if free {
            count.retries.push_back(now);
        }
        free
    }

    /// Drops the times that have left the window, and the services without any.
    fn expire(&mut self, now: Duration) {
        let window = self.limit.window;
        self.services.retain(|_, Count { requests, retries }| {
            for times in [&mut *requests, &mut *retries] {
                while times.front().is_some_and(|at| now >= *at + window) {
                    times.pop_front();
                }
            }
            !requests.is_empty() || !retries.is_empty()
        });
    }
}
