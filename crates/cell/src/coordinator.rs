//! What a keeper knows beside the replicated state, and its scheduler while it leads.

use std::time::Duration;

use base::Event;
use base::Name;
use fleet::endpoint::Announcement;
use fleet::message::Frame;
use fleet::message::Hello;
use fleet::message::Holding;
use fleet::message::Welcome;
use fleet::registry::Change;
use fleet::registry::Registry;
use link::Link;
use sched::Scheduler;
use sched::action::Action;
use tokio::time::Instant;

use crate::links::Links;
use crate::replica::Status;
use crate::settings::UPKEEP;
use crate::state::State;

/// A leader's scheduler.
#[derive(Debug)]
pub(crate) struct Leadership {
    pub(crate) term: u64,
    pub(crate) scheduler: Scheduler,
    /// What each engine holds, as it was told to the gates.
    holdings: Vec<Holding>,
}

/// What a keeper knows beside the replicated state.
#[derive(Debug)]
pub(crate) struct Coordinator {
    started: Instant,
    pub(crate) links: Links,
    pub(crate) registry: Registry,
    pub(crate) status: Status,
    pub(crate) leadership: Option<Leadership>,
    settings: sched::settings::Settings,
    endpoint_timeout: Duration,
    /// When silent endpoints were looked for last.
    looked: Duration,
    /// The version of the plan that the gates were told.
    told_plan: Option<u64>,
    told_versions: usize,
}

impl Coordinator {
    pub(crate) fn new(
        settings: sched::settings::Settings,
        endpoint_timeout: Duration,
    ) -> Coordinator {
        Coordinator {
            started: Instant::now(),
            links: Links::default(),
            registry: Registry::default(),
            status: Status::default(),
            leadership: None,
            settings,
            endpoint_timeout,
            looked: Duration::ZERO,
            told_plan: None,
            told_versions: 0,
        }
    }

    /// Returns the time since the start.
    pub(crate) fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Takes a change of the replica: who leads, who is a member, what is in force.
    pub(crate) fn follow(&mut self, status: Status, state: &State) {
        let former = std::mem::replace(&mut self.status, status);
        if former.leads != self.status.leads {
            self.leadership = self.status.leads.map(|term| self.lead(term, state));
        }
        if former.leads != self.status.leads || former.members != self.status.members {
            let welcome = Frame::Welcome(self.welcome());
            self.links.tell_gates(&welcome);
            self.links.tell_keepers(&welcome);
        }
        if self.leadership.is_some() {
            if former.leads != self.status.leads {
                self.told_plan = None;
                self.told_versions = 0;
                self.tell_endpoints();
            }
            self.tell_state(state);
        }
    }

    /// Starts to lead.
    fn lead(&mut self, term: u64, state: &State) -> Leadership {
        let now = self.now();
        // Nothing was heard by this keeper while another one led.
        self.registry.refresh_all(now);
        let mut scheduler = Scheduler::new(self.settings.clone());
        if let Some(plan) = &state.plan {
            scheduler.set_plan(plan);
        }
        for version in state.versions() {
            scheduler.set_version(&version);
        }
        for announcement in self.registry.ready().filter(|one| one.held.is_some()) {
            scheduler.engine_announced(announcement, now);
        }
        base::event!(INFO, Event::LeaderElected, term, "schedules from now on");
        Leadership { term, scheduler, holdings: Vec::new() }
    }

    /// Tells the gates and the scheduler what came into force.
    fn tell_state(&mut self, state: &State) {
        let version = state.plan.as_ref().map(|plan| plan.version);
        if self.told_plan != version
            && let Some(plan) = &state.plan
        {
            self.told_plan = version;
            self.links.tell_gates(&Frame::Plan(plan.clone()));
            if let Some(leadership) = &mut self.leadership {
                leadership.scheduler.set_plan(plan);
            }
        }
        let versions = state.versions();
        let sum: usize = versions.iter().map(|version| version.version as usize).sum();
        if self.told_versions != sum {
            self.told_versions = sum;
            if let Some(leadership) = &mut self.leadership {
                for version in &versions {
                    leadership.scheduler.set_version(version);
                }
            }
            self.links.tell_gates(&Frame::Versions(versions));
        }
    }

    pub(crate) fn welcome(&self) -> Welcome {
        Welcome { leads: self.status.leads, members: self.status.members.clone() }
    }

