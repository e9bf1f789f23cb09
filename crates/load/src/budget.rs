//! The budget of retries: a tokens_per_request of the requests.

use parking_lot::Mutex;

/// The retries that a run may do before it has sent anything.
const INITIAL_TOKENS: f64 = 10.0;

/// Counts what may still be retried.
#[derive(Debug)]
pub(crate) struct Budget {
    /// What each request adds.
    tokens_per_request: f64,
    /// Invariant: at least 0.
    tokens: Mutex<f64>,
}

impl Budget {
    pub(crate) fn new(percent: f64) -> Budget {
        let tokens = if percent > 0.0 { INITIAL_TOKENS } else { 0.0 };
        Budget { tokens_per_request: percent / 100.0, tokens: Mutex::new(tokens) }
    }

    /// Notes a request.
    pub(crate) fn deposit(&self) {
        *self.tokens.lock() += self.tokens_per_request;
    }

    /// Takes a retry; `false` if there is none tokens.
    pub(crate) fn withdraw(&self) -> bool {
        let mut tokens = self.tokens.lock();
        if *tokens < 1.0 {
            return false;
        }
        *tokens -= 1.0;
        true
    }
}
