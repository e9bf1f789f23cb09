//! The leader's ledger.

use std::time::Duration;

use base::Map;
use base::Name;
use fleet::message::Spending;
use fleet::tenant::Quota;
use fleet::tenant::Tenant;

use crate::absence::Absence;
use crate::account::CREDIT_TIME;
use crate::allowance;
use crate::promise::Promises;
use crate::span;
use crate::totals::Totals;
use crate::window;
use crate::window::SLICE;
use crate::window::USUAL_AGE;
use crate::window::Window;

/// The largest part of a limit that one gate gets as credit.
const MAX_CREDIT: f64 = 0.05;
/// The part of a limit above which gates get no credit, because others may need the rest at once.
const CREDIT_BELOW: f64 = 0.5;

/// The answer to a reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The units that were reserved: at least those needed, or 0.
    pub granted: u64,
    /// The units that are used in the window.
    pub used: u64,
    /// The time until the units are available, if none were reserved; `None` if they never will be.
    pub wait: Option<Duration>,
}

/// The spending of a tenant.
#[derive(Clone, Debug)]
struct Entry {
    quota: Quota,
    /// What this leader granted, and what gates report to have spent since `Ledger::since` without it.
    granted: Window,
    /// What was spent before, as the former leader told.
    former: Window,
    /// What was spent before, as the gates report. The larger one of this and `former` counts: each contains some of the
    /// other.
    reported: Window,
    absence: Absence,
    promises: Promises,
    refused: u64,
    /// The end of the oldest slice that has changed since the other keepers were last told.
    changed: Option<Duration>,
}

/// The totals of a tenant, for metrics.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Total {
    /// The tenant.
    pub tenant: Name,
    /// The units that may be used in a window.
    pub limit: u64,
    /// The units used.
    pub used: u64,
    /// The reservations that were refused, since this ledger was created.
    pub refused: u64,
}

/// The spending of all tenants with a quota over all gates. Only the leader has one.
#[derive(Clone, Debug)]
pub struct Ledger {
    entries: Map<Name, Entry>,
    /// What tenants spent that the plan does not limit, as the former leader told or before a plan removed the quota.
    totals: Totals,
    /// Up to when `former` is complete.
    since: Duration,
    /// The part of what is free that may be granted; 1 at a leader.
    part: f64,
    /// The gates that were absent when the ledger was created, and the number of all gates.
    absent: (Vec<Name>, u32),
}

impl Ledger {
    /// Creates the ledger of a new leader that knows these totals of its predecessor, and that `absent` of `gates` gates
    /// have no link to it.
    pub fn new(totals: Totals, absent: Vec<Name>, gates: u32) -> Ledger {
        let absent = (absent, gates);
        Ledger { entries: Map::default(), since: totals.until, totals, part: 1.0, absent }
    }

    /// Bounds what may be granted to a part of what the former leader left free. A keeper that replaces a lost leader may
    /// have links to some of the gates only, and another one to the rest.
    pub fn set_part(&mut self, part: f64) {
        self.part = part.clamp(0.0, 1.0);
    }

    /// Applies the quotas of a plan. What was spent still counts.
    pub fn set_tenants(&mut self, tenants: &[Tenant], now: Duration) {
        let mut former = std::mem::take(&mut self.entries);
        for tenant in tenants {
            let Some(quota) = tenant.quota else { continue };
            let span = span(&quota);
            let totals = &mut self.totals;
            let mut entry = former.remove(&tenant.name).unwrap_or_else(|| {
                let known = totals.windows.remove(&tenant.name);
                let mut entry = Entry::new(quota, known.unwrap_or_else(|| Window::new(span)));
                for gate in &self.absent.0 {
                    entry.absence.insert(gate, self.absent.1, 0, now);
                }
                entry
            });
            entry.quota = quota;
            for window in [&mut entry.granted, &mut entry.former, &mut entry.reported] {
                window.set_span(span);
            }
            self.entries.insert(tenant.name.clone(), entry);
        }
        // A later plan may limit them again.
        for (tenant, mut entry) in former {
            self.totals.windows.insert(tenant, entry.total(now));
        }
    }

