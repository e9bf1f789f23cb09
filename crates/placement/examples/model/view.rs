//! What a gate sees of the engines.

use placement::Engine;
use route::Candidate;
use route::Residency;
use wire::endpoint::Model;

use crate::run::Gate;

/// What a gate told the others.
pub(crate) struct Told {
    engines: Vec<Engine>,
    waiting: u32,
}

impl Told {
    pub(crate) fn new(gate: &Gate) -> Told {
        Told { engines: gate.engines.clone(), waiting: gate.waiting }
    }
}

/// The endpoints as one gate sees them: its own now, the others as it was told.
pub(crate) fn candidates<'a>(
    gates: &'a [Gate],
    told: &'a [Told],
    receiver: usize,
    model: &'a Model,
) -> impl Iterator<Item = Candidate<'a>> {
    gates.iter().enumerate().flat_map(move |(index, gate)| {
        let own = index == receiver;
        let (engines, waiting) = if own {
            (&gate.engines, gate.waiting)
        } else {
            (&told[index].engines, told[index].waiting)
        };
        let waiting = waiting / engines.len().max(1) as u32;
        engines.iter().map(move |engine| candidate(gate, engine, own, waiting, model))
    })
}

fn candidate<'a>(
    gate: &'a Gate,
    engine: &'a Engine,
    own: bool,
    waiting: u32,
    model: &Model,
) -> Candidate<'a> {
    Candidate {
        endpoint: &engine.name,
        gate: &gate.name,
        owned: own,
        ready: true,
        residency: match engine.find(model) {
            Some(held) if held.loading => Residency::Loading,
            Some(_) => Residency::Loaded,
            None => Residency::Absent,
        },
        in_flight: engine.in_flight,
        waiting,
        batch: engine.batch,
        free_slots: engine.free(),
        prefix_hit: false,
    }
}
