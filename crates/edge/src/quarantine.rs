//! What a gate knows about requests and parts of prompts that crash endpoints.

use std::collections::VecDeque;
use std::time::Duration;

use base::Map;
use base::Set;
use fleet::quarantine::Fingerprint;
use fleet::quarantine::Loss;
use fleet::quarantine::Subject;
use parking_lot::Mutex;

/// The limit on losses that are kept for the next leader; beyond it the oldest are dropped.
const MAX_LOSSES: usize = 1_024;
/// The time for which they are kept.
const LOSS_RETENTION: Duration = Duration::from_secs(600);
/// The limit on suspects; beyond it the oldest are dropped.
const MAX_SUSPECTS: usize = 16_384;
/// The interval at which refusals for the same subject are reported.
const REFUSAL_INTERVAL: Duration = Duration::from_secs(10);

/// What a gate knows about requests that crash endpoints.
#[derive(Debug, Default)]
pub struct Quarantine {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    /// The quarantined subjects.
    quarantined: Map<Subject, Entry>,
    /// The subjects whose end at an endpoint that survives is to be reported.
    suspects: Set<Subject>,
    /// The suspects in the order in which they became known; may contain some that have been cleared.
    suspect_order: VecDeque<Subject>,
    /// The losses of crashed endpoints at this gate, the oldest first. They are sent to each new leader.
    losses: VecDeque<(Duration, Loss)>,
}

/// A quarantined subject.
#[derive(Clone, Copy, Debug, Default)]
struct Entry {
    /// When a refusal was last reported.
    reported: Option<Duration>,
    /// Whether a single request is to be admitted.
    probe: bool,
}

/// A quarantined subject of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Hit {
    /// The subject.
    pub subject: Subject,
    /// Whether the refusal is to be reported to the leader.
    pub report: bool,
}

impl Quarantine {
    /// Returns a quarantined subject for which a request must be refused.
    pub fn check(&self, fingerprint: &Fingerprint, now: Duration) -> Option<Hit> {
        let mut inner = self.inner.lock();
        let refused =
            |subject: &Subject| inner.quarantined.get(subject).is_some_and(|entry| !entry.probe);
        let subject = fingerprint.subjects().find(refused)?;
        let entry = inner.quarantined.get_mut(&subject)?;
        let report = entry.reported.is_none_or(|at| now >= at + REFUSAL_INTERVAL);
        if report {
            entry.reported = Some(now);
        }
        Some(Hit { subject, report })
    }

    /// Ends the probes of a request's subjects, because the request is being sent; returns those subjects.
    pub fn end_probes(&self, fingerprint: &Fingerprint) -> Vec<Subject> {
        let mut inner = self.inner.lock();
        let is_probed = |subject: &Subject| {
            let entry = inner.quarantined.get_mut(subject);
            entry.is_some_and(|entry| std::mem::take(&mut entry.probe))
        };
        fingerprint.subjects().filter(is_probed).collect()
    }

    /// Replaces the quarantined subjects.
    pub fn set_quarantined(&self, subjects: &[Subject]) {
        let mut inner = self.inner.lock();
        let former = std::mem::take(&mut inner.quarantined);
        let entry = |subject| former.get(subject).copied().unwrap_or_default();
        inner.quarantined = subjects.iter().map(|subject| (*subject, entry(subject))).collect();
    }

    /// Admits a single request with a quarantined subject.
    pub fn start_probe(&self, subject: Subject) {
        if let Some(entry) = self.inner.lock().quarantined.get_mut(&subject) {
            entry.probe = true;
        }
    }

    /// Adds subjects that were in progress when an endpoint was lost.
    pub fn add_suspects(&self, subjects: &[Subject]) {
        let mut inner = self.inner.lock();
        for subject in subjects {
            if inner.suspects.insert(*subject) {
                inner.suspect_order.push_back(*subject);
            }
        }
        while inner.suspect_order.len() > MAX_SUSPECTS {
            let oldest = inner.suspect_order.pop_front().expect("longer than 0");
            inner.suspects.remove(&oldest);
        }
    }

    /// Records losses of crashed endpoints with their times; returns them with their age.
    pub fn add_losses(&self, losses: Vec<(Duration, Loss)>, now: Duration) -> Vec<Loss> {
        let mut inner = self.inner.lock();
        let aged = losses.iter().map(|(at, loss)| aged(loss, *at, now)).collect();
        inner.losses.extend(losses);
        while inner.losses.len() > MAX_LOSSES {
            inner.losses.pop_front();
        }
        aged
    }

    /// Returns the recent losses at this gate, with their age.
    pub fn losses(&self, now: Duration) -> Vec<Loss> {
        let mut inner = self.inner.lock();
        inner.losses.retain(|(at, _)| now < *at + LOSS_RETENTION);
        inner.losses.iter().map(|(at, loss)| aged(loss, *at, now)).collect()
    }

    /// Clears a request that ended at an endpoint that survived; returns those of its subjects that were suspected or
    /// quarantined.
    pub fn clear(&self, fingerprint: &Fingerprint) -> Vec<Subject> {
        let mut inner = self.inner.lock();
        let subjects = fingerprint.subjects();
        let cleared: Vec<Subject> = subjects
            .filter(|subject| {
                inner.suspects.remove(subject) || inner.quarantined.contains_key(subject)
            })
            .collect();
        if !cleared.is_empty() {
            inner.losses.retain_mut(|(_, loss)| {
                let is_cleared = |subject| cleared.contains(&subject);
                loss.fingerprint.parts.retain(|part| !is_cleared(Subject::Part(*part)));
                !is_cleared(Subject::Request(loss.fingerprint.request))
            });
        }
        cleared
    }
}

/// Returns a loss with its age.
fn aged(loss: &Loss, at: Duration, now: Duration) -> Loss {
    Loss { age_ms: now.saturating_sub(at).as_millis() as u32, ..loss.clone() }
}
