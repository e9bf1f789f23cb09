//! A gate's account.

use std::time::Duration;

use base::Map;
use base::Name;
use fleet::message::Spending;
use fleet::tenant::Quota;

use crate::share::Share;
use crate::span;
use crate::window::Window;

/// The time from a reservation in which its units can be used.
pub(crate) const CREDIT_TIME: Duration = Duration::from_millis(500);
/// The time between two calls after which the gate counts as having been frozen. It may have been for longer than its
/// clock says.
const FREEZE: Duration = Duration::from_millis(500);
/// The part of a limit that gates without a leader divide by what each of them has spent; they divide the rest equally.
pub(crate) const SPENT_PART: f64 = 0.8;
/// The time without a leader after which a gate has only an equal share of the rest. The leader that others may still
/// reach counts the larger share for as long.
pub(crate) const SHARE_TIME: Duration = Duration::from_secs(30);

/// How a request is paid for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Charge {
    /// It is paid for from credit.
    Paid,
    /// The units must be reserved with the leader.
    Reserve(Need),
    /// There is no leader.
    Alone,
    /// The request can never fit into the limit.
    TooLarge,
}

/// A reservation to be made with the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Need {
    /// The units of the request.
    pub units: u64,
    /// The units that are expected to be needed soon.
    pub extra: u64,
    /// The term of the leader.
    pub term: u64,
    /// When it is made.
    pub asked: Duration,
}

/// What the leader's answer to a reservation means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The request is paid for.
    Paid,
    /// The limit has no room for it.
    Refused,
    /// The answer is too old; so many units are to be returned.
    Outdated(u64),
}

/// Units that were reserved beyond a request's need.
#[derive(Clone, Copy, Debug)]
struct Credit {
    units: u64,
    expires: Duration,
}

/// What a gate knows of a tenant's spending.
#[derive(Clone, Debug)]
struct Entry {
    credit: Vec<Credit>,
    /// What the gate spent.
    spent: Window,
    /// What of it no leader has counted.
    uncounted: Window,
    /// What of it the leader [`Account::known`] may not have counted: what was reserved with a deputy, and what it was told
    /// since it last answered.
    unknown: Window,
    /// The units that all gates had used, and when the leader said so.
    answer: Option<(u64, Duration)>,
    /// The gate's share while there is no leader; created when it is first used.
    share: Option<Share>,
}

/// What a gate has reserved and spent of the quotas of all tenants.
#[derive(Clone, Debug)]
pub struct Account {
    entries: Map<Name, Entry>,
    /// The term of the leader that the gate follows.
    leader: Option<u64>,
    /// The term of the last leader or deputy that was told of everything that the gate had spent.
    told: Option<u64>,
    /// The term of the last leader that was told so, also while a deputy replaces it.
    known: Option<u64>,
    /// Since when no leader has answered.
    alone: Option<Duration>,
    /// When the account was last used.
    used: Duration,
    /// When the gate last resumed after it had been frozen.
    resumed: Duration,
}

impl Account {
    /// Creates the account of a gate that starts now.
    pub fn new(now: Duration) -> Account {
        Account {
            entries: Map::default(),
            leader: None,
            told: None,
            known: None,
            alone: Some(now),
            used: now,
            resumed: now,
        }
    }

    /// Pays for a request from credit, or tells what is to be done.
    pub fn charge(&mut self, tenant: &Name, quota: &Quota, units: u64, now: Duration) -> Charge {
        self.tick(now);
        if units > quota.limit() {
            return Charge::TooLarge;
        }
        let leader = self.leader;
        let leads = leader == self.known;
        let entry = self.entry(tenant, quota);
        if entry.use_credit(units, now) {
            entry.spent.spend(units, now);
            if !leads {
                entry.unknown.spend(units, now);
            }
            return Charge::Paid;
        }
        let Some(term) = leader else { return Charge::Alone };
        let extra = entry.spent.used_since(now.saturating_sub(CREDIT_TIME));
        Charge::Reserve(Need { units, extra, term, asked: now })
    }

