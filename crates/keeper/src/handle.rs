//! How the driver carries out requests.

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
use crate::leading::Leading;
use crate::leading::Proposal;
use crate::leading::Read;
use crate::lease::Refused;
use crate::request::Reply;
use crate::request::Request;

/// The commands that may wait for commit.
const PROPOSALS: usize = 8_192;
/// The time between two looks at the shares of the gates.
const BALANCE: Duration = Duration::from_millis(250);

impl Driver {
    /// Carries out a request, or notes who waits for it.
    pub(crate) fn handle(&mut self, request: Request) {
        match request {
            Request::Deliver(parcel) => self.deliver(parcel),
            Request::Install(piece) => {
                if let Some(parcel) = self.assembly.add(*piece) {
                    self.deliver(parcel);
                }
            }
            Request::Status(reply) => drop(reply.send(self.status())),
            Request::Member(reply) => drop(reply.send(self.is_member())),
            Request::Stop => self.stopping = Some(self.clock.now()),
            Request::Settle(permit) => {
                if let Some(leading) = &mut self.leading {
                    leading.permits.settle(permit);
                }
            }
            Request::Enroll(member, reply) => self.enroll(member, reply),
            Request::Renew(renewal, reply) => self.renew(renewal, reply),
            Request::Submit(command, reply) => self.submit(command, reply),
            Request::View(reply) => self.read(reply, Read::View),
            Request::Permit(wish, reply) => {
                let now = self.clock.now();
                match &mut self.leading {
                    Some(leading) => leading.wish(wish, now, reply),
                    None => drop(reply.send(Err(self.not_leader()))),
                }
            }
        }
    }

    /// Does what a leader does by itself: ends leases, grants permits, evens the shares.
    pub(crate) fn lead(&mut self) {
        let now = self.clock.now();
        let Some(leading) = &mut self.leading else { return };
        leading.grant(now);
        leading.report(self.machine.view());
        for (gate, incarnation) in leading.leases.expired(now) {
            base::event!(INFO, Event::LeaseExpired, %gate, incarnation);
            self.propose(&Command::Expire { gate, incarnation });
        }
        self.balance(now);
    }

    /// Gives one endpoint to another gate, if the last move is in force and the shares are uneven.
    fn balance(&mut self, now: Duration) {
        let view = self.machine.view();
        let Some(leading) = &mut self.leading else { return };
        let in_force = leading.leases.in_force(view.revision);
        let rests = leading.moved.is_some_and(|moved| in_force >= moved);
        if now < leading.balance || !rests {
            return;
        }
        leading.balance = now + BALANCE;
        if let Some(command) = balance::next(view) {
            leading.moved = None;
            self.propose_for(&command, Proposal::Move);
        }
    }

    fn enroll(&mut self, member: Member, reply: Reply<()>) {
        let added = self.node.add_learner(member);
        reply.send(added.map_err(|_| self.not_leader())).ok();
    }

    fn submit(&mut self, command: Command, reply: Reply<Outcome>) {
        if self.stopping.is_some() {
            reply.send(Err(Fault::NotLeader { leader: None })).ok();
            return;
        }
        let busy = |leading: &Leading| leading.proposals.len() >= PROPOSALS;
        if self.leading.as_ref().is_some_and(busy) {
            reply.send(Err(Fault::Busy)).ok();
            return;
        }
        if matches!(command, Command::Join { .. } | Command::Expire { .. }) {
            let revision = self.machine.view().configuration;
            let detail = "only the leader starts and ends leases".to_owned();
            reply.send(Ok(Outcome::Refused { code: Code::Invalid, detail, revision })).ok();
            return;
        }
        let stamped = stamp(command, self.clock.wall_ms());
        self.propose_for(&stamped, Proposal::Submit(reply));
    }

    /// Records a renewal, then makes certain that this keeper still leads.
    fn renew(&mut self, renewal: Renewal, reply: Reply<Grant>) {
        if renewal.leave {
            return self.leave(&renewal, reply);
        }
        let now = self.clock.now();
        let Some(leading) = &mut self.leading else {
            reply.send(Err(self.not_leader())).ok();
            return;
        };
        let (gate, run) = (renewal.gate.name.clone(), renewal.gate.incarnation);
        match leading.leases.renew(&gate, run, renewal.applied, now) {
            Ok(()) => self.read(reply, |reply| Read::Renew(gate, run, renewal.applied, reply)),
            Err(Refused::Ended) => drop(reply.send(Err(Fault::LeaseEnded))),
            Err(Refused::Unknown) if self.is_taken(&renewal) => {
                reply.send(Err(Fault::Busy)).ok();
            }
            Err(Refused::Unknown) => {
                let command = Command::Join { gate: renewal.gate.clone() };
                self.propose_for(&command, Proposal::Join(Box::new(renewal), reply));
            }
        }
    }