    /// Takes a node's word on who it is.
    pub(crate) fn greet(&mut self, number: u64, hello: Hello, link: &Link<Frame>, state: &State) {
        let gate = hello.front.is_some();
        if !self.links.greet(number, hello, link) {
            return;
        }
        link.send(Frame::Welcome(self.welcome()));
        let Some(leadership) = &self.leadership else { return };
        if !gate {
            link.send(Frame::Registry(Box::new(self.registry.clone())));
            return;
        }
        if let Some(plan) = &state.plan {
            link.send(Frame::Plan(plan.clone()));
        }
        link.send(Frame::Versions(state.versions()));
        link.send(Frame::Endpoints(self.registry.endpoints()));
        link.send(Frame::Holds(leadership.holdings.clone()));
    }

    /// Notes that a link was lost.
    pub(crate) fn lose(&mut self, number: u64) {
        let now = self.now();
        if let Some(node) = self.links.remove(number) {
            base::event!(WARN, Event::LinkDown, peer = %node.hello.node);
        }
        if let Some(leadership) = &mut self.leadership {
            leadership.scheduler.gate_disconnected(number, now);
        }
    }

    /// Takes an endpoint's announcement; only a leader does.
    pub(crate) fn announce(&mut self, announcement: Announcement) {
        let now = self.now();
        let id = announcement.id.clone();
        let engine = announcement.held.is_some();
        let change = self.registry.announce(announcement, now);
        match change {
            Change::None => return,
            Change::Joined => {
                let known = self.registry.get(&id);
                if let (true, Some(leadership), Some(known)) = (engine, &mut self.leadership, known)
                {
                    leadership.scheduler.engine_announced(known, now);
                }
            }
            Change::Left => {}
        }
        self.changed(now);
    }

    /// Takes an endpoint's word that it leaves.
    pub(crate) fn leave(&mut self, id: &Name, born: Option<u64>) {
        let now = self.now();
        if self.registry.leave(id, born) != Change::None {
            self.changed(now);
        }
    }

    /// Takes the registry of the leader.
    pub(crate) fn adopt(&mut self, registry: Registry) {
        if self.leadership.is_none() {
            self.registry = registry;
        }
    }

    /// Removes the endpoints that fell silent.
    pub(crate) fn expire(&mut self) {
        let now = self.now();
        let slept = now > self.looked + UPKEEP * 4;
        self.looked = now;
        if slept {
            // This process stood still, so what it did not hear says nothing.
            self.registry.refresh_all(now);
        }
        if self.leadership.is_some() && !self.registry.expire(self.endpoint_timeout, now).is_empty()
        {
            self.changed(now);
        }
    }

    /// Brings the scheduler and all nodes up to the registry.
    fn changed(&mut self, now: Duration) {
        if let Some(leadership) = &mut self.leadership {
            let gone = leadership.scheduler.engines().filter(|id| {
                let known = self.registry.get(id);
                known.is_none_or(|known| known.state != fleet::endpoint::State::Ready)
            });
            let gone: Vec<Name> = gone.cloned().collect();
            for id in gone {
                leadership.scheduler.remove_engine(&id, now);
                leadership.holdings.retain(|holding| holding.endpoint != id);
            }
        }
        self.tell_endpoints();
    }

    fn tell_endpoints(&self) {
        if self.leadership.is_none() {
            return;
        }
        self.links.tell_gates(&Frame::Endpoints(self.registry.endpoints()));
        self.links.tell_keepers(&Frame::Registry(Box::new(self.registry.clone())));
    }

    /// Takes what the scheduler wants done; what concerns gates is done at once, the rest is returned.
    pub(crate) fn actions(&mut self) -> Vec<Action> {
        let now = self.now();
        let Some(leadership) = &mut self.leadership else { return Vec::new() };
        let actions = leadership.scheduler.poll(now);
        let mut holds = Vec::new();
        let mut left = Vec::new();
        for action in actions {
            match action {
                Action::Publish(holding) => {
                    leadership.holdings.retain(|known| {
                        (&known.endpoint, &known.adapter) != (&holding.endpoint, &holding.adapter)
                    });
                    if holding.held {
                        leadership.holdings.push(holding.clone());
                    }
                    holds.push(holding);
                }
                action => left.push(action),
            }
        }
        if !holds.is_empty() {
            self.links.tell_gates(&Frame::Holds(holds));
        }
        left
    }
}
