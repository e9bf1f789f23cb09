//! A keeper's state that is not replicated: links, the registry of endpoints, and the scheduler
//! while this keeper leads.

use std::time::Duration;

use base::Event;
use base::Name;
use fleet::endpoint;
use fleet::endpoint::Announcement;
use fleet::endpoint::Incarnation;
use fleet::message::Frame;
use fleet::message::Hello;
use fleet::message::Welcome;
use fleet::origin;
use fleet::quarantine::Crash;
use fleet::quarantine::List;
use fleet::quarantine::Loss;
use fleet::quarantine::Subject;
use fleet::quarantine::Survival;
use fleet::registry::Change;
use fleet::registry::Registry;
use fleet::revision::Revision;
use link::Link;
use quota::Totals;
use sched::Scheduler;
use sched::action::Action;
use tokio::time::Instant;

use crate::departed;
use crate::departures::Departures;
use crate::leadership::Leadership;
use crate::lease::Lease;
use crate::links::Links;
use crate::placing::Decisions;
use crate::quotas::Deputy;
use crate::replica::Status;
use crate::settings::MAINTENANCE_INTERVAL;
use crate::settings::Settings;
use crate::state::Command;
use crate::state::State;

/// A keeper's state that is not replicated.
#[derive(Debug)]
pub(crate) struct Coordinator {
    started: Instant,
    pub(crate) links: Links,
    pub(crate) registry: Registry,
    pub(crate) status: Status,
    pub(crate) leadership: Option<Leadership>,
    /// The streams that gates have recorded here.
    pub(crate) origins: origin::Table,
    /// The endpoints that left as planned while this keeper led.
    pub(crate) departures: Departures,
    /// What tenants have spent, as the leader told; not used while this keeper leads.
    pub(crate) totals: Totals,
    /// The ledger that gates use while no keeper leads.
    pub(crate) deputy: Option<Deputy>,
    lease: Lease,
    pub(crate) placements: Decisions,
    settings: sched::settings::Settings,
    endpoint_timeout: Duration,
    /// Time of the last check for expired endpoints.
    last_expiry_check: Duration,
    /// Number of changes of the endpoints.
    pub(crate) changes: u64,
    /// Number of changes of the registry, those that the leader sent included.
    pub(crate) registry_changes: u64,
    /// Number of changes of the endpoints that the queues of all links contain.
    pub(crate) sent_changes: u64,
    /// Version of the plan last sent to the gates.
    sent_plan_version: Option<u64>,
    /// Sum of the adapter versions last sent to the gates. Versions only grow, so the sum changes
    /// with each new version.
    sent_versions_sum: usize,
    /// The replicated quarantine last sent to the gates.
    sent_quarantine: Option<List>,
}

impl Coordinator {
    /// Creates the state of a keeper that knows the endpoints in `registry` from before its start, and the last term in
    /// which it may have ordered engines.
    pub(crate) fn new(
        settings: &Settings,
        mut registry: Registry,
        last_term: Option<u64>,
    ) -> Coordinator {
        registry.refresh_all(Duration::ZERO);
        Coordinator {
            started: Instant::now(),
            links: Links::default(),
            registry,
            status: Status::default(),
            leadership: None,
            origins: origin::Table::default(),
            departures: Departures::new(settings.endpoint_drain),
            totals: Totals::default(),
            deputy: None,
            lease: Lease::new(settings.order_lease, settings.fenced_orders, last_term),
            placements: Decisions::default(),
            settings: settings.scheduler.clone(),
            endpoint_timeout: settings.endpoint_timeout,
            last_expiry_check: Duration::ZERO,
            changes: 0,
            registry_changes: 0,
            sent_changes: 0,
            sent_plan_version: None,
            sent_versions_sum: 0,
            sent_quarantine: None,
        }
    }

    /// Returns the time since this process started.
    pub(crate) fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Returns the term in which this keeper leads.
    pub(crate) fn term(&self) -> Option<u64> {
        self.leadership.as_ref().map(|leadership| leadership.term)
    }

