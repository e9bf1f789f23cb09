//! What a keeper keeps only while it leads.

use std::time::Duration;

use base::Event;
use base::Map;
use base::Name;
use conf::Config;
use raft::message::Index;
use state::Outcome;
use state::View;
use state::command::Incarnation;
use wire::keeper::Bid;
use wire::keeper::Fault;
use wire::keeper::Grant;
use wire::keeper::Permit;
use wire::keeper::Renewal;

use crate::lease::Leases;
use crate::permit;
use crate::permit::Permits;
use crate::permit::Rate;
use crate::permit::Waiting;
use crate::request::Reply;

/// The bits of a read's token that count within a term.
const TOKEN_BITS: u32 = 32;

/// Who waits for a proposal to be applied.
#[derive(Debug)]
pub(crate) enum Proposal {
    /// The caller of `submit`.
    Submit(Reply<Outcome>),
    /// A gate that joins.
    Join(Box<Renewal>, Reply<Grant>),
    /// A gate that gives its lease back.
    Leave(Reply<Grant>),
    /// The balance of the shares; nobody else moves an endpoint meanwhile.
    Move,
}

/// Who waits for a read to be confirmed.
#[derive(Debug)]
pub(crate) enum Read {
    /// A gate that renews its lease.
    Renew(Name, Incarnation, u64, Reply<Grant>),
    /// A reader of the view.
    View(Reply<View>),
}

/// What a keeper keeps only while it leads; it is dropped with the leadership.
#[derive(Debug)]
pub(crate) struct Leading {
    /// The term in which it leads.
    pub(crate) term: u64,
    /// The proposals that are not applied yet, by index.
    pub(crate) proposals: Map<Index, Proposal>,
    /// The reads that are not confirmed yet.
    pub(crate) reads: Map<u64, Read>,
    /// The last token of a read: the term and a count within it, so that none is used twice.
    token: u64,
    /// The gates' leases.
    pub(crate) leases: Leases,
    /// The permits to load.
    pub(crate) permits: Permits<Reply<Permit>>,
    /// When the shares of the gates are looked at next.
    pub(crate) balance: Duration,
    /// The revision that must be in force before an endpoint is moved; none while a move is proposed.
    pub(crate) moved: Option<u64>,
    /// The configuration's revision that was last reported in force.
    reported: u64,
}

impl Leading {
    /// Starts to lead in a term: every gate of the view counts as renewed now.
    pub(crate) fn new(config: &Config, term: u64, view: &View, now: Duration) -> Leading {
        let end = config.timing.lease_timeout();
        let mut leases = Leases::new(end);
        leases.follow(view, now);
        let rate = Rate {
            per_second: config.store.loads_per_second,
            in_flight: config.store.in_flight as usize,
        };
        let open = now + end.max(permit::interval(rate.per_second));
        Leading {
            term,
            proposals: Map::default(),
            reads: Map::default(),
            token: term << TOKEN_BITS,
            leases,
            permits: Permits::new(rate, term, open),
            balance: now + end,
            moved: Some(view.revision),
            reported: 0,
        }
    }

    /// Adds a read and returns its token.
    pub(crate) fn add_read(&mut self, read: Read) -> u64 {
        self.token += 1;
        self.reads.insert(self.token, read);
        self.token
    }

    /// Queues a wish to load.
    pub(crate) fn wish(&mut self, wish: Bid, now: Duration, reply: Reply<Permit>) {
        if !self.leases.holds(&wish.gate, wish.incarnation) {
            // A leader that has just been elected may not have applied the join yet.
            reply.send(Err(Fault::Busy)).ok();
            return;
        }
        let waiting = Waiting {
            gate: wish.gate,
            incarnation: wish.incarnation,
            worth: wish.worth,
            since: now,
            until: now + Duration::from_millis(wish.patience_ms),
            reply,
        };
        if let Err(reply) = self.permits.wish(waiting) {
            reply.send(Err(Fault::Busy)).ok();
        }
    }

    /// Grants what the weight store's limits allow now.
    pub(crate) fn grant(&mut self, now: Duration) {
        let leases = &self.leases;
        let ended = self.permits.retain(|gate, run| leases.holds(gate, run));
        ended.into_iter().for_each(|reply| drop(reply.send(Err(Fault::LeaseEnded))));
        let overdue = self.permits.overdue(now);
        overdue.into_iter().for_each(|reply| drop(reply.send(Err(Fault::Busy))));
        self.permits.discard(|reply| reply.is_closed());
        while let Some((id, reply)) = self.permits.grant(now) {
            if reply.send(Ok(Permit { id })).is_err() {
                self.permits.settle(id);
            }
        }
    }

    /// Logs a configuration that came into force.
    pub(crate) fn report(&mut self, view: &View) {
        let reached = self.leases.in_force(view.revision) >= view.configuration;
        if reached && view.configuration > self.reported {
            self.reported = view.configuration;
            base::event!(INFO, Event::ConfigurationInForce, revision = view.configuration);
        }
    }

    /// Tells all who wait that the leadership is lost; `leader` is the next one where it is known.
    pub(crate) fn fail(self, leader: Option<Name>) {
        for proposal in self.proposals.into_values() {
            match proposal {
                Proposal::Submit(reply) => drop(reply.send(Err(Fault::Unknown))),
                Proposal::Join(_, reply) | Proposal::Leave(reply) => {
                    reply.send(Err(Fault::NotLeader { leader: leader.clone() })).ok();
                }
                Proposal::Move => {}
            }
        }
        for read in self.reads.into_values() {
            let fault = Fault::NotLeader { leader: leader.clone() };
            match read {
                Read::Renew(_, _, _, reply) => drop(reply.send(Err(fault))),
                Read::View(reply) => drop(reply.send(Err(fault))),
            }
        }
        for reply in self.permits.into_waiting() {
            reply.send(Err(Fault::NotLeader { leader: leader.clone() })).ok();
        }
    }
}
