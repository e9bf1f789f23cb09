//! Requests and parts of prompts that crash the endpoints that run them: what gates report, and what is quarantined.

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
    /// The requests whose prompt contains the part with this digest before its last part.
    Part(u64),
}

impl fmt::Display for Subject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Subject::Request(digest) => write!(f, "request {digest:016x}"),
            Subject::Part(digest) => write!(f, "part {digest:x}"),
        }
    }
}

/// What a request can be recognized by if it crashes endpoints.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fingerprint {
    /// A digest of the content, which is the same for each attempt of the caller.
    pub request: u64,
    /// The digests of the parts of the prompt, without the last one, which belongs to the request alone.
    pub parts: Vec<u64>,
}

impl Fingerprint {
    /// Creates the fingerprint of a request whose prompt has these parts.
    pub fn new(request: u64, parts: impl DoubleEndedIterator<Item = u64>) -> Fingerprint {
        let mut parts: Vec<u64> = parts.rev().skip(1).collect();
        parts.sort_unstable();
        parts.dedup();
        Fingerprint { request, parts }
    }

    /// Returns the subjects whose quarantine covers the request.
    pub fn subjects(&self) -> impl Iterator<Item = Subject> {
        let parts = self.parts.iter().map(|part| Subject::Part(*part));
        std::iter::once(Subject::Request(self.request)).chain(parts)
    }
}

/// Formats the ids of the parts of a prompt for log lines: in hexadecimal, separated by commas.
pub fn format_parts(parts: impl Iterator<Item = u64>) -> String {
    let ids: Vec<String> = parts.map(|part| format!("{part:x}")).collect();
    ids.join(",")
}

/// A gate's report that an endpoint crashed while it may have run a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loss {
    /// The endpoint.
    pub endpoint: Name,
    /// The start time of the endpoint, as in [`crate::endpoint::Announcement::born`].
    pub born: u64,
    /// The request.
    pub fingerprint: Fingerprint,
    /// The time from sending the request to the loss, in ms.
    pub ran_ms: u32,
    /// The time from the first bytes of the response to the loss, in ms; 0 if there were none.
    pub answering_ms: u32,
    /// The time since the loss, in ms.
    pub age_ms: u32,
}

/// The leader's notice that an endpoint has crashed, upon which gates report what it may have run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// The endpoint.
    pub endpoint: Name,
    /// The start time of the endpoint, as in [`crate::endpoint::Announcement::born`].
    pub born: u64,
    /// The time since the endpoint was last known to run, in ms.
    pub silent_ms: u32,
}

/// A gate's report that an endpoint ended the response to a suspected request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Survival {
    /// The endpoint.
    pub endpoint: Name,
    /// The start time of the endpoint, as in [`crate::endpoint::Announcement::born`].
    pub born: u64,
    /// Those of the request's subjects that were suspected.
    pub subjects: Vec<Subject>,
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
