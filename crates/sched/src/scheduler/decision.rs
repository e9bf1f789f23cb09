//! The decision on a request without an engine, and its explanation. Neither changes any state.

use std::time::Duration;

use base::Code;
use base::Name;
use fleet::explanation::Adapter;
use fleet::explanation::Estimate;
use fleet::explanation::Explanation;
use fleet::explanation::Obstacle;
use fleet::explanation::Outcome;
use fleet::message::Submission;

use crate::action::Reason;
use crate::candidate::Availability;
use crate::candidate::Candidate;
use crate::candidate::Context;
use crate::engine::Engine;
use crate::engine::Stage;
use crate::pool::Member;
use crate::request::Pending;
use crate::scheduler::Scheduler;
use crate::scheduler::URGENCY_ON_TIME;
use crate::scheduler::admission::Admission;
use crate::scheduler::placement::URGENCY_LATE;

/// The lowest urgency.
const URGENCY_LAST: u8 = 9;
/// The link of a request that no gate sent.
const NO_GATE: u64 = u64::MAX;

/// What is to be done with a request without an engine.
#[derive(Clone, Debug)]
pub(super) enum Decision {
    /// The request is assigned to an engine.
    Assign {
        /// The engine.
        best: Candidate,
        /// The urgency there.
        urgency: u8,
    },
    /// It waits for the next free adapter slot of an engine.
    AwaitSlot(Name),
    /// It waits until its prompt makes no stream at an engine pause for too long.
    AwaitGap(Name),
    /// It waits until an engine can take it.
    Queue,
    /// It is refused.
    Refuse {
        code: Code,
        /// The state of the best engine or of the store.
        reason: Option<Reason>,
        /// The time until the limits of the engines admit it, if they are the cause.
        wait: Option<Duration>,
        /// Whether it is refused only because its tenant is over its share.
        over_share: bool,
    },
}

/// The time within which the first event of a request must be expected.
struct Goal {
    /// The time without regard to the tenant's share, in ms.
    unshared_ms: f64,
    /// The part of it that the tenant may use.
    fair: f64,
}

impl Goal {
    fn ms(&self) -> f64 {
        self.unshared_ms * self.fair
    }
}

impl Scheduler {
    fn goal(&self, pending: &Pending, now: Duration) -> Goal {
        let target_ms = pending.target_ms(now) - self.settings.network_ms;
        let margin = 1.0 - self.settings.rank_margin * f64::from(pending.query.rank).min(4.0);
        let fair = self.fairness.target_share(pending, now);
        Goal { unshared_ms: target_ms * margin, fair }
    }

    /// Decides on a request without an engine. Callers refresh the engines before.
    pub(super) fn decide(&self, pending: &Pending, now: Duration) -> Decision {
        let goal = self.goal(pending, now);
        let best = self.best_candidate(pending, goal.ms(), now);
        let awaited = self.engine_to_await(pending, best.as_ref(), goal.unshared_ms, now);
        if let Some(engine) = awaited {
            return Decision::AwaitSlot(engine);
        }
        let Some(best) = best else { return self.decide_without_engine(pending, now) };
        if self.should_await_gap(pending, &best, goal.unshared_ms, now) {
            return Decision::AwaitGap(best.engine);
        }
        if self.meets_target(&best, goal.ms()) {
            let urgency = (URGENCY_ON_TIME + pending.query.rank).min(URGENCY_LATE - 1);
            Decision::Assign { best, urgency }
        } else if self.accepts_late(&best, pending, goal.fair, now) {
            let urgency = (URGENCY_LATE + pending.query.rank).min(URGENCY_LAST);
            Decision::Assign { best, urgency }
        } else {
            let over_share = self.meets_target(&best, goal.unshared_ms)
                || self.accepts_late(&best, pending, 1.0, now);
            let reason = Some(self.denial_reason(pending, &best, now));
            Decision::Refuse { code: Code::DeadlineUnreachable, reason, wait: None, over_share }
        }
    }

    /// Decides on a request that no engine can take now: it is queued, or refused if the store has no room for its adapter
    /// or if it was queued for too long.
    fn decide_without_engine(&self, pending: &Pending, now: Duration) -> Decision {
        if !self.store_admits(pending, now) {
            let over_share = self.has_room(pending, 1.0);
            let reason = Some(self.store_reason(pending, now));
            let code = Code::DeadlineUnreachable;
            return Decision::Refuse { code, reason, wait: None, over_share };
        }
        let refuse = |code, wait| Decision::Refuse { code, reason: None, wait, over_share: false };
        let limit_ms = f64::from(pending.query.target_ms) * self.settings.queue_target_share;
        let wait = self.limit_wait(&pending.query, now);
        if pending.held_ms(now) + wait.as_secs_f64() * 1e3 >= limit_ms && !wait.is_zero() {
            refuse(Code::LimitReached, Some(wait))
        } else if pending.held_ms(now) < limit_ms && !self.engines.is_empty() {
            Decision::Queue
        } else {
            refuse(Code::NoEndpoint, None)
        }
    }

