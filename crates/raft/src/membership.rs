//! Changes of the members, one server at a time.
//!
//! A change is in force as soon as it is appended, and undone if its entry is cut. The next one waits
//! until it is committed, and the first one until the leader has committed an entry of its own term.

use std::time::Duration;

use base::Event;

use crate::message::Id;
use crate::message::Index;
use crate::message::Member;
use crate::message::Members;
use crate::message::Payload;
use crate::node::Node;
use crate::node::NotLeader;

/// The entries by which a learner may be behind when it becomes a voter.
const CAUGHT_UP: Index = 64;

/// A change that the driver asked for.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Wish {
    /// Add a learner.
    Add(Member),
    /// Remove a member.
    Remove(Id),
}

impl Node {
    /// Adds a learner; the same host's former learner goes. No-op if it is a member. Carried out once
    /// no other change is in progress; the leader then removes the host's former voter and promotes
    /// the learner when it has caught up.
    pub fn add_learner(&mut self, member: Member) -> Result<(), NotLeader> {
        self.check_leader()?;
        self.wish(Wish::Add(member));
        Ok(())
    }

    /// Removes a member, once no other change is in progress. No-op if this replica does not hear a
    /// majority of the voters that would be left.
    pub fn remove(&mut self, id: Id) -> Result<(), NotLeader> {
        self.check_leader()?;
        self.wish(Wish::Remove(id));
        Ok(())
    }

    /// Returns the members in force.
    pub fn members(&self) -> &Members {
        &self.members[self.members.len() - 1].1
    }

    /// Returns the members at a position of the log.
    pub(crate) fn members_at(&self, index: Index) -> &Members {
        let found = self.members.iter().rfind(|(from, _)| *from <= index);
        &found.unwrap_or(&self.members[0]).1
    }

    /// Returns whether the replica `id` votes.
    pub(crate) fn is_voter(&self, id: Id) -> bool {
        self.members().voters.iter().any(|member| member.id == id)
    }

    /// Returns the voters besides this replica.
    pub(crate) fn other_voters(&self) -> Vec<Id> {
        let ids = self.members().voters.iter().map(|member| member.id);
        ids.filter(|id| *id != self.id).collect()
    }

    /// Notes a change that the driver asked for.
    fn wish(&mut self, wish: Wish) {
        if !self.wishes.contains(&wish) {
            self.wishes.push_back(wish);
        }
        self.follow_up();
    }

    /// Makes the next change if none is in progress, and steps down if this replica was removed.
    pub(crate) fn follow_up(&mut self) {
        while self.may_change() {
            let Some(members) = self.next_change() else { break };
            self.append(Payload::Members(members));
            self.refresh_progress();
            self.count_matches();
        }
        let committed = self.members_at(self.commit);
        let removed = committed.voters.iter().all(|member| member.id != self.id);
        if self.has_committed_in_term() && self.may_change() && removed {
            // The others learn of the commit before this replica stops to lead.
            self.beat();
            self.flush();
            self.follow(self.term(), None);
        }
    }

    /// Returns whether a change may be appended.
    fn may_change(&self) -> bool {
        let changed = self.members[self.members.len() - 1].0;
        self.has_committed_in_term() && changed <= self.commit
    }

    /// Returns the members after the next change: one that was asked for, or a learner's next step.
    fn next_change(&mut self) -> Option<Members> {
        if !self.is_voter(self.id) {
            return None;
        }
        while let Some(wish) = self.wishes.pop_front() {
            let changed = match wish {
                Wish::Add(member) => self.with_learner(member),
                Wish::Remove(id) => self.without(id),
            };
            if changed.is_some() {
                return changed;
            }
        }
        self.promotion()
    }

    /// Returns the members with a new learner in the place of its host's former learner.
    fn with_learner(&self, member: Member) -> Option<Members> {
        let mut members = self.members().clone();
        let known = members.voters.iter().chain(&members.learners).any(|old| old.id == member.id);
        if known {
            return None;
        }
        base::event!(INFO, Event::LearnerAdded, replica = member.id, host = member.host);
        members.learners.retain(|old| old.host != member.host);
        members.learners.push(member);
        Some(members)
    }

    /// Returns the members without one of them.
    fn without(&self, id: Id) -> Option<Members> {
        let mut members = self.members().clone();
        members.voters.retain(|member| member.id != id);
        members.learners.retain(|member| member.id != id);
        if members == *self.members() || !self.reaches_majority(&members) {
            return None;
        }
        base::event!(INFO, Event::VoterRemoved, replica = id);
        Some(members)
    }

    /// Returns the members after the next step of a learner that has caught up: the former voter of
    /// its host goes, then it becomes a voter itself.
    fn promotion(&self) -> Option<Members> {
        let learners = &self.members().learners;
        let learner = learners.iter().find(|member| self.caught_up(member.id))?;
        let voters = &self.members().voters;
        let former = voters.iter().find(|member| member.host == learner.host);
        match former {
            Some(former) if voters.len() > 1 => self.without(former.id),
            Some(_) => None,
            None => Some(self.promoted(learner)),
        }
    }

    /// Returns the members with a learner as voter.
    fn promoted(&self, learner: &Member) -> Members {
        base::event!(INFO, Event::VoterAdded, replica = learner.id, host = learner.host);
        let mut members = self.members().clone();
        members.learners.retain(|member| member.id != learner.id);
        members.voters.push(learner.clone());
        members
    }

    /// Returns whether a learner holds nearly all of the log and was heard lately.
    fn caught_up(&self, id: Id) -> bool {
        let matched = self.match_index(id);
        self.hears(id) && matched > 0 && matched + CAUGHT_UP >= self.log.last_index()
    }

    /// Returns whether a majority of the voters in `members` was heard lately.
    pub(crate) fn reaches_majority(&self, members: &Members) -> bool {
        let heard = members.voters.iter().filter(|member| self.hears(member.id));
        heard.count() > members.voters.len() / 2
    }

    /// Returns the voters that a leader has not heard for `age`.
    pub fn unresponsive_voters(&self, age: Duration) -> Vec<Id> {
        let since = self.now.saturating_sub(age);
        let silent = |id: &Id| self.progress.get(id).is_some_and(|peer| peer.heard < since);
        self.other_voters().into_iter().filter(silent).collect()
    }

    /// Returns whether a replica is this one or answered within the last election time.
    fn hears(&self, id: Id) -> bool {
        let since = self.now.saturating_sub(self.config.election_timeout);
        id == self.id || self.progress.get(&id).is_some_and(|peer| peer.heard >= since)
    }
}
