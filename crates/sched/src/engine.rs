//! The scheduler's state of an engine.

use std::time::Duration;

use base::Name;
use fleet::endpoint::Announcement;
use fleet::endpoint::Endpoint;
use limit::Bucket;

use crate::health::Health;
use crate::pacing::Pacing;
use crate::prefix::Cache;
use crate::reading::Reading;
use crate::request::Key;
use crate::settings::Settings;
use crate::slots::Slots;
use crate::speed::Fit;
use crate::speed::Pace;
use crate::speed::Prefill;
use crate::warm;

/// The shortest remaining time that is expected of an overdue request.
const MIN_OVERDUE_REMAINING: Duration = Duration::from_millis(50);

/// The scheduler's state of an engine.
#[derive(Debug)]
pub(crate) struct Engine {
    pub(crate) endpoint: Endpoint,
    pub(crate) base: Base,
    /// The adapters in its slots, those being loaded or unloaded included.
    ///
    /// Invariant: all but the queued ones fit the engine's adapter slots; a queued load is ordered
    /// when no adapter is being unloaded.
    pub(crate) adapter_slots: Slots,
    /// The number of its adapter slots; 0 until the plan has its service.
    pub(crate) max_adapters: usize,
    pub(crate) warm: warm::Cache,
    /// The prompt tokens of requests without a first event.
    pub(crate) backlog_tokens: f64,
    /// The prompts that were sent and those that wait to be sent.
    pub(crate) pacing: Pacing,
    /// The number of requests that are granted or reserved and have not ended.
    pub(crate) running: u32,
    /// The tokens in the KV cache when all those requests are complete.
    pub(crate) kv_tokens: u64,
    /// When each granted request without a first event becomes overdue.
    pub(crate) start_deadlines: Vec<(Key, Duration)>,
    /// When the engine may get requests again after it refused one because it was full.
    pub(crate) full_until: Duration,
    /// Admits requests at the rate that the engine has named, if it has.
    pub(crate) limit: Option<Bucket>,
    pub(crate) prefill_speed: Prefill,
    /// The speed as requests that are alone in its queue show it.
    pub(crate) fit: Fit,
    /// The speed that requests alone at engines of its service show, in tokens per ms, if that is known.
    pub(crate) service_speed: Option<f64>,
    /// The pace of the engine's host, if the engine states it.
    pub(crate) host_pace: Option<Pace>,
    pub(crate) health: Health,
    pub(crate) prefix_cache: Cache,
    /// The prompts that it reads.
    pub(crate) reading: Reading,
    /// The streams with a bound on pauses that are expected to be on time so far, with that bound in ms.
    pub(crate) streams: Vec<(Key, u32)>,
    pub(crate) order_state: OrderState,
    /// The number of consecutive orders without an answer.
    pub(crate) unanswered_orders: u32,
}

/// The state of an engine's base model.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Base {
    /// The engine has no base model.
    Empty,
    /// Its load waits for the limits of the store.
    Queued(Name),
    /// Being loaded.
    Loading { model: Name, poll_at: Duration },
    /// In memory.
    Loaded(Name),
}

/// The scheduler's knowledge of an engine's sequence, the number of orders that the engine has
/// accepted.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum OrderState {
    /// At least `min_sequence`; the engine is to be inspected at `inspect_at`.
    Unknown { min_sequence: u64, inspect_at: Duration },
    /// At least `min_sequence`; an inspection is in progress.
    Inspecting { min_sequence: u64 },
    /// Known, with no order in progress.
    Idle(u64),
    /// Known before the order that is in progress.
    Busy(u64),
}

/// An adapter in one of an engine's adapter slots.
#[derive(Clone, Debug)]
pub(crate) struct Slot {
    /// The adapter's version.
    pub(crate) version: u64,
    pub(crate) stage: Stage,
    /// Whether its load is counted in [`crate::store::Limiter::loading`].
    pub(crate) uses_store: bool,
    /// Whether its load from the store began without contention.
    pub(crate) uncontended: bool,
    /// Whether an answer was lost that could have shown the end of its load.
    pub(crate) end_unseen: bool,
    /// The number of requests that use the adapter or wait for it.
    pub(crate) users: u32,
    /// When the requests that use it are expected to end.
    pub(crate) expected_ends: Vec<(Key, Duration)>,
    pub(crate) last_used_at: Duration,
    /// When its load was queued.
    pub(crate) queued_at: Duration,
    /// The rank of the most urgent request that was assigned to it.
    pub(crate) rank: u8,
    /// The requests that wait for the load.
    pub(crate) waiting: Vec<Key>,
}

