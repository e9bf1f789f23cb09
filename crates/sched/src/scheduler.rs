//! The scheduler's tables and what changes them.

mod admission;
mod completion;
mod placement;

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use base::Map;
use base::Name;
use fleet::endpoint::Announcement;
use fleet::message::Version;
use fleet::plan::EngineSpec;
use fleet::plan::Plan;

use crate::action::Action;
use crate::engine::Base;
use crate::engine::Engine;
use crate::engine::OrderState;
use crate::engine::Stage;
use crate::ledger::Key;
use crate::ledger::Part;
use crate::ledger::Run;
use crate::ledger::Wait;
use crate::pace::Speech;
use crate::popularity::Popularity;
use crate::returns::Returns;
use crate::settings::Settings;
use crate::store::Store;

/// The urgency at an engine of a request of rank 0 that meets its target.
const URGENCY: u8 = 3;
/// The part of the time left in which a late request must have its first event.
const LATE_SHARE: f64 = 0.6;
/// The time between two looks at requests that wait for a place; less than the slack above.
const AWAIT_RETRY: Duration = Duration::from_millis(25);
/// The time after a request's deadline for which it counts if its end is not told.
const GRACE: Duration = Duration::from_millis(500);

/// The scheduler of a cell's engines; see the crate.
#[derive(Debug)]
pub struct Scheduler {
    pub(crate) settings: Settings,
    pub(crate) specs: Map<Name, EngineSpec>,
    /// The versions in force, by base model and adapter.
    versions: Map<(Name, Name), u64>,
    pub(crate) engines: BTreeMap<Name, Engine>,
    pub(crate) runs: Map<Key, Run>,
    /// The requests that no engine can take now, the oldest first.
    waiting: VecDeque<Wait>,
    /// How often an engine was lost under a request, by its fingerprint.
    strikes: Map<u64, u32>,
    pub(crate) store: Store,
    /// When base models were ordered lately.
    pub(crate) base_loads: VecDeque<Duration>,
    pub(crate) popularity: Popularity,
    speech: Speech,
    returns: Returns,
    /// When the requests that wait were tried last.
    tried: Duration,
    /// Whether something changed since the requests that wait were tried.
    pub(crate) dirty: bool,
    pub(crate) actions: Vec<Action>,
}

impl Scheduler {
    /// Makes a scheduler that knows nothing yet.
    pub fn new(settings: Settings) -> Scheduler {
        Scheduler {
            specs: Map::default(),
            versions: Map::default(),
            engines: BTreeMap::new(),
            runs: Map::default(),
            waiting: VecDeque::new(),
            strikes: Map::default(),
            store: Store::new(settings.cold_load_ms, settings.cold_loads),
            base_loads: VecDeque::new(),
            popularity: Popularity::new(settings.half_life),
            speech: Speech::new(settings.token_ms),
            returns: Returns::default(),
            tried: Duration::ZERO,
            dirty: false,
            actions: Vec::new(),
            settings,
        }
    }

    /// Takes a plan.
    pub fn set_plan(&mut self, plan: &Plan) {
        let engines = plan
            .services
            .iter()
            .filter_map(|service| Some((service.name.clone(), service.engine.clone()?)));
        self.specs = engines.collect();
        for engine in self.engines.values_mut() {
            want_base(engine, &self.specs);
        }
        self.dirty = true;
    }

    /// Takes a version of an adapter that came into force.
    pub fn set_version(&mut self, version: &Version) {
        let key = (version.model.clone(), version.adapter.clone());
        let known = self.versions.entry(key).or_default();
        *known = (*known).max(version.version);
        let ids: Vec<Name> = self.engines.keys().cloned().collect();
        for id in ids {
            self.retire(&id, &version.adapter);
        }
    }

    /// Drops an adapter whose version was overtaken once no request uses it.
    pub(crate) fn retire(&mut self, id: &Name, adapter: &Name) {
        let Some(engine) = self.engines.get_mut(id) else { return };
        let Base::Held(model) = &engine.base else { return };
        let newest = self.versions.get(&(model.clone(), adapter.clone())).copied();
        let Some(copy) = engine.copies.get_mut(adapter) else { return };
        if copy.is_idle() && copy.version < newest.unwrap_or_default() {
            copy.stage = Stage::DROP;
            self.dirty = true;
        }
    }

    /// Takes an engine's announcement.
    pub fn engine_announced(&mut self, announcement: &Announcement, now: Duration) {
        let known = self.engines.get(&announcement.id);
        if known.is_some_and(|engine| engine.endpoint.born == announcement.born) {
            return;
        }
        self.remove_engine(&announcement.id, now);
        let mut engine = Engine::new(announcement, &self.settings, now);
        want_base(&mut engine, &self.specs);
        self.engines.insert(announcement.id.clone(), engine);
        self.dirty = true;
    }

    /// Forgets an engine that takes no more work; what waited for an adapter there waits anew.
    pub fn remove_engine(&mut self, id: &Name, _now: Duration) {
        let Some(engine) = self.engines.remove(id) else { return };
        for copy in engine.copies.values() {
            if copy.counted {
                self.store.ended(None);
            }
            for key in &copy.waiting {
                if let Some(Run { part: Part::Reserved(wait), .. }) = self.runs.remove(key) {
                    self.waiting.push_back(*wait);
                }
            }
        }
        self.dirty = true;
    }

    /// Returns the engines that are known.
    pub fn engines(&self) -> impl Iterator<Item = &Name> {
        self.engines.keys()
    }

    /// Lets time pass: requests that wait, orders that are due. Returns what is to be done.
    pub fn poll(&mut self, now: Duration) -> Vec<Action> {
        self.expire(now);
        // What holds out for a place gives it up as time passes, without any other change.
        let holds_out = self.waiting.iter().any(|wait| wait.awaits.is_some());
        if self.dirty || (holds_out && now >= self.tried + AWAIT_RETRY) {
            self.dirty = false;
            self.tried = now;
            let mut waiting: Vec<Wait> = std::mem::take(&mut self.waiting).into();
            waiting.sort_by_key(|wait| (wait.ask.rank, wait.since));
            for wait in waiting {
                if let Some(wait) = self.place(wait, now) {
                    self.waiting.push_back(wait);
                }
            }
        }
        self.give_orders(now);
        std::mem::take(&mut self.actions)
    }

    /// Returns whether something waits that time alone moves on.
    pub fn has_pending_work(&self) -> bool {
        let loading = |engine: &Engine| {
            !matches!(engine.order_state, OrderState::Idle(_))
                || matches!(engine.base, Base::Wanted(_) | Base::Loading { .. })
                || engine.copies.values().any(|copy| copy.stage != Stage::Present)
        };
        self.dirty || !self.waiting.is_empty() || self.engines.values().any(loading)
    }
}

/// Chooses a base model for an empty engine.
fn want_base(engine: &mut Engine, specs: &Map<Name, EngineSpec>) {
    if engine.base == Base::Empty
        && let Some(model) =
            specs.get(&engine.endpoint.service).and_then(|spec| spec.models.first())
    {
        engine.base = Base::Wanted(model.name.clone());
    }
}
