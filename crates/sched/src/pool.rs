//! The engines of a scheduler, with figures over all of them that follow each change of an engine.

use std::collections::BTreeMap;
use std::time::Duration;

use base::Map;
use base::Name;
use base::Set;

use crate::engine::Base;
use crate::engine::Engine;
use crate::engine::Stage;
use crate::figures::Figures;

/// The engines of a scheduler.
///
/// [`Pool::get_mut`] notes that an engine may change, and [`Pool::refresh`] updates the figures of
/// those engines. Callers refresh before they read a figure.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    /// The engines, in ascending order of their ids. An engine's position in it identifies the
    /// engine until one is added or removed.
    engines: Vec<Engine>,
    positions: Map<Name, usize>,
    services: Map<Name, Service>,
    /// The figures of each engine.
    ///
    /// Invariant: empty, or as long as `engines`.
    figures: Vec<Figures>,
    /// The numbers of base models and failure domains in [`Figures`].
    numbers: Vec<Name>,
    /// The engines that have each adapter in a slot or in their cache, in ascending order.
    knowing: Map<Name, Vec<usize>>,
    /// The share of each engine in the indexes and sums.
    shares: Vec<Share>,
    /// The engines that may have changed since the last refresh.
    ///
    /// Invariant: these are the engines with [`Share::stale`].
    changed: Vec<usize>,
    /// The engines for which orders are in progress or may become due, in ascending order.
    working: Vec<usize>,
    /// The engines whose health may not admit a request, in ascending order.
    distrusted: Vec<usize>,
    /// The numbers of queued loads from the store, by rank.
    queued_loads: BTreeMap<u8, usize>,
}

/// An engine of a pool.
#[derive(Clone, Copy)]
pub(crate) struct Member<'a> {
    pub(crate) position: usize,
    pub(crate) engine: &'a Engine,
    pub(crate) figures: &'a Figures,
    /// Whether the engine has the adapter of the request in a slot or in its cache.
    pub(crate) knows_adapter: bool,
}

/// The positions of a service's engines, in ascending order.
#[derive(Debug, Default)]
struct Service {
    all: Vec<usize>,
    /// Those that may load one more adapter.
    loadable: Vec<usize>,
}

/// What an engine contributes to the indexes and sums of its pool.
#[derive(Debug, Default)]
struct Share {
    /// Whether the engine may have changed since this was computed.
    stale: bool,
    /// [`Engine::due_at`].
    due_at: Duration,
    /// The ranks of its queued loads from the store.
    queued_loads: Vec<u8>,
    /// The adapters that it has in a slot or in its cache.
    adapters: Set<Name>,
    /// The [`Engine::adapters_revision`] of `adapters`.
    adapters_revision: Option<u64>,
}

impl Pool {
    pub(crate) fn get(&self, id: &Name) -> Option<&Engine> {
        self.positions.get(id).map(|position| &self.engines[*position])
    }

    pub(crate) fn get_mut(&mut self, id: &Name) -> Option<&mut Engine> {
        let position = *self.positions.get(id)?;
        self.mark_changed(position);
        Some(&mut self.engines[position])
    }

    /// Returns all engines, in the order of their ids.
    pub(crate) fn values(&self) -> impl Iterator<Item = &Engine> {
        self.engines.iter()
    }

    /// Returns all engines, in the order of their ids.
    pub(crate) fn values_mut(&mut self) -> impl Iterator<Item = &mut Engine> {
        self.mark_all_changed();
        self.engines.iter_mut()
    }

    /// Returns whether a service has an engine of a build.
    pub(crate) fn has_build(&self, service: &Name, build: &Name) -> bool {
        let endpoints = self.engines.iter().map(|engine| &engine.endpoint);
        endpoints.into_iter().any(|known| known.service == *service && known.build == *build)
    }

