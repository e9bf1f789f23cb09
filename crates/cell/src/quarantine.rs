//! The leader's part in the quarantine: collects the gates' reports, and proposes what is quarantined and released.

use std::time::Duration;

use base::Event;
use base::Map;
use fleet::quarantine::List;
use fleet::quarantine::Loss;
use fleet::quarantine::Subject;
use fleet::quarantine::Survival;
use quarantine::Detector;
use quarantine::Verdict;

use crate::state::Command;

/// The time after its last refused request when a subject is released.
const RELEASE_AFTER: Duration = Duration::from_secs(600);
/// The time after which a proposal that has not been applied is repeated.
const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(1);

/// The quarantine as the leader of a term knows it.
#[derive(Debug, Default)]
pub(crate) struct Quarantine {
    detector: Detector,
    /// The subjects that are quarantined by this leader and not yet by the replicated state, with the time of the latest
    /// proposal.
    pending: Map<Subject, Option<Duration>>,
    /// When a request with each replicated subject was last refused, or when the subject became known here.
    last_refused: Map<Subject, Duration>,
}

impl Quarantine {
    /// Handles the losses that a gate reports; returns the subjects that gates should suspect.
    pub(crate) fn record_losses(
        &mut self,
        losses: &[Loss],
        list: &List,
        now: Duration,
    ) -> Vec<Subject> {
        let mut suspects = Vec::new();
        for loss in losses {
            if loss.fingerprint.subjects().any(|subject| self.contains(subject, list)) {
                self.detector.record_explained(loss, now);
                continue;
            }
            let new = self.detector.record(loss, now);
            if new.is_empty() {
                continue;
            }
            base::event!(
                INFO, Event::Implicated, endpoint = %loss.endpoint, born = loss.born,
                fingerprint = %format_args!("{:016x}", loss.fingerprint.request),
                parts = ?loss.fingerprint.parts, ran_ms = loss.ran_ms, age_ms = loss.age_ms
            );
            suspects.extend(new);
        }
        suspects.sort_unstable();
        suspects.dedup();
        suspects
    }

    /// Quarantines the subjects against which there is enough evidence; returns whether there are any.
    pub(crate) fn judge(&mut self, now: Duration) -> bool {
        let verdicts = self.detector.poll(now);
        for Verdict { subject, endpoints } in &verdicts {
            base::event!(
                WARN, Event::RequestQuarantined, subject = %subject, endpoints = ?endpoints
            );
            self.pending.insert(*subject, None);
        }
        !verdicts.is_empty()
    }

    /// Records that an endpoint ended the response to a suspected request.
    pub(crate) fn record_survival(&mut self, survival: &Survival, now: Duration) {
        self.detector.record_survival(survival, now);
    }

    /// Handles an endpoint's announcement.
    pub(crate) fn endpoint_announced(&mut self, endpoint: &str, born: u64, now: Duration) {
        self.detector.endpoint_announced(endpoint, born, now);
    }

    /// Records that a request with a quarantined subject was refused.
    pub(crate) fn record_refusal(&mut self, subject: Subject, now: Duration) {
        self.last_refused.insert(subject, now);
    }

    /// Returns the subjects whose requests gates must refuse.
    pub(crate) fn subjects(&self, list: &List) -> Vec<Subject> {
        let pending = self.pending.keys().copied().filter(|subject| !list.contains(*subject));
        list.iter().chain(pending).collect()
    }

    /// Returns the commands to propose now.
    pub(crate) fn commands(&mut self, list: &List, now: Duration) -> Vec<Command> {
        self.pending.retain(|subject, _| !list.contains(*subject));
        self.last_refused.retain(|subject, _| list.contains(*subject));
        let mut commands = Vec::new();
        for (subject, proposed) in &mut self.pending {
            if proposed.is_none_or(|at| now >= at + PROPOSAL_TIMEOUT) {
                *proposed = Some(now);
                commands.push(Command::Quarantine(*subject));
            }
        }
        for subject in list.iter() {
            let last_refused = self.last_refused.entry(subject).or_insert(now);
            if now >= *last_refused + RELEASE_AFTER {
                *last_refused = now;
                commands.push(Command::Release(subject));
            }
        }
        commands
    }

    fn contains(&self, subject: Subject, list: &List) -> bool {
        list.contains(subject) || self.pending.contains_key(&subject)
    }
}