    /// Applies a new status of the replica: leadership, members and applied state.
    pub(crate) fn apply_status(&mut self, status: Status, state: &State) {
        let previous = std::mem::replace(&mut self.status, status);
        if previous.leads != self.status.leads {
            self.end_ledger();
            self.leadership = self.status.leads.map(|term| self.start_leading(term, state));
            self.update_balancer();
        }
        if previous.leads != self.status.leads || previous.members != self.status.members {
            let welcome = Frame::Welcome(self.welcome());
            self.links.broadcast_to_gates(&welcome);
            self.links.broadcast_to_keepers(&welcome);
        }
        if self.leadership.is_some() {
            if previous.leads != self.status.leads {
                self.sent_plan_version = None;
                self.sent_versions_sum = 0;
                self.sent_quarantine = None;
                self.broadcast_endpoints();
            }
            self.broadcast_state(state);
        }
    }

    /// Creates the scheduler for a term in which this keeper leads.
    fn start_leading(&mut self, term: u64, state: &State) -> Leadership {
        let now = self.now();
        // Announcements went to the previous leader, so all endpoints get a full timeout from now
        // on.
        self.registry.refresh_all(now);
        self.drain_departed(state);
        let mut scheduler = Scheduler::new(self.settings.clone());
        let orders_from = self.lease.start(term, now);
        scheduler.hold_orders(orders_from);
        if orders_from > now {
            let wait_ms = (orders_from - now).as_millis() as u64;
            base::event!(INFO, Event::OrdersHeld, term, wait_ms);
        }
        if let Some(plan) = &state.plan {
            scheduler.set_plan(plan);
        }
        for version in state.versions() {
            scheduler.set_version(&version);
        }
        let ledger = self.start_ledger(term, state);
        let mut leadership = Leadership::new(term, scheduler, ledger, now);
        for announcement in self.registry.ready().filter(|endpoint| endpoint.held.is_some()) {
            leadership.add_engine(announcement, now);
        }
        base::event!(INFO, Event::LeaderElected, term, "scheduler started");
        leadership
    }

    /// Drains the endpoints whose departure is committed; the registry may be older.
    fn drain_departed(&mut self, state: &State) {
        let departed = self
            .registry
            .ready()
            .filter(|endpoint| state.departed().includes(&endpoint.id, endpoint.born));
        let departed: Vec<Incarnation> = departed.map(Announcement::incarnation).collect();
        for Incarnation { endpoint, born } in departed {
            self.registry.drain(&endpoint, born, "committed");
        }
    }

    /// Returns the leadership if it is that of `term`.
    pub(crate) fn leadership_in(&mut self, term: u64) -> Option<&mut Leadership> {
        self.leadership.as_mut().filter(|leadership| leadership.term == term)
    }

    /// Returns whether this keeper does not lead and none of its orders is within its lease.
    pub(crate) fn has_no_lease(&self) -> bool {
        self.leadership.is_none() && self.lease.has_ended(self.now())
    }

    /// Records that an order of `term` is sent or answered.
    pub(crate) fn record_order(&mut self, term: u64) {
        let orders_from = self.lease.record_order(term, self.now());
        if let Some(leadership) = &mut self.leadership {
            leadership.scheduler.hold_orders(orders_from);
        }
    }

    /// Sends a new plan and new adapter versions to the gates and the scheduler.
    fn broadcast_state(&mut self, state: &State) {
        let version = state.plan.as_ref().map(|plan| plan.version);
        if self.sent_plan_version != version
            && let Some(plan) = &state.plan
        {
            self.sent_plan_version = version;
            self.links.broadcast_plan(state);
            if let Some(leadership) = &mut self.leadership {
                leadership.scheduler.set_plan(plan);
                leadership.ledger.set_tenants(&plan.tenants, self.started.elapsed());
            }
        }
        let versions = state.versions();
        let sum: usize = versions.iter().map(|version| version.version as usize).sum();
        if self.sent_versions_sum != sum {
            self.sent_versions_sum = sum;
            if let Some(leadership) = &mut self.leadership {
                for version in &versions {
                    leadership.scheduler.set_version(version);
                }
            }
            self.links.broadcast_to_gates(&Frame::Versions(versions));
        }
        if self.sent_quarantine.as_ref() != Some(state.quarantine()) {
            self.sent_quarantine = Some(state.quarantine().clone());
            self.broadcast_quarantine(state);
        }
    }

