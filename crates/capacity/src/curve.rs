//! How long calls take at an endpoint, by the number of calls there.

/// The number of levels of concurrency that are told apart.
const LEVELS: usize = 32;
/// The levels with a single number of calls each; those above are geometric.
const EXACT_LEVELS: usize = 8;
/// The most runs by which a level is weighted, so that it follows a change within as many runs.
const MAX_WEIGHT: f64 = 32.0;
/// The weight of the latest run in the moving averages of the error and of its square.
const FAST_WEIGHT: f64 = 1.0 / 16.0;
const SLOW_WEIGHT: f64 = 1.0 / 64.0;
/// The error, in its standard deviations, from which another capacity than the present one is accepted; squared.
const KNEE_EVIDENCE: f64 = 9.0;
/// The moving average of the error, in its own standard deviations, that is taken for a change of the speed. With 4 and a
/// weight of 1/12, noise alone moved the estimate once in some 350,000 runs; with these, not in 14 million.
const STEP_SIGMAS: f64 = 4.5;
/// The weight of all levels after such a change, in runs, so that what the moving average lacks of it is soon made up.
const STEP_WEIGHT: f64 = 24.0;
/// The runs after which the capacity is fitted anew.
const FIT_INTERVAL: u32 = 8;
/// The ratio of a capacity that is tried to the next smaller one.
const FIT_RATIO: f64 = 0.9;
/// The shortest time of a run, in ms: gates report whole ms, and shorter ones differ by more than noise explains.
const RESOLUTION_MS: f64 = 1.0;
/// The variance of the logarithm of a run's time before it is measured, as of work that varies by half.
const INITIAL_VARIANCE: f64 = 0.22;

/// The runs at one level of concurrency.
#[derive(Clone, Copy, Debug, Default)]
struct Level {
    /// The runs, up to [`MAX_WEIGHT`].
    weight: f64,
    /// The mean of the logarithm of the number of calls.
    calls: f64,
    /// The mean of the logarithm of the time in ms.
    time: f64,
}

/// The time of a call as a function of the number of calls at its endpoint. It is fitted as `work x max(1, calls / knee)`:
/// constant up to a number of calls, and proportional to their number above it.
#[derive(Clone, Debug)]
pub(crate) struct Curve {
    levels: [Level; LEVELS],
    /// The logarithm of the time below the knee, in ms; `None` without any run.
    work: Option<f64>,
    knee: f64,
    /// Whether runs have shown the knee, so that it is not the stated slots or the most calls.
    shown: bool,
    /// The most calls among which runs were measured.
    most: f64,
    /// The latest error of the logarithm, its moving average, and its variance.
    former: f64,
    error: f64,
    variance: f64,
    runs: u32,
}

impl Default for Curve {
    fn default() -> Curve {
        Curve {
            levels: [Level::default(); LEVELS],
            work: None,
            knee: f64::INFINITY,
            shown: false,
            most: 0.0,
            former: 0.0,
            error: 0.0,
            variance: INITIAL_VARIANCE,
            runs: 0,
        }
    }
}

impl Curve {
    /// Records that a run took `ms` while there were `calls` calls, itself included. `slots` is the stated capacity, or 0.
    pub(crate) fn record(&mut self, calls: f64, ms: f64, slots: u32) {
        let calls = calls.max(1.0);
        let time = ms.max(RESOLUTION_MS).ln();
        self.most = self.most.max(calls);
        self.runs = self.runs.saturating_add(1);
        if let Some(work) = self.work {
            self.follow(time - work - self.excess(calls).ln());
        }
        let level = &mut self.levels[level_of(calls)];
        level.weight = (level.weight + 1.0).min(MAX_WEIGHT);
        level.time += (time - level.time) / level.weight;
        level.calls += (calls.ln() - level.calls) / level.weight;
        if self.runs <= FIT_INTERVAL || self.runs.is_multiple_of(FIT_INTERVAL) {
            self.fit(slots);
        }
    }