    /// Returns whether a run at other addresses holds the lease of this gate.
    ///
    /// A run at the same addresses has ended, or the new one could not listen there; one at other
    /// addresses may live, so that its lease has to run out first.
    fn is_taken(&self, renewal: &Renewal) -> bool {
        let place = |gate: &Gate| (gate.address.clone(), gate.peer.clone(), gate.relay.clone());
        let known = self.machine.view().gates.get(&renewal.gate.name);
        known.is_some_and(|known| place(known) != place(&renewal.gate))
    }

    /// Ends a lease at the wish of its holder.
    fn leave(&mut self, renewal: &Renewal, reply: Reply<Grant>) {
        let (gate, incarnation) = (renewal.gate.name.clone(), renewal.gate.incarnation);
        let held = self.leading.as_mut().map(|leading| leading.leases.end(&gate, incarnation));
        match held {
            None => drop(reply.send(Err(self.not_leader()))),
            Some(false) => drop(reply.send(Err(Fault::LeaseEnded))),
            Some(true) => {
                let command = Command::Expire { gate, incarnation };
                self.propose_for(&command, Proposal::Leave(reply));
            }
        }
    }

    /// Asks for a read that a majority confirms.
    fn read<T>(&mut self, reply: Reply<T>, make: impl FnOnce(Reply<T>) -> Read) {
        let Some(leading) = &mut self.leading else {
            reply.send(Err(self.not_leader())).ok();
            return;
        };
        let token = leading.add_read(make(reply));
        // The leader dropped the leadership if this fails; then all reads are answered so.
        self.node.read(token).ok();
    }

    /// Answers a read that a majority confirmed.
    pub(crate) fn confirm(&mut self, token: u64) {
        let view = self.machine.view();
        let Some(leading) = &mut self.leading else { return };
        match leading.reads.remove(&token) {
            Some(Read::View(reply)) => drop(reply.send(Ok(view.clone()))),
            Some(Read::Renew(gate, run, applied, reply)) => {
                let answer = match leading.leases.holds(&gate, run) {
                    true => Ok(Grant {
                        lease_ms: self.config.timing.lease_ms,
                        update: self.ring.update(applied, view),
                        in_force: leading.leases.in_force(view.revision),
                    }),
                    false => Err(Fault::LeaseEnded),
                };
                reply.send(answer).ok();
            }
            None => {}
        }
    }

    /// Answers who waited for a proposal, which was applied in `term`.
    pub(crate) fn resolve(&mut self, proposal: Proposal, term: u64, outcome: Outcome) {
        let own = self.leading.as_ref().is_some_and(|leading| leading.term == term);
        match proposal {
            Proposal::Submit(reply) if own => drop(reply.send(Ok(outcome))),
            Proposal::Submit(reply) => drop(reply.send(Err(Fault::Unknown))),
            Proposal::Leave(reply) => {
                let (update, in_force) = (Update::Deltas(Vec::new()), self.in_force());
                reply.send(Ok(Grant { lease_ms: 0, update, in_force })).ok();
            }
            Proposal::Join(renewal, reply) => self.joined(*renewal, reply, &outcome),
            Proposal::Move => {
                let revision = self.machine.view().revision;
                if let Some(leading) = &mut self.leading {
                    leading.moved = Some(revision);
                }
            }
        }
    }

    /// Goes on with the renewal of a gate that has joined.
    fn joined(&mut self, renewal: Renewal, reply: Reply<Grant>, outcome: &Outcome) {
        if matches!(outcome, Outcome::Refused { .. }) {
            reply.send(Err(Fault::LeaseEnded)).ok();
            return;
        }
        self.note_join(&renewal.gate.name, renewal.gate.incarnation);
        // What a run knew before it joined is out of date in part: it gets the whole view.
        self.renew(Renewal { applied: 0, ..renewal }, reply);
    }

    fn note_join(&mut self, gate: &Name, incarnation: Incarnation) {
        let revision = self.machine.view().revision;
        if let Some(leading) = &mut self.leading {
            leading.leases.join(gate, incarnation, revision);
        }
    }

    /// Proposes a command that somebody waits for.
    fn propose_for(&mut self, command: &Command, proposal: Proposal) {
        match (self.propose(command), &mut self.leading) {
            (Some(index), Some(leading)) => drop(leading.proposals.insert(index, proposal)),
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

    /// Proposes a command; none if this keeper does not lead.
    fn propose(&mut self, command: &Command) -> Option<Index> {
        let bytes = postcard::to_stdvec(command).expect("a command can be encoded");
        self.node.propose(Bytes::from(bytes)).ok()
    }
}

/// Puts the leader's wall clock into a command.
fn stamp(mut command: Command, wall_ms: u64) -> Command {
    match &mut command {
        Command::Configure(configure) => configure.now_ms = wall_ms,
        Command::Claim { now_ms, .. }
        | Command::Finish { now_ms, .. }
        | Command::Implicate { now_ms, .. } => *now_ms = wall_ms,
        _ => {}
    }
    command
}
