//! How fast an engine reads prompts, learned from the times to first events.

/// The weight of the latest sample.
const WEIGHT: f64 = 0.25;
/// The slowest and the fastest engine, relative to one of unknown speed.
const RANGE: (f64, f64) = (0.02, 2.0);
/// The fewest tokens of a sample; with fewer other times prevail.
const SAMPLE_TOKENS: f64 = 400.0;

/// How fast an engine reads prompts.
#[derive(Clone, Debug)]
pub(crate) struct Pace {
    /// The speed of an engine of unknown speed, in tokens a ms.
    usual: f64,
    /// The speed in tokens a ms.
    pub(crate) tokens_per_ms: f64,
}

impl Pace {
    pub(crate) fn new(usual: f64) -> Pace {
        Pace { usual, tokens_per_ms: usual }
    }

    /// Notes that `tokens` were read in `ms`.
    pub(crate) fn observe(&mut self, tokens: f64, ms: f64) {
        if tokens < SAMPLE_TOKENS {
            return;
        }
        let seen = tokens / ms.max(1.0);
        let seen = seen.clamp(self.usual * RANGE.0, self.usual * RANGE.1);
        // In logarithms, so that one slow answer weighs as much as one fast one.
        let mixed = self.tokens_per_ms.ln() * (1.0 - WEIGHT) + seen.ln() * WEIGHT;
        self.tokens_per_ms = mixed.exp();
    }
}