    /// Reserves the `need` of a request, and some of the `extra` that its gate expects to need soon. A tenant without a
    /// quota gets what is needed: its gate has an earlier plan.
    pub fn reserve(
        &mut self,
        gate: &Name,
        tenant: &str,
        (need, extra): (u64, u64),
        now: Duration,
    ) -> Answer {
        let Some(entry) = self.entries.get_mut(tenant) else {
            return Answer { granted: need, used: 0, wait: Some(Duration::ZERO) };
        };
        let limit = allowance(&entry.quota);
        let others = (1.0 - self.part) * limit.saturating_sub(entry.before(now)) as f64;
        let used = entry.used(now) + entry.absence.units(limit, now) + others as u64;
        if used.saturating_add(need) > limit {
            entry.refused += 1;
            return Answer { granted: 0, used, wait: entry.promise(need, limit, now) };
        }
        let below = (limit as f64 * CREDIT_BELOW) as u64;
        let credit = extra.min((limit as f64 * MAX_CREDIT) as u64);
        let credit = credit.min(below.saturating_sub(used + need));
        // Credit is used up to its lifetime after it was counted.
        let covered = span(&entry.quota) >= entry.quota.window + CREDIT_TIME;
        let granted = need + if covered { credit } else { 0 };
        entry.granted.spend(granted, now);
        entry.absence.spend(gate, granted, span(&entry.quota), now);
        entry.mark_changed(now);
        Answer { granted, used: used + granted, wait: Some(Duration::ZERO) }
    }

    /// Takes back units that a gate has reserved and not used.
    pub fn give_back(&mut self, gate: &str, tenant: &str, units: u64, now: Duration) {
        let Some(entry) = self.entries.get_mut(tenant) else { return };
        let left = units - entry.granted.give_back(units, now);
        entry.absence.give_back(gate, units, now);
        // Reserved from the former leader.
        entry.former.give_back(left, now);
        entry.reported.give_back(left, now);
        // Changes of older slices are not told; the other keepers then count too much rather than too little.
        entry.mark_changed(now.saturating_sub(USUAL_AGE + SLICE));
    }

    /// Records what a gate spent without this ledger.
    pub fn record(&mut self, gate: &Name, report: &[Spending], now: Duration) {
        for spending in report {
            let Some(entry) = self.entries.get_mut(&spending.tenant) else { continue };
            for (end, units) in window::decode(spending, now) {
                let window = match end > self.since {
                    true => &mut entry.granted,
                    false => &mut entry.reported,
                };
                window.add(end, units);
                entry.absence.spend(gate, units, span(&entry.quota), end);
                entry.mark_changed(end.saturating_sub(SLICE));
            }
        }
    }

    /// Records that one of `gates` gates has lost its link. It may go on and spend its share.
    pub fn remove_gate(&mut self, gate: &Name, gates: u32, now: Duration) {
        for entry in self.entries.values_mut() {
            let used = entry.used(now);
            entry.absence.insert(gate, gates, used, now);
        }
    }

    /// Records that a gate has a link, or another process in its place.
    pub fn add_gate(&mut self, gate: &str) {
        self.absent.0.retain(|absent| **absent != *gate);
        for entry in self.entries.values_mut() {
            entry.absence.remove(gate);
        }
    }

    /// Returns what has changed since the last call, for the other keepers.
    pub fn take_changes(&mut self, now: Duration) -> Vec<Spending> {
        let mut changes = Vec::new();
        self.totals.windows.retain(|_, window| !window.is_empty(now));
        for (tenant, entry) in &mut self.entries {
            entry.absence.expire(now);
            let Some(changed) = entry.changed.take() else { continue };
            // The slice in progress follows with the next changes.
            let total = entry.total(now);
            if total.used_since(now) > 0 {
                entry.changed = Some(now);
            }
            let slices = total.slices(changed, now);
            if !slices.is_empty() {
                changes.push(Spending { tenant: tenant.clone(), slices });
            }
        }
        changes
    }

