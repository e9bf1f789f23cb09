//! Request handling of the driver.

use std::time::Duration;

use base::Code;
use base::Event;
use base::Name;
use bytes::Bytes;
use raft::message::Index;
use raft::message::Member;
use state::Command;
use state::Outcome;
use state::command::Incarnation;
use state::view::Gate;
use wire::keeper::Fault;
use wire::keeper::Grant;
use wire::keeper::Renewal;
use wire::keeper::Update;

use crate::balance;
use crate::driver::Driver;
use crate::leadership::Leadership;
use crate::leadership::Proposal;
use crate::leadership::Read;
use crate::lease::Rejection;
use crate::request::Reply;
use crate::request::Request;

/// The maximum number of pending commands; further ones are rejected as busy.
const MAX_PROPOSALS: usize = 8_192;
/// The minimum interval between two rebalancing steps.
const BALANCE_INTERVAL: Duration = Duration::from_millis(250);

impl Driver {
    /// Executes a request, or registers the caller to be answered later.
    pub(crate) fn handle(&mut self, request: Request) {
        match request {
            Request::Deliver(envelope) => self.deliver(envelope),
            Request::Install(chunk) => {
                if let Some(envelope) = self.assembler.add(*chunk) {
                    self.deliver(envelope);
                }
            }
            Request::Status(reply) => drop(reply.send(self.status())),
            Request::Member(reply) => drop(reply.send(self.is_member())),
            Request::Stop => self.stop_requested = Some(self.clock.now()),
            Request::Settle(permit) => {
                if let Some(leadership) = &mut self.leadership {
                    leadership.permits.release(permit);
                }
            }
            Request::Enroll(member, reply) => self.enroll(member, reply),
            Request::Renew(renewal, reply) => self.renew(renewal, reply),
            Request::Submit(command, reply) => self.submit(command, reply),
            Request::View(reply) => self.read(reply, Read::View),
            Request::Permit(bid, reply) => {
                let now = self.clock.now();
                match &mut self.leadership {
                    Some(leadership) => leadership.request_permit(bid, now, reply),
                    None => drop(reply.send(Err(self.not_leader()))),
                }
            }
        }
    }

    /// Performs the periodic tasks of a leader: grants permits, expires leases and rebalances endpoints.
    pub(crate) fn run_leader_tasks(&mut self) {
        let now = self.clock.now();
        let Some(leadership) = &mut self.leadership else { return };
        leadership.grant_permits(now);
        leadership.log_in_force(self.machine.view());
        for (gate, incarnation) in leadership.leases.take_expired(now) {
            base::event!(INFO, Event::LeaseExpired, %gate, incarnation);
            self.propose(&Command::Expire { gate, incarnation });
        }
        self.balance(now);
    }

    /// Proposes the next rebalancing step, unless the last one is not in force yet or the distribution is even.
    fn balance(&mut self, now: Duration) {
        let view = self.machine.view();
        let Some(leadership) = &mut self.leadership else { return };
        let in_force = leadership.leases.in_force(view.revision);
        let is_settled = leadership.move_barrier.is_some_and(|revision| in_force >= revision);
        if now < leadership.next_balance || !is_settled {
            return;
        }
        leadership.next_balance = now + BALANCE_INTERVAL;
        if let Some(command) = balance::next_move(view) {
            leadership.move_barrier = None;
            self.propose_tracked(&command, Proposal::Move);
        }
    }

    fn enroll(&mut self, member: Member, reply: Reply<()>) {
        let added = self.node.add_learner(member);
        reply.send(added.map_err(|_| self.not_leader())).ok();
    }

    fn submit(&mut self, command: Command, reply: Reply<Outcome>) {
        if self.stop_requested.is_some() {
            reply.send(Err(Fault::NotLeader { leader: None })).ok();
            return;
        }
        let is_full = |leadership: &Leadership| leadership.proposals.len() >= MAX_PROPOSALS;
        if self.leadership.as_ref().is_some_and(is_full) {
            reply.send(Err(Fault::Busy)).ok();
            return;
        }
        if matches!(command, Command::Join { .. } | Command::Expire { .. }) {
            let revision = self.machine.view().configuration;
            let detail = "only the leader starts and ends leases".to_owned();
            reply.send(Ok(Outcome::Refused { code: Code::Invalid, detail, revision })).ok();
            return;
        }
        let stamped = set_wall_time(command, self.clock.wall_ms());
        self.propose_tracked(&stamped, Proposal::Submit(reply));
    }

    /// Records a renewal and grants it after a majority has confirmed that this keeper still leads. A gate that
    /// is not in the view joins first.
    fn renew(&mut self, renewal: Renewal, reply: Reply<Grant>) {
        if renewal.leave {
            return self.leave(&renewal, reply);
        }
        let now = self.clock.now();
        let Some(leadership) = &mut self.leadership else {
            reply.send(Err(self.not_leader())).ok();
            return;
        };
        let (gate, incarnation) = (renewal.gate.name.clone(), renewal.gate.incarnation);
        match leadership.leases.renew(&gate, incarnation, renewal.applied, now) {
            Ok(()) => {
                self.read(reply, |reply| Read::Renew(gate, incarnation, renewal.applied, reply));
            }
            Err(Rejection::Ended) => drop(reply.send(Err(Fault::LeaseEnded))),
            Err(Rejection::Unknown) if self.is_held_at_other_addresses(&renewal) => {
                reply.send(Err(Fault::Busy)).ok();
            }
            Err(Rejection::Unknown) => {
                let command = Command::Join { gate: renewal.gate.clone() };
                self.propose_tracked(&command, Proposal::Join(Box::new(renewal), reply));
            }
        }
    }

