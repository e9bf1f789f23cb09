//! The state of a keeper while it leads.

use std::time::Duration;

use base::Name;
use capacity::Balancer;
use fleet::endpoint::Announcement;
use fleet::message::Holding;
use quota::Ledger;
use sched::Scheduler;
use sched::action::Action;

use crate::leaving::Leaving;
use crate::limits::Limits;
use crate::quarantine::Quarantine;

/// The scheduler of a keeper that leads, with the state that it shares with the gates.
#[derive(Debug)]
pub(crate) struct Leadership {
    pub(crate) term: u64,
    /// When it began.
    pub(crate) since: Duration,
    pub(crate) scheduler: Scheduler,
    pub(crate) quarantine: Quarantine,
    pub(crate) limits: Limits,
    /// What tenants have spent of their quotas.
    pub(crate) ledger: Ledger,
    pub(crate) leaving: Leaving,
    /// Places the calls of plain services. Starts empty; gates report their calls in progress to a new leader.
    pub(crate) balancer: Balancer,
    /// Which adapters each engine holds, as last sent to the gates.
    pub(crate) holdings: Vec<Holding>,
    /// Holdings that engines announced, to be sent to the gates with the next scheduler round. Gates that lose the leader
    /// before it has inspected an engine rely on them.
    announced: Vec<Holding>,
}

impl Leadership {
    /// Creates the leadership of a term that begins at `since`.
    pub(crate) fn new(
        term: u64,
        scheduler: Scheduler,
        ledger: Ledger,
        since: Duration,
    ) -> Leadership {
        Leadership {
            term,
            since,
            scheduler,
            quarantine: Quarantine::default(),
            limits: Limits::default(),
            ledger,
            leaving: Leaving::default(),
            balancer: Balancer::default(),
            holdings: Vec::new(),
            announced: Vec::new(),
        }
    }

    /// Adds an engine that announced itself.
    pub(crate) fn add_engine(&mut self, announcement: &Announcement, now: Duration) {
        self.scheduler.engine_announced(announcement, now);
        let models = announcement.held.iter().flatten();
        let adapters = models.flat_map(|model| {
            let adapters = model.adapters.iter().map(|adapter| adapter.name.clone());
            std::iter::once(Name::default()).chain(adapters)
        });
        let holding = |adapter| Holding { endpoint: announcement.id.clone(), adapter, held: true };
        self.announced.extend(adapters.map(holding));
        for limit in self.limits.list() {
            self.scheduler.set_limit(&limit, now);
        }
    }

    /// Runs the scheduler; returns its actions, and the changes of what engines hold.
    pub(crate) fn poll(&mut self, now: Duration) -> (Vec<Action>, Vec<Holding>) {
        let mut actions = Vec::new();
        let mut changes = std::mem::take(&mut self.announced);
        for action in self.scheduler.poll(now) {
            match action {
                Action::Publish(holding) => changes.push(holding),
                action => actions.push(action),
            }
        }
        for change in &changes {
            self.holdings.retain(|known| {
                (&known.endpoint, &known.adapter) != (&change.endpoint, &change.adapter)
            });
            if change.held {
                self.holdings.push(change.clone());
            }
        }
        (actions, changes)
    }
}