    /// Returns the totals, for a keeper that has not got any.
    pub fn totals(&mut self, now: Duration) -> Vec<Spending> {
        let entries = self.entries.iter_mut();
        let spending = entries.map(|(tenant, entry)| Spending {
            tenant: tenant.clone(),
            slices: entry.total(now).slices(Duration::ZERO, now),
        });
        spending.filter(|spending| !spending.slices.is_empty()).collect()
    }

    /// Ends the ledger and returns what is known of the spending.
    pub fn into_totals(mut self, now: Duration) -> Totals {
        let mut totals = self.totals;
        for (tenant, entry) in &mut self.entries {
            totals.windows.insert(tenant.clone(), entry.total(now));
        }
        totals.until = now;
        totals
    }

    /// Returns the totals of the tenants, in no order.
    pub fn list(&mut self, now: Duration) -> Vec<Total> {
        self.entries.iter_mut().map(|(tenant, entry)| entry.summary(tenant, now)).collect()
    }

    /// Returns the total of a tenant; `None` if it has no quota.
    pub fn total(&mut self, tenant: &Name, now: Duration) -> Option<Total> {
        self.entries.get_mut(tenant).map(|entry| entry.summary(tenant, now))
    }
}

impl Entry {
    fn summary(&mut self, tenant: &Name, now: Duration) -> Total {
        Total {
            tenant: tenant.clone(),
            limit: self.quota.limit(),
            used: self.used(now),
            refused: self.refused,
        }
    }

    fn new(quota: Quota, former: Window) -> Entry {
        let span = span(&quota);
        Entry {
            quota,
            granted: Window::new(span),
            former,
            reported: Window::new(span),
            absence: Absence::default(),
            promises: Promises::default(),
            refused: 0,
            changed: None,
        }
    }

    fn used(&mut self, now: Duration) -> u64 {
        self.granted.used(now) + self.before(now)
    }

    /// Returns the units that were used before this ledger began.
    fn before(&mut self, now: Duration) -> u64 {
        self.former.used(now).max(self.reported.used(now))
    }

    /// Returns all that counts as one window.
    fn total(&mut self, now: Duration) -> Window {
        let mut total = self.granted.clone();
        let reported = self.reported.used(now) > self.former.used(now);
        total.merge(if reported { &self.reported } else { &self.former });
        // Removes what has expired.
        total.used(now);
        total
    }

    fn mark_changed(&mut self, at: Duration) {
        self.changed = Some(self.changed.map_or(at, |changed| changed.min(at)));
    }

    /// Returns the time until the limit has room for a refused request, after those that were refused earlier.
    fn promise(&mut self, need: u64, limit: u64, now: Duration) -> Option<Duration> {
        let room = limit.checked_sub(need)?;
        let promised = self.promises.units(limit, now);
        let mut expiries: Vec<Duration> = self.granted.expiries().collect();
        expiries.extend(self.former.expiries());
        expiries.extend(self.reported.expiries());
        expiries.sort_unstable();
        let used_at = |at: &Duration| {
            let before = self.former.used_at(*at).max(self.reported.used_at(*at));
            self.granted.used_at(*at) + before
        };
        let target = room.saturating_sub(promised);
        let at = expiries.partition_point(|at| used_at(at) > target);
        let mut free = expiries.get(at).copied().unwrap_or(now);
        // Those refused earlier need more than a window; after it, a limit's worth becomes free in each span.
        let excess = promised.saturating_sub(room);
        free += span(&self.quota).mul_f64(excess as f64 / limit as f64);
        self.promises.push(free, need, limit);
        Some(free.saturating_sub(now).max(Duration::from_millis(1)))
    }
}
