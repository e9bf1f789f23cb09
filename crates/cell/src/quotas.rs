//! The quotas of tenants at the keeper that leads, and what the others know of the spending.

use std::sync::Arc;
use std::time::Duration;

use base::Event;
use base::Name;
use fleet::message::Frame;
use fleet::message::Spending;
use fleet::revision::Revision;
use link::Link;
use quota::Ledger;
use quota::Total;
use quota::Totals;

use crate::coordinator::Coordinator;
use crate::engines::Engines;
use crate::keeper::Keeper;
use crate::metrics::Metrics;
use crate::state::State;

/// The interval at which the other keepers are told what tenants have spent. What gates spend after that and before the
/// leader is lost, the new leader learns only from these gates.
const LEDGER_INTERVAL: Duration = Duration::from_millis(500);
/// The time after which a deputy that knows of a leader answers no more.
const DEPUTY_GRACE: Duration = Duration::from_secs(1);
/// The longest time for which a deputy answers. The leader that others may follow counts what gates without a link to it
/// may spend for as long.
const DEPUTY_TIME: Duration = Duration::from_secs(30);
/// The tenants that metrics name; the others are added up as `other`.
const MAX_LABELS: usize = 64;

/// The ledger of a keeper that answers gates while no keeper leads.
#[derive(Debug)]
pub(crate) struct Deputy {
    ledger: Ledger,
    since: Duration,
    /// When this keeper last knew of no leader.
    leaderless: Option<Duration>,
}

impl Coordinator {
    /// Returns the ledger of a leader that begins now.
    pub(crate) fn start_ledger(&mut self, term: u64, state: &State) -> Ledger {
        let now = self.now();
        let absent = self.links.absent_gates(now);
        let gates = self.links.gate_count() + absent.len() as u32;
        let mut ledger = Ledger::new(std::mem::take(&mut self.totals), absent, gates);
        if let Some(plan) = &state.plan {
            ledger.set_tenants(&plan.tenants, now);
        }
        self.deputy = None;
        let totals = ledger.list(now);
        if !totals.is_empty() {
            let spending = totals.iter().filter(|total| total.used > 0).count();
            base::event!(INFO, Event::QuotaRestored, term, tenants = totals.len(), spending);
        }
        ledger
    }

    /// Keeps what the ledger of a leadership that ends knows.
    pub(crate) fn end_ledger(&mut self) {
        let now = self.now();
        if let Some(leadership) = &mut self.leadership {
            let ledger = Ledger::new(Totals::default(), Vec::new(), 0);
            self.totals = std::mem::replace(&mut leadership.ledger, ledger).into_totals(now);
        }
    }

    /// Returns the ledger of this keeper: that of the leader, or of a deputy that gates use while no keeper leads.
    fn ledger(&mut self, state: &State) -> &mut Ledger {
        let now = self.now();
        if let Some(leadership) = &mut self.leadership {
            return &mut leadership.ledger;
        }
        let absent = self.links.absent_gates(now).len() as f64;
        let gates = f64::from(self.links.gate_count());
        self.deputy.take_if(|deputy| now >= deputy.since + DEPUTY_TIME * 2);
        let deputy = self.deputy.get_or_insert_with(|| {
            let mut ledger = Ledger::new(self.totals.clone(), Vec::new(), 0);
            if let Some(plan) = &state.plan {
                ledger.set_tenants(&plan.tenants, now);
            }
            Deputy { ledger, since: now, leaderless: None }
        });
        if self.status.leader.is_none() {
            deputy.leaderless = Some(now);
        }
        deputy.ledger.set_part(gates / (gates + absent).max(1.0));
        &mut deputy.ledger
    }

    /// Returns whether gates may reserve with this keeper: it leads, or no keeper has led until now.
    fn may_reserve(&self) -> bool {
        let now = self.now();
        self.leadership.is_some()
            || self.deputy.as_ref().is_some_and(|deputy| {
                let lately = |at| now < at + DEPUTY_GRACE;
                deputy.leaderless.is_some_and(lately) && now < deputy.since + DEPUTY_TIME
            })
    }

