//! The engines of a scheduler, with figures over all of them that follow each change of an engine.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use base::Map;
use base::Name;

use crate::engine::Engine;
use crate::engine::Stage;

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
    /// The positions of each service's engines, in ascending order.
    services: Map<Name, Vec<usize>>,
    /// The share of each engine in the figures below.
    shares: Vec<Share>,
    /// The engines that may have changed since the last refresh.
    ///
    /// Invariant: these are the engines with [`Share::stale`].
    changed: Vec<usize>,
    /// The engines for which orders are in progress or may become due.
    working: BTreeSet<usize>,
    /// The engines whose health may not admit a request.
    distrusted: BTreeSet<usize>,
    /// The numbers of queued loads from the store, by rank.
    queued_loads: BTreeMap<u8, usize>,
}

/// What an engine contributes to the figures of its pool.
#[derive(Debug, Default)]
struct Share {
    /// Whether the engine may have changed since this was computed.
    stale: bool,
    /// [`Engine::due_at`].
    due_at: Duration,
    /// The ranks of its queued loads from the store.
    queued_loads: Vec<u8>,
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
        for position in 0..self.engines.len() {
            self.mark_changed(position);
        }
        self.engines.iter_mut()
    }

    /// Returns the engines of a service, in the order of their ids.
    pub(crate) fn of_service(&self, service: &Name) -> impl Iterator<Item = &Engine> {
        let positions = self.services.get(service).map(Vec::as_slice).unwrap_or_default();
        positions.iter().map(|position| &self.engines[*position])
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
            self.services.entry(engine.endpoint.service.clone()).or_default().push(position);
        }
        self.shares.clear();
        self.shares.resize_with(self.engines.len(), || Share { stale: true, ..Share::default() });
        self.changed = (0..self.engines.len()).collect();
        self.working.clear();
        self.distrusted.clear();
        self.queued_loads.clear();
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
        while let Some(position) = self.changed.pop() {
            let (engine, share) = (&self.engines[position], &mut self.shares[position]);
            share.stale = false;
            share.due_at = engine.due_at();
            set_member(&mut self.working, position, engine.has_work());
            set_member(&mut self.distrusted, position, !engine.health.admits_always());
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

    /// Returns the engines for which orders may be due, in the order of their ids.
    pub(crate) fn due(&self, now: Duration) -> impl Iterator<Item = &Engine> {
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
        self.queued_loads.range(..=rank).map(|(_, loads)| loads).sum()
    }

    /// Returns the share of a service's engines whose health admits a request.
    pub(crate) fn trusted_share(&self, service: &Name, now: Duration) -> f64 {
        let all = self.services.get(service).map_or(0, Vec::len) as u32;
        let distrusted = self.distrusted.iter().map(|position| &self.engines[*position]);
        let rejecting = distrusted.filter(|engine| {
            engine.endpoint.service == *service && !engine.health.admits(engine.running, now)
        });
        f64::from(all - rejecting.count() as u32) / f64::from(all.max(1))
    }
}

fn set_member(set: &mut BTreeSet<usize>, position: usize, member: bool) {
    if member {
        set.insert(position);
    } else {
        set.remove(&position);
    }
}