/// The stage of an adapter in its slot.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Stage {
    /// The load has not been ordered yet.
    Queued,
    /// The engine accepted the order to load.
    Loading {
        /// When it was accepted.
        since: Duration,
        /// When to check next whether the load has ended.
        poll_at: Duration,
    },
    /// Ready for requests.
    Loaded,
    /// To be unloaded or being unloaded; occupies its slot until the unload ends.
    Unloading {
        /// When to check next whether the unload has ended; `None` until the order is accepted.
        poll_at: Option<Duration>,
    },
}

impl Engine {
    pub(crate) fn new(announcement: &Announcement, settings: &Settings, now: Duration) -> Engine {
        let held = announcement.held.as_deref().unwrap_or_default();
        let base = held.first().map_or(Base::Empty, |held| Base::Loaded(held.model.clone()));
        let adapters = held.iter().flat_map(|held| &held.adapters);
        let adapter_slots = adapters
            .map(|adapter| (adapter.name.clone(), Slot::loaded(adapter.version, now)))
            .collect();
        Engine {
            endpoint: Endpoint::from(announcement),
            base,
            adapter_slots,
            max_adapters: 0,
            warm: warm::Cache::default(),
            backlog_tokens: 0.0,
            pacing: Pacing::default(),
            running: 0,
            kv_tokens: 0,
            start_deadlines: Vec::new(),
            full_until: Duration::ZERO,
            limit: None,
            prefill_speed: Prefill::new(settings.prefill_tokens_per_ms),
            fit: Fit::default(),
            service_speed: None,
            host_pace: None,
            health: Health::default(),
            prefix_cache: Cache::default(),
            reading: Reading::default(),
            streams: Vec::new(),
            order_state: OrderState::Unknown { min_sequence: 0, inspect_at: now },
            unanswered_orders: 0,
        }
    }

    /// Returns whether an order or an inspection is in progress or may become due as time passes.
    pub(crate) fn has_work(&self) -> bool {
        !matches!(self.order_state, OrderState::Idle(_))
            || matches!(self.base, Base::Queued(_) | Base::Loading { .. })
            || self.adapter_slots.values().any(|slot| slot.stage != Stage::Loaded)
    }

    /// Returns the earliest time at which an order or an inspection may be due; [`Duration::MAX`]
    /// if that takes another event.
    pub(crate) fn due_at(&self) -> Duration {
        match (&self.order_state, &self.base) {
            (OrderState::Unknown { inspect_at, .. }, _) => *inspect_at,
            (OrderState::Inspecting { .. } | OrderState::Busy(_), _) => Duration::MAX,
            (OrderState::Idle(_), Base::Empty) => Duration::MAX,
            (OrderState::Idle(_), Base::Queued(_)) => Duration::ZERO,
            (OrderState::Idle(_), Base::Loading { poll_at, .. }) => *poll_at,
            (OrderState::Idle(_), Base::Loaded(_)) => {
                let due = self.adapter_slots.values().filter_map(Slot::due_at);
                due.min().unwrap_or(Duration::MAX)
            }
        }
    }

    /// Returns the time until the engine may get a request, as far as its limit tells.
    pub(crate) fn limit_wait(&self, now: Duration) -> Duration {
        self.limit.as_ref().map(|limit| limit.wait(now)).unwrap_or_default()
    }

    /// Returns the speed at which it reads prompts while its host has its usual pace, in tokens per ms.
    pub(crate) fn reading_speed(&self) -> f64 {
        self.fitted_speed().unwrap_or(self.prefill_speed.tokens_per_ms)
    }

    /// Returns the speed at which it is expected to read prompts now, in tokens per ms.
    pub(crate) fn current_reading_speed(&self, now: Duration) -> f64 {
        self.reading_speed() / self.host_pace.map_or(1.0, |pace| pace.expected(now))
    }

    /// Returns the speed that is expected of its queue, in tokens per ms. Where the engine does not state the pace of its
    /// host, a fit would follow the host's noise, so the bounded estimate is used.
    pub(crate) fn queue_speed(&self) -> f64 {
        let fitted = self.host_pace.and_then(|_| self.fit.tokens_per_ms(self.assumed_speed()));
        fitted.unwrap_or(self.prefill_speed.tokens_per_ms)
    }

    /// Returns the time from the end of a prompt's prefill to the first event, in ms.
    pub(crate) fn first_event_ms(&self) -> Option<f64> {
        self.fit.constant_ms(self.assumed_speed())
    }

    /// Returns [`Engine::reading_speed`] if there is evidence for it.
    pub(crate) fn fitted_speed(&self) -> Option<f64> {
        self.fit.tokens_per_ms(self.assumed_speed()).or(self.service_speed)
    }

