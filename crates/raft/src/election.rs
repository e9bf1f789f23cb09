//! Elections: pre-vote, votes, check of the majority.

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

/// What a replica does in its term.
#[derive(Debug)]
pub(crate) enum Part {
    /// Follows, or learns if it is no voter.
    Follower,
    /// Seeks votes; with `pre`, asks whether it would get them.
    Candidate {
        /// Whether it only asks.
        pre: bool,
        /// Who granted.
        granted: Vec<Id>,
        /// How often it has asked in a row.
        asked: u32,
    },
    /// Leads.
    Leader,
}

impl Node {
    /// Lets time pass: elections and heartbeats.
    pub fn tick(&mut self, now: Duration) {
        self.now = self.now.max(now);
        if self.is_leader() {
            self.tick_leader();
        } else if self.now >= self.election_at {
            self.tick_election();
        }
    }

    /// Starts an election if this replica votes.
    fn tick_election(&mut self) {
        self.leader = None;
        if self.is_voter(self.id) {
            // Asking changes nothing, so it is repeated until a majority can be reached.
            self.set_retry_time();
            self.campaign(true);
        } else {
            self.set_election_time();
            self.part = Part::Follower;
        }
    }

    /// Notes that the connection to a replica broke, as it does when its process ends. If that one
    /// leads and is not heard again with its next heartbeat, an election starts soon.
    pub fn peer_disconnected(&mut self, id: Id) {
        if self.leader != Some(id) || self.is_leader() {
            return;
        }
        self.heard = Duration::ZERO;
        let grace = self.config.heartbeat_interval.mul_f64(1.5);
        let soon = self.now + grace + self.jitter(self.config.heartbeat_interval.mul_f64(2.5));
        self.election_at = self.election_at.min(soon);
    }

    /// Sends heartbeats and steps down without a majority.
    fn tick_leader(&mut self) {
        if !self.reaches_majority(self.members()) {
            return self.follow(self.term(), None);
        }
        if self.now >= self.beat_at {
            self.beat_at = self.now + self.config.heartbeat_interval;
            self.beat();
        }
    }

    /// Sets the time of the next election at random, so that replicas seldom stand at once.
    pub(crate) fn set_election_time(&mut self) {
        let shortest = self.config.election_timeout;
        self.election_at = self.now + shortest + self.jitter(shortest);
    }

    /// Sets the time at which a replica without a leader asks for votes again.
    pub(crate) fn set_retry_time(&mut self) {
        let shortest = self.config.heartbeat_interval;
        self.election_at = self.now + shortest + self.jitter(shortest);
    }

    /// Returns a random time below `most`.
    fn jitter(&mut self, most: Duration) -> Duration {
        let most = most.as_micros() as u64;
        Duration::from_micros(self.random.random_range(0..most.max(1)))
    }

    /// Asks for votes.
    fn campaign(&mut self, pre: bool) {
        if !pre {
            // Votes that were split are sought anew sooner than a silent leader is given up.
            let half = self.config.election_timeout / 2;
            self.election_at = self.now + half + self.jitter(half);
            self.hard_state.term += 1;
            self.hard_state.vote = Some(self.id);
            self.hard_state_changed = true;
        }
        let asked = match self.part {
            Part::Candidate { asked, .. } => asked + u32::from(pre),
            Part::Follower | Part::Leader => 1,
        };
        self.part = Part::Candidate { pre, granted: vec![self.id], asked };
        let last_index = self.log.last_index();
        let last_term = self.log.last_term();
        for to in self.other_voters() {
            self.send(to, Body::Vote { last_index, last_term, pre });
        }
        self.count_votes();
    }

    /// Moves on if a majority has granted.
    fn count_votes(&mut self) {
        let Part::Candidate { pre, granted, .. } = &self.part else { return };
        let votes = self.members().voters.iter().filter(|member| granted.contains(&member.id));
        if votes.count() <= self.members().voters.len() / 2 {
            return;
        }
        if *pre {
            self.campaign(false);
        } else {
            self.lead();
        }
    }