    /// Applies the leader's answer to a reservation: the units that it granted, and those that all gates have used.
    pub fn settle(
        &mut self,
        tenant: &Name,
        quota: &Quota,
        need: &Need,
        (granted, used): (u64, u64),
        now: Duration,
    ) -> Source {
        self.tick(now);
        let outdated = self.leader != Some(need.term)
            || need.asked < self.resumed
            || now > need.asked + CREDIT_TIME;
        if outdated {
            // The leader that granted them may have forgotten older ones.
            let returned = now < need.asked + quota.window && self.leader == Some(need.term);
            return Source::Outdated(if returned { granted } else { 0 });
        }
        self.alone = None;
        let leads = self.leader == self.known;
        let entry = self.entry(tenant, quota);
        entry.share = None;
        entry.answer = Some((used, now));
        if leads {
            // A link keeps the order, so the leader has got what it was told before.
            entry.unknown.remove_until(need.asked);
        }
        if granted < need.units {
            return Source::Refused;
        }
        entry.spent.spend(need.units, now);
        if !leads {
            entry.unknown.spend(need.units, now);
        }
        let credit = Credit { units: granted - need.units, expires: need.asked + CREDIT_TIME };
        if credit.units > 0 {
            entry.credit.push(credit);
        }
        Source::Paid
    }

    /// Records that the leader did not answer in time.
    pub fn unanswered(&mut self, now: Duration) {
        self.alone.get_or_insert(now);
    }

    /// Pays for a request from this gate's share, one of those of `gates`; returns the time until the share has the
    /// units if it has not. `phase`, from 0 to 1, should be random.
    pub fn take_share(
        &mut self,
        tenant: &Name,
        quota: &Quota,
        units: u64,
        (gates, phase): (u32, f64),
        now: Duration,
    ) -> Result<(), Duration> {
        self.tick(now);
        let since = *self.alone.get_or_insert(now);
        let entry = self.entry(tenant, quota);
        let share = match entry.share.take() {
            Some(share) => share,
            None => entry.new_share(quota, gates, since, now),
        };
        let room = share.units().max(units as f64) as u64;
        let share = entry.share.insert(share);
        // What was spent before counts, also what a leader granted.
        let taken = match entry.spent.wait(units, room, now) {
            Some(Duration::ZERO) => share.try_take(units, phase, now),
            wait => Err(wait.unwrap_or(quota.window)),
        };
        if taken.is_ok() {
            entry.spent.spend(units, now);
            entry.uncounted.spend(units, now);
            entry.unknown.spend(units, now);
        }
        taken
    }

    /// Records that a leader which the gate follows was told of units that were paid for from the gate's share.
    pub fn counted(&mut self, tenant: &Name, units: u64, now: Duration) {
        if let Some(entry) = self.entries.get_mut(tenant) {
            entry.uncounted.give_back(units, now);
        }
    }

    /// Takes back the units of a request that did not run and was `charged` at that time; returns those that are to be
    /// returned to the leader. None are if the charge may no longer be counted, since others would be forgotten instead.
    pub fn refund(&mut self, tenant: &Name, units: u64, charged: Duration, now: Duration) -> u64 {
        let Some(entry) = self.entries.get_mut(tenant) else { return 0 };
        // The leader counted units of credit up to its lifetime earlier.
        if now + CREDIT_TIME >= charged + entry.spent.span() {
            return 0;
        }
        let units = entry.spent.give_back(units, now);
        if let Some(share) = &mut entry.share {
            share.give_back(units);
        }
        entry.unknown.give_back(units, now);
        units - entry.uncounted.give_back(units, now)
    }

    /// Follows a leader; returns what it must be told before anything is reserved with it. A leader that was followed
    /// before, and that a deputy replaced for a while, is told only what it may not know, since it would count the rest
    /// twice.
    pub fn follow(&mut self, term: u64, now: Duration) -> Vec<Spending> {
        let again = self.known.replace(term) == Some(term);
        if !again {
            for entry in self.entries.values_mut() {
                entry.unknown = entry.spent.clone();
            }
        }
        self.report(term, now, |entry| &mut entry.unknown)
    }

    /// Follows a keeper that replaces the leader; returns what it must be told before anything is reserved with it.
    pub fn follow_deputy(&mut self, term: u64, now: Duration) -> Vec<Spending> {
        match self.told == Some(term) {
            true => self.report(term, now, |entry| &mut entry.uncounted),
            false => self.report(term, now, |entry| &mut entry.spent),
        }
    }

    /// Returns a window of each tenant as the report to a leader or deputy that is followed from now on.
    fn report(
        &mut self,
        term: u64,
        now: Duration,
        window: impl Fn(&mut Entry) -> &mut Window,
    ) -> Vec<Spending> {
        self.leader = Some(term);
        let anew = self.told.replace(term) != Some(term);
        let mut report = Vec::new();
        for (tenant, entry) in &mut self.entries {
            let window = window(entry);
            window.used(now);
            let slices = window.all_slices(now);
            if !slices.is_empty() {
                report.push(Spending { tenant: tenant.clone(), slices });
            }
            entry.uncounted = Window::new(entry.uncounted.span());
            if anew {
                // The credit is that of another ledger.
                entry.credit.clear();
            }
        }
        report
    }