    /// Moves all levels if the latest runs took longer or shorter than noise explains.
    fn follow(&mut self, error: f64) {
        self.error += FAST_WEIGHT * (error - self.error);
        // The difference of two errors is independent of a change of the speed.
        let square = (error - self.former).powi(2) / 2.0;
        self.former = error;
        self.variance += SLOW_WEIGHT * (square - self.variance);
        let sigma = (self.variance * FAST_WEIGHT / (2.0 - FAST_WEIGHT)).sqrt();
        if self.error.abs() < STEP_SIGMAS * sigma {
            return;
        }
        let share = (STEP_WEIGHT / self.weight()).min(1.0);
        for level in &mut self.levels {
            level.time += self.error;
            level.weight *= share;
        }
        self.former -= self.error;
        self.work = self.work.map(|work| work + self.error);
        self.error = 0.0;
    }

    /// Fits work and knee by least squares, from the stated slots or the most calls downwards. The present knee is kept
    /// unless another one explains the runs clearly better, so that noise does not change the capacity.
    fn fit(&mut self, slots: u32) {
        let largest = if slots > 0 { f64::from(slots) } else { self.most };
        let mut knee = if self.shown { self.knee.min(largest) } else { largest };
        let (mut work, mut least) = self.residual(knee);
        least -= KNEE_EVIDENCE * self.variance;
        let mut candidate = largest;
        while candidate >= 1.0 {
            let (mean, error) = self.residual(candidate);
            if error < least {
                (least, work, knee) = (error, mean, candidate);
                self.shown = candidate < largest;
            }
            candidate *= FIT_RATIO;
        }
        (self.work, self.knee) = (Some(work), knee);
    }

    /// Returns the work that fits best with a knee, and the sum of the squared errors.
    fn residual(&self, knee: f64) -> (f64, f64) {
        let (mut weight, mut sum, mut squares) = (0.0, 0.0, 0.0);
        for level in self.levels.iter().filter(|level| level.weight > 0.0) {
            let time = level.time - (level.calls - knee.ln()).max(0.0);
            weight += level.weight;
            sum += level.weight * time;
            squares += level.weight * time * time;
        }
        let mean = sum / weight;
        (mean, (squares - weight * mean * mean).max(0.0))
    }

    /// Returns the factor by which a call takes longer among `calls` calls.
    pub(crate) fn excess(&self, calls: f64) -> f64 {
        (calls / self.knee).max(1.0)
    }

    /// Returns the mean time below the knee, in ms; `None` without any run.
    pub(crate) fn work_ms(&self) -> Option<f64> {
        Some((self.work? + self.variance / 2.0).exp())
    }

    /// Returns the number of calls above which they take longer; `None` if no run has shown it and nothing is stated.
    pub(crate) fn knee(&self) -> Option<f64> {
        self.knee.is_finite().then_some(self.knee)
    }

    /// Returns whether runs have shown the knee.
    pub(crate) fn has_knee(&self) -> bool {
        self.shown
    }

    /// Returns the standard error of the work, as a share of it.
    pub(crate) fn error(&self) -> f64 {
        let weight = self.weight();
        if weight > 0.0 { (self.variance / weight).sqrt() } else { f64::INFINITY }
    }

    fn weight(&self) -> f64 {
        self.levels.iter().map(|level| level.weight).sum()
    }

    /// Returns the number of runs.
    pub(crate) fn runs(&self) -> u32 {
        self.runs
    }
}

/// Returns the level of a number of calls.
fn level_of(calls: f64) -> usize {
    let exact = EXACT_LEVELS as f64;
    let level = match calls <= exact {
        true => calls.round() - 1.0,
        false => exact - 1.0 + (4.0 * (calls / exact).log2()).ceil(),
    };
    (level as usize).min(LEVELS - 1)
}
