//! A retry budget: limits retries to a share of the requests.

use parking_lot::Mutex;

/// Initial number of tokens, so that a run can retry before it has sent many requests.
const INITIAL_TOKENS: f64 = 10.0;

/// A token bucket that requests fill and retries drain.
#[derive(Debug)]
pub(crate) struct Budget {
    /// The tokens that each request adds.
    tokens_per_request: f64,
    /// Invariant: at least 0.
    tokens: Mutex<f64>,
}

impl Budget {
    pub(crate) fn new(percent: f64) -> Budget {
        let tokens = if percent > 0.0 { INITIAL_TOKENS } else { 0.0 };
        Budget { tokens_per_request: percent / 100.0, tokens: Mutex::new(tokens) }
    }

    /// Adds the tokens of a request.
    pub(crate) fn deposit(&self) {
        *self.tokens.lock() += self.tokens_per_request;
    }

    /// Takes the token of a retry; returns `false` if there is none.
    pub(crate) fn withdraw(&self) -> bool {
        let mut tokens = self.tokens.lock();
        if *tokens < 1.0 {
            return false;
        }
        *tokens -= 1.0;
        true
    }
}
