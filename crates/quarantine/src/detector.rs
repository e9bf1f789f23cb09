//! Finds out which requests, and which parts of prompts, crash endpoints.

use std::cmp::Reverse;
use std::collections::VecDeque;
use std::time::Duration;

use base::Map;
use base::Name;
use base::Set;
use fleet::quarantine::Loss;
use fleet::quarantine::Subject;
use fleet::quarantine::Survival;

/// The number of crashes that are counted against a subject before it is quarantined.
const MIN_CRASHES: usize = 3;
/// The same for a part of prompts if engines had answered its requests for a while before they crashed.
const MIN_LATE_CRASHES: usize = 5;
/// The time after a crash within which all gates have reported what was in progress.
const SETTLE_TIME: Duration = Duration::from_millis(200);
/// The time between crashes within which they may have a common cause, such as the loss of a host.
const COINCIDENCE: Duration = Duration::from_millis(100);
/// The time for which an endpoint must answer a request, or live on after its end, to have survived it.
pub const SURVIVAL_TIME: Duration = Duration::from_millis(500);
/// The time after which a crash is no longer counted.
const RETENTION: Duration = Duration::from_secs(600);
/// The limit on remembered crashes; beyond it the oldest are dropped.
const MAX_CRASHES: usize = 256;
/// The limit on the runs and on the survivals that are remembered of a subject; beyond it the oldest are dropped.
const MAX_RECORDS: usize = 64;
/// The time after a loss from which an announcement shows that the endpoint did not crash; longer than an announcement
/// may be delayed.
const ANNOUNCEMENT_DELAY: Duration = Duration::from_secs(3);

/// The recent crashes of endpoints and what was in progress at each.
#[derive(Clone, Debug, Default)]
pub struct Detector {
    /// The oldest first.
    ///
    /// Invariant: at most one for each incarnation of an endpoint, and [`MAX_CRASHES`] in total.
    crashes: VecDeque<Crash>,
    next_crash: u64,
    /// Invariant: each refers to at least one of `crashes`.
    suspicions: Map<Subject, Suspicion>,
    /// The subjects with a run at a crash since they were last evaluated.
    unevaluated: Set<Subject>,
}

/// A crash of an endpoint.
#[derive(Clone, Debug)]
struct Crash {
    number: u64,
    endpoint: Name,
    /// The start time of the incarnation that crashed.
    born: u64,
    /// When the endpoint was lost, as the first report states.
    at: Duration,
    /// When the first report arrived. From then on gates report what speaks for the subjects in progress.
    known: Duration,
    /// Whether a quarantined subject was in progress, so that the crash speaks against no other.
    explained: bool,
}

/// What speaks for and against a subject.
#[derive(Clone, Debug, Default)]
struct Suspicion {
    /// The runs that were in progress at crashes, in the order of the reports.
    runs: VecDeque<Run>,
    /// The requests with the subject that endpoints survived, in the order of the reports.
    survived: VecDeque<Survived>,
}

/// A request that an endpoint survived.
#[derive(Clone, Debug)]
struct Survived {
    at: Duration,
    /// The endpoint that ended the request.
    endpoint: Name,
    /// The start time of the endpoint.
    born: u64,
}

/// A request in progress at a crash.
#[derive(Clone, Debug)]
struct Run {
    /// The number of the crash.
    crash: u64,
    /// The digest of the request.
    request: u64,
    /// When it was sent to the endpoint.
    sent: Duration,
    /// Whether the endpoint had answered it for [`SURVIVAL_TIME`].
    answered: bool,
}

/// A subject that crashes endpoints.
#[derive(Clone, Debug, PartialEq)]
pub struct Cause {
    /// The subject.
    pub subject: Subject,
    /// The endpoints that it crashed.
    pub endpoints: Vec<Name>,
}

impl Detector {
    /// Records that an endpoint was lost while it ran a request; repeated reports of the same crash count once. Returns
    /// the subjects of the request that were not known to be in progress at the crash.
    pub fn record(&mut self, loss: &Loss, now: Duration) -> Vec<Subject> {
        let Some(crash) = self.crash(loss, now).filter(|crash| !crash.explained) else {
            return Vec::new();
        };
        let sent = crash.at.saturating_sub(Duration::from_millis(u64::from(loss.ran_ms)));
        let answered = Duration::from_millis(u64::from(loss.answering_ms)) >= SURVIVAL_TIME;
        let run = Run { crash: crash.number, request: loss.fingerprint.request, sent, answered };
        let mut new = Vec::new();
        for subject in loss.fingerprint.subjects() {
            let suspicion = self.suspicions.entry(subject).or_default();
            let mut known = suspicion.runs.iter().filter(|known| known.crash == run.crash);
            if known.clone().next().is_none() {
                new.push(subject);
            }
            if known.all(|known| known.request != run.request) {
                push_bounded(&mut suspicion.runs, run.clone());
                self.unevaluated.insert(subject);
            }
        }
        new
    }

