//! Requests that crash the endpoints that run them: what gates report, and what is quarantined.

use std::collections::VecDeque;
use std::fmt;

use base::Name;
use serde::Deserialize;
use serde::Serialize;

/// The limit on quarantined subjects; beyond it the oldest is released.
const MAX_SUBJECTS: usize = 1_024;

/// What a quarantine covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Subject {
    /// The requests with this digest of their content.
    Request(u64),
}

impl fmt::Display for Subject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Subject::Request(digest) => write!(f, "request {digest:016x}"),
        }
    }
}

/// A gate's report that an endpoint's connection broke while the endpoint ran a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loss {
    /// The endpoint.
    pub endpoint: Name,
    /// The start time of the endpoint, as in [`crate::endpoint::Announcement::born`].
    pub born: u64,
    /// What the request can be recognized by.
    pub subjects: Vec<Subject>,
    /// The time since the loss, in ms.
    pub age_ms: u32,
}

/// The quarantined subjects.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct List {
    /// The oldest first.
    ///
    /// Invariant: without duplicates, and at most [`MAX_SUBJECTS`] long.
    subjects: VecDeque<Subject>,
}

impl List {
    /// Adds a subject; returns whether it is new.
    pub fn insert(&mut self, subject: Subject) -> bool {
        let new = !self.contains(subject);
        if new {
            self.subjects.push_back(subject);
        }
        if self.subjects.len() > MAX_SUBJECTS {
            self.subjects.pop_front();
        }
        new
    }

    /// Removes a subject; returns whether it was in the list.
    pub fn remove(&mut self, subject: Subject) -> bool {
        let former = self.subjects.len();
        self.subjects.retain(|known| *known != subject);
        self.subjects.len() < former
    }

    /// Returns whether a subject is in the list.
    pub fn contains(&self, subject: Subject) -> bool {
        self.subjects.contains(&subject)
    }

    /// Returns the subjects, the oldest first.
    pub fn iter(&self) -> impl Iterator<Item = Subject> {
        self.subjects.iter().copied()
    }
}
