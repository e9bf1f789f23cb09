//! The leases of gates, as the leader sees them.

use std::time::Duration;

use base::Map;
use base::Name;
use state::View;
use state::command::Incarnation;

/// The leases of the gates in the view, kept by the leader alone.
///
/// Times are on the leader's clock, since any fixed start.
#[derive(Debug)]
pub struct Leases {
    /// The time after the last renewal at which a lease has ended for certain.
    end: Duration,
    leases: Map<Name, Lease>,
}

/// The lease of one run of a gate.
#[derive(Debug)]
struct Lease {
    incarnation: Incarnation,
    /// When the last renewal was received, or when the leader saw the gate first.
    ///
    /// Invariant: not before the holder sent the last renewal that was granted.
    renewed: Duration,
    /// The latest revision of the view that the gate told to have applied.
    applied: u64,
    /// Whether the end of the lease was proposed; it is never renewed from then on.
    ended: bool,
}

/// Why a renewal was not recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    /// The view does not have this run of the gate: it has to join.
    Unknown,
    /// The lease of this run has ended.
    Ended,
}

impl Leases {
    /// Starts without knowledge; `end` is the length of a lease with the bound on drift.
    pub fn new(end: Duration) -> Leases {
        Leases { end, leases: Map::default() }
    }

    /// Follows the view: gates that are new to this leader count as renewed now.
    pub fn follow(&mut self, view: &View, now: Duration) {
        let same = |name: &Name, lease: &Lease| {
            view.gates.get(name).is_some_and(|gate| gate.incarnation == lease.incarnation)
        };
        self.leases.retain(|name, lease| same(name, lease));
        for (name, gate) in &view.gates {
            let incarnation = gate.incarnation;
            let fresh = || Lease { incarnation, renewed: now, applied: 0, ended: false };
            self.leases.entry(name.clone()).or_insert_with(fresh);
        }
    }

    /// Notes that a run has joined: it holds no lease before it applied the view at `revision`.
    pub fn join(&mut self, gate: &Name, incarnation: Incarnation, revision: u64) {
        if let Some(lease) = self.find(gate, incarnation) {
            lease.applied = lease.applied.max(revision);
        }
    }

    /// Records a renewal that was received at `now`.
    pub fn renew(
        &mut self,
        gate: &Name,
        incarnation: Incarnation,
        applied: u64,
        now: Duration,
    ) -> Result<(), Refused> {
        let lease = self.find(gate, incarnation).ok_or(Refused::Unknown)?;
        if lease.ended {
            return Err(Refused::Ended);
        }
        lease.renewed = lease.renewed.max(now);
        lease.applied = lease.applied.max(applied);
        Ok(())
    }

    /// Ends a lease at the wish of its holder; returns whether it was in force.
    pub fn end(&mut self, gate: &Name, incarnation: Incarnation) -> bool {
        let Some(lease) = self.find(gate, incarnation) else { return false };
        !std::mem::replace(&mut lease.ended, true)
    }

    /// Takes the runs whose lease has run out; each is returned once.
    pub fn expired(&mut self, now: Duration) -> Vec<(Name, Incarnation)> {
        let mut expired = Vec::new();
        for (name, lease) in &mut self.leases {
            if !lease.ended && now >= lease.renewed + self.end {
                lease.ended = true;
                expired.push((name.clone(), lease.incarnation));
            }
        }
        expired.sort();
        expired
    }

    /// Returns whether a run holds a lease that may be renewed.
    pub fn holds(&self, gate: &Name, incarnation: Incarnation) -> bool {
        let lease = self.leases.get(gate);
        lease.is_some_and(|lease| lease.incarnation == incarnation && !lease.ended)
    }

    /// Returns the revision that every gate of the view has applied; `revision` is the view's.
    pub fn in_force(&self, revision: u64) -> u64 {
        self.leases.values().map(|lease| lease.applied).min().unwrap_or(revision)
    }

    /// Returns the number of leases.
    pub fn len(&self) -> usize {
        self.leases.len()
    }

    /// Returns whether there are no leases.
    pub fn is_empty(&self) -> bool {
        self.leases.is_empty()
    }

    fn find(&mut self, gate: &Name, incarnation: Incarnation) -> Option<&mut Lease> {
        self.leases.get_mut(gate).filter(|lease| lease.incarnation == incarnation)
    }
}
