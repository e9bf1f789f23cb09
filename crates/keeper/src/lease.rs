//! Leases of gates, tracked by the leader.

use std::time::Duration;

use base::Map;
use base::Name;
use state::View;
use state::command::Incarnation;

/// The leases of the gates in the view, kept only by the leader.
///
/// Times are on the leader's monotonic clock.
#[derive(Debug)]
pub struct Leases {
    /// The time since the last renewal after which a lease has certainly ended at its holder.
    timeout: Duration,
    leases: Map<Name, Lease>,
}

/// The lease of one incarnation of a gate.
#[derive(Debug)]
struct Lease {
    incarnation: Incarnation,
    /// The time at which the last renewal was received, or at which this leader first saw the gate.
    ///
    /// Invariant: not before the time at which the holder sent the last granted renewal.
    renewed_at: Duration,
    /// The latest view revision that the gate has reported as applied.
    applied: u64,
    /// Whether the end of the lease was proposed; it cannot be renewed from then on.
    ended: bool,
}

/// The reason for which a renewal was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The view does not contain this incarnation of the gate; it must join first.
    Unknown,
    /// The lease of this incarnation has ended.
    Ended,
}

impl Leases {
    /// Creates an empty set; `timeout` is the duration of a lease plus the maximum clock drift.
    pub fn new(timeout: Duration) -> Leases {
        Leases { timeout, leases: Map::default() }
    }

    /// Adds the incarnations that are new in the view, as renewed now, and removes those no longer in it.
    pub fn sync(&mut self, view: &View, now: Duration) {
        let same = |name: &Name, lease: &Lease| {
            view.gates.get(name).is_some_and(|gate| gate.incarnation == lease.incarnation)
        };
        self.leases.retain(|name, lease| same(name, lease));
        for (name, gate) in &view.gates {
            let incarnation = gate.incarnation;
            let fresh = || Lease { incarnation, renewed_at: now, applied: 0, ended: false };
            self.leases.entry(name.clone()).or_insert_with(fresh);
        }
    }

    /// Records that a gate has joined at `revision`. It has no lease before it has applied that revision, so
    /// it counts as having applied it.
    pub fn join(&mut self, gate: &Name, incarnation: Incarnation, revision: u64) {
        if let Some(lease) = self.find(gate, incarnation) {
            lease.applied = lease.applied.max(revision);
        }
    }

    /// Records a renewal received at `now`, with the view revision that the gate has applied.
    ///
    /// # Errors
    ///
    /// The lease is unknown or has ended.
    pub fn renew(
        &mut self,
        gate: &Name,
        incarnation: Incarnation,
        applied: u64,
        now: Duration,
    ) -> Result<(), Rejection> {
        let lease = self.find(gate, incarnation).ok_or(Rejection::Unknown)?;
        if lease.ended {
            return Err(Rejection::Ended);
        }
        lease.renewed_at = lease.renewed_at.max(now);
        lease.applied = lease.applied.max(applied);
        Ok(())
    }

    /// Ends a lease that its holder releases. Returns `false` if there is no such lease or it has already
    /// ended.
    pub fn release(&mut self, gate: &Name, incarnation: Incarnation) -> bool {
        let Some(lease) = self.find(gate, incarnation) else { return false };
        !std::mem::replace(&mut lease.ended, true)
    }

    /// Ends the leases that have expired and returns their gates, sorted; each is returned only once.
    pub fn take_expired(&mut self, now: Duration) -> Vec<(Name, Incarnation)> {
        let mut expired = Vec::new();
        for (name, lease) in &mut self.leases {
            if !lease.ended && now >= lease.renewed_at + self.timeout {
                lease.ended = true;
                expired.push((name.clone(), lease.incarnation));
            }
        }
        expired.sort();
        expired
    }

    /// Returns whether an incarnation of a gate has a lease that may be renewed.
    pub fn holds(&self, gate: &Name, incarnation: Incarnation) -> bool {
        let lease = self.leases.get(gate);
        lease.is_some_and(|lease| lease.incarnation == incarnation && !lease.ended)
    }

    /// Returns the view revision that all gates have applied; `revision`, the current one, if there are no
    /// gates.
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
