//! Requests in their stages: parsed, then resolved against the configuration.

use std::collections::BTreeMap;
use std::sync::Arc;

use axum::body::Bytes;
use axum::http::Method;
use base::Code;
use base::Name;
use blackboard::Target;
use parking_lot::Mutex;
use serde_json::value::RawValue;
use state::View;
use state::journal::Key;
use state::view::Rule;
use tokio::time::Instant;
use uuid::Uuid;
use wire::endpoint::Model;

use crate::refusal::Refusal;

/// The scope of the idempotency keys of completions.
const MODEL_SCOPE: &str = "model";

/// A request; `Stage` is [`Parsed`] or [`Resolved`].
#[derive(Clone, Debug)]
pub(crate) struct Request<Stage> {
    /// The id.
    pub(crate) id: Name,
    /// The method.
    pub(crate) method: Method,
    /// The path with the query, as the caller sent it.
    pub(crate) path: String,
    /// The content type of the body.
    pub(crate) content_type: Option<Name>,
    /// The body, as the caller sent it.
    pub(crate) body: Bytes,
    /// The priority from 0 (low) to 9 (high).
    pub(crate) priority: u8,
    /// The time of its receipt.
    pub(crate) received: Instant,
    /// The time limit set by the caller, in milliseconds.
    pub(crate) deadline_ms: Option<u64>,
    /// The caller.
    pub(crate) caller: Name,
    /// The idempotency key set by the caller.
    pub(crate) key: Option<Name>,
    /// Whether the caller marked it as non-idempotent.
    pub(crate) non_idempotent: bool,
    /// The requested operation.
    pub(crate) operation: Operation,
    /// The data of the stage.
    pub(crate) stage: Stage,
}

/// The endpoints that a request was sent to, by this gate or by the gate that it was relayed to.
#[derive(Clone, Debug, Default)]
pub(crate) struct Visited {
    endpoints: Arc<Mutex<Vec<Name>>>,
}

impl Visited {
    /// Adds an endpoint.
    pub(crate) fn add(&self, endpoint: Name) {
        self.endpoints.lock().push(endpoint);
    }

    /// Returns the endpoints in order.
    pub(crate) fn list(&self) -> Vec<Name> {
        self.endpoints.lock().clone()
    }
}

/// The operation of a request.
#[derive(Clone, Debug)]
pub(crate) enum Operation {
    /// A completion.
    Completion {
        /// `ADAPTER` or `ADAPTER@VERSION`.
        model: Name,
        /// Whether the answer is a stream of events.
        stream: bool,
    },
    /// A call of a plain service.
    Service {
        /// The kind of the service.
        kind: Name,
        /// The path after the kind, with the query.
        path: String,
    },
}

/// The stage of a request that was parsed and not yet resolved.
#[derive(Clone, Debug)]
pub(crate) struct Parsed;

/// The stage of a request whose adapter, version and rules are resolved.
#[derive(Clone, Debug)]
pub(crate) struct Resolved {
    /// The adapter version or service that it runs on.
    pub(crate) target: Target,
    /// The deadline of its response.
    pub(crate) deadline: Instant,
    /// Whether the version is deprecated.
    pub(crate) deprecated: bool,
    /// The maximum number of requests queued for the target.
    pub(crate) queue_limit: usize,
    /// The key under which it may run once; `None` if it is idempotent.
    pub(crate) key: Option<Key>,
    /// The digest of method, path and body.
    pub(crate) digest: u64,
    /// The digest of adapter, version and body.
    pub(crate) fingerprint: u64,
    /// Whether it must run alone because an endpoint crashed while running it.
    pub(crate) suspect: bool,
    /// Whether it may run at the chosen endpoint only, because an attempt at another one failed.
    pub(crate) bound: bool,
    /// The endpoints that it was sent to.
    pub(crate) visited: Visited,
}

impl Request<Parsed> {
    /// Resolves adapter, version and rules; `version` is the version resolved by the gate that relayed the
    /// request, if any.
    pub(crate) fn resolve(
        self,
        view: &View,
        version: Option<Model>,
        deadline_limit_ms: u64,
    ) -> Result<Request<Resolved>, Refusal> {
        let (target, deprecated) = match (&self.operation, version) {
            (Operation::Completion { .. }, Some(model)) => resolve_model(view, model)?,
            (Operation::Completion { model, .. }, None) => {
                resolve_model(view, parse_model(view, model)?)?
            }
            (Operation::Service { kind, .. }, _) => {
                if !view.services.contains_key(kind) {
                    return Err(Refusal::new(Code::UnknownService));
                }
                (Target::Service(kind.clone()), false)
            }
        };
        let key = self.journal_key(view)?;
        let limit_ms = self.deadline_ms.unwrap_or(view.defaults.deadline_ms).min(deadline_limit_ms);
        let deadline = self.received + std::time::Duration::from_millis(limit_ms);
        let queue_limit = queue_limit(view, &target);
        let digest = base::digest(&self.digest_input(self.path.as_bytes()));
        let fingerprint = fingerprint(&target, &self.body);
        if view.quarantine.contains_key(&fingerprint) {
            return Err(Refusal::new(Code::Quarantined));
        }
        let stage = Resolved {
            target,
            deadline,
            deprecated,
            queue_limit,
            key,
            digest,
            fingerprint,
            suspect: false,
            bound: false,
            visited: Visited::default(),
        };
        Ok(self.with_stage(stage))
    }