    fn broadcast_quarantine(&self, state: &State) {
        if let Some(leadership) = &self.leadership {
            let subjects = leadership.quarantine.subjects(state.quarantine());
            self.links.broadcast_to_gates(&Frame::Quarantine(subjects));
        }
    }

    /// Handles the losses that a gate reports. Ignored unless this keeper leads.
    pub(crate) fn record_losses(&mut self, losses: &[Loss], state: &State) {
        let now = self.now();
        let losses = self.unplanned(losses, now);
        let Some(leadership) = &mut self.leadership else { return };
        let mut crashes: Vec<Crash> = Vec::new();
        for Loss { endpoint, born, age_ms, .. } in &losses {
            let known = leadership.quarantine.has_crashed(endpoint, *born)
                || crashes.iter().any(|crash| crash.endpoint == *endpoint && crash.born == *born);
            if !known {
                crashes.push(Crash { endpoint: endpoint.clone(), born: *born, silent_ms: *age_ms });
            }
        }
        let suspects = leadership.quarantine.record_losses(&losses, state.quarantine(), now);
        if !suspects.is_empty() {
            self.links.broadcast_to_gates(&Frame::Suspects(suspects));
        }
        for crash in crashes {
            self.links.broadcast_to_gates(&Frame::Crashed(crash));
        }
    }

    /// Returns the losses of endpoints that had not left as planned.
    fn unplanned(&self, losses: &[Loss], now: Duration) -> Vec<Loss> {
        let is_unplanned = |loss: &&Loss| {
            let at = now.saturating_sub(Duration::from_millis(u64::from(loss.age_ms)));
            let planned = self.departures.includes(&loss.endpoint, loss.born, at);
            if planned {
                base::event!(
                    INFO, Event::LossDismissed, endpoint = %loss.endpoint, born = loss.born,
                    fingerprint = %format_args!("{:016x}", loss.fingerprint.request), age_ms = loss.age_ms
                );
            }
            !planned
        };
        losses.iter().filter(is_unplanned).cloned().collect()
    }

    /// Notifies the gates of endpoints that have ended without notice.
    fn notify_lost(&mut self) {
        let now = self.now();
        for lost in self.registry.take_lost() {
            let silent_ms = now.saturating_sub(lost.heard).as_millis() as u32;
            let crash = Crash { endpoint: lost.id, born: lost.born, silent_ms };
            self.links.broadcast_to_gates(&Frame::Crashed(crash));
        }
    }

    /// Records that an endpoint ended the response to a suspected request. Ignored unless this keeper leads.
    pub(crate) fn record_survival(&mut self, survival: &Survival) {
        let now = self.now();
        if let Some(leadership) = &mut self.leadership {
            leadership.quarantine.record_survival(survival, now);
        }
    }

    /// Records that a gate refused a request with a quarantined subject. Ignored unless this keeper leads.
    pub(crate) fn record_quarantine_hit(&mut self, link_id: u64, subject: Subject) {
        let now = self.now();
        if let Some(leadership) = &mut self.leadership {
            leadership.quarantine.record_refusal(subject, link_id, now);
        }
    }

    /// Asks gates for the probes of quarantined subjects that are due.
    fn start_probes(&mut self) {
        let now = self.now();
        let Some(leadership) = &mut self.leadership else { return };
        for (gate, subject) in leadership.quarantine.probes(now) {
            if let Some(node) = self.links.get(gate) {
                node.link.send(Frame::Probe(subject));
            }
        }
    }