    /// Returns the speed that is assumed before the engine has shown its own.
    fn assumed_speed(&self) -> f64 {
        self.service_speed.unwrap_or(self.prefill_speed.default_tokens_per_ms)
    }

    /// Returns the number of queued and running loads.
    pub(crate) fn load_count(&self) -> usize {
        let loads = self.adapter_slots.values().filter(|slot| slot.is_loading());
        loads.count()
    }

    /// Returns the expected time until a request behind `ahead` others can have a slot, that is,
    /// until `ahead` + 1 adapters are idle; `None` if it can't be estimated.
    pub(crate) fn slot_wait(&self, ahead: usize, now: Duration) -> Option<Duration> {
        let slots = self.adapter_slots.values();
        let mut free: Vec<Duration> = slots.filter_map(|slot| slot.idle_in(now)).collect();
        free.sort_unstable();
        free.get(ahead).copied()
    }

    /// Returns whether the engine still caches an adapter that it unloaded.
    pub(crate) fn is_warm(&self, adapter: &Name) -> bool {
        self.warm.contains(adapter)
    }

    /// Returns the adapters in its slots and those that it caches.
    pub(crate) fn known_adapters(&self) -> impl Iterator<Item = &Name> {
        self.adapter_slots.keys().chain(self.warm.iter())
    }

    /// Returns a number that grows with each change of [`Engine::known_adapters`].
    pub(crate) fn adapters_revision(&self) -> u64 {
        self.adapter_slots.revision() + self.warm.revision()
    }

    /// Frees the slot of an adapter. If the adapter was loaded, the engine now caches it; the
    /// oldest one beyond `max_warm` is dropped.
    pub(crate) fn remove_adapter(&mut self, adapter: &Name, max_warm: usize) -> Option<Slot> {
        let slot = self.adapter_slots.remove(adapter)?;
        if !slot.is_loading() {
            self.warm.insert(adapter, max_warm);
        }
        Some(slot)
    }
}

impl Stage {
    /// An unload that has not been ordered yet.
    pub(crate) const UNLOAD: Stage = Stage::Unloading { poll_at: None };
}

impl OrderState {
    /// Returns the lowest possible sequence of the engine.
    pub(crate) fn min_sequence(&self) -> u64 {
        match self {
            OrderState::Unknown { min_sequence, .. } | OrderState::Inspecting { min_sequence } => {
                *min_sequence
            }
            OrderState::Idle(sequence) | OrderState::Busy(sequence) => *sequence,
        }
    }
}

impl Slot {
    pub(crate) fn loaded(version: u64, now: Duration) -> Slot {
        Slot { stage: Stage::Loaded, ..Slot::queued(version, now) }
    }

    pub(crate) fn queued(version: u64, now: Duration) -> Slot {
        Slot {
            version,
            stage: Stage::Queued,
            uses_store: false,
            uncontended: false,
            end_unseen: false,
            users: 0,
            expected_ends: Vec::new(),
            last_used_at: now,
            queued_at: now,
            rank: u8::MAX,
            waiting: Vec::new(),
        }
    }

    pub(crate) fn is_loading(&self) -> bool {
        matches!(self.stage, Stage::Queued | Stage::Loading { .. })
    }

    /// Returns the earliest time at which an order for the adapter may be due, if there is one.
    fn due_at(&self) -> Option<Duration> {
        match self.stage {
            Stage::Queued => Some(Duration::ZERO),
            Stage::Loading { poll_at, .. } => Some(poll_at),
            Stage::Loaded => None,
            Stage::Unloading { poll_at } => Some(poll_at.unwrap_or_default()),
        }
    }

    /// Sets when a request that uses the adapter is expected to end.
    pub(crate) fn expect_end(&mut self, key: Key, at: Duration) {
        self.expected_ends.retain(|(user, _)| *user != key);
        self.expected_ends.push((key, at));
    }

    /// Returns the expected time until the requests that use the adapter have ended; `None` if it
    /// is not loaded or the end of one of them is unknown. An overdue request is expected to take
    /// as long again as it is overdue, because estimated output lengths are often far off.
    pub(crate) fn idle_in(&self, now: Duration) -> Option<Duration> {
        let left = |at: Duration| match now.checked_sub(at) {
            Some(overdue) => overdue + MIN_OVERDUE_REMAINING,
            None => at - now,
        };
        let known = self.stage == Stage::Loaded && self.expected_ends.len() as u32 >= self.users;
        known.then(|| self.expected_ends.iter().map(|(_, at)| left(*at)).max().unwrap_or_default())
    }

    /// Returns whether the adapter can be evicted.
    pub(crate) fn is_idle(&self) -> bool {
        self.users == 0 && self.stage == Stage::Loaded
    }
}
