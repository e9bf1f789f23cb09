//! Membership changes, one server at a time.
//!
//! A change takes effect when its entry is appended and is undone if that entry is truncated.
//! Changes wait until the previous one is committed and until the leader has committed an entry of
//! its own term.

use std::time::Duration;

use base::Event;

use crate::message::Id;
use crate::message::Index;
use crate::message::Member;
use crate::message::Members;
use crate::message::Payload;
use crate::node::Node;
use crate::node::NotLeader;

/// Maximum number of entries by which a learner may lag behind when it is promoted to voter.
const MAX_LEARNER_LAG_ENTRIES: Index = 64;

/// A membership change requested by the driver.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Change {
    /// Add a learner.
    Add(Member),
    /// Remove a member.
    Remove(Id),
    /// Replace a voter that does not respond.
    Replace(Id),
}

impl Node {
    /// Adds a learner and replaces the former learner of the same host. No-op if the replica is a
    /// member already. Takes effect once no other change is in progress. When the learner has
    /// caught up, the leader removes the host's former voter and promotes the learner, unless the
    /// group has enough voters without it.
    pub fn add_learner(&mut self, member: Member) -> Result<(), NotLeader> {
        self.check_leader()?;
        self.queue_change(Change::Add(member));
        Ok(())
    }

    /// Removes a member once no other change is in progress. No-op if no majority of the remaining
    /// voters is responsive.
    pub fn remove(&mut self, id: Id) -> Result<(), NotLeader> {
        self.check_leader()?;
        self.queue_change(Change::Remove(id));
        Ok(())
    }

    /// Takes the next step of the replacement of a voter that does not respond: a caught-up learner
    /// is promoted, then the voter is removed. Without such a learner the voter is removed only
    /// while there are more than the minimum number of voters. No-op if it responds again.
    pub fn replace(&mut self, id: Id) -> Result<(), NotLeader> {
        self.check_leader()?;
        self.queue_change(Change::Replace(id));
        Ok(())
    }

    /// Sets the numbers of voters to keep. The leader promotes caught-up learners up to `max`
    /// voters, and [`Node::replace`] leaves at least `min`. By default there is no limit.
    pub fn set_voters(&mut self, min: usize, max: usize) {
        self.min_voters = min;
        self.max_voters = max;
    }

    /// Returns the current members.
    pub fn members(&self) -> &Members {
        &self.members[self.members.len() - 1].1
    }

    /// Returns the members in force at a log index.
    pub(crate) fn members_at(&self, index: Index) -> &Members {
        let found = self.members.iter().rfind(|(from, _)| *from <= index);
        &found.unwrap_or(&self.members[0]).1
    }

    /// Returns whether a replica is a voter.
    pub(crate) fn is_voter(&self, id: Id) -> bool {
        self.members().voters.iter().any(|member| member.id == id)
    }

    /// Returns the ids of the voters other than this replica.
    pub(crate) fn other_voters(&self) -> Vec<Id> {
        let ids = self.members().voters.iter().map(|member| member.id);
        ids.filter(|id| *id != self.id).collect()
    }

    /// Queues a change unless it is queued already.
    fn queue_change(&mut self, change: Change) {
        if !self.pending_changes.contains(&change) {
            self.pending_changes.push_back(change);
        }
        self.advance_membership();
    }

    /// Appends queued changes as far as possible, and steps down if this replica was removed.
    pub(crate) fn advance_membership(&mut self) {
        while self.can_change_members() {
            let Some(members) = self.next_change() else { break };
            self.append(Payload::Members(members));
            self.refresh_progress();
            self.update_commit();
        }
        let committed = self.members_at(self.commit);
        let removed = committed.voters.iter().all(|member| member.id != self.id);
        if self.has_committed_in_term() && self.can_change_members() && removed {
            // Sends the commit index to the others before this replica steps down.
            self.start_heartbeat_round();
            self.flush();
            self.become_follower(self.term(), None);
        }
    }

    /// Returns whether a change may be appended now.
    fn can_change_members(&self) -> bool {
        let changed = self.members[self.members.len() - 1].0;
        self.has_committed_in_term() && changed <= self.commit
    }

    /// Returns the members after the next change: the next queued one, or else a step of a
    /// learner's promotion, or else a surplus voter's demotion.
    fn next_change(&mut self) -> Option<Members> {
        if !self.is_voter(self.id) {
            return None;
        }
        while let Some(change) = self.pending_changes.pop_front() {
            let changed = match change {
                Change::Add(member) => self.with_learner(member),
                Change::Remove(id) => self.without_member(id),
                Change::Replace(id) => self.next_replacement(id),
            };
            if changed.is_some() {
                return changed;
            }
        }
        self.next_promotion().or_else(|| self.next_demotion())
    }