    /// Quarantines what crashes endpoints, and returns the changes of the replicated quarantine to propose now; none
    /// unless this keeper leads.
    pub(crate) fn update_quarantine(&mut self, state: &State) -> Vec<Command> {
        let now = self.now();
        let Some(leadership) = &mut self.leadership else { return Vec::new() };
        if leadership.quarantine.evaluate(now) {
            self.broadcast_quarantine(state);
        }
        self.start_probes();
        let Some(leadership) = &mut self.leadership else { return Vec::new() };
        leadership.quarantine.commands(state.quarantine(), now)
    }

    pub(crate) fn welcome(&self) -> Welcome {
        Welcome {
            leads: self.status.leads,
            members: self.status.members.clone(),
            gates: self.links.gate_count(),
            revision: Revision::CURRENT,
        }
    }

    /// Registers the node behind a link and sends it the current state.
    pub(crate) fn handle_hello(
        &mut self,
        link_id: u64,
        hello: Hello,
        link: &Link<Frame>,
        state: &State,
    ) {
        let is_gate = hello.front.is_some();
        let revision = hello.revision;
        if let Some(leadership) = &mut self.leadership {
            leadership.ledger.add_gate(&hello.node);
        }
        if !self.links.insert(link_id, hello, link) {
            return;
        }
        if is_gate && self.leadership.is_some() {
            self.links.broadcast_to_gates(&Frame::Welcome(self.welcome()));
        } else {
            link.send(Frame::Welcome(self.welcome()));
        }
        let Some(leadership) = &self.leadership else { return };
        if !is_gate {
            link.send(Frame::Registry(Box::new(self.registry.clone())));
            self.send_totals(link, revision);
            return;
        }
        // Before the plan, without which the gate serves no requests.
        link.send(Frame::Limits(leadership.limits.list()));
        link.send(Frame::Quarantine(leadership.quarantine.subjects(state.quarantine())));
        if let Some(frame) = state.plan_frame(revision) {
            link.send(frame);
        }
        link.send(Frame::Versions(state.versions()));
        link.send(Frame::Endpoints(self.registry.endpoints()));
        link.send(Frame::Holds(leadership.holdings.clone()));
    }

    /// Removes a closed link. If it was a gate's, the scheduler drops the gate's requests; the gate
    /// reports those still running when it reconnects.
    pub(crate) fn handle_link_down(&mut self, link_id: u64) {
        let now = self.now();
        let gates = self.links.gate_count();
        let node = self.links.remove(link_id, now);
        if let Some(node) = &node {
            base::event!(WARN, Event::LinkDown, peer = %node.hello.node);
        }
        if let Some(leadership) = &mut self.leadership {
            if let Some(node) = node.filter(|node| self.links.is_absent(&node.hello.node)) {
                leadership.ledger.remove_gate(&node.hello.node, gates, now);
            }
            leadership.scheduler.gate_disconnected(link_id, now);
            leadership.balancer.gate_lost(link_id, now);
            self.send_placements();
        }
    }

    /// Records an endpoint's announcement; returns whether the endpoints changed. Only called on the
    /// leader. One that has departed remains so, because the announcement may have been delayed.
    pub(crate) fn announce(
        &mut self,
        mut announcement: Announcement,
        departed: &departed::List,
    ) -> bool {
        let now = self.now();
        let id = announcement.id.clone();
        let is_engine = announcement.held.is_some();
        if announcement.state == endpoint::State::Ready && departed.includes(&id, announcement.born)
        {
            announcement.state = endpoint::State::Draining(None);
        }
        if let Some(leadership) = &mut self.leadership {
            leadership.quarantine.endpoint_announced(&id, announcement.born, now);
            leadership.leaving.mark_draining(&mut announcement);
        }
        self.departures.announced(&id, announcement.born, announcement.state, now);
        let change = self.registry.announce(announcement, now);
        self.notify_lost();
        match change {
            Change::None => return false,
            Change::Joined => {
                let known = self.registry.get(&id);
                if let (true, Some(leadership), Some(known)) =
                    (is_engine, &mut self.leadership, known)
                {
                    leadership.add_engine(known, now);
                }
            }
            Change::Left => {}
        }
        self.registry_changed(now);
        true
    }

