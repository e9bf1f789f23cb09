//! The estimate of an endpoint's capacity.

use std::time::Duration;

use fleet::message::Load;

use crate::curve::Curve;

/// The weight of the latest report of the pace beside one at the same time. Three reports follow a change to 94%; a single
/// one does not.
const PACE_WEIGHT: f64 = 0.6;
/// The half-life of what an earlier report adds to the latest one. A gate that sees one call in a second takes the latest
/// one alone.
const PACE_MEMORY: Duration = Duration::from_millis(100);
/// The weight of the latest report in the mean pace.
const MEAN_PACE_WEIGHT: f64 = 1.0 / 64.0;
/// The half-life of a reported pace, after which the mean is the better guess. Hosts slow down for some 600 ms.
const PACE_HALF_LIFE: Duration = Duration::from_millis(300);
/// The spread of the logarithm of the speeds of endpoints of one service, as far as their hosts' paces do not explain it.
const SPEED_SPREAD: f64 = 0.2;
/// The bounds of a reported pace, against values that no host has.
const PACE_BOUNDS: (u32, u32) = (10, 10_000);
/// The growth of the uncertainty without results, as a share of the time of a call, per second.
const DRIFT_PER_S: f64 = 0.02;

/// A call that an endpoint answered.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Run {
    /// The time from sending the call to the end of the response.
    pub ran: Duration,
    /// The calls at the endpoint when the call was sent, itself included.
    pub calls: u32,
}

/// What an estimate rests on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Basis {
    /// Nothing is known yet.
    Nothing,
    /// The times of runs alone, as far as this node has seen them.
    Runs,
    /// The load that the endpoint reports, without the pace of its host.
    Load,
    /// The load and the pace of the host that the endpoint reports.
    Pace,
}

/// The pace of an endpoint's host; 1 is the usual one, 2.5 means that work takes 2.5 times as long.
#[derive(Clone, Copy, Debug)]
struct Pace {
    latest: f64,
    mean: f64,
    at: Duration,
}

impl Pace {
    /// Returns what is left of the latest report with a half-life.
    fn kept(&self, now: Duration, half_life: Duration) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64() / half_life.as_secs_f64();
        (-age).exp2()
    }

    fn at(&self, now: Duration) -> f64 {
        self.mean + (self.latest - self.mean) * self.kept(now, PACE_HALF_LIFE)
    }
}

/// How fast an endpoint works, and how many calls it takes before callers wait longer.
#[derive(Clone, Debug, Default)]
pub struct Estimate {
    /// The stated slots; 0 if they are not stated.
    slots: u32,
    curve: Curve,
    pace: Option<Pace>,
    /// The load that was last reported, and when.
    load: Option<(Load, Duration)>,
    /// When the latest result arrived.
    updated: Option<Duration>,
}

impl Estimate {
    /// Returns the estimate of an endpoint that announces this number of slots, or 0.
    pub fn new(slots: u32) -> Estimate {
        Estimate { slots, ..Estimate::default() }
    }

    /// Records the load that an endpoint reports with a response or a refusal.
    pub fn record_load(&mut self, load: Load, now: Duration) {
        self.updated = Some(now);
        self.load = Some((load, now));
        if load.slots > 0 {
            self.slots = load.slots;
        }
        let Some(percent) = load.pace else { return };
        let stated = f64::from(percent.clamp(PACE_BOUNDS.0, PACE_BOUNDS.1)) / 100.0;
        let pace = match self.pace {
            None => Pace { latest: stated, mean: stated.min(1.0), at: now },
            Some(known) => {
                let former = known.at(now);
                let kept = (1.0 - PACE_WEIGHT) * known.kept(now, PACE_MEMORY);
                Pace {
                    latest: stated + kept * (former - stated),
                    mean: known.mean + MEAN_PACE_WEIGHT * (stated - known.mean),
                    at: now,
                }
            }
        };
        self.pace = Some(pace);
    }