    /// Returns what [`Scheduler::submit`] would do with a request now, and the state of each engine of its service.
    ///
    /// No decision depends on whether this was called: it only brings figures up to date that are derived from the engines.
    pub fn explain(
        &mut self,
        domain: &Name,
        submission: impl Into<Submission>,
        now: Duration,
    ) -> Explanation {
        self.engines.refresh();
        let pending = self.pending(NO_GATE, domain, submission.into(), now);
        let (outcome, endpoint, code) = self.outcome(&pending, now);
        let endpoints = match self.context(&pending, now) {
            Some(context) => self.estimates(&context, &pending, now),
            None => Vec::new(),
        };
        Explanation {
            outcome,
            endpoint,
            code,
            goal_ms: self.goal(&pending, now).ms(),
            excess: self.fairness.excess(&pending, now),
            waiting: self.queue.len(),
            endpoints,
        }
    }

    fn outcome(&self, pending: &Pending, now: Duration) -> (Outcome, Option<Name>, Option<Code>) {
        if self.lacks_build(pending) {
            return (Outcome::Refused, None, Some(Code::BuildUnavailable));
        }
        let (outcome, engine) = match self.decide(pending, now) {
            Decision::Assign { best, .. } if best.availability == Availability::Loaded => {
                return (Outcome::Granted, Some(best.engine), None);
            }
            Decision::Assign { best, .. } => return (Outcome::LoadsFirst, Some(best.engine), None),
            Decision::Refuse { code, .. } => return (Outcome::Refused, None, Some(code)),
            Decision::AwaitSlot(engine) => (Outcome::AwaitsSlot, Some(engine)),
            Decision::AwaitGap(engine) => (Outcome::AwaitsGap, Some(engine)),
            Decision::Queue => (Outcome::Queued, None),
        };
        match self.admission(pending) {
            Admission::Full => (Outcome::Refused, None, Some(Code::QueueFull)),
            Admission::Admitted | Admission::Displaces(_) => (outcome, engine, None),
        }
    }

    fn estimates(&self, context: &Context<'_>, pending: &Pending, now: Duration) -> Vec<Estimate> {
        let store_admits = self.store_admits(pending, now);
        let members = self.engines.members(&pending.query.service, &pending.query.adapter);
        let estimate = |member: Member<'_>| {
            let candidate = match context.obstacle(member, pending) {
                Some(obstacle) => Err(obstacle),
                None if !member.knows_adapter && !store_admits => Err(Obstacle::Store),
                None => context.candidate(member, pending),
            };
            let engine = member.engine;
            Estimate {
                endpoint: engine.endpoint.id.clone(),
                obstacle: candidate.as_ref().err().copied(),
                expected_ms: candidate.as_ref().ok().map(|candidate| candidate.expected_ms),
                cost: candidate.as_ref().ok().map(|candidate| candidate.cost),
                backlog: engine.backlog_tokens,
                running: engine.running,
                slots: f64::from(context.spec.slots),
                speed: Some(engine.queue_speed()),
                work_ms: None,
                pace: member.figures.pace(now) * 100.0,
                age_ms: engine.host_pace.map(|pace| pace.age(now).as_secs_f64() * 1e3),
                adapter: adapter(engine, &pending.query.adapter),
                stalled: candidate.as_ref().ok().map(|candidate| candidate.stalled),
            }
        };
        members.map(estimate).collect()
    }
}

/// Returns where an adapter is, relative to an engine; `None` for the base model itself.
fn adapter(engine: &Engine, name: &Name) -> Option<Adapter> {
    if name.is_empty() {
        return None;
    }
    let slot = engine.adapter_slots.get(name).map(|slot| &slot.stage);
    Some(match slot {
        Some(Stage::Loaded) => Adapter::Loaded,
        Some(Stage::Queued | Stage::Loading { .. }) => Adapter::Loading,
        Some(Stage::Unloading { .. }) => Adapter::Unloading,
        None if engine.is_warm(name) => Adapter::Cached,
        None => Adapter::Absent,
    })
}
