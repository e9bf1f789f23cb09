//! The leader's part in the quarantine: collects the gates' reports, and proposes what is quarantined and released.

use std::time::Duration;

use base::Event;
use base::Map;
use fleet::quarantine::List;
use fleet::quarantine::Loss;
use fleet::quarantine::Subject;
use quarantine::Detector;

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

/// The effect of reported losses.
#[derive(Debug, Default)]
pub(crate) struct Effect {
    /// The subjects that are newly suspected.
    pub(crate) suspects: Vec<Subject>,
    /// Whether a subject was quarantined.
    pub(crate) quarantined: bool,
}

impl Quarantine {
    /// Handles the losses that a gate reports.
    pub(crate) fn record_losses(&mut self, losses: &[Loss], list: &List, now: Duration) -> Effect {
        let mut effect = Effect::default();
        for loss in losses {
            let is_quarantined = |subject: &Subject| self.contains(*subject, list);
            if loss.subjects.iter().any(is_quarantined) {
                self.detector.record_explained(loss, now);
                continue;
            }
            let new = self.detector.record(loss, now);
            if new.is_empty() {
                continue;
            }
            base::event!(
                INFO, Event::Implicated, endpoint = %loss.endpoint, born = loss.born,
                subjects = ?loss.subjects, age_ms = loss.age_ms
            );
            if let Some((subject, endpoints)) = self.detector.convict(&new) {
                base::event!(
                    WARN, Event::RequestQuarantined, subject = %subject, endpoints = ?endpoints
                );
                self.pending.insert(subject, None);
                effect.quarantined = true;
            }
            effect.suspects.extend(new);
        }
        effect
    }

    /// Clears subjects, because a request with them has ended at an endpoint that survived.
    pub(crate) fn clear(&mut self, subjects: &[Subject]) {
        self.detector.clear(subjects);
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