    fn journal_key(&self, view: &View) -> Result<Option<Key>, Refusal> {
        let (scope, non_idempotent) = match &self.operation {
            Operation::Completion { .. } => (Name::from(MODEL_SCOPE), self.non_idempotent),
            Operation::Service { kind, path } => {
                let rules = view.services.get(kind).map(|service| &service.non_idempotent[..]);
                let matched = rules
                    .unwrap_or_default()
                    .iter()
                    .any(|rule| rule_matches(rule, &self.method, path));
                (kind.clone(), matched || self.non_idempotent)
            }
        };
        if !non_idempotent {
            return Ok(None);
        }
        let key = self.key.clone().ok_or_else(|| Refusal::new(Code::KeyRequired))?;
        Ok(Some(Key { scope, key }))
    }

    fn digest_input(&self, path: &[u8]) -> Vec<u8> {
        let method = self.method.as_str().as_bytes();
        [method, b"\0", path, b"\0", &self.body].concat()
    }

    fn with_stage<Stage>(self, stage: Stage) -> Request<Stage> {
        Request {
            id: self.id,
            method: self.method,
            path: self.path,
            content_type: self.content_type,
            body: self.body,
            priority: self.priority,
            received: self.received,
            deadline_ms: self.deadline_ms,
            caller: self.caller,
            key: self.key,
            non_idempotent: self.non_idempotent,
            operation: self.operation,
            stage,
        }
    }
}

impl Request<Resolved> {
    /// Returns the adapter version of a completion; `None` for a call of a plain service.
    pub(crate) fn model(&self) -> Option<&Model> {
        self.stage.target.model()
    }

    /// Returns whether the response is a stream of events.
    pub(crate) fn stream(&self) -> bool {
        matches!(self.operation, Operation::Completion { stream: true, .. })
    }

    /// Returns the path to request at the endpoint.
    pub(crate) fn endpoint_path(&self) -> &str {
        match &self.operation {
            Operation::Completion { .. } => &self.path,
            Operation::Service { path, .. } => path,
        }
    }

    /// Returns the body for the endpoint, with `model` set to the adapter and its version.
    pub(crate) fn endpoint_body(&self) -> Bytes {
        let Some(model) = self.model() else { return self.body.clone() };
        with_model(&self.body, &model_name(model)).unwrap_or_else(|| self.body.clone())
    }
}

/// Returns a new id for a request or an order.
pub(crate) fn id() -> Name {
    Name::from(Uuid::now_v7().to_string())
}

/// Returns the name of a model in the form `ADAPTER@VERSION`.
pub(crate) fn model_name(model: &Model) -> String {
    format!("{}@{}", model.adapter, model.version)
}

fn parse_model(view: &View, model: &Name) -> Result<Model, Refusal> {
    if let Some((adapter, version)) = model.split_once('@') {
        if adapter.is_empty() || version.is_empty() || version.contains('@') {
            return Err(Refusal::new(Code::BadModel));
        }
        return Ok(Model { adapter: Name::from(adapter), version: Name::from(version) });
    }
    if model.is_empty() {
        return Err(Refusal::new(Code::BadModel));
    }
    let adapter = view.adapters.get(model).ok_or_else(|| Refusal::new(Code::UnknownAdapter))?;
    let version = adapter.default.clone().ok_or_else(|| Refusal::new(Code::NoDefaultVersion))?;
    Ok(Model { adapter: model.clone(), version })
}

fn resolve_model(view: &View, model: Model) -> Result<(Target, bool), Refusal> {
    let adapter = view.adapters.get(&model.adapter);
    let adapter = adapter.ok_or_else(|| Refusal::new(Code::UnknownAdapter))?;
    let version = adapter.versions.iter().find(|version| version.name == model.version);
    let version = version.ok_or_else(|| Refusal::new(Code::UnknownVersion))?;
    if let Some(exception) = view.exceptions.get(&model.adapter)
        && exception.rule == Rule::Never
    {
        return Err(Refusal::with(Code::NeverLoaded, exception.reason.as_str()));
    }
    let deprecated = version.deprecated;
    Ok((Target::Model(model), deprecated))
}

fn queue_limit(view: &View, target: &Target) -> usize {
    let exception = target.model().and_then(|model| view.exceptions.get(&model.adapter));
    match exception.map(|exception| &exception.rule) {
        Some(Rule::QueueLimit(limit)) => *limit as usize,
        _ => view.defaults.queue_limit as usize,
    }
}

fn fingerprint(target: &Target, body: &[u8]) -> u64 {
    let name = match target {
        Target::Model(model) => model_name(model),
        Target::Service(kind) => kind.to_string(),
    };
    let body = base::digest(body).to_le_bytes();
    base::digest(&[name.as_bytes(), b"\0", &body].concat())
}

/// Returns whether a rule `METHOD /path-prefix` matches a call.
///
/// A path that a service might normalize differently matches any rule for its method.
fn rule_matches(rule: &str, method: &Method, path: &str) -> bool {
    let (verb, prefix) = rule.split_once(' ').unwrap_or(("*", rule));
    if verb != "*" && !verb.eq_ignore_ascii_case(method.as_str()) {
        return false;
    }
    let path = path.split('?').next().unwrap_or_default();
    let ambiguous = path.contains("//") || path.contains("/.") || path.contains(['%', '\\', ';']);
    let folded = path.to_ascii_lowercase();
    ambiguous || folded.starts_with(&prefix.trim().to_ascii_lowercase())
}

fn with_model(body: &[u8], model: &str) -> Option<Bytes> {
    let mut fields: BTreeMap<String, Box<RawValue>> = serde_json::from_slice(body).ok()?;
    let name = serde_json::value::to_raw_value(model).ok()?;
    fields.insert(String::from("model"), name);
    serde_json::to_vec(&fields).ok().map(Bytes::from)
}
