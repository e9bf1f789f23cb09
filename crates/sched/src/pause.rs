//! The pauses of streams, learned from what gates measure.
//!
//! While an engine reads prompts, no stream there gets a token. How long a stream pauses depends on how many prompt
//! tokens the engine reads within the decoding steps of one event. Engines bound that number, and the bound is not
//! configured, so it is learned: for each stream, the scheduler knows the most prompt tokens that were to be read within
//! the steps of one event ([`crate::reading`]), and the gate reports the longest pause.

/// The width of a band of prompt tokens.
const BAND_TOKENS: f64 = 512.0;
/// The number of bands; larger numbers of prompt tokens count to the last one.
const BANDS: usize = 32;
/// The number of samples from which a band is known.
const MIN_SAMPLES: f64 = 6.0;
/// The number of samples that a band remembers.
const MAX_SAMPLES: f64 = 200.0;
/// The smallest standard deviation of a band that is assumed, in tokens; a few equal samples do not show that there is none.
const MIN_DEVIATION: f64 = 200.0;
/// The largest number of prompt tokens that an engine can have read, relative to those that were to be read. It is more than
/// 1 because prompts that the scheduler counts to two events may be read in one.
const MAX_READ: f64 = 1.3;
/// The shares of late streams that are taken for none, since bands have tails.
const MIN_SHARE: f64 = 0.05;
/// The range of the pause without prompts, relative to the default.
const BASE_RANGE: (f64, f64) = (0.5, 3.0);

/// A moving mean with variance.
#[derive(Clone, Copy, Debug, Default)]
struct Mean {
    samples: f64,
    mean: f64,
    variance: f64,
}

impl Mean {
    fn observe(&mut self, value: f64) {
        self.samples = (self.samples + 1.0).min(MAX_SAMPLES);
        let weight = 1.0 / self.samples;
        let delta = value - self.mean;
        self.mean += weight * delta;
        self.variance = (1.0 - weight) * (self.variance + weight * delta * delta);
    }

    fn is_known(&self) -> bool {
        self.samples >= MIN_SAMPLES
    }

    /// Returns the standard error of the mean.
    fn error(&self) -> f64 {
        (self.variance / self.samples.max(1.0)).sqrt()
    }
}

/// The number of prompt tokens that engines read within the decoding steps of one event.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// The estimate.
    pub tokens: f64,
    /// Its standard error.
    pub error: f64,
}

/// The pauses of the streams of a service.
#[derive(Clone, Debug)]
pub struct Pauses {
    /// The pause without prompts that is assumed before there is a sample, in ms.
    default_base_ms: f64,
    /// The longest pause of streams beside which no prompt was read, in ms.
    base: Mean,
    /// The prompt tokens that were read in the longest pause, by the prompt tokens that were to be read.
    bands: [Mean; BANDS],
}

impl Pauses {
    /// Creates an estimate; an event takes `base_ms` if no prompts are read.
    pub fn new(base_ms: f64) -> Pauses {
        Pauses { default_base_ms: base_ms, base: Mean::default(), bands: [Mean::default(); BANDS] }
    }

    /// Records the longest pause of a stream at an engine that reads `tokens_per_ms`. At most `window` prompt tokens were
    /// to be read within the steps of one event.
    pub fn observe(&mut self, window: f64, pause_ms: f64, tokens_per_ms: f64) {
        if window < 1.0 {
            self.base.observe(pause_ms);
            return;
        }
        // An engine reads no more than it was sent; the rest of a longer pause has other causes.
        let most = window * MAX_READ + BAND_TOKENS;
        let read = ((pause_ms - self.base_ms()) * tokens_per_ms).clamp(0.0, most);
        self.bands[band(window)].observe(read);
    }

    /// Returns the pause of a stream beside which no prompt is read, in ms.
    pub fn base_ms(&self) -> f64 {
        if !self.base.is_known() {
            return self.default_base_ms;
        }
        let (min, max) = BASE_RANGE;
        self.base.mean.clamp(self.default_base_ms * min, self.default_base_ms * max)
    }

    /// Returns the prompt tokens that an engine is expected to read within the steps of one event if `window` are to be
    /// read; `None` without evidence.
    pub fn expected_read(&self, window: f64) -> Option<f64> {
        self.known(window).map(|band| band.mean.min(window))
    }

    /// Returns the share of streams that are expected to pause for longer than `gap_ms`, from 0 to 1, if at most `window`
    /// prompt tokens are to be read within the steps of one event. It is 0 without evidence.
    pub fn late_share(&self, window: f64, tokens_per_ms: f64, gap_ms: f64) -> f64 {
        let limit = (gap_ms - self.base_ms()) * tokens_per_ms;
        let Some(band) = self.known(window) else { return 0.0 };
        let deviation = band.variance.sqrt().max(MIN_DEVIATION);
        let excess = (band.mean - band.error() - limit) / deviation;
        // The logistic function with this factor is close to the normal distribution.
        let share = 1.0 / (1.0 + (-1.7 * excess).exp());
        if share < MIN_SHARE { 0.0 } else { share }
    }

    /// Returns whether most streams are expected to pause for longer than `gap_ms` beside any number of prompt tokens.
    pub fn binds(&self, tokens_per_ms: f64, gap_ms: f64) -> bool {
        self.late_share(f64::INFINITY, tokens_per_ms, gap_ms) > 0.5
    }

    /// Returns the learned number of prompt tokens that engines read within the steps of one event; `None` without
    /// evidence. It is a lower bound while longer pauses go with more prompt tokens.
    pub fn bound(&self) -> Option<Bound> {
        let known = self.bands.iter().filter(|band| band.is_known());
        let largest = known.max_by(|a, b| a.mean.total_cmp(&b.mean))?;
        Some(Bound { tokens: largest.mean, error: largest.error() })
    }

    /// Returns the evidence for a number of prompt tokens, or for the next lower one for which there is some.
    fn known(&self, window: f64) -> Option<&Mean> {
        self.bands[..=band(window)].iter().rev().find(|band| band.is_known())
    }
}

fn band(window: f64) -> usize {
    ((window / BAND_TOKENS) as usize).min(BANDS - 1)
}
