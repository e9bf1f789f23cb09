//! How many requests may be sent a second time.

use std::collections::VecDeque;
use std::time::Duration;

/// A share of the requests lately received; each gate keeps to its own share, so that all keep to the
/// whole without talking.
#[derive(Debug)]
pub struct Budget {
    ratio: f64,
    window: Duration,
    slack: f64,
    requests: VecDeque<Duration>,
    retries: VecDeque<Duration>,
}

impl Budget {
    /// Makes a budget of `ratio` of the requests and `slack` retries over `window`.
    pub fn new(ratio: f64, window: Duration, slack: f64) -> Budget {
        Budget { ratio, window, slack, requests: VecDeque::new(), retries: VecDeque::new() }
    }

    /// Counts a request.
    pub fn count(&mut self, now: Duration) {
        self.forget(now);
        self.requests.push_back(now);
    }

    /// Takes a retry from the budget; false if none is left.
    pub fn take(&mut self, now: Duration) -> bool {
        self.forget(now);
        let allowed = self.requests.len() as f64 * self.ratio + self.slack;
        let free = (self.retries.len() + 1) as f64 <= allowed;
        if free {
            self.retries.push_back(now);
        }
        free
    }

    fn forget(&mut self, now: Duration) {
        let window = self.window;
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|at| now >= *at + window) {
                times.pop_front();
            }
        }
    }
}
