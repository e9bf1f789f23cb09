//! Status and metrics of the driver.

use base::Name;
use raft::node::Role;
use wire::keeper::Status;

use crate::driver::Driver;
use crate::leadership::Leadership;

impl Driver {
    /// Returns the status of this keeper.
    pub(crate) fn status(&self) -> Status {
        let names = |members: &[raft::message::Member]| {
            members.iter().map(|member| Name::from(member.host.as_str())).collect()
        };
        let members = self.node.members();
        let role = match self.node.role() {
            Role::Leader => "leader",
            Role::Follower => "follower",
            Role::Candidate => "candidate",
            Role::Learner => "learner",
        };
        Status {
            host: self.host.clone(),
            id: self.node.id(),
            group: self.group,
            role: Name::from(role),
            term: self.node.term(),
            leader: self.leader(),
            commit: self.node.commit(),
            applied: self.applied,
            voters: names(&members.voters),
            learners: names(&members.learners),
            configuration: self.machine.view().configuration,
            in_force: self.in_force(),
        }
    }

    /// Returns the view revision that is in force at every gate; 0 on followers.
    pub(crate) fn in_force(&self) -> u64 {
        let revision = self.machine.view().revision;
        self.leadership.as_ref().map_or(0, |leadership| leadership.leases.in_force(revision))
    }

    /// Updates the metrics.
    pub(crate) fn update_metrics(&self) {
        let metrics = &self.metrics;
        metrics.term.set(self.node.term() as i64);
        metrics.leader.set(i64::from(self.leadership.is_some()));
        metrics.commit.set(self.node.commit() as i64);
        metrics.applied.set(self.applied as i64);
        metrics.log_lag.set(self.node.last_index().saturating_sub(self.node.commit()) as i64);
        metrics.voters.set(self.node.members().voters.len() as i64);
        metrics.in_force.set(self.in_force() as i64);
        metrics.revision.set(self.machine.view().revision as i64);
        metrics.journal_keys.set(self.machine.journal_keys() as i64);
        metrics.journal_bytes.set(self.machine.journal_bytes() as i64);
        let count = |get: fn(&Leadership) -> usize| self.leadership.as_ref().map_or(0, get) as i64;
        metrics.leases.set(count(|leadership| leadership.leases.len()));
        metrics.proposals.set(count(|leadership| leadership.proposals.len()));
        metrics.granted_permits.set(count(|leadership| leadership.permits.in_flight()));
        metrics.waiting_bids.set(count(|leadership| leadership.permits.waiting()));
    }
}
