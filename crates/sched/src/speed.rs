//! Prefill and decode speeds of engines, estimated from observed times.

use std::time::Duration;

/// The weight of the latest sample of a prefill speed.
const PREFILL_WEIGHT: f64 = 0.25;
/// The range of prefill speeds, relative to the default.
const PREFILL_RANGE: (f64, f64) = (0.02, 2.0);
/// The smallest prefill that is sampled, in tokens; in smaller ones fixed costs dominate.
const MIN_SAMPLE_TOKENS: f64 = 400.0;

/// The prefill speed of an engine.
#[derive(Clone, Debug)]
pub(crate) struct Prefill {
    /// The speed that is assumed before the first sample, in tokens per ms.
    pub(crate) default_tokens_per_ms: f64,
    /// The estimated speed, in tokens per ms.
    pub(crate) tokens_per_ms: f64,
}

impl Prefill {
    pub(crate) fn new(tokens_per_ms: f64) -> Prefill {
        Prefill { default_tokens_per_ms: tokens_per_ms, tokens_per_ms }
    }

    /// Records that the prefill of `tokens` took `ms`.
    pub(crate) fn observe(&mut self, tokens: f64, ms: f64) {
        if tokens < MIN_SAMPLE_TOKENS {
            return;
        }
        let sample = tokens / ms.max(1.0);
        let sample = sample.clamp(
            self.default_tokens_per_ms * PREFILL_RANGE.0,
            self.default_tokens_per_ms * PREFILL_RANGE.1,
        );
        // The mean is geometric, so that one slow prefill weighs as much as one fast one.
        let mean = self.tokens_per_ms.ln() * (1.0 - PREFILL_WEIGHT) + sample.ln() * PREFILL_WEIGHT;
        self.tokens_per_ms = mean.exp();
    }
}

/// The weight of the latest sample of a [`Fit`].
const FIT_WEIGHT: f64 = 0.05;
/// The number of samples from which a [`Fit`] is used.
const FIT_MIN_SAMPLES: u32 = 8;
/// The smallest standard deviation of the sampled prompts, in tokens, with which a [`Fit`] is used; prompts of the same
/// length don't show which part of the time depends on it.
const FIT_MIN_DEVIATION: f64 = 300.0;
/// The weight of the speed that is assumed, in samples whose prompts deviate by 1,000 tokens. Few samples that were
/// delayed by chance would otherwise give any speed.
const FIT_PRIOR: f64 = 4.0 * 1e6;
/// The number of samples that a [`Fit`] remembers.
const FIT_MAX_SAMPLES: f64 = 1.0 / FIT_WEIGHT;

/// The prefill speed of an engine, from requests that were alone in its queue.
///
/// The time to the first event is a constant plus the tokens divided by the speed. A linear regression over the latest
/// requests separates the two, which a quotient of tokens and time does not. Requests behind others are left out, because
/// it is not known how much of those prompts had been read.
#[derive(Clone, Debug, Default)]
pub(crate) struct Fit {
    samples: u32,
    tokens: f64,
    ms: f64,
    variance: f64,
    covariance: f64,
}

impl Fit {
    /// Records that the first event of a request with `tokens` to read came after `ms`, at the usual pace of the host.
    pub(crate) fn observe(&mut self, tokens: f64, ms: f64) {
        self.samples = self.samples.saturating_add(1);
        let weight = FIT_WEIGHT.max(1.0 / f64::from(self.samples));
        let (dx, dy) = (tokens - self.tokens, ms - self.ms);
        self.tokens += weight * dx;
        self.ms += weight * dy;
        self.variance = (1.0 - weight) * (self.variance + weight * dx * dx);
        self.covariance = (1.0 - weight) * (self.covariance + weight * dx * dy);
    }

    /// Returns the speed in tokens per ms, which is `assumed` without evidence; `None` without enough samples.
    pub(crate) fn tokens_per_ms(&self, assumed: f64) -> Option<f64> {
        let known = self.samples >= FIT_MIN_SAMPLES
            && self.variance >= FIT_MIN_DEVIATION * FIT_MIN_DEVIATION;
        let prior = FIT_PRIOR / f64::from(self.samples).min(FIT_MAX_SAMPLES);
        // Longer prompts that seem to be read in less time are an error of measurement.
        let covariance = self.covariance.max(0.0) + prior / assumed;
        known.then(|| (self.variance + prior) / covariance)
    }

    /// Returns the part of the time to the first event that does not depend on the prompt, in ms; `None` without enough
    /// samples.
    pub(crate) fn constant_ms(&self, assumed: f64) -> Option<f64> {
        let speed = self.tokens_per_ms(assumed)?;
        Some((self.ms - self.tokens / speed).max(0.0))
    }
}

/// The time constant with which a stated pace returns to the usual one. Hosts are slow for about 600 ms at a time.
const PACE_DECAY: Duration = Duration::from_millis(400);
/// The range of paces that are believed, relative to the usual time.
const PACE_RANGE: (f64, f64) = (0.1, 20.0);

/// How long work takes on the host of an engine, relative to the usual time, as the engine stated it last.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pace {
    factor: f64,
    stated_at: Duration,
}

impl Pace {
    /// Returns the pace that an engine states, in percent of the usual time.
    pub(crate) fn new(percent: u32, now: Duration) -> Pace {
        let (min, max) = PACE_RANGE;
        Pace { factor: (f64::from(percent) / 100.0).clamp(min, max), stated_at: now }
    }

    /// Returns the pace when it was stated.
    pub(crate) fn stated(&self) -> f64 {
        self.factor
    }

    /// Returns the time since the pace was stated.
    pub(crate) fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.stated_at)
    }

    /// Returns the pace that is expected now.
    pub(crate) fn expected(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.stated_at).as_secs_f64() / PACE_DECAY.as_secs_f64();
        1.0 + (self.factor - 1.0) * (-age).exp()
    }
}

/// The range of decode times per token, relative to the default.
const DECODE_RANGE: (f64, f64) = (0.2, 10.0);
/// The weight of the latest response in the decode time. It is small because the estimate of a
/// single response's length is often far off.
const DECODE_WEIGHT: f64 = 0.02;

/// The decode time per output token, over all engines.
#[derive(Clone, Debug)]
pub(crate) struct Decode {
    /// The time that is assumed before the first sample, in ms.
    default_ms_per_token: f64,
    /// The estimated time, in ms.
    ms_per_token: f64,
}

impl Decode {
    pub(crate) fn new(ms_per_token: f64) -> Decode {
        Decode { default_ms_per_token: ms_per_token, ms_per_token }
    }

    /// Records the time `took` from the first event to the end of a response with an estimated
    /// length of `tokens`.
    pub(crate) fn observe(&mut self, tokens: u32, took: Duration) {
        if tokens == 0 {
            return;
        }
        let sample = took.as_secs_f64() * 1e3 / f64::from(tokens);
        let sample = sample.clamp(
            self.default_ms_per_token * DECODE_RANGE.0,
            self.default_ms_per_token * DECODE_RANGE.1,
        );
        self.ms_per_token += DECODE_WEIGHT * (sample - self.ms_per_token);
    }

    /// Returns the expected time from the first event to the end of a response of `tokens`.
    pub(crate) fn duration(&self, tokens: u32) -> Duration {
        Duration::from_secs_f64(self.ms_per_token * f64::from(tokens) / 1e3)
    }
}
