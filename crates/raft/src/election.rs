//! Leader election with pre-vote, and the leader's check that it still reaches a majority.

use std::time::Duration;

use base::Event;
use base::Map;
use rand::RngExt;

use crate::message::Body;
use crate::message::Entry;
use crate::message::Id;
use crate::message::Index;
use crate::message::Message;
use crate::message::Payload;
use crate::message::Term;
use crate::node::Node;
use crate::node::Role;
use crate::progress::Progress;

/// The role of a replica in its term, with the role's state.
#[derive(Debug)]
pub(crate) enum State {
    /// A follower, or a learner if it is not a voter.
    Follower,
    /// Collects votes, or pre-votes if `pre` is set.
    Candidate {
        /// Whether this is a pre-vote.
        pre: bool,
        /// The voters that granted their vote, including this replica.
        granted: Vec<Id>,
        /// Number of consecutive pre-vote rounds.
        pre_vote_rounds: u32,
    },
    /// The leader.
    Leader,
}

impl Node {
    /// Advances the clock: starts elections, sends heartbeats, and steps down without a majority.
    pub fn tick(&mut self, now: Duration) {
        self.now = self.now.max(now);
        if self.is_leader() {
            self.tick_leader();
        } else if self.now >= self.election_at {
            self.tick_election();
        }
    }

    /// Starts a pre-vote if this replica is a voter.
    fn tick_election(&mut self) {
        if self.is_voter(self.id) {
            self.log_election();
        }
        self.leader = None;
        if self.is_voter(self.id) {
            // A pre-vote changes no state, so it repeats at the short retry interval until a
            // majority is reachable.
            self.set_retry_time();
            self.campaign(true);
        } else {
            self.set_election_time();
            self.state = State::Follower;
        }
    }

    /// Logs the first pre-vote after the loss of a leader; later rounds change nothing.
    fn log_election(&self) {
        let Some(leader) = self.leader else { return };
        let disconnected = self.last_contact == Duration::ZERO;
        let silent = self.now.saturating_sub(self.last_contact);
        base::event!(
            INFO,
            Event::ElectionStarted,
            replica = self.id,
            term = self.hard_state.term,
            leader,
            reason = if disconnected { "disconnected" } else { "silence" },
            silent_ms = (!disconnected).then_some(silent.as_millis() as u64)
        );
    }

    /// Reports that the connection to a replica broke, as it does when the replica's process ends.
    /// If that replica is the leader and does not make contact again within about a heartbeat
    /// interval, an election starts before the election timeout.
    pub fn peer_disconnected(&mut self, id: Id) {
        if self.leader != Some(id) || self.is_leader() {
            return;
        }
        self.last_contact = Duration::ZERO;
        let grace = self.config.heartbeat_interval.mul_f64(1.5);
        let earlier = self.now + grace + self.jitter(self.config.heartbeat_interval.mul_f64(2.5));
        self.election_at = self.election_at.min(earlier);
    }

    /// Sends heartbeats, and steps down if no majority has responded recently.
    fn tick_leader(&mut self) {
        if !self.reaches_majority(self.members()) {
            return self.become_follower(self.term(), None);
        }
        if self.now >= self.heartbeat_at {
            self.heartbeat_at = self.now + self.config.heartbeat_interval;
            self.start_heartbeat_round();
        }
    }

    /// Sets the next election time. The timeout is randomized, so that replicas seldom start
    /// elections at the same time.
    pub(crate) fn set_election_time(&mut self) {
        let shortest = self.config.election_timeout;
        self.election_at = self.now + shortest + self.jitter(shortest);
    }

    /// Sets the next election time to the short interval for a replica that has no leader.
    pub(crate) fn set_retry_time(&mut self) {
        let shortest = self.config.heartbeat_interval;
        self.election_at = self.now + shortest + self.jitter(shortest);
    }

    /// Returns a random duration below `limit`.
    fn jitter(&mut self, limit: Duration) -> Duration {
        let limit = limit.as_micros() as u64;
        Duration::from_micros(self.random.random_range(0..limit.max(1)))
    }

    /// Requests votes, or pre-votes if `pre` is set. Only a real election starts a new term.
    fn campaign(&mut self, pre: bool) {
        if !pre {
            // After a split vote, retry sooner than after missed heartbeats: no leader is left to
            // wait for.
            let half = self.config.election_timeout / 2;
            self.election_at = self.now + half + self.jitter(half);
            self.hard_state.term += 1;
            self.hard_state.vote = Some(self.id);
            self.hard_state_changed = true;
        }
        let pre_vote_rounds = match self.state {
            State::Candidate { pre_vote_rounds, .. } => pre_vote_rounds + u32::from(pre),
            State::Follower | State::Leader => 1,
        };
        self.state = State::Candidate { pre, granted: vec![self.id], pre_vote_rounds };
        let last_index = self.log.last_index();
        let last_term = self.log.last_term();
        for to in self.other_voters() {
            self.send(to, Body::Vote { last_index, last_term, pre });
        }
        self.count_votes();
    }

    /// Proceeds to the election or to leadership if a majority has granted.
    fn count_votes(&mut self) {
        let State::Candidate { pre, granted, .. } = &self.state else { return };
        let votes = self.members().voters.iter().filter(|member| granted.contains(&member.id));
        if votes.count() <= self.members().voters.len() / 2 {
            return;
        }
        if *pre {
            self.campaign(false);
        } else {
            self.become_leader();
        }
    }