    /// Removes an endpoint that leaves; returns whether the endpoints changed. Ignored if `born` is an
    /// earlier start than the known one.
    pub(crate) fn leave(&mut self, id: &Name, born: Option<u64>) -> bool {
        let now = self.now();
        let known = self.registry.get(id).map(|known| known.born);
        let changed = self.registry.leave(id, born) != Change::None;
        if let (true, Some(born)) = (changed, known)
            && self.departures.left(id, born, now)
            && let Some(leadership) = &mut self.leadership
        {
            leadership.quarantine.endpoint_left(id, born);
        }
        if changed {
            self.registry_changed(now);
        }
        changed
    }

    /// Returns the only build of a service in the time in which a stream that has not ended can have begun.
    /// Only known to a leader that has led for that time: a former one may not have passed on its last announcements.
    pub(crate) fn sole_build(&self, service: &str, state: &State) -> Option<Name> {
        let now = self.now();
        let routes = &state.plan.as_ref()?.routes;
        let longest = routes.iter().map(|route| route.timeout).max()?;
        let window = longest + origin::GRACE;
        let known =
            self.leadership.as_ref().is_some_and(|leadership| now >= leadership.since + window);
        known.then(|| self.registry.sole_build(service, window, now).cloned()).flatten()
    }

    /// Replaces the registry by the leader's. Ignored while this keeper leads.
    pub(crate) fn replace_registry(&mut self, registry: Registry) {
        if self.leadership.is_none() {
            self.registry = registry;
            self.registry_changes += 1;
        }
    }

    /// Sends each gate its peers. Ignored unless this keeper leads.
    pub(crate) fn send_peers(&mut self) {
        if self.leadership.is_some() {
            self.links.send_peers();
        }
    }

    /// Removes endpoints that have not announced themselves within `endpoint_timeout`.
    pub(crate) fn expire_endpoints(&mut self) {
        let now = self.now();
        let stalled = now > self.last_expiry_check + MAINTENANCE_INTERVAL * 4;
        self.last_expiry_check = now;
        if stalled {
            // This process was stalled (for example suspended), so missing announcements prove
            // nothing.
            self.registry.refresh_all(now);
        }
        if self.leadership.is_some() && !self.registry.expire(self.endpoint_timeout, now).is_empty()
        {
            self.notify_lost();
            self.registry_changed(now);
        }
    }

    /// Brings the scheduler in line with the registry. The next scheduler round sends
    /// the endpoints to all nodes, once for all changes since the last one.
    pub(crate) fn registry_changed(&mut self, now: Duration) {
        if let Some(leadership) = &mut self.leadership {
            let gone = leadership.scheduler.engines().filter(|id| {
                let known = self.registry.get(id);
                known.is_none_or(|known| known.state != endpoint::State::Ready)
            });
            let gone: Vec<Name> = gone.cloned().collect();
            let known = |id: &Name| self.registry.get(id).map(|known| known.born);
            leadership.limits.expire(known, now);
            leadership.leaving.expire(known, now);
            for id in gone {
                leadership.scheduler.remove_engine(&id, now);
                leadership.holdings.retain(|holding| holding.endpoint != id);
            }
        }
        self.update_balancer();
        self.changes += 1;
        self.registry_changes += 1;
    }

    fn broadcast_endpoints(&mut self) {
        self.sent_changes = self.changes;
        if self.leadership.is_none() {
            return;
        }
        self.links.broadcast_to_gates(&Frame::Endpoints(self.registry.endpoints()));
        self.links.broadcast_to_keepers(&Frame::Registry(Box::new(self.registry.clone())));
    }

    /// Returns the scheduler's pending actions, after sending changes of the endpoints to all nodes
    /// and changes of what engines hold to the gates.
    pub(crate) fn poll_scheduler(&mut self) -> Vec<Action> {
        let now = self.now();
        if self.sent_changes != self.changes {
            self.broadcast_endpoints();
        }
        let Some(leadership) = &mut self.leadership else { return Vec::new() };
        let (actions, holdings) = leadership.poll(now);
        if !holdings.is_empty() {
            self.links.broadcast_to_gates(&Frame::Holds(holdings));
        }
        actions
    }
}
