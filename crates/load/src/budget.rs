//! The budget of retries: a share of the requests.

use parking_lot::Mutex;

/// The retries that a run may do before it has sent anything.
const INITIAL: f64 = 10.0;

/// Counts what may still be retried.
#[derive(Debug)]
pub(crate) struct Budget {
    /// What each request adds.
    share: f64,
    /// Invariant: at least 0.
    left: Mutex<f64>,
}

impl Budget {
    pub(crate) fn new(percent: f64) -> Budget {
        let left = if percent > 0.0 { INITIAL } else { 0.0 };
        Budget { share: percent / 100.0, left: Mutex::new(left) }
    }

    /// Notes a request.
    pub(crate) fn earn(&self) {
        *self.left.lock() += self.share;
    }

    /// Takes a retry; `false` if there is none left.
    pub(crate) fn spend(&self) -> bool {
        let mut left = self.left.lock();
        if *left < 1.0 {
            return false;
        }
        *left -= 1.0;
        true
    }
}
