//! The replicated state machine: the plan, the adapter versions, the quarantine and the departures of endpoints.

use std::sync::Arc;

use base::Event;
use base::Map;
use base::Name;
use fleet::document::Document;
use fleet::endpoint::Incarnation;
use fleet::extension::Extension;
use fleet::message::Frame;
use fleet::message::Version;
use fleet::plan::Plan;
use fleet::quarantine::List;
use fleet::quarantine::Subject;
use fleet::revision::Revision;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::departed;

/// A command that changes the state.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Command {
    /// Puts a plan into force unless a newer one already is.
    Publish {
        /// The plan.
        plan: Arc<Plan>,
        /// The plan document as received, before parsing.
        document: Document,
    },
    /// Puts a version of an adapter into force unless a newer one already is.
    Name(Version),
    /// Quarantines a subject.
    Quarantine(Subject),
    /// Releases a subject from quarantine.
    Release(Subject),
    /// Raises the level to a revision that all members support. Since [`Revision::DEPARTURES`].
    Raise(Revision),
    /// Records that an incarnation of an endpoint leaves. Since [`Revision::DEPARTURES`].
    Depart(Incarnation),
    /// Puts a plan with its extension into force unless a newer one already is. Since [`Revision::TENANTS`].
    PublishExtended {
        /// The plan.
        plan: Arc<Plan>,
        /// The fields that the encoding of the plan lacks.
        extension: Arc<Extension>,
        /// The plan document as received, before parsing.
        document: Document,
    },
}

impl Command {
    /// Logs that the command was applied.
    pub(crate) fn log(&self) {
        match self {
            Command::Publish { plan, .. } | Command::PublishExtended { plan, .. } => {
                base::event!(
                    INFO,
                    Event::PlanApplied,
                    version = plan.version,
                    routes = plan.routes.len()
                );
            }
            Command::Name(version) => {
                base::event!(
                    INFO, Event::VersionNamed, adapter = %version.adapter, version = version.version
                );
            }
            Command::Quarantine(subject) => {
                base::event!(INFO, Event::QuarantineApplied, subject = %subject, quarantined = true);
            }
            Command::Release(subject) => {
                base::event!(INFO, Event::QuarantineApplied, subject = %subject, quarantined = false);
            }
            Command::Raise(level) => base::event!(INFO, Event::LevelRaised, level = %level),
            Command::Depart(Incarnation { endpoint, born }) => {
                base::event!(INFO, Event::DepartureApplied, endpoint = %endpoint, born);
            }
        }
    }

    /// Returns the level from which the command may be proposed: a voter of an earlier revision can't apply it.
    pub fn level(&self) -> Revision {
        match self {
            Command::Depart(_) => Revision::DEPARTURES,
            Command::PublishExtended { .. } => Revision::TENANTS,
            // Raises are proposed only to members that support them.
            Command::Raise(_)
            | Command::Publish { .. }
            | Command::Name(_)
            | Command::Quarantine(_)
            | Command::Release(_) => Revision::UNNAMED,
        }
    }
}

/// The replicated state. Snapshots contain the fields in their order; a new field comes last, and earlier releases
/// ignore it.
#[derive(Clone, Debug, Default, Serialize)]
pub struct State {
    pub(crate) plan: Option<Arc<Plan>>,
    /// The plan document as received, before parsing.
    pub(crate) document: Option<Document>,
    versions: Map<(Name, Name), u64>,
    quarantine: List,
    /// The revision that all members support.
    ///
    /// Invariant: never decreases.
    level: Revision,
    departed: departed::List,
    /// The fields of the plan that its encoding lacks; a release without them skips them.
    extension: Option<Arc<Extension>>,
}

/// The fields that the snapshots of all releases contain.
#[derive(Deserialize)]
struct Base {
    plan: Option<Arc<Plan>>,
    document: Option<Document>,
    versions: Map<(Name, Name), u64>,
}

impl State {
    /// Decodes a snapshot, which an earlier release may have written.
    pub fn decode(snapshot: &[u8]) -> Result<State, postcard::Error> {
        let (base, rest) = postcard::take_from_bytes(snapshot)?;
        let Base { plan, document, versions } = base;
        let (quarantine, rest) = take_or_default(rest)?;
        let (level, rest) = take_or_default(rest)?;
        // A snapshot that lacks a field of its own level was cut off. Without the extension, requests would need no keys.
        let cut_off = |rest: &[u8], since| rest.is_empty() && level >= since;
        if cut_off(rest, Revision::DEPARTURES) {
            return Err(postcard::Error::DeserializeUnexpectedEnd);
        }
        let (departed, rest) = take_or_default(rest)?;
        if cut_off(rest, Revision::TENANTS) {
            return Err(postcard::Error::DeserializeUnexpectedEnd);
        }
        let (extension, _) = take_or_default::<Option<Arc<Extension>>>(rest)?;
        let plan = match (plan, &extension) {
            (Some(plan), Some(extension)) => Some(extended(&plan, extension)),
            (plan, _) => plan,
        };
        Ok(State { plan, document, versions, quarantine, level, departed, extension })
    }

    /// Applies a command. Returns whether it changed the state.
    pub fn apply(&mut self, command: Command) -> bool {
        match command {
            Command::Publish { plan, document } => self.publish(plan, None, document),
            Command::PublishExtended { plan, extension, document } => {
                let plan = extended(&plan, &extension);
                self.publish(plan, Some(extension), document)
            }
            Command::Name(named) => {
                let current = self.versions.entry((named.model, named.adapter)).or_default();
                let newer = named.version > *current;
                *current = named.version.max(*current);
                newer
            }
            Command::Quarantine(subject) => self.quarantine.insert(subject),
            Command::Release(subject) => self.quarantine.remove(subject),
            Command::Raise(level) => {
                let higher = level > self.level;
                self.level = self.level.max(level);
                higher
            }
            Command::Depart(incarnation) => self.departed.insert(incarnation),
        }
    }

    fn publish(
        &mut self,
        plan: Arc<Plan>,
        extension: Option<Arc<Extension>>,
        document: Document,
    ) -> bool {
        let current = self.plan.as_ref().map(|plan| plan.version);
        let newer = current.is_none_or(|current| plan.version > current);
        if newer {
            self.plan = Some(plan);
            self.extension = extension;
            self.document = Some(document);
        }
        newer
    }

    /// Returns the plan in force as the frame for a node of a revision; `None` if that node would serve the plan without
    /// checking API keys.
    pub fn plan_frame(&self, revision: Revision) -> Option<Frame> {
        let plan = self.plan.clone()?;
        match &self.extension {
            Some(extension) if revision >= Revision::TENANTS => {
                Some(Frame::ExtendedPlan(plan, extension.clone()))
            }
            _ => plan.tenants.is_empty().then_some(Frame::Plan(plan)),
        }
    }

    /// Returns the revision that all members support.
    pub fn level(&self) -> Revision {
        self.level
    }

    /// Returns the incarnations of endpoints that have departed.
    pub fn departed(&self) -> &departed::List {
        &self.departed
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

/// Returns a plan with the fields of its extension.
fn extended(plan: &Plan, extension: &Extension) -> Arc<Plan> {
    let mut plan = plan.clone();
    extension.apply(&mut plan);
    Arc::new(plan)
}

/// Decodes the next field of a snapshot; returns it with the remaining bytes. The default if the snapshot ends before it.
fn take_or_default<T: Default + DeserializeOwned>(
    rest: &[u8],
) -> Result<(T, &[u8]), postcard::Error> {
    if rest.is_empty() { Ok((T::default(), rest)) } else { postcard::take_from_bytes(rest) }
}
