//! The state of a keeper that exists only while it is the leader.

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
use crate::permit::Limits;
use crate::permit::Permits;
use crate::permit::Waiter;
use crate::request::Reply;

/// The low bits of a read token, a counter within the term; the high bits are the term.
const TOKEN_COUNTER_BITS: u32 = 32;

/// The origin of a proposal that is not applied yet, with the receiver of the reply.
#[derive(Debug)]
pub(crate) enum Proposal {
    /// The caller of `submit`.
    Submit(Reply<Outcome>),
    /// A gate that joins by its first renewal.
    Join(Box<Renewal>, Reply<Grant>),
    /// A gate that releases its lease.
    Leave(Reply<Grant>),
    /// The rebalancing of endpoints; no further move is proposed until it is applied.
    Move,
}

/// A read that a majority has not confirmed yet, with the receiver of the reply.
#[derive(Debug)]
pub(crate) enum Read {
    /// A gate that renews its lease, with the view revision that it has applied.
    Renew(Name, Incarnation, u64, Reply<Grant>),
    /// A call that reads the view.
    View(Reply<View>),
}

/// The state of a leader; dropped when the leadership ends.
#[derive(Debug)]
pub(crate) struct Leadership {
    /// The term of the leadership.
    pub(crate) term: u64,
    /// The proposals that are not applied yet, by log index.
    pub(crate) proposals: Map<Index, Proposal>,
    /// The reads that are not confirmed yet, by token.
    pub(crate) reads: Map<u64, Read>,
    /// The last read token. It combines the term and a counter, so that tokens are unique across terms.
    last_token: u64,
    /// The leases of the gates.
    pub(crate) leases: Leases,
    /// The permits to load adapters.
    pub(crate) permits: Permits<Reply<Permit>>,
    /// The earliest time of the next rebalancing step.
    pub(crate) next_balance: Duration,
    /// The view revision that must be in force before the next move of an endpoint; `None` while a move is
    /// proposed.
    pub(crate) move_barrier: Option<u64>,
    /// The revision of the last configuration that was logged as in force.
    logged_configuration: u64,
}

impl Leadership {
    /// Creates the state for a new term. Every gate of the view is treated as renewed now, since the renewals
    /// received by the previous leader are not known.
    pub(crate) fn new(config: &Config, term: u64, view: &View, now: Duration) -> Leadership {
        let lease_timeout = config.timing.lease_timeout();
        let mut leases = Leases::new(lease_timeout);
        leases.sync(view, now);
        let limits = Limits {
            loads_per_second: config.store.loads_per_second,
            max_in_flight: config.store.in_flight as usize,
        };
        let opens_at = now + lease_timeout.max(permit::interval(limits.loads_per_second));
        Leadership {
            term,
            proposals: Map::default(),
            reads: Map::default(),
            last_token: term << TOKEN_COUNTER_BITS,
            leases,
            permits: Permits::new(limits, term, opens_at),
            next_balance: now + lease_timeout,
            move_barrier: Some(view.revision),
            logged_configuration: 0,
        }
    }

    /// Adds a read and returns its token.
    pub(crate) fn add_read(&mut self, read: Read) -> u64 {
        self.last_token += 1;
        self.reads.insert(self.last_token, read);
        self.last_token
    }

    /// Queues a bid for a permit, or replies with a fault.
    pub(crate) fn request_permit(&mut self, bid: Bid, now: Duration, reply: Reply<Permit>) {
        if !self.leases.holds(&bid.gate, bid.incarnation) {
            // A new leader may not have applied the command by which the gate joined.
            reply.send(Err(Fault::Busy)).ok();
            return;
        }
        let waiter = Waiter {
            gate: bid.gate,
            incarnation: bid.incarnation,
            worth: bid.worth,
            queued_at: now,
            expires_at: now + Duration::from_millis(bid.patience_ms),
            reply,
        };
        if let Err(reply) = self.permits.enqueue(waiter) {
            reply.send(Err(Fault::Busy)).ok();
        }
    }

    /// Grants as many permits as the limits of the weight store allow now, and replies to bids that expired or
    /// whose gate lost its lease.
    pub(crate) fn grant_permits(&mut self, now: Duration) {
        let leases = &self.leases;
        let ended = self.permits.retain_leased(|gate, incarnation| leases.holds(gate, incarnation));
        ended.into_iter().for_each(|reply| drop(reply.send(Err(Fault::LeaseEnded))));
        let expired = self.permits.take_expired(now);
        expired.into_iter().for_each(|reply| drop(reply.send(Err(Fault::Busy))));
        self.permits.remove_closed(|reply| reply.is_closed());
        while let Some((id, reply)) = self.permits.grant(now) {
            if reply.send(Ok(Permit { id })).is_err() {
                self.permits.release(id);
            }
        }
    }

    /// Logs the configuration when it is in force at every gate.
    pub(crate) fn log_in_force(&mut self, view: &View) {
        let is_in_force = self.leases.in_force(view.revision) >= view.configuration;
        if is_in_force && view.configuration > self.logged_configuration {
            self.logged_configuration = view.configuration;
            base::event!(INFO, Event::ConfigurationInForce, revision = view.configuration);
        }
    }

    /// Replies with faults to all pending calls after the loss of the leadership; `leader` is the new leader,
    /// if known. The outcome of submitted commands is unknown, since they may still be committed.
    pub(crate) fn fail_pending(self, leader: Option<Name>) {
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
        for reply in self.permits.into_replies() {
            reply.send(Err(Fault::NotLeader { leader: leader.clone() })).ok();
        }
    }
}
