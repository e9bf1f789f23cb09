//! Finds out which requests crash endpoints.

use std::collections::VecDeque;
use std::time::Duration;

use base::Name;
use base::Set;
use fleet::quarantine::Loss;
use fleet::quarantine::Subject;

/// The number of crashed endpoints after which a subject that was in progress at each of them is quarantined.
const MIN_CRASHES: usize = 3;
/// The time after which a crash is no longer counted.
const RETENTION: Duration = Duration::from_secs(600);
/// The limit on remembered crashes; beyond it the oldest are dropped.
const MAX_CRASHES: usize = 256;
/// The time after a loss from which an announcement shows that the endpoint did not crash; longer than an announcement
/// may be delayed.
const ANNOUNCEMENT_DELAY: Duration = Duration::from_secs(3);

/// The recent crashes of endpoints and what was in progress at each.
///
/// A subject counts against a crash unless a request with it ended at an endpoint that survived, or the crash is
/// explained by a subject that is quarantined.
#[derive(Clone, Debug, Default)]
pub struct Detector {
    /// The oldest first.
    ///
    /// Invariant: at most one for each incarnation of an endpoint, and [`MAX_CRASHES`] in total.
    crashes: VecDeque<Crash>,
}

/// A crash of an endpoint.
#[derive(Clone, Debug)]
struct Crash {
    endpoint: Name,
    /// The start time of the incarnation that crashed.
    born: u64,
    /// When the first loss was reported.
    at: Duration,
    /// What was in progress and may have caused the crash.
    ///
    /// Invariant: empty if the crash is explained.
    subjects: Set<Subject>,
    /// Whether a quarantined subject was in progress.
    explained: bool,
}

impl Crash {
    fn explain(&mut self) {
        self.explained = true;
        self.subjects.clear();
    }
}

impl Detector {
    /// Records that an endpoint was lost while it ran a request; repeated reports of the same crash count once. Returns
    /// the subjects that this report adds to the crash.
    pub fn record(&mut self, loss: &Loss, now: Duration) -> Vec<Subject> {
        let Some(crash) = self.crash(loss, now).filter(|crash| !crash.explained) else {
            return Vec::new();
        };
        let new = loss.subjects.iter().filter(|subject| crash.subjects.insert(**subject));
        new.copied().collect()
    }

    /// Records the loss of an endpoint under a quarantined subject, which explains the crash.
    pub fn record_explained(&mut self, loss: &Loss, now: Duration) {
        if let Some(crash) = self.crash(loss, now) {
            crash.explain();
        }
    }

    /// Returns the crash that a report belongs to; `None` if it is too old to count.
    fn crash(&mut self, loss: &Loss, now: Duration) -> Option<&mut Crash> {
        let at = now.saturating_sub(Duration::from_millis(u64::from(loss.age_ms)));
        if now >= at + RETENTION {
            return None;
        }
        self.expire(now);
        let same = |crash: &Crash| crash.endpoint == loss.endpoint && crash.born == loss.born;
        if let Some(index) = self.crashes.iter().position(same) {
            return self.crashes.get_mut(index);
        }
        if self.crashes.len() >= MAX_CRASHES {
            self.crashes.pop_front();
        }
        let index = self.crashes.partition_point(|crash| crash.at <= at);
        let (endpoint, born) = (loss.endpoint.clone(), loss.born);
        let subjects = Set::default();
        self.crashes.insert(index, Crash { endpoint, born, at, subjects, explained: false });
        self.crashes.get_mut(index)
    }

    /// Returns the subject with the most crashes if they suffice to quarantine it, with the endpoints that crashed. It
    /// explains those crashes.
    pub fn convict(&mut self, subjects: &[Subject]) -> Option<(Subject, Vec<Name>)> {
        let counts = subjects.iter().map(|subject| (self.crashes_of(*subject).count(), *subject));
        let (count, subject) = counts.max()?;
        if count < MIN_CRASHES {
            return None;
        }
        let endpoints = self.crashes_of(subject).map(|crash| crash.endpoint.clone()).collect();
        for crash in self.crashes.iter_mut().filter(|crash| crash.subjects.contains(&subject)) {
            crash.explain();
        }
        Some((subject, endpoints))
    }

    /// Clears subjects of all crashes so far, because a request with them has ended at an endpoint that survived.
    pub fn clear(&mut self, subjects: &[Subject]) {
        for crash in &mut self.crashes {
            for subject in subjects {
                crash.subjects.remove(subject);
            }
        }
    }

    /// Handles an endpoint's announcement, which shows that a loss reported well before was no crash.
    pub fn endpoint_announced(&mut self, endpoint: &str, born: u64, now: Duration) {
        self.crashes.retain(|crash| {
            let survived = &*crash.endpoint == endpoint && crash.born == born;
            !(survived && now >= crash.at + ANNOUNCEMENT_DELAY)
        });
    }

    /// Returns the crashes that a subject may have caused.
    fn crashes_of(&self, subject: Subject) -> impl Iterator<Item = &Crash> {
        self.crashes.iter().filter(move |crash| crash.subjects.contains(&subject))
    }

    fn expire(&mut self, now: Duration) {
        while self.crashes.front().is_some_and(|crash| now >= crash.at + RETENTION) {
            self.crashes.pop_front();
        }
    }
}
