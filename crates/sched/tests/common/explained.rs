//! Explanations of requests, compared with what becomes of the requests.

use std::collections::BTreeMap;
use std::time::Duration;

use fleet::explanation::Outcome;
use sched::Explanation;
use sched::action::Action;

/// Explanations of requests.
#[derive(Debug, Default)]
pub struct Explained {
    /// The outcomes that the first answer to the request has confirmed.
    pub confirmed: Vec<Outcome>,
    /// The explanations that it contradicts.
    pub contradicted: Vec<String>,
    /// The explanations of requests without an answer, with their time.
    open: BTreeMap<(u64, u64), (Duration, Explanation)>,
}

impl Explained {
    pub fn add(&mut self, key: (u64, u64), explanation: Explanation, now: Duration) {
        self.open.insert(key, (now, explanation));
    }

    /// Compares the first answer to a request with its explanation. What becomes of a request that waits depends on later
    /// events.
    pub fn check(&mut self, action: &Action, now: Duration) {
        let (key, engine, code) = match action {
            Action::Grant { gate, grant, .. } => {
                ((*gate, grant.request), Some(grant.endpoint.id.clone()), None)
            }
            Action::Deny { gate, denial, .. } => ((*gate, denial.request), None, Some(denial.code)),
            _ => return,
        };
        let Some((at, explanation)) = self.open.remove(&key) else { return };
        let holds = match explanation.outcome {
            Outcome::Granted => at == now && engine == explanation.endpoint,
            Outcome::Refused => at == now && code == explanation.code,
            // A request whose engine can't load the adapter in time is refused.
            Outcome::LoadsFirst => engine == explanation.endpoint || engine.is_none(),
            Outcome::AwaitsSlot | Outcome::AwaitsGap | Outcome::Queued => return,
        };
        if holds {
            self.confirmed.push(explanation.outcome);
        } else {
            self.contradicted.push(format!("{at:?} {explanation:?}: {now:?} {action:?}"));
        }
    }
}
