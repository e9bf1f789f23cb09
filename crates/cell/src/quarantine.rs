//! The leader's part in the quarantine: collects the gates' reports, and proposes what is quarantined and released.

use std::time::Duration;

use base::Event;
use base::Map;
use base::Set;
use fleet::quarantine::List;
use fleet::quarantine::Loss;
use fleet::quarantine::Subject;
use fleet::quarantine::Survival;
use fleet::quarantine::format_parts;
use quarantine::Cause;
use quarantine::Detector;
use quarantine::SURVIVAL_TIME;

use crate::state::Command;

/// The time after its last refused request when a subject is released.
const RELEASE_AFTER: Duration = Duration::from_secs(600);
/// The time from the quarantine of a part to its first probe; each further delay is [`PROBE_BACKOFF`] times as long.
const FIRST_PROBE_DELAY: Duration = Duration::from_secs(60);
const PROBE_BACKOFF: u32 = 4;
/// The time within which a gate must have refused a request to be asked for a probe. Gates report a refusal every ten
/// seconds.
const PROBE_DEMAND: Duration = Duration::from_secs(15);
/// The time after which a proposal that has not been applied is repeated.
const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(1);

/// The quarantine as the leader of a term knows it.
#[derive(Debug, Default)]
pub struct Quarantine {
    detector: Detector,
    /// The subjects that are quarantined by this leader and not yet by the replicated state, with the time of the latest
    /// proposal.
    pending: Map<Subject, Option<Duration>>,
    /// The replicated subjects.
    entries: Map<Subject, Entry>,
    /// The probes that an endpoint has ended, until it is known whether it lives on.
    survived: Vec<(Duration, Survival)>,
}

/// A quarantined subject.
#[derive(Debug)]
struct Entry {
    /// When a request was last refused, or when the subject became known here.
    last_refused: Duration,
    /// The link to the gate that refused it.
    gate: Option<u64>,
    next_probe: Duration,
    probe_delay: Duration,
}

impl Entry {
    fn new(now: Duration) -> Entry {
        Entry {
            last_refused: now,
            gate: None,
            next_probe: now + FIRST_PROBE_DELAY,
            probe_delay: FIRST_PROBE_DELAY,
        }
    }

    /// Returns the gate for a probe if one is due and there is demand.
    fn start_probe(&mut self, now: Duration) -> Option<u64> {
        let gate = self.gate.filter(|_| now < self.last_refused + PROBE_DEMAND)?;
        if now < self.next_probe {
            return None;
        }
        self.probe_delay *= PROBE_BACKOFF;
        self.next_probe = now + self.probe_delay;
        Some(gate)
    }
}

impl Quarantine {
    /// Handles the losses that a gate reports; returns the subjects that gates should suspect.
    pub fn record_losses(&mut self, losses: &[Loss], list: &List, now: Duration) -> Vec<Subject> {
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
                parts = format_parts(loss.fingerprint.parts.iter().copied()), ran_ms = loss.ran_ms,
                answering_ms = loss.answering_ms, age_ms = loss.age_ms
            );
            suspects.extend(new);
        }
        suspects.sort_unstable();
        suspects.dedup();
        suspects
    }

    /// Handles the end of an endpoint that had drained: its loss, which may have been reported before, was no crash.
    pub fn endpoint_left(&mut self, endpoint: &str, born: u64) {
        self.detector.drop_crash(endpoint, born);
    }

    /// Returns whether an incarnation of an endpoint is known to have crashed.
    pub fn has_crashed(&self, endpoint: &str, born: u64) -> bool {
        self.detector.has_crashed(endpoint, born)
    }

    /// Quarantines the subjects against which there is enough evidence; returns whether there are any.
    pub fn evaluate(&mut self, now: Duration) -> bool {
        let causes = self.detector.poll(now);
        for Cause { subject, endpoints } in &causes {
            base::event!(
                WARN, Event::RequestQuarantined, subject = %subject, endpoints = ?endpoints
            );
            self.pending.insert(*subject, None);
        }
        !causes.is_empty()
    }

    /// Records that an endpoint ended the response to a suspected request, or to one with a quarantined subject.
    pub fn record_survival(&mut self, survival: &Survival, now: Duration) {
        self.detector.record_survival(survival, now);
        if survival.subjects.iter().any(|subject| self.entries.contains_key(subject)) {
            self.survived.push((now, survival.clone()));
        }
    }

    /// Handles an endpoint's announcement.
    pub fn endpoint_announced(&mut self, endpoint: &str, born: u64, now: Duration) {
        self.detector.endpoint_announced(endpoint, born, now);
    }

    /// Records that a request with a quarantined subject was refused.
    pub fn record_refusal(&mut self, subject: Subject, gate: u64, now: Duration) {
        if let Some(entry) = self.entries.get_mut(&subject) {
            entry.last_refused = now;
            entry.gate = Some(gate);
        }
    }

    /// Returns the parts of which a single request is to be admitted now, each with the link to the gate. A request that
    /// crashes endpoints is not probed: its quarantine covers nothing else.
    pub fn probes(&mut self, now: Duration) -> Vec<(u64, Subject)> {
        let parts =
            self.entries.iter_mut().filter(|(subject, _)| matches!(subject, Subject::Part(_)));
        parts.filter_map(|(subject, entry)| Some((entry.start_probe(now)?, *subject))).collect()
    }

    /// Returns the subjects whose requests gates must refuse.
    pub fn subjects(&self, list: &List) -> Vec<Subject> {
        let pending = self.pending.keys().copied().filter(|subject| !list.contains(*subject));
        list.iter().chain(pending).collect()
    }

    /// Returns the commands to propose now.
    pub fn commands(&mut self, list: &List, now: Duration) -> Vec<Command> {
        let listed: Set<Subject> = list.iter().collect();
        self.pending.retain(|subject, _| !listed.contains(subject));
        self.entries.retain(|subject, _| listed.contains(subject));
        let mut commands = Vec::new();
        for (subject, proposed) in &mut self.pending {
            if proposed.is_none_or(|at| now >= at + PROPOSAL_TIMEOUT) {
                *proposed = Some(now);
                commands.push(Command::Quarantine(*subject));
            }
        }
        for subject in &listed {
            let entry = self.entries.entry(*subject).or_insert_with(|| Entry::new(now));
            if now >= entry.last_refused + RELEASE_AFTER {
                entry.last_refused = now;
                commands.push(Command::Release(*subject));
            }
        }
        let cleared = self.cleared(now).into_iter().filter(|subject| listed.contains(subject));
        commands.extend(cleared.map(Command::Release));
        commands
    }

    /// Returns the quarantined subjects that an endpoint has survived.
    fn cleared(&mut self, now: Duration) -> Vec<Subject> {
        let due = |(at, _): &mut (Duration, Survival)| now >= *at + SURVIVAL_TIME;
        let due: Vec<(Duration, Survival)> = self.survived.extract_if(.., due).collect();
        let survived = due
            .into_iter()
            .filter(|(_, survival)| !self.detector.has_crashed(&survival.endpoint, survival.born));
        survived.flat_map(|(_, survival)| survival.subjects).collect()
    }

    fn contains(&self, subject: Subject, list: &List) -> bool {
        list.contains(subject) || self.pending.contains_key(&subject)
    }
}
