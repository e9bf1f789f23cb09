//! The retry budget.

use std::collections::VecDeque;
use std::time::Duration;

/// Limits retries to a share of the recently received requests. Each gate enforces the ratio on its own
/// requests, so that all gates together keep to it without coordination.
#[derive(Debug)]
pub struct Budget {
    ratio: f64,
    window: Duration,
    slack: f64,
    requests: VecDeque<Duration>,
    retries: VecDeque<Duration>,
}

impl Budget {
    /// Creates a budget that allows `ratio` retries per request plus `slack` retries in a sliding `window`.
    pub fn new(ratio: f64, window: Duration, slack: f64) -> Budget {
        Budget { ratio, window, slack, requests: VecDeque::new(), retries: VecDeque::new() }
    }

    /// Counts a received request.
    pub fn record_request(&mut self, now: Duration) {
        self.expire(now);
        self.requests.push_back(now);
    }

    /// Takes one retry from the budget; returns false if none is left.
    pub fn try_retry(&mut self, now: Duration) -> bool {
        self.expire(now);
        let allowed = self.requests.len() as f64 * self.ratio + self.slack;
        let free = (self.retries.len() + 1) as f64 <= allowed;
        if free {
            self.retries.push_back(now);
        }
        free
    }

    /// Drops the times that have left the window.
    fn expire(&mut self, now: Duration) {
        let window = self.window;
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|at| now >= *at + window) {
                times.pop_front();
            }
        }
    }
}
