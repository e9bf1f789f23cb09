//! The figures of an engine that decide whether it can take a request and when.

use std::cell::Cell;
use std::time::Duration;

use fleet::explanation::Obstacle;

use crate::engine::Engine;
use crate::engine::OrderState;
use crate::engine::Slot;
use crate::health::Health;
use crate::speed::Pace;

/// The limit on the time that an overdue first event adds to its engine's expected queue.
const MAX_OVERDUE: Duration = Duration::from_secs(2);

/// The figures of an engine, kept close together because each request compares all engines.
#[derive(Clone, Debug)]
pub(crate) struct Figures {
    /// The number of the loaded base model in the pool.
    pub(crate) model: Option<usize>,
    /// The number of the failure domain in the pool.
    pub(crate) domain: usize,
    /// See [`Engine::running`].
    pub(crate) running: u32,
    /// See [`Engine::kv_tokens`].
    pub(crate) kv_tokens: u64,
    /// See [`Engine::full_until`].
    pub(crate) full_until: Duration,
    pub(crate) health: Health,
    /// Whether the engine's sequence is known, which new orders require.
    pub(crate) accepts_orders: bool,
    /// The number of queued and running loads.
    pub(crate) loads: usize,
    /// Whether an adapter slot is free.
    pub(crate) has_free_slot: bool,
    /// Whether one of the adapters in its slots can be evicted.
    pub(crate) has_idle_adapter: bool,
    /// See [`Engine::queue_speed`].
    prefill_tokens_per_ms: f64,
    host_pace: Option<Pace>,
    /// The lowest popularity of its idle adapters, and when it was computed. It only grows until the
    /// figures are updated, except that it decays.
    pub(crate) idle_popularity: Cell<Option<(f64, Duration)>>,
    /// The time to prefill [`Engine::backlog_tokens`], in ms.
    backlog_ms: f64,
    /// The earliest of [`Engine::start_deadlines`].
    start_deadline: Option<Duration>,
}

impl Figures {
    pub(crate) fn new(engine: &Engine, model: Option<usize>, domain: usize) -> Figures {
        let order_state = &engine.order_state;
        Figures {
            model,
            domain,
            running: engine.running,
            kv_tokens: engine.kv_tokens,
            full_until: engine.full_until,
            health: engine.health.clone(),
            accepts_orders: matches!(order_state, OrderState::Idle(_) | OrderState::Busy(_)),
            loads: engine.load_count(),
            has_free_slot: engine.adapter_slots.len() < engine.max_adapters,
            has_idle_adapter: engine.adapter_slots.values().any(Slot::is_idle),
            prefill_tokens_per_ms: engine.queue_speed(),
            host_pace: engine.host_pace,
            idle_popularity: Cell::new(None),
            backlog_ms: engine.backlog_tokens / engine.queue_speed(),
            start_deadline: engine.start_deadlines.iter().map(|(_, at)| *at).min(),
        }
    }

    /// Returns whether the engine may load one more adapter.
    pub(crate) fn may_load(&self) -> bool {
        self.load_obstacle().is_none()
    }

    /// Returns why the engine may not load one more adapter.
    pub(crate) fn load_obstacle(&self) -> Option<Obstacle> {
        if self.model.is_none() {
            Some(Obstacle::Model)
        } else if !self.accepts_orders {
            Some(Obstacle::Orders)
        } else if !self.has_free_slot && !self.has_idle_adapter {
            Some(Obstacle::AdapterSlots)
        } else {
            None
        }
    }

    /// Returns the time that its host is expected to take for work, relative to the usual time.
    pub(crate) fn pace(&self, now: Duration) -> f64 {
        self.host_pace.map_or(1.0, |pace| pace.expected(now))
    }

    /// Returns the expected time to prefill a prompt, in ms.
    pub(crate) fn prefill_ms(&self, tokens: f64, now: Duration) -> f64 {
        tokens / self.prefill_tokens_per_ms * self.pace(now)
    }

    /// Returns the expected time until the first events of all assigned requests have arrived, in
    /// ms.
    pub(crate) fn queue_ms(&self, now: Duration) -> f64 {
        let backlog_ms = self.backlog_ms * self.pace(now);
        match self.start_deadline {
            Some(at) if at < now => backlog_ms + (now - at).min(MAX_OVERDUE).as_secs_f64() * 1e3,
            _ => backlog_ms,
        }
    }
}
