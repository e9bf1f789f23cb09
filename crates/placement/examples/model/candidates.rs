//! The routing candidates as seen by one gate.

use placement::Engine;
use route::Candidate;
use route::Residency;
use wire::endpoint::Model;

use crate::run::Gate;

/// The state that a gate last reported to the others.
pub(crate) struct Report {
    engines: Vec<Engine>,
    waiting: u32,
}

impl Report {
    pub(crate) fn new(gate: &Gate) -> Report {
        Report { engines: gate.engines.clone(), waiting: gate.waiting }
    }
}

/// Returns the candidates known to the gate `receiver`: the current state of its own engines and the
/// last reported state of the others.
pub(crate) fn candidates<'a>(
    gates: &'a [Gate],
    reports: &'a [Report],
    receiver: usize,
    model: &'a Model,
) -> impl Iterator<Item = Candidate<'a>> {
    gates.iter().enumerate().flat_map(move |(index, gate)| {
        let owned = index == receiver;
        let (engines, waiting) = if owned {
            (&gate.engines, gate.waiting)
        } else {
            (&reports[index].engines, reports[index].waiting)
        };
        let waiting = waiting / engines.len().max(1) as u32;
        engines.iter().map(move |engine| candidate(gate, engine, owned, waiting, model))
    })
}

fn candidate<'a>(
    gate: &'a Gate,
    engine: &'a Engine,
    owned: bool,
    waiting: u32,
    model: &Model,
) -> Candidate<'a> {
    Candidate {
        endpoint: &engine.name,
        gate: &gate.name,
        owned,
        ready: true,
        residency: match engine.find(model) {
            Some(resident) if resident.loading => Residency::Loading,
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