    /// Returns the engines of a service that have an adapter in a slot or in their cache, in the
    /// order of their ids.
    pub(crate) fn knowing(
        &self,
        service: &Name,
        adapter: &Name,
    ) -> impl Iterator<Item = Member<'_>> {
        self.check_fresh();
        let knowing = self.knowing.get(adapter).map(Vec::as_slice).unwrap_or_default();
        let members = knowing.iter().map(|position| self.member(*position, true));
        members.filter(move |member| member.engine.endpoint.service == *service)
    }

    /// Returns the other engines of a service that may load the adapter, in the order of their ids;
    /// all engines if it is the base model itself.
    pub(crate) fn not_knowing(
        &self,
        service: &Name,
        adapter: &Name,
    ) -> impl Iterator<Item = Member<'_>> {
        self.check_fresh();
        let service = self.services.get(service);
        let engines = service.map(|service| match adapter.is_empty() {
            true => service.all.as_slice(),
            false => service.loadable.as_slice(),
        });
        let engines = engines.unwrap_or_default();
        let knowing = self.knowing.get(adapter).map(Vec::as_slice).unwrap_or_default();
        let others = engines.iter().filter(|position| knowing.binary_search(position).is_err());
        others.map(|position| self.member(*position, false))
    }

    /// Returns all engines of a service, in the order of their ids.
    pub(crate) fn members(
        &self,
        service: &Name,
        adapter: &Name,
    ) -> impl Iterator<Item = Member<'_>> {
        self.check_fresh();
        let all = self.services.get(service).map(|service| service.all.as_slice());
        let all = all.unwrap_or_default().iter();
        all.map(|position| self.member(*position, self.knows(*position, adapter)))
    }

    /// Returns the engine at a position, for a request whose adapter it knows or does not know.
    pub(crate) fn member(&self, position: usize, knows_adapter: bool) -> Member<'_> {
        let (engine, figures) = (&self.engines[position], &self.figures[position]);
        Member { position, engine, figures, knows_adapter }
    }

    /// Returns whether the engine at a position has an adapter in a slot or in its cache.
    pub(crate) fn knows(&self, position: usize, adapter: &Name) -> bool {
        self.knowing.get(adapter).is_some_and(|knowing| knowing.binary_search(&position).is_ok())
    }

    /// Returns the number of a base model or a failure domain, if an engine has it.
    pub(crate) fn number(&self, name: &Name) -> Option<usize> {
        self.numbers.iter().position(|known| known == name)
    }

    /// Returns [`Figures::queue_ms`] of an engine.
    pub(crate) fn queue_ms(&self, id: &Name, now: Duration) -> Option<f64> {
        self.check_fresh();
        self.positions.get(id).map(|position| self.figures[*position].queue_ms(now))
    }

    /// Returns the lowest [`Figures::queue_ms`] of all engines.
    pub(crate) fn min_queue_ms(&self, now: Duration) -> Option<f64> {
        self.check_fresh();
        self.figures.iter().map(|figures| figures.queue_ms(now)).min_by(f64::total_cmp)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.engines.is_empty()
    }

    /// Adds an engine whose id is not in use.
    pub(crate) fn insert(&mut self, engine: Engine) {
        let position = self.engines.partition_point(|other| other.endpoint.id < engine.endpoint.id);
        self.engines.insert(position, engine);
        self.reindex();
    }

    pub(crate) fn remove(&mut self, id: &Name) -> Option<Engine> {
        let engine = self.engines.remove(*self.positions.get(id)?);
        self.reindex();
        Some(engine)
    }

    /// Updates all positions after an engine was added or removed.
    fn reindex(&mut self) {
        self.positions.clear();
        self.services.clear();
        for (position, engine) in self.engines.iter().enumerate() {
            self.positions.insert(engine.endpoint.id.clone(), position);
            let service = self.services.entry(engine.endpoint.service.clone()).or_default();
            service.all.push(position);
        }
        self.figures.clear();
        self.knowing.clear();
        self.shares.clear();
        self.shares.resize_with(self.engines.len(), || Share { stale: true, ..Share::default() });
        self.changed = (0..self.engines.len()).collect();
        self.working.clear();
        self.distrusted.clear();
        self.queued_loads.clear();
    }

    pub(crate) fn mark_all_changed(&mut self) {
        for position in 0..self.engines.len() {
            self.mark_changed(position);
        }
    }

    fn mark_changed(&mut self, position: usize) {
        let share = &mut self.shares[position];
        if !share.stale {
            share.stale = true;
            self.changed.push(position);
        }
    }

    /// Updates the figures of the engines that may have changed.
    pub(crate) fn refresh(&mut self) {
        if self.figures.is_empty() {
            let figures = self.engines.iter().map(|engine| Figures::new(engine, None, 0));
            self.figures = figures.collect();
        }
        while let Some(position) = self.changed.pop() {
            let (engine, share) = (&self.engines[position], &mut self.shares[position]);
            share.stale = false;
            let model = match &engine.base {
                Base::Loaded(model) => Some(number(&mut self.numbers, model)),
                _ => None,
            };
            let domain = number(&mut self.numbers, &engine.endpoint.domain);
            self.figures[position] = Figures::new(engine, model, domain);
            if let Some(service) = self.services.get_mut(&engine.endpoint.service) {
                set_sorted(&mut service.loadable, position, self.figures[position].may_load());
            }
            if share.adapters_revision != Some(engine.adapters_revision()) {
                update_adapters(&mut self.knowing, share, position, engine);
            }
            share.due_at = engine.due_at();
            set_sorted(&mut self.working, position, engine.has_work());
            set_sorted(&mut self.distrusted, position, !engine.health.admits_always());
            for rank in share.queued_loads.drain(..) {
                *self.queued_loads.entry(rank).or_default() -= 1;
            }
            let queued = engine
                .adapter_slots
                .iter()
                .filter(|(name, slot)| slot.stage == Stage::Queued && !engine.is_warm(name));
            share.queued_loads.extend(queued.map(|(_, slot)| slot.rank));
            for rank in &share.queued_loads {
                *self.queued_loads.entry(*rank).or_default() += 1;
            }
        }
    }

    /// Checks in debug builds that the figures are up to date.
    fn check_fresh(&self) {
        debug_assert!(self.changed.is_empty(), "read before a refresh");
    }

    /// Returns the engines for which orders may be due, in the order of their ids.
    pub(crate) fn due(&self, now: Duration) -> impl Iterator<Item = &Engine> {
        self.check_fresh();
        let due = self.working.iter().filter(move |position| now >= self.shares[**position].due_at);
        due.map(|position| &self.engines[*position])
    }

    /// Returns whether orders are in progress or may become due, also without a refresh.
    pub(crate) fn has_work(&self) -> bool {
        self.working.iter().any(|position| !self.shares[*position].stale)
            || self.changed.iter().any(|position| self.engines[*position].has_work())
    }

    /// Returns the number of queued loads from the store for requests of at most `rank`, that is,
    /// of the same or higher urgency.
    pub(crate) fn queued_store_loads(&self, rank: u8) -> usize {
        self.check_fresh();
        self.queued_loads.range(..=rank).map(|(_, loads)| loads).sum()
    }

    /// Returns the share of a service's engines whose health admits a request.
    pub(crate) fn trusted_share(&self, service: &Name, build: Option<&Name>, now: Duration) -> f64 {
        self.check_fresh();
        let eligible = |engine: &Engine| {
            engine.endpoint.service == *service
                && build.is_none_or(|build| engine.endpoint.build == *build)
        };
        let all = match build {
            None => self.services.get(service).map_or(0, |service| service.all.len()),
            Some(_) => self.engines.iter().filter(|engine| eligible(engine)).count(),
        };
        let distrusted = self.distrusted.iter().map(|position| &self.engines[*position]);
        let rejecting = distrusted
            .filter(|engine| eligible(engine) && !engine.health.admits(engine.running, now))
            .count();
        (all - rejecting) as f64 / all.max(1) as f64
    }
}

