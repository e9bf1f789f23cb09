//! Pacing: prompts are sent to an engine as it reads the former ones, where reading several at once would make its streams
//! pause for too long. Loads that this answers: prompts that arrive together at an engine with streams, and an engine that
//! reads prompts all the time.

use std::time::Duration;

use base::Name;

use crate::request::Assignment;
use crate::request::Key;
use crate::request::Pending;
use crate::request::Phase;
use crate::scheduler::Scheduler;

/// The share of the prompt tokens that an engine can read within the gap of a stream up to which prompts are sent ahead.
/// The rest is for the prompts that are sent while those are read, since they fall into the same event.
const PACE_SHARE: f64 = 0.6;

impl Scheduler {
    /// Makes a request whose adapter is loaded wait if its engine should read other prompts first; returns whether it does.
    /// Only where the engines of its service have shown that they read more within an event than the gap allows.
    pub(super) fn wait_for_pace(
        &mut self,
        pending: &Pending,
        id: &Name,
        prefill_tokens: f64,
        now: Duration,
    ) -> bool {
        let Some(limit) = self.pace_limit(pending.gap_ms, &pending.query.service, id) else {
            return false;
        };
        let Some(engine) = self.engines.get_mut(id) else { return false };
        if !engine.pacing.should_wait(prefill_tokens, limit) {
            return false;
        }
        engine.pacing.wait(pending.key, pending.query.rank, prefill_tokens, now);
        self.paced.insert(id.clone());
        true
    }

    /// Returns the number of prompt tokens that may be sent ahead to an engine; `None` if there is no bound. `gap_ms` is the
    /// gap of a request that would become a stream there, or 0.
    pub(super) fn pace_limit(&self, gap_ms: u32, service: &Name, id: &Name) -> Option<f64> {
        let pauses = self.pauses.get(service)?;
        let engine = self.engines.get(id)?;
        let gaps = engine.streams.iter().map(|(_, gap_ms)| *gap_ms).chain([gap_ms]);
        let gap_ms = f64::from(gaps.filter(|gap_ms| *gap_ms > 0).min()?);
        // Not the momentary speed: a host that is slow for a moment would get one prompt at a time.
        let speed = engine.reading_speed();
        let binds = pauses.binds(speed, gap_ms);
        binds.then(|| PACE_SHARE * (gap_ms - pauses.base_ms()).max(0.0) * speed)
    }

    /// Returns the prompt tokens that an engine has to read before it can read that of a request which is sent now. Where
    /// prompts are paced, those of requests that wait for their adapters don't count.
    pub(super) fn queued_tokens(&self, pending: &Pending, id: &Name) -> f64 {
        let Some(engine) = self.engines.get(id) else { return 0.0 };
        match self.pace_limit(pending.gap_ms, &pending.query.service, id) {
            Some(_) => engine.pacing.sent_tokens(),
            None => engine.backlog_tokens - engine.pacing.waiting_tokens(),
        }
    }

    /// Sends the requests that wait for an engine, as far as it has read the former prompts.
    pub(super) fn release_paced(&mut self, id: &Name, now: Duration) {
        while let Some(engine) = self.engines.get(id)
            && let Some((key, prefill_tokens)) = engine.pacing.next()
        {
            let service = engine.endpoint.service.clone();
            let gap_ms = self.assignments.get(&key).map_or(0, |assignment| assignment.gap_ms);
            let limit = self.pace_limit(gap_ms, &service, id).unwrap_or(f64::INFINITY);
            let Some(engine) = self.engines.get_mut(id) else { return };
            if engine.pacing.should_wait(prefill_tokens, limit) {
                return;
            }
            engine.pacing.remove(key);
            self.send_reserved(key, now);
        }
        self.paced.remove(id);
    }

    /// Returns the requests that wait for engines whose first events are overdue to the queue, so that others can take them.
    pub(super) fn requeue_paced(&mut self, now: Duration) {
        let overdue = self.paced.iter().filter(|id| {
            let engine = self.engines.get(id);
            engine.is_none_or(|engine| engine.start_deadlines.iter().any(|(_, at)| *at < now))
        });
        let overdue: Vec<Name> = overdue.cloned().collect();
        for id in overdue {
            self.paced.remove(&id);
            let keys: Vec<Key> = match self.engines.get(&id) {
                Some(engine) => engine.pacing.keys().collect(),
                None => Vec::new(),
            };
            for key in keys {
                self.requeue(key, now);
            }
        }
    }

    /// Returns the pending requests among those that waited for an engine that was removed.
    pub(super) fn take_paced(&mut self, keys: impl Iterator<Item = Key>) -> Vec<Pending> {
        let pending = keys.filter_map(|key| match self.assignments.remove(&key)? {
            Assignment { phase: Phase::Reserved(pending), .. } => Some(*pending),
            _ => None,
        });
        pending.collect()
    }
}
