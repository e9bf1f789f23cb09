//! The quotas of tenants: reserves units with the leader, or pays for requests from this gate's share without one.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use base::Event;
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
use tokio::time::Instant;

use crate::clock::Lag;
use crate::keepers::Keepers;
use crate::leader::Leader;
use crate::permits::DEFAULT_GATES;

/// The timeout of a reservation; several round trips to a keeper.
const RESERVE_TIMEOUT: Duration = Duration::from_millis(150);
/// The interval at which a request that no keeper answered is tried again.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// Distinguishes the term of a deputy from that of any leader.
const DEPUTY_TERM: u64 = 1 << 63;
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
    /// The keeper with which units are reserved while no keeper leads.
    deputy: Mutex<Option<Leader>>,
    /// The revision that each keeper named last.
    revisions: Mutex<Map<SocketAddr, Revision>>,
}

impl Default for Quotas {
    fn default() -> Quotas {
        Quotas {
            account: Mutex::new(Account::new(Duration::ZERO)),
            pending: Mutex::default(),
            lag: Lag::new(),
            deputy: Mutex::default(),
            revisions: Mutex::default(),
        }
    }
}

impl Quotas {
    /// Records the revision that a keeper names.
    pub(crate) fn set_revision(&self, keeper: SocketAddr, revision: Revision) {
        self.revisions.lock().insert(keeper, revision);
    }
}