    /// Becomes the leader and appends the first entry of the term.
    pub(crate) fn lead(&mut self) {
        base::event!(INFO, Event::LeaderElected, replica = self.id, term = self.hard_state.term);
        self.part = Part::Leader;
        self.leader = Some(self.id);
        self.round = 0;
        self.beat_at = self.now + self.config.heartbeat_interval;
        let next = self.log.last_index() + 1;
        let members = self.members().clone();
        let ids = members.voters.iter().chain(&members.learners).map(|member| member.id);
        self.progress =
            ids.filter(|id| *id != self.id).map(|id| (id, Progress::new(next, self.now))).collect();
        self.first_index = self.append(Payload::Empty);
        self.beat();
    }

    /// Follows in a term; `leader` where it is known.
    pub(crate) fn follow(&mut self, term: Term, leader: Option<Id>) {
        if self.is_leader() {
            base::event!(INFO, Event::LeaderLost, replica = self.id, term = self.hard_state.term);
        }
        if term > self.hard_state.term {
            self.hard_state.term = term;
            self.hard_state.vote = None;
            self.hard_state_changed = true;
        }
        self.part = Part::Follower;
        self.leader = leader;
        self.progress = Map::default();
        self.reads.clear();
        self.wishes.clear();
        self.set_election_time();
    }

    /// Returns whether a leader was heard so lately that votes are refused.
    pub(crate) fn sticky(&self) -> bool {
        let lately = self.now < self.heard + self.config.election_timeout;
        self.is_leader() || (self.leader.is_some() && lately)
    }

    /// Answers a candidate that only asks.
    pub(crate) fn pre_vote(&mut self, from: Id, term: Term, last: (Term, Index)) {
        let current = term >= self.hard_state.term && self.is_current(last);
        let granted = !self.sticky() && current && !self.precedes(from, last);
        if granted {
            // Two that stand at once would split the votes.
            let later = self.now + self.config.heartbeat_interval;
            self.election_at = self.election_at.max(later);
        }
        self.send(from, Body::Voted { granted, pre: true });
    }

    /// Returns whether this replica asks too and goes first, so that only one of the two gets the
    /// other's vote. Each second time it lets the other one go first, which may reach more voters.
    fn precedes(&self, from: Id, last: (Term, Index)) -> bool {
        let Part::Candidate { pre: true, asked, .. } = self.part else { return false };
        let own = (self.log.last_term(), self.log.last_index());
        asked % 2 == 1 && (own, self.id) > (last, from)
    }

    /// Answers a candidate of this replica's term.
    pub(crate) fn vote(&mut self, from: Id, last: (Term, Index)) {
        let free = self.hard_state.vote.is_none_or(|vote| vote == from);
        let granted = free && self.is_current(last);
        if granted {
            self.hard_state_changed |= self.hard_state.vote.is_none();
            self.hard_state.vote = Some(from);
            self.set_election_time();
        }
        self.send(from, Body::Voted { granted, pre: false });
    }

    /// Returns whether a log that ends so has all that this replica's log has.
    fn is_current(&self, last: (Term, Index)) -> bool {
        last >= (self.log.last_term(), self.log.last_index())
    }

    /// Counts an answer of a voter.
    pub(crate) fn voted(&mut self, from: Id, granted_now: bool, pre_now: bool) {
        let Part::Candidate { pre, granted, .. } = &mut self.part else { return };
        if *pre != pre_now || !granted_now || granted.contains(&from) {
            return;
        }
        granted.push(from);
        self.count_votes();
    }

    /// Returns whether this replica leads.
    pub(crate) fn is_leader(&self) -> bool {
        matches!(self.part, Part::Leader)
    }

    /// Returns the replica's part.
    pub fn role(&self) -> Role {
        match self.part {
            Part::Leader => Role::Leader,
            Part::Candidate { .. } => Role::Candidate,
            Part::Follower if self.is_voter(self.id) => Role::Follower,
            Part::Follower => Role::Learner,
        }
    }

    /// Appends an entry of this term and returns its index.
    pub(crate) fn append(&mut self, payload: Payload) -> Index {
        let index = self.log.last_index() + 1;
        if let Payload::Members(members) = &payload {
            self.members.push((index, members.clone()));
        }
        self.log.push(Entry { index, term: self.hard_state.term, payload });
        index
    }

    /// Queues a message of this term.
    pub(crate) fn send(&mut self, to: Id, body: Body) {
        self.messages.push((to, Message { term: self.hard_state.term, body }));
    }
}