    /// Records a run, with the load that came with its response.
    pub fn record_run(&mut self, run: Run, load: Option<Load>, now: Duration) {
        self.updated = Some(now);
        // A report from before the call was sent says little of the pace at which it ran.
        let before = self.pace.filter(|pace| pace.at + run.ran >= now).map(|pace| pace.at(now));
        if let Some(load) = load {
            self.record_load(load, now);
        }
        let after = self.pace.map(|pace| pace.at(now));
        // The pace may have changed during the run; the geometric mean is half the error of either.
        let after = after.unwrap_or(1.0);
        let pace = (before.unwrap_or(after) * after).sqrt();
        let ms = run.ran.as_secs_f64() * 1e3 / pace;
        self.curve.record(f64::from(run.calls), ms, self.slots);
    }

    /// Returns the pace of the endpoint's host now; 1 if it is not stated.
    pub fn pace(&self, now: Duration) -> f64 {
        self.pace.map_or(1.0, |pace| pace.at(now))
    }

    /// Returns the mean time of a call that does not wait, at the present pace, in ms; `None` without any run.
    pub fn work_ms(&self, now: Duration) -> Option<f64> {
        Some(self.curve.work_ms()? * self.pace(now))
    }

    /// Returns the mean time of a call that does not wait, at the usual pace, in ms; `None` without any run.
    pub fn usual_ms(&self) -> Option<f64> {
        self.curve.work_ms()
    }

    /// Returns the time as [`Estimate::work_ms`], drawn towards `usual_ms`, that of the service's endpoints, as far as it is
    /// uncertain. A node that sees few runs would else prefer the endpoint with the luckiest ones.
    pub fn blended_ms(&self, usual_ms: f64, now: Duration) -> f64 {
        let error = self.uncertainty(now);
        let share = SPEED_SPREAD.powi(2) / (SPEED_SPREAD.powi(2) + error.powi(2));
        let own = self.curve.work_ms().unwrap_or(usual_ms);
        usual_ms * (own / usual_ms).powf(share) * self.pace(now)
    }

    /// Returns the number of calls that the endpoint takes before callers wait longer. The stated slots, or fewer if runs
    /// take longer before these are in use; `None` if nothing is stated and no run has shown it.
    pub fn takes(&self) -> Option<f64> {
        let stated = (self.slots > 0).then(|| f64::from(self.slots));
        match stated {
            Some(stated) => Some(self.curve.knee().map_or(stated, |knee| knee.min(stated))),
            None => self.curve.knee().filter(|_| self.curve.has_knee()),
        }
    }

    /// Returns the factor by which a call takes longer among `calls` calls, itself included, than alone.
    pub fn excess(&self, calls: f64) -> f64 {
        self.takes().map_or(1.0, |takes| (calls / takes).max(1.0))
    }

    /// Returns the stated slots; 0 if they are not stated.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Returns the reported load, and when it was reported.
    pub fn load(&self) -> Option<(Load, Duration)> {
        self.load
    }

    /// Returns whether the endpoint states the pace of its host.
    pub fn is_paced(&self) -> bool {
        self.pace.is_some()
    }

    /// Returns what the estimate rests on.
    pub fn basis(&self) -> Basis {
        match (self.pace, self.load) {
            (Some(_), _) => Basis::Pace,
            (None, Some(_)) => Basis::Load,
            (None, None) if self.curve.runs() > 0 => Basis::Runs,
            (None, None) => Basis::Nothing,
        }
    }

    /// Returns the time since the latest result; `None` without any.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.updated.map(|updated| now.saturating_sub(updated))
    }

    /// Returns the standard error of the time of a call, as a share of it; infinite without any run. It grows with the age.
    pub fn uncertainty(&self, now: Duration) -> f64 {
        let drift = self.age(now).map_or(0.0, |age| DRIFT_PER_S * age.as_secs_f64());
        (self.curve.error().powi(2) + drift * drift).sqrt()
    }
}
