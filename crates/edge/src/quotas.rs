//! The quotas of tenants: reserves units with the leader, or pays for requests from this gate's share without one.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use base::Map;
use base::Name;
use fleet::message::Frame;
use fleet::message::Spending;
use fleet::revision::Revision;
use fleet::tenant::Quota;
use fleet::tenant::Tenant;
use parking_lot::Mutex;
use quota::Account;
use quota::Need;
use quota::Source;
use tokio::sync::oneshot;

use crate::clock::Lag;
use crate::keepers::Keepers;
use crate::leader::Leader;
use crate::permits::DEFAULT_GATES;

/// The timeout of a reservation; several round trips to a keeper.
const RESERVE_TIMEOUT: Duration = Duration::from_millis(150);
/// The reservations that are made for a request if the leader changes meanwhile.
const MAX_RESERVATIONS: u32 = 2;

/// A reservation that waits for its answer.
#[derive(Debug)]
struct Pending {
    tenant: Name,
    reply: oneshot::Sender<(u64, u64, Option<u32>)>,
}

/// A gate's account and its reservations.
#[derive(Debug)]
pub(crate) struct Quotas {
    account: Mutex<Account>,
    pending: Mutex<Map<u64, Pending>>,
    lag: Lag,
}

impl Default for Quotas {
    fn default() -> Quotas {
        Quotas {
            account: Mutex::new(Account::new(Duration::ZERO)),
            pending: Mutex::default(),
            lag: Lag::new(),
        }
    }
}

/// What a request has paid. It is given back unless the request ran.
#[derive(Debug)]
pub(crate) struct Charge {
    keepers: Arc<Keepers>,
    tenant: Name,
    units: u64,
    ran: AtomicBool,
}

/// Why a request may not run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Excess {
    /// The units of the request.
    pub(crate) units: u64,
    /// The units that may be used in a window.
    pub(crate) limit: u64,
    /// How old the leader's last answer is, and the units that it said were used.
    pub(crate) answer: Option<(Duration, u64)>,
    /// The time until the units are available; `None` if they never will be.
    pub(crate) wait: Option<Duration>,
}

impl Charge {
    /// Returns the units.
    pub(crate) fn units(&self) -> u64 {
        self.units
    }

    /// Records whether an endpoint may have run the request.
    pub(crate) fn set_ran(&self, ran: bool) {
        self.ran.store(ran, Ordering::Relaxed);
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        if !self.ran.load(Ordering::Relaxed) {
            self.keepers.refund(&self.tenant, self.units);
        }
    }
}

impl Keepers {
    /// Returns the time by which credit expires.
    fn quota_time(&self) -> Duration {
        self.view.now() + self.quotas.lag.elapsed()
    }

    /// Charges a request of `tokens` to its tenant's quota; `None` if the tenant has no quota. Without a leader, a request
    /// that this gate's share can't pay for waits up to `patience` for a new one.
    pub(crate) async fn charge(
        self: &Arc<Keepers>,
        tenant: &Tenant,
        tokens: Option<u64>,
        patience: Duration,
    ) -> Result<Option<Charge>, Excess> {
        let Some(quota) = tenant.quota else { return Ok(None) };
        let units = quota.units(tokens);
        let mut paid = self.pay(&tenant.name, &quota, units).await;
        let alone = self.quotas.account.lock().leader().is_none();
        if let Err(Some(_)) = paid
            && alone
            && self.await_leader(patience).await
        {
            paid = self.pay(&tenant.name, &quota, units).await;
        }
        let tenant = tenant.name.clone();
        match paid {
            Ok(()) => {
                let (keepers, ran) = (self.clone(), AtomicBool::new(false));
                Ok(Some(Charge { keepers, tenant, units, ran }))
            }
            Err(wait) => {
                let now = self.quota_time();
                let answer = self.quotas.account.lock().answer(&tenant, now);
                Err(Excess { units, limit: quota.limit(), answer, wait })
            }
        }
    }

    /// Pays for a request with credit, a reservation or the gate's share. Returns the time until the units are available
    /// if they are not; `None` if they never will be.
    async fn pay(&self, tenant: &Name, quota: &Quota, units: u64) -> Result<(), Option<Duration>> {
        for _ in 0..MAX_RESERVATIONS {
            let now = self.quota_time();
            let charge = self.quotas.account.lock().charge(tenant, quota, units, now);
            match charge {
                quota::Charge::Paid => return Ok(()),
                quota::Charge::TooLarge => return Err(None),
                quota::Charge::Alone => break,
                quota::Charge::Reserve(need) => {
                    if let Some(paid) = self.reserve(tenant, quota, &need).await {
                        return paid;
                    }
                    // A leader that does not answer is not asked twice.
                    if self.quotas.account.lock().leader() == Some(need.term) {
                        break;
                    }
                }
            }
        }
        self.take_quota_share(tenant, quota, units).map_err(Some)
    }