    /// Becomes leader and appends the first entry of the term.
    pub(crate) fn become_leader(&mut self) {
        base::event!(INFO, Event::LeaderElected, replica = self.id, term = self.hard_state.term);
        self.state = State::Leader;
        self.leader = Some(self.id);
        self.round = 0;
        self.heartbeat_at = self.now + self.config.heartbeat_interval;
        let next = self.log.last_index() + 1;
        let members = self.members().clone();
        let ids = members.voters.iter().chain(&members.learners).map(|member| member.id);
        self.progress =
            ids.filter(|id| *id != self.id).map(|id| (id, Progress::new(next, self.now))).collect();
        self.term_start_index = self.append(Payload::Empty);
        self.start_heartbeat_round();
    }

    /// Becomes a follower in `term`. `leader` is `None` if not known yet.
    pub(crate) fn become_follower(&mut self, term: Term, leader: Option<Id>) {
        if self.is_leader() {
            let reason = if term > self.hard_state.term {
                "higher_term"
            } else if self.is_voter(self.id) {
                "no_majority"
            } else {
                "removed"
            };
            base::event!(
                INFO,
                Event::LeaderLost,
                replica = self.id,
                term = self.hard_state.term,
                reason
            );
        }
        if term > self.hard_state.term {
            self.hard_state.term = term;
            self.hard_state.vote = None;
            self.hard_state_changed = true;
        }
        self.state = State::Follower;
        self.leader = leader;
        self.progress = Map::default();
        self.reads.clear();
        self.pending_changes.clear();
        self.set_election_time();
    }

    /// Returns whether a leader made contact within the election timeout, so that votes are
    /// refused.
    pub(crate) fn has_recent_leader(&self) -> bool {
        let recent = self.now < self.last_contact + self.config.election_timeout;
        self.is_leader() || (self.leader.is_some() && recent)
    }

    /// Answers a pre-vote request.
    pub(crate) fn answer_pre_vote(&mut self, from: Id, term: Term, last: (Term, Index)) {
        let current = term >= self.hard_state.term && self.is_up_to_date(last);
        let granted = !self.has_recent_leader() && current && !self.has_precedence(from, last);
        if granted {
            // Postpones this replica's own election: two candidates at once would split the votes.
            let later = self.now + self.config.heartbeat_interval;
            self.election_at = self.election_at.max(later);
        }
        self.send(from, Body::Voted { granted, pre: true });
    }

    /// Returns whether this replica runs a pre-vote itself and has precedence over the candidate
    /// (by last log entry, then by id). It then refuses its pre-vote, so that only one of the two
    /// can win. In every second round it yields, because the other candidate may reach more voters.
    fn has_precedence(&self, from: Id, last: (Term, Index)) -> bool {
        let State::Candidate { pre: true, pre_vote_rounds, .. } = self.state else { return false };
        let own = (self.log.last_term(), self.log.last_index());
        pre_vote_rounds % 2 == 1 && (own, self.id) > (last, from)
    }

    /// Answers a vote request of the current term. Votes for at most one candidate per term.
    pub(crate) fn answer_vote(&mut self, from: Id, last: (Term, Index)) {
        let can_vote = self.hard_state.vote.is_none_or(|vote| vote == from);
        let granted = can_vote && self.is_up_to_date(last);
        if granted {
            self.hard_state_changed |= self.hard_state.vote.is_none();
            self.hard_state.vote = Some(from);
            self.set_election_time();
        }
        self.send(from, Body::Voted { granted, pre: false });
    }

    /// Returns whether a log with this last entry is at least as up to date as this replica's.
    fn is_up_to_date(&self, last: (Term, Index)) -> bool {
        last >= (self.log.last_term(), self.log.last_index())
    }

    /// Records a voter's response to a vote or pre-vote request.
    pub(crate) fn record_vote(&mut self, from: Id, vote_granted: bool, pre_vote: bool) {
        let State::Candidate { pre, granted, .. } = &mut self.state else { return };
        if *pre != pre_vote || !vote_granted || granted.contains(&from) {
            return;
        }
        granted.push(from);
        self.count_votes();
    }

    pub(crate) fn is_leader(&self) -> bool {
        matches!(self.state, State::Leader)
    }

    /// Returns the role of this replica.
    pub fn role(&self) -> Role {
        match self.state {
            State::Leader => Role::Leader,
            State::Candidate { .. } => Role::Candidate,
            State::Follower if self.is_voter(self.id) => Role::Follower,
            State::Follower => Role::Learner,
        }
    }

    /// Appends an entry in the current term and returns its index.
    pub(crate) fn append(&mut self, payload: Payload) -> Index {
        let index = self.log.last_index() + 1;
        if let Payload::Members(members) = &payload {
            self.members.push((index, members.clone()));
        }
        self.log.push(Entry { index, term: self.hard_state.term, payload });
        index
    }

    /// Queues a message with the current term.
    pub(crate) fn send(&mut self, to: Id, body: Body) {
        self.messages.push((to, Message { term: self.hard_state.term, body }));
    }
}