/// What a request has paid. It is given back unless the request ran.
#[derive(Debug)]
pub(crate) struct Charge {
    keepers: Arc<Keepers>,
    tenant: Name,
    units: u64,
    /// When it was paid, by [`Keepers::quota_time`].
    charged: Duration,
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

/// Why a request was not paid for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Refused {
    /// The limit has no room for it until then; `None` if it never will.
    Answered(Option<Duration>),
    /// No keeper answered, and the gate's share has no room for it until then.
    Alone(Duration),
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
            self.keepers.refund(&self.tenant, self.units, self.charged);
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
        let end = Instant::now() + patience;
        let mut paid = self.pay(&tenant.name, &quota, units).await;
        while let Err(Refused::Alone(_)) = paid {
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            tokio::time::sleep(left.min(RETRY_INTERVAL)).await;
            paid = self.pay(&tenant.name, &quota, units).await;
        }
        let tenant = tenant.name.clone();
        match paid {
            Ok(()) => {
                let (keepers, ran) = (self.clone(), AtomicBool::new(false));
                let charged = self.quota_time();
                Ok(Some(Charge { keepers, tenant, units, charged, ran }))
            }
            Err(refused) => {
                let wait = match refused {
                    Refused::Answered(wait) => wait,
                    Refused::Alone(wait) => Some(wait),
                };
                let now = self.quota_time();
                let answer = self.quotas.account.lock().answer(&tenant, now);
                Err(Excess { units, limit: quota.limit(), answer, wait })
            }
        }
    }

    /// Pays for a request with credit, a reservation or the gate's share.
    async fn pay(&self, tenant: &Name, quota: &Quota, units: u64) -> Result<(), Refused> {
        for _ in 0..MAX_RESERVATIONS {
            let now = self.quota_time();
            let charge = self.quotas.account.lock().charge(tenant, quota, units, now);
            match charge {
                quota::Charge::Paid => return Ok(()),
                quota::Charge::TooLarge => return Err(Refused::Answered(None)),
                quota::Charge::Alone => break,
                quota::Charge::Reserve(need) => {
                    if let Some(paid) = self.reserve(tenant, quota, &need).await {
                        return paid.map_err(Refused::Answered);
                    }
                    // A leader that does not answer is not asked twice.
                    if self.quotas.account.lock().leader() == Some(need.term) {
                        break;
                    }
                }
            }
        }
        self.take_quota_share(tenant, quota, units).map_err(Refused::Alone)
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
            self.send_quota(Frame::Reserve { request, tenant: tenant.clone(), need: units, extra });
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
        if self.send_quota(Frame::Spent(vec![spending])) {
            self.quotas.account.lock().counted(tenant, units, now);
        }
        Ok(())
    }

    /// Passes the answer of a keeper to its reservation; returns the units if the request no longer waits for them.
    pub(crate) fn handle_reserved(
        &self,
        keeper: SocketAddr,
        request: u64,
        answer: (u64, u64, Option<u32>),
    ) {
        let leads = |leader: &Leader| leader.address == keeper;
        let known = self.leader.lock().as_ref().map(leads);
        if !known.unwrap_or_else(|| self.quotas.deputy.lock().as_ref().is_some_and(leads)) {
            return;
        }
        let Some(pending) = self.quotas.pending.lock().remove(&request) else { return };
        if pending.reply.send(answer).is_err() {
            self.return_units(pending.tenant, answer.0);
        }
    }

    /// Gives back the units of a request that did not run.
    fn refund(&self, tenant: &Name, units: u64, charged: Duration) {
        let now = self.quota_time();
        let units = self.quotas.account.lock().refund(tenant, units, charged, now);
        self.return_units(tenant.clone(), units);
    }

    fn return_units(&self, tenant: Name, units: u64) {
        if units > 0 {
            self.send_quota(Frame::Unspent { tenant, units });
        }
    }

    /// Tells a leader what this gate has spent without it. Must come before anything is reserved with it.
    pub(crate) fn report_spending(&self, leader: &Leader) {
        self.quotas.pending.lock().clear();
        if leader.revision < Revision::TENANTS {
            return;
        }
        *self.quotas.deputy.lock() = None;
        let (now, mut account) = (self.quota_time(), self.quotas.account.lock());
        let report = match leader.term & DEPUTY_TERM {
            0 => account.follow(leader.term, now),
            _ => account.follow_deputy(leader.term, now),
        };
        drop(account);
        if !report.is_empty() {
            leader.send(Frame::Spent(report));
        }
    }

    /// Records that the leader is lost, and reserves with a keeper that all gates choose alike until another one leads.
    pub(crate) fn follow_deputy(&self) {
        // Held to the end, so that a new leader is followed before or after this, not meanwhile.
        let leader = self.leader.lock();
        if leader.is_some() {
            return;
        }
        self.quotas.pending.lock().clear();
        self.quotas.account.lock().lose_leader(self.quota_time());
        let able = |address: &SocketAddr| {
            let revisions = self.quotas.revisions.lock();
            revisions.get(address).is_some_and(|revision| *revision >= Revision::TENANTS)
        };
        let rank = |address: &SocketAddr| base::digest(address.to_string().as_bytes());
        let links = self.links.lock();
        let first =
            links.iter().filter(|(address, _)| able(address)).min_by_key(|link| rank(link.0));
        let deputy = first.map(|(address, link)| {
            let term = rank(address) | DEPUTY_TERM;
            Leader { address: *address, term, link: link.clone(), revision: Revision::TENANTS }
        });
        drop(links);
        if let Some(deputy) = &deputy {
            base::event!(INFO, Event::QuotaDeputy, peer = %deputy.address);
            self.report_spending(deputy);
        }
        *self.quotas.deputy.lock() = deputy;
    }

    /// Chooses another deputy if the link to this one was lost and no keeper leads.
    pub(crate) fn replace_deputy(&self, lost: SocketAddr) {
        let deputy = self.quotas.deputy.lock().as_ref().map(|deputy| deputy.address);
        if deputy == Some(lost) {
            self.follow_deputy();
        }
    }

    /// Sends a frame to the leader, or to the deputy while no keeper leads; returns whether it was sent.
    fn send_quota(&self, frame: Frame) -> bool {
        let leader = self.leader.lock().clone();
        let receiver = leader.or_else(|| self.quotas.deputy.lock().clone());
        receiver.is_some_and(|receiver| receiver.send(frame))
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