    /// Reserves units with the leader. Returns the time until they are available if they are not, and `None` if the
    /// leader does not answer or another one leads.
    async fn reserve(
        &self,
        tenant: &Name,
        quota: &Quota,
        need: &Need,
    ) -> Option<Result<(), Option<Duration>>> {
        let request = self.next_number();
        let (reply, answer) = oneshot::channel();
        // Stays here after a timeout, so that what is granted later can be returned.
        self.quotas.pending.lock().insert(request, Pending { tenant: tenant.clone(), reply });
        let (units, extra) = (need.units, need.extra);
        let sent =
            self.send(Frame::Reserve { request, tenant: tenant.clone(), need: units, extra });
        let answer = match sent {
            true => tokio::time::timeout(RESERVE_TIMEOUT, answer).await.ok().and_then(Result::ok),
            false => {
                self.quotas.pending.lock().remove(&request);
                None
            }
        };
        let now = self.quota_time();
        let Some((granted, used, wait_ms)) = answer else {
            self.quotas.account.lock().unanswered(now);
            return None;
        };
        let answer = (granted, used);
        let source = self.quotas.account.lock().settle(tenant, quota, need, answer, now);
        match source {
            Source::Paid => Some(Ok(())),
            Source::Refused => Some(Err(wait_ms.map(|ms| Duration::from_millis(u64::from(ms))))),
            Source::Outdated(units) => {
                self.return_units(tenant.clone(), units);
                None
            }
        }
    }

    /// Pays from this gate's share of a limit; returns the time until it has the units if it has not.
    fn take_quota_share(&self, tenant: &Name, quota: &Quota, units: u64) -> Result<(), Duration> {
        let share = (self.view.gates().unwrap_or(DEFAULT_GATES), rand::random());
        let now = self.quota_time();
        self.quotas.account.lock().take_share(tenant, quota, units, share, now)?;
        // A leader that did not answer may answer others, so it must count them.
        let spending = Spending { tenant: tenant.clone(), slices: vec![(0, units)] };
        if self.send(Frame::Spent(vec![spending])) {
            self.quotas.account.lock().counted(tenant, units, now);
        }
        Ok(())
    }

    /// Passes the leader's answer to its reservation; returns the units if the request no longer waits for them.
    pub(crate) fn handle_reserved(&self, request: u64, answer: (u64, u64, Option<u32>)) {
        let Some(pending) = self.quotas.pending.lock().remove(&request) else { return };
        if pending.reply.send(answer).is_err() {
            self.return_units(pending.tenant, answer.0);
        }
    }

    /// Gives back the units of a request that did not run.
    fn refund(&self, tenant: &Name, units: u64) {
        let units = self.quotas.account.lock().refund(tenant, units, self.quota_time());
        self.return_units(tenant.clone(), units);
    }

    fn return_units(&self, tenant: Name, units: u64) {
        if units > 0 {
            self.send(Frame::Unspent { tenant, units });
        }
    }

    /// Tells a leader what this gate has spent without it. Must come before anything is reserved with it.
    pub(crate) fn report_spending(&self, leader: &Leader) {
        self.quotas.pending.lock().clear();
        if leader.revision < Revision::TENANTS {
            return;
        }
        let report = self.quotas.account.lock().follow(leader.term, self.quota_time());
        if !report.is_empty() {
            leader.send(Frame::Spent(report));
        }
    }

    /// Records that the leader is lost. Reservations that wait for it end without an answer.
    pub(crate) fn lose_quota_leader(&self) {
        self.quotas.pending.lock().clear();
        self.quotas.account.lock().lose_leader(self.quota_time());
    }

    /// Returns expired credit to the leader.
    pub(crate) fn expire_credit(&self) {
        let expired = self.quotas.account.lock().take_expired(self.quota_time());
        for (tenant, units) in expired {
            self.return_units(tenant, units);
        }
    }

    /// Returns the credit of each tenant that the gate holds.
    pub(crate) fn held_credit(&self) -> Vec<(Name, u64)> {
        let account = self.quotas.account.lock();
        let held = account.held().filter(|(_, units)| *units > 0);
        held.map(|(tenant, units)| (tenant.clone(), units)).collect()
    }
}
