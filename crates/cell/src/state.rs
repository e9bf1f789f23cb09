//! The replicated state machine: the plan, the adapter versions and the quarantine.

use std::sync::Arc;

use base::Map;
use base::Name;
use bytes::Bytes;
use fleet::message::Version;
use fleet::plan::Plan;
use fleet::quarantine::List;
use fleet::quarantine::Subject;
use serde::Deserialize;
use serde::Serialize;

/// A command that changes the state.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Command {
    /// Puts a plan into force unless a newer one already is.
    Publish {
        /// The plan.
        plan: Arc<Plan>,
        /// The plan document as received, before parsing.
        document: Bytes,
    },
    /// Puts a version of an adapter into force unless a newer one already is.
    Name(Version),
    /// Quarantines a subject.
    Quarantine(Subject),
    /// Releases a subject from quarantine.
    Release(Subject),
}

/// The replicated state.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct State {
    pub(crate) plan: Option<Arc<Plan>>,
    /// The plan document as received, before parsing.
    pub(crate) document: Option<Bytes>,
    versions: Map<(Name, Name), u64>,
    quarantine: List,
}

/// The state as snapshots contained it before there was a quarantine.
#[derive(Deserialize)]
struct Former {
    plan: Option<Arc<Plan>>,
    document: Option<Bytes>,
    versions: Map<(Name, Name), u64>,
}

impl State {
    /// Decodes a snapshot, which an earlier release may have written.
    pub fn decode(snapshot: &[u8]) -> Result<State, postcard::Error> {
        postcard::from_bytes(snapshot).or_else(|error| {
            let former = postcard::from_bytes(snapshot).map_err(|_| error)?;
            let Former { plan, document, versions } = former;
            Ok(State { plan, document, versions, quarantine: List::default() })
        })
    }

    /// Applies a command. Returns whether it changed the state.
    pub fn apply(&mut self, command: Command) -> bool {
        match command {
            Command::Publish { plan, document } => {
                let current = self.plan.as_ref().map(|plan| plan.version);
                let newer = current.is_none_or(|current| plan.version > current);
                if newer {
                    self.plan = Some(plan);
                    self.document = Some(document);
                }
                newer
            }
            Command::Name(named) => {
                let current = self.versions.entry((named.model, named.adapter)).or_default();
                let newer = named.version > *current;
                *current = named.version.max(*current);
                newer
            }
            Command::Quarantine(subject) => self.quarantine.insert(subject),
            Command::Release(subject) => self.quarantine.remove(subject),
        }
    }

    /// Returns the quarantined subjects.
    pub fn quarantine(&self) -> &List {
        &self.quarantine
    }

    /// Returns the adapter versions in force.
    pub fn versions(&self) -> Vec<Version> {
        let versions = self.versions.iter().map(|((model, adapter), version)| Version {
            model: model.clone(),
            adapter: adapter.clone(),
            version: *version,
        });
        versions.collect()
    }
}