    /// Returns the term of the leader that the gate follows, if that keeps a ledger.
    pub fn leader(&self) -> Option<u64> {
        self.leader
    }

    /// Records that the leader is lost.
    pub fn lose_leader(&mut self, now: Duration) {
        self.leader = None;
        self.alone.get_or_insert(now);
    }

    /// Removes expired credit; returns the units that are to be returned to the leader.
    pub fn take_expired(&mut self, now: Duration) -> Vec<(Name, u64)> {
        self.tick(now);
        let mut expired = Vec::new();
        for (tenant, entry) in &mut self.entries {
            let before = entry.held();
            entry.credit.retain(|credit| credit.expires > now);
            let units = before - entry.held();
            if units > 0 && self.leader.is_some() {
                expired.push((tenant.clone(), units));
            }
        }
        self.entries.retain(|_, entry| {
            entry.share.is_some() || entry.held() > 0 || !entry.spent.is_empty(now)
        });
        expired
    }

    /// Returns the credit of each tenant that the gate holds, in no order.
    pub fn held(&self) -> impl Iterator<Item = (&Name, u64)> {
        self.entries.iter().map(|(tenant, entry)| (tenant, entry.held()))
    }

    /// Returns the units that a tenant spent through this gate in the window.
    pub fn spent(&mut self, tenant: &str, now: Duration) -> u64 {
        self.entries.get_mut(tenant).map_or(0, |entry| entry.spent.used(now))
    }

    /// Returns how old the leader's last answer about a tenant is, and the units that it said were used.
    pub fn answer(&self, tenant: &str, now: Duration) -> Option<(Duration, u64)> {
        let (used, at) = self.entries.get(tenant)?.answer?;
        Some((now.saturating_sub(at), used))
    }

    /// Drops all credit if the gate was frozen.
    fn tick(&mut self, now: Duration) {
        if now > self.used + FREEZE {
            self.resumed = now;
            for entry in self.entries.values_mut() {
                entry.credit.clear();
            }
        }
        self.used = self.used.max(now);
        if self.alone.is_some_and(|since| now > since + SHARE_TIME) {
            for entry in self.entries.values_mut() {
                entry.lapse();
            }
        }
    }

    fn entry(&mut self, tenant: &Name, quota: &Quota) -> &mut Entry {
        let span = span(quota);
        let entry = self.entries.entry(tenant.clone()).or_insert_with(|| Entry {
            credit: Vec::new(),
            spent: Window::new(span),
            uncounted: Window::new(span),
            unknown: Window::new(span),
            answer: None,
            share: None,
        });
        entry.spent.set_span(span);
        entry.uncounted.set_span(span);
        entry.unknown.set_span(span);
        entry
    }
}

impl Entry {
    /// Returns the units of credit.
    fn held(&self) -> u64 {
        self.credit.iter().map(|credit| credit.units).sum()
    }

    /// Takes units from the credit that expires first; takes none if there are too few.
    fn use_credit(&mut self, units: u64, now: Duration) -> bool {
        let valid = self.credit.iter().filter(|credit| credit.expires > now);
        if valid.map(|credit| credit.units).sum::<u64>() < units {
            return false;
        }
        let mut left = units;
        for credit in self.credit.iter_mut().filter(|credit| credit.expires > now) {
            let taken = left.min(credit.units);
            credit.units -= taken;
            left -= taken;
        }
        self.credit.retain(|credit| credit.units > 0);
        true
    }

    /// Creates the share of a gate that no leader has answered since `since`.
    fn new_share(&mut self, quota: &Quota, gates: u32, since: Duration, now: Duration) -> Share {
        let limit = quota.limit() as f64;
        let own = self.spent.used(now) as f64;
        // All that the limit allows may have been used since the leader's last answer, the more the older it is.
        let used = self.answer.map_or(limit, |(used, at)| {
            let age = since.saturating_sub(at).div_duration_f64(quota.window);
            (used as f64 + limit * age).min(limit)
        });
        let equal = (1.0 - SPENT_PART) / f64::from(gates.max(1));
        let part = equal + SPENT_PART * if own > 0.0 { own / used.max(own) } else { 0.0 };
        let free = part * (limit - used);
        Share::new(part * limit, equal * limit, quota.window, (free, since))
    }

    /// Reduces the share to an equal one.
    fn lapse(&mut self) {
        self.answer = None;
        if let Some(share) = &mut self.share {
            share.lapse();
        }
    }
}