/// Returns the number of a name, and adds the name if it is new.
fn number(names: &mut Vec<Name>, name: &Name) -> usize {
    names.iter().position(|known| known == name).unwrap_or_else(|| {
        names.push(name.clone());
        names.len() - 1
    })
}

/// Updates the index of the engines that know each adapter after the adapters of one have changed.
fn update_adapters(
    knowing: &mut Map<Name, Vec<usize>>,
    share: &mut Share,
    position: usize,
    engine: &Engine,
) {
    share.adapters_revision = Some(engine.adapters_revision());
    let adapters: Set<Name> = engine.known_adapters().cloned().collect();
    for adapter in adapters.difference(&share.adapters) {
        let positions = knowing.entry(adapter.clone()).or_default();
        set_sorted(positions, position, true);
    }
    for adapter in share.adapters.difference(&adapters) {
        let Some(positions) = knowing.get_mut(adapter) else { continue };
        set_sorted(positions, position, false);
        if positions.is_empty() {
            knowing.remove(adapter);
        }
    }
    share.adapters = adapters;
}

/// Adds a position to a sorted list or removes it.
fn set_sorted(positions: &mut Vec<usize>, position: usize, member: bool) {
    match positions.binary_search(&position) {
        Ok(index) if !member => {
            positions.remove(index);
        }
        Err(index) if member => positions.insert(index, position),
        _ => {}
    }
}