    /// Records the loss of an endpoint under a quarantined subject, which explains the crash.
    pub fn record_explained(&mut self, loss: &Loss, now: Duration) {
        let Some(crash) = self.crash(loss, now) else { return };
        crash.explained = true;
        let number = crash.number;
        self.retain_runs(|run| run.crash != number);
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
            self.drop_runs_without_crash();
        }
        let number = self.next_crash;
        self.next_crash += 1;
        let (endpoint, born) = (loss.endpoint.clone(), loss.born);
        let index = self.crashes.partition_point(|crash| crash.at <= at);
        self.crashes
            .insert(index, Crash { number, endpoint, born, at, known: now, explained: false });
        self.crashes.get_mut(index)
    }

    /// Records that a request with these subjects ended at an endpoint that survived.
    pub fn record_survival(&mut self, survival: &Survival, now: Duration) {
        for subject in &survival.subjects {
            if let Some(suspicion) = self.suspicions.get_mut(subject) {
                let (endpoint, born) = (survival.endpoint.clone(), survival.born);
                push_bounded(&mut suspicion.survived, Survived { at: now, endpoint, born });
            }
        }
    }

    /// Handles an endpoint's announcement, which shows that a loss reported well before was no crash.
    pub fn endpoint_announced(&mut self, endpoint: &str, born: u64, now: Duration) {
        let survived = |crash: &Crash| {
            &*crash.endpoint == endpoint
                && crash.born == born
                && now >= crash.at + ANNOUNCEMENT_DELAY
        };
        if self.crashes.iter().any(survived) {
            self.crashes.retain(|crash| !survived(crash));
            self.drop_runs_without_crash();
        }
    }

    /// Drops the crash of an endpoint that ended as planned.
    pub fn drop_crash(&mut self, endpoint: &str, born: u64) {
        self.crashes.retain(|crash| &*crash.endpoint != endpoint || crash.born != born);
        self.drop_runs_without_crash();
    }

    /// Returns whether an incarnation of an endpoint is known to have crashed.
    pub fn has_crashed(&self, endpoint: &str, born: u64) -> bool {
        self.crashes.iter().any(|crash| &*crash.endpoint == endpoint && crash.born == born)
    }

    /// Returns the subjects that are to be quarantined now. Each explains the crashes that it was in progress at. If
    /// several subjects fit, the one with the fewest runs is the most specific, and is evaluated first.
    pub fn poll(&mut self, now: Duration) -> Vec<Cause> {
        let mut causes = Vec::new();
        loop {
            let mut due = Vec::new();
            let mut unsettled = Set::default();
            for subject in std::mem::take(&mut self.unevaluated) {
                match self.decisive_crash(subject) {
                    Some(at) if now >= at + SETTLE_TIME => due.push(subject),
                    Some(_) => drop(unsettled.insert(subject)),
                    None => {}
                }
            }
            let runs = |subject: &Subject| {
                self.suspicions.get(subject).map_or(0, |suspicion| suspicion.runs.len())
            };
            due.sort_by_key(|subject| Reverse((runs(subject), *subject)));
            self.unevaluated = unsettled;
            let Some(subject) = due.pop() else { return causes };
            self.unevaluated.extend(due);
            causes.push(self.confirm(subject));
        }
    }

    /// Returns when the evidence against a subject became complete.
    ///
    /// A request is evaluated by the number of endpoints that crashed while they ran it. Parts of prompts are shared, so
    /// that many are in progress when many endpoints crash at a time; for them a crash counts only with a request that
    /// differs from those before and was sent after the crash before was known, and not if most crashes at that time had
    /// no such request in progress.
    fn decisive_crash(&self, subject: Subject) -> Option<Duration> {
        let suspicion = self.suspicions.get(&subject)?;
        let crashes: Set<u64> = suspicion.runs.iter().map(|run| run.crash).collect();
        if crashes.len() < MIN_CRASHES {
            return None;
        }
        let survived = self.last_survival(subject, suspicion);
        let mut requests = Set::default();
        let (mut early, mut all) = (0, 0);
        let mut last: Option<Duration> = None;
        let counted = |crash: &&Crash| crashes.contains(&crash.number) && Some(crash.at) > survived;
        for crash in self.crashes.iter().filter(counted) {
            let mut runs = suspicion.runs.iter().filter(|run| run.crash == crash.number);
            let run = match subject {
                Subject::Request(_) => runs.next(),
                Subject::Part(_) if !self.explains_coincident(crash, suspicion) => None,
                Subject::Part(_) => runs
                    .filter(|run| last.is_none_or(|last| run.sent > last))
                    .find(|run| requests.insert(run.request)),
            };
            let Some(run) = run else { continue };
            let is_late = run.answered && matches!(subject, Subject::Part(_));
            all += 1;
            early += usize::from(!is_late);
            last = Some(crash.known);
            if early >= MIN_CRASHES || all >= MIN_LATE_CRASHES {
                return last;
            }
        }
        None
    }

    /// Returns when a subject was last shown to be harmless.
    ///
    /// An engine that had answered one of several requests with a part for a while would have crashed before if the part
    /// were the cause. Of a single request this shows nothing: it may crash its engine late.
    fn last_survival(&self, subject: Subject, suspicion: &Suspicion) -> Option<Duration> {
        let confirmed = suspicion.survived.iter().filter(|survived| self.is_confirmed(survived));
        let confirmed = confirmed.map(|survived| survived.at).max();
        if matches!(subject, Subject::Request(_)) {
            return confirmed;
        }
        let is_shared = |crash: &&Crash| {
            let runs = suspicion.runs.iter().filter(|run| run.crash == crash.number);
            runs.clone().any(|run| run.answered) && runs.count() > 1
        };
        confirmed.max(self.crashes.iter().filter(is_shared).map(|crash| crash.at).max())
    }

    /// Returns whether a subject was in progress at half or more of the crashes at the time of a crash.
    fn explains_coincident(&self, crash: &Crash, suspicion: &Suspicion) -> bool {
        let coincident =
            self.crashes.iter().filter(|other| other.at.abs_diff(crash.at) <= COINCIDENCE);
        let (mut all, mut explained) = (0, 0);
        for other in coincident {
            all += 1;
            explained += usize::from(suspicion.runs.iter().any(|run| run.crash == other.number));
        }
        explained * 2 >= all
    }

    /// Returns whether an endpoint survived a request and did not crash soon afterwards.
    fn is_confirmed(&self, survived: &Survived) -> bool {
        let mut crashes = self.crashes.iter();
        !crashes.any(|crash| {
            crash.endpoint == survived.endpoint
                && crash.born == survived.born
                && crash.at <= survived.at + SURVIVAL_TIME
        })
    }

    /// Takes a subject for the cause of its crashes, and marks these as explained. Only the runs of a quarantined request itself are kept: they
    /// count, as a single request, against the parts of its prompt.
    fn confirm(&mut self, subject: Subject) -> Cause {
        let suspicion = self.suspicions.remove(&subject).unwrap_or_default();
        let caused: Set<u64> = suspicion.runs.iter().map(|run| run.crash).collect();
        let mut endpoints = Vec::new();
        for crash in self.crashes.iter_mut().filter(|crash| caused.contains(&crash.number)) {
            crash.explained = true;
            endpoints.push(crash.endpoint.clone());
        }
        self.retain_runs(|run| {
            !caused.contains(&run.crash) || subject == Subject::Request(run.request)
        });
        Cause { subject, endpoints }
    }

    /// Drops the crashes that are no longer counted.
    fn expire(&mut self, now: Duration) {
        let former = self.crashes.len();
        while self.crashes.front().is_some_and(|crash| now >= crash.at + RETENTION) {
            self.crashes.pop_front();
        }
        if self.crashes.len() < former {
            self.drop_runs_without_crash();
        }
    }

    fn drop_runs_without_crash(&mut self) {
        let numbers: Set<u64> = self.crashes.iter().map(|crash| crash.number).collect();
        self.retain_runs(|run| numbers.contains(&run.crash));
    }

    fn retain_runs(&mut self, keep: impl Fn(&Run) -> bool) {
        self.suspicions.retain(|_, suspicion| {
            suspicion.runs.retain(&keep);
            !suspicion.runs.is_empty()
        });
    }
}

/// Appends to a list and drops its oldest element if it is too long.
fn push_bounded<T>(list: &mut VecDeque<T>, element: T) {
    if list.len() >= MAX_RECORDS {
        list.pop_front();
    }
    list.push_back(element);
}
