//! The number of voters that the stated fault tolerance requires, and the leader's check of it.

use base::Event;
use raft::message::Members;
use raft::message::Term;
use raft::node::Node;
use raft::node::Role;

use crate::settings::MIN_VOTERS;
use crate::settings::Settings;

/// The check of the number of voters.
#[derive(Debug)]
pub(crate) struct Tolerance {
    /// The number of voters of which the tolerated number may be lost.
    needed: usize,
    /// Whether all keepers vote.
    all_vote: bool,
    /// The term and the members that were checked last. `None` unless this replica leads.
    checked: Option<(Term, Members)>,
}

impl Tolerance {
    pub(crate) fn new(settings: &Settings) -> Tolerance {
        let needed = settings.tolerated_losses.saturating_mul(2).saturating_add(1);
        Tolerance { needed, all_vote: settings.all_vote, checked: None }
    }

    /// Sets the numbers of voters that a replica keeps while it leads.
    pub(crate) fn apply(&self, node: &mut Node) {
        let min = self.needed.max(MIN_VOTERS);
        let max = if self.all_vote { usize::MAX } else { min };
        node.set_voters(min, max);
    }

    /// Logs once for each term and member list if the replica leads a group with too few voters.
    pub(crate) fn check(&mut self, node: &Node) {
        if node.role() != Role::Leader {
            self.checked = None;
            return;
        }
        let (term, members) = (node.term(), node.members());
        let known = |checked: &(Term, Members)| checked.0 == term && checked.1 == *members;
        if self.checked.as_ref().is_some_and(known) {
            return;
        }
        self.checked = Some((term, members.clone()));
        if members.voters.len() < self.needed {
            base::event!(
                WARN,
                Event::ToleranceNotMet,
                term,
                voters = members.voters.len(),
                standbys = members.learners.len(),
                needed = self.needed
            );
        }
    }
}
