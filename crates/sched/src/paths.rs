//! Whose fault a lost request is: that of its engine, or of the path from its gate to all engines.

use base::Map;
use base::Name;
use base::Set;

/// The number of engines at which a gate loses requests with no success in between up to which the engines are at fault.
const MAX_FAULTY_ENGINES: usize = 2;

/// The engines at which each gate has lost requests since its last success.
#[derive(Debug, Default)]
pub(crate) struct Paths {
    lost: Map<u64, Set<Name>>,
}

impl Paths {
    /// Records that a gate lost a request; returns whether that speaks against the engine.
    pub(crate) fn record_loss(&mut self, gate: u64, engine: &Name) -> bool {
        let lost = self.lost.entry(gate).or_default();
        lost.insert(engine.clone());
        lost.len() <= MAX_FAULTY_ENGINES
    }

    /// Records that an engine responded to a gate.
    pub(crate) fn record_response(&mut self, gate: u64) {
        self.lost.remove(&gate);
    }
}