    /// Answers a gate's reservation. A keeper that knows another one as the leader does not answer.
    pub(crate) fn answer_reservation(
        &mut self,
        link_id: u64,
        request: u64,
        tenant: &Name,
        (need, extra): (u64, u64),
        state: &State,
    ) {
        let now = self.now();
        let Some(gate) = self.links.get(link_id).map(|node| node.hello.node.clone()) else {
            return;
        };
        self.ledger(state);
        if !self.may_reserve() {
            return;
        }
        let answer = self.ledger(state).reserve(&gate, tenant, (need, extra), now);
        if let Some(node) = self.links.get(link_id) {
            let (granted, used) = (answer.granted, answer.used);
            let wait_ms = answer.wait.map(|wait| wait.as_millis().min(u128::from(u32::MAX)) as u32);
            node.link.send(Frame::Reserved { request, granted, used, wait_ms });
        }
    }

    /// Takes back units that a gate did not use.
    pub(crate) fn take_unspent(&mut self, link_id: u64, tenant: &Name, units: u64, state: &State) {
        let now = self.now();
        let gate = self.links.get(link_id).map(|node| node.hello.node.clone());
        if let Some(gate) = gate {
            self.ledger(state).give_back(&gate, tenant, units, now);
        }
    }

    /// Records what a gate spent without this keeper.
    pub(crate) fn record_spent(&mut self, link_id: u64, report: &[Spending], state: &State) {
        let now = self.now();
        let gate = self.links.get(link_id).map(|node| node.hello.node.clone());
        if let Some(gate) = gate {
            self.ledger(state).record(&gate, report, now);
        }
    }

    /// Applies what the leader tells of the spending. Ignored while this keeper leads.
    pub(crate) fn update_totals(&mut self, changes: &[Spending]) {
        let now = self.now();
        if self.leadership.is_none() {
            self.deputy = None;
            self.totals.update(changes, now);
        }
    }

    /// Tells a keeper that has just connected all that tenants have spent. Ignored unless this keeper leads.
    pub(crate) fn send_totals(&mut self, link: &Link<Frame>, revision: Revision) {
        let now = self.now();
        let Some(leadership) = &mut self.leadership else { return };
        let frame = Frame::Ledger(leadership.ledger.totals(now));
        if frame.revision() <= revision {
            link.send(frame);
        }
    }

    /// Tells the other keepers what has changed. Returns the totals of the tenants; none unless this keeper leads.
    fn broadcast_totals(&mut self) -> Vec<Total> {
        let now = self.now();
        let Some(leadership) = &mut self.leadership else { return Vec::new() };
        let changes = leadership.ledger.take_changes(now);
        let totals = leadership.ledger.list(now);
        if !changes.is_empty() {
            self.links.broadcast_to_keepers(&Frame::Ledger(changes));
        }
        totals
    }
}

impl<E: Engines> Keeper<E> {
    /// Tells the other keepers regularly what tenants have spent, while this keeper leads.
    pub(crate) async fn run_ledger(self: Arc<Keeper<E>>) {
        loop {
            tokio::time::sleep(LEDGER_INTERVAL).await;
            let totals = self.coordinator.lock().broadcast_totals();
            record(&self.metrics, totals);
        }
    }
}

/// Sets the metrics of the tenants.
fn record(metrics: &Metrics, mut totals: Vec<Total>) {
    metrics.quota.reset();
    totals.sort_by(|one, other| one.tenant.cmp(&other.tenant));
    if totals.len() > MAX_LABELS {
        let mut others = totals.split_off(MAX_LABELS).into_iter();
        let sum = others.next().map(|first| {
            others.fold(first, |sum, total| Total {
                tenant: sum.tenant,
                limit: sum.limit + total.limit,
                used: sum.used + total.used,
                refused: sum.refused + total.refused,
            })
        });
        totals.extend(sum.map(|sum| Total { tenant: Name::from("other"), ..sum }));
    }
    for total in totals {
        for (what, value) in
            [("limit", total.limit), ("used", total.used), ("refused", total.refused)]
        {
            metrics.quota.with_label_values(&[&*total.tenant, what]).set(value as i64);
        }
    }
}