    /// Returns the members with a new learner, which replaces its host's former learner. Returns
    /// `None` if the replica is a member already.
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

    /// Returns the members without a replica. Returns `None` if it is not a member or if no
    /// majority of the remaining voters is responsive.
    fn without_member(&self, id: Id) -> Option<Members> {
        let mut members = self.members().clone();
        members.voters.retain(|member| member.id != id);
        members.learners.retain(|member| member.id != id);
        if members == *self.members() || !self.reaches_majority(&members) {
            return None;
        }
        base::event!(INFO, Event::VoterRemoved, replica = id);
        Some(members)
    }

    /// Returns the members after the next step of a caught-up learner's promotion: its host's
    /// former voter is removed first, then the learner becomes a voter if there are too few.
    fn next_promotion(&self) -> Option<Members> {
        let Members { voters, learners } = self.members();
        let needed = voters.len() < self.max_voters;
        let mut caught_up = learners.iter().filter(|member| self.is_caught_up(member.id));
        let learner = caught_up.find(|member| needed || self.former_voter(member).is_some())?;
        match self.former_voter(learner) {
            Some(former) if voters.len() > 1 => self.without_member(former.id),
            Some(_) => None,
            None => Some(self.promoted(learner)),
        }
    }

    /// Returns the members after the next step of a lost voter's replacement. The learner is
    /// promoted first: if the lost voter's disk survives, the group can lose as many other disks
    /// meanwhile as before.
    fn next_replacement(&self, id: Id) -> Option<Members> {
        let Members { voters, learners } = self.members();
        if !self.is_voter(id) || self.is_responsive(id) {
            return None;
        }
        if voters.len() > self.min_voters {
            return self.without_member(id);
        }
        let standby = learners
            .iter()
            .find(|member| self.is_caught_up(member.id) && self.former_voter(member).is_none())?;
        self.reaches_majority(&self.with_voter(standby)).then(|| self.promoted(standby))
    }

    /// Returns the members with a surplus voter demoted to learner. Waits until all voters respond,
    /// so that lost voters are not kept in place of responsive ones.
    fn next_demotion(&self) -> Option<Members> {
        let mut members = self.members().clone();
        let surplus = members.voters.len() > self.max_voters;
        if !surplus || !members.voters.iter().all(|member| self.is_caught_up(member.id)) {
            return None;
        }
        let last = members.voters.iter().rposition(|member| member.id != self.id)?;
        let demoted = members.voters.remove(last);
        base::event!(
            INFO,
            Event::VoterRemoved,
            replica = demoted.id,
            host = demoted.host,
            reason = "surplus"
        );
        members.learners.push(demoted);
        Some(members)
    }

    /// Returns the former voter of a learner's host.
    fn former_voter(&self, learner: &Member) -> Option<&Member> {
        self.members().voters.iter().find(|member| member.host == learner.host)
    }

    /// Returns the members with a learner promoted to voter.
    fn promoted(&self, learner: &Member) -> Members {
        base::event!(INFO, Event::VoterAdded, replica = learner.id, host = learner.host);
        self.with_voter(learner)
    }

    /// Returns the members with a learner as a voter.
    fn with_voter(&self, learner: &Member) -> Members {
        let mut members = self.members().clone();
        members.learners.retain(|member| member.id != learner.id);
        members.voters.push(learner.clone());
        members
    }

    /// Returns whether a learner is responsive and lags by at most `MAX_LEARNER_LAG_ENTRIES`.
    fn is_caught_up(&self, id: Id) -> bool {
        let matched = self.match_index(id);
        self.is_responsive(id)
            && matched > 0
            && matched + MAX_LEARNER_LAG_ENTRIES >= self.log.last_index()
    }

    /// Returns whether a majority of the voters in `members` is responsive.
    pub(crate) fn reaches_majority(&self, members: &Members) -> bool {
        let responsive = members.voters.iter().filter(|member| self.is_responsive(member.id));
        responsive.count() > members.voters.len() / 2
    }

    /// Returns the other voters without contact to this leader for longer than `age`.
    pub fn unresponsive_voters(&self, age: Duration) -> Vec<Id> {
        let since = self.now.saturating_sub(age);
        let unresponsive =
            |id: &Id| self.progress.get(id).is_some_and(|peer| peer.last_contact < since);
        self.other_voters().into_iter().filter(unresponsive).collect()
    }

    /// Returns whether a replica is this one or has responded within the last election timeout.
    fn is_responsive(&self, id: Id) -> bool {
        let since = self.now.saturating_sub(self.config.election_timeout);
        id == self.id || self.progress.get(&id).is_some_and(|peer| peer.last_contact >= since)
    }
}