    /// Returns whether an incarnation at other addresses has the lease of this gate.
    ///
    /// An incarnation at the same addresses has ended, or the new one could not listen there. One at other
    /// addresses may still be running, so its lease must expire first.
    fn is_held_at_other_addresses(&self, renewal: &Renewal) -> bool {
        let addresses = |gate: &Gate| (gate.address.clone(), gate.peer.clone(), gate.relay.clone());
        let current = self.machine.view().gates.get(&renewal.gate.name);
        current.is_some_and(|current| addresses(current) != addresses(&renewal.gate))
    }

    /// Ends a lease that its holder releases.
    fn leave(&mut self, renewal: &Renewal, reply: Reply<Grant>) {
        let (gate, incarnation) = (renewal.gate.name.clone(), renewal.gate.incarnation);
        let held = self
            .leadership
            .as_mut()
            .map(|leadership| leadership.leases.release(&gate, incarnation));
        match held {
            None => drop(reply.send(Err(self.not_leader()))),
            Some(false) => drop(reply.send(Err(Fault::LeaseEnded))),
            Some(true) => {
                let command = Command::Expire { gate, incarnation };
                self.propose_tracked(&command, Proposal::Leave(reply));
            }
        }
    }

    /// Starts a read, which completes after a majority has confirmed this leader.
    fn read<T>(&mut self, reply: Reply<T>, make: impl FnOnce(Reply<T>) -> Read) {
        let Some(leadership) = &mut self.leadership else {
            reply.send(Err(self.not_leader())).ok();
            return;
        };
        let token = leadership.add_read(make(reply));
        // If this fails, the node has stepped down, and the end of the leadership fails all pending reads.
        self.node.read(token).ok();
    }

    /// Replies to a read that a majority has confirmed.
    pub(crate) fn complete_read(&mut self, token: u64) {
        let view = self.machine.view();
        let Some(leadership) = &mut self.leadership else { return };
        match leadership.reads.remove(&token) {
            Some(Read::View(reply)) => drop(reply.send(Ok(view.clone()))),
            Some(Read::Renew(gate, incarnation, applied, reply)) => {
                let result = match leadership.leases.holds(&gate, incarnation) {
                    true => Ok(Grant {
                        lease_ms: self.config.timing.lease_ms,
                        update: self.history.update(applied, view),
                        in_force: leadership.leases.in_force(view.revision),
                    }),
                    false => Err(Fault::LeaseEnded),
                };
                reply.send(result).ok();
            }
            None => {}
        }
    }

    /// Replies to the caller of a proposal after an entry of `term` was applied at its index. The outcome is
    /// that of the proposal only if the term is the one of this leadership.
    pub(crate) fn complete_proposal(&mut self, proposal: Proposal, term: u64, outcome: Outcome) {
        let is_same_term =
            self.leadership.as_ref().is_some_and(|leadership| leadership.term == term);
        match proposal {
            Proposal::Submit(reply) if is_same_term => drop(reply.send(Ok(outcome))),
            Proposal::Submit(reply) => drop(reply.send(Err(Fault::Unknown))),
            Proposal::Leave(reply) => {
                let (update, in_force) = (Update::Deltas(Vec::new()), self.in_force());
                reply.send(Ok(Grant { lease_ms: 0, update, in_force })).ok();
            }
            Proposal::Join(renewal, reply) => self.finish_join(*renewal, reply, &outcome),
            Proposal::Move => {
                let revision = self.machine.view().revision;
                if let Some(leadership) = &mut self.leadership {
                    leadership.move_barrier = Some(revision);
                }
            }
        }
    }

    /// Continues the renewal of a gate that has joined.
    fn finish_join(&mut self, renewal: Renewal, reply: Reply<Grant>, outcome: &Outcome) {
        if matches!(outcome, Outcome::Refused { .. }) {
            reply.send(Err(Fault::LeaseEnded)).ok();
            return;
        }
        self.record_join(&renewal.gate.name, renewal.gate.incarnation);
        // The view that the gate had before it joined is partly outdated, so it gets the whole view.
        self.renew(Renewal { applied: 0, ..renewal }, reply);
    }

    fn record_join(&mut self, gate: &Name, incarnation: Incarnation) {
        let revision = self.machine.view().revision;
        if let Some(leadership) = &mut self.leadership {
            leadership.leases.join(gate, incarnation, revision);
        }
    }

    /// Proposes a command and registers the proposal, or fails it if this keeper is not the leader.
    fn propose_tracked(&mut self, command: &Command, proposal: Proposal) {
        match (self.propose(command), &mut self.leadership) {
            (Some(index), Some(leadership)) => drop(leadership.proposals.insert(index, proposal)),
            _ => {
                let fault = self.not_leader();
                match proposal {
                    Proposal::Submit(reply) => drop(reply.send(Err(fault))),
                    Proposal::Join(_, reply) | Proposal::Leave(reply) => {
                        reply.send(Err(fault)).ok();
                    }
                    Proposal::Move => {}
                }
            }
        }
    }

    /// Proposes a command and returns its log index, or `None` if this keeper is not the leader.
    fn propose(&mut self, command: &Command) -> Option<Index> {
        let bytes = postcard::to_stdvec(command).expect("a command can be encoded");
        self.node.propose(Bytes::from(bytes)).ok()
    }
}

/// Sets the time of a command to the wall clock of the leader.
fn set_wall_time(mut command: Command, wall_ms: u64) -> Command {
    match &mut command {
        Command::Configure(configure) => configure.now_ms = wall_ms,
        Command::Claim { now_ms, .. }
        | Command::Finish { now_ms, .. }
        | Command::Implicate { now_ms, .. } => *now_ms = wall_ms,
        _ => {}
    }
    command
}
