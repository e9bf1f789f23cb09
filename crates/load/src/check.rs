//! Compares an answer with its request.

use base::Name;
use hyper::HeaderMap;
use serde_json::Value;
use wire::endpoint::Model;
use wire::header;

/// What the answer to a completion must be for.
pub(crate) struct Expected {
    /// The id that was sent; none where a gate makes it.
    pub(crate) request: Option<String>,
    pub(crate) adapter: Name,
    /// The version that was named; none if the default was asked for.
    pub(crate) version: Option<Name>,
    pub(crate) prompt_digest: u64,
    pub(crate) tokens: u32,
}

/// Whose answer it says it is.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Identity {
    pub(crate) request: String,
    pub(crate) model: Model,
}

impl Expected {
    /// Reads whose answer it is from the headers and compares it; the error is for people.
    pub(crate) fn identity(&self, headers: &HeaderMap) -> Result<Identity, String> {
        let text = |name| headers.get(name).and_then(|value| value.to_str().ok());
        let request = text(header::REQUEST).ok_or("the answer has no x-request-id")?;
        let adapter = text(header::ADAPTER).ok_or("the answer has no x-adapter")?;
        let version = text(header::VERSION).ok_or("the answer has no x-version")?;
        if self.request.as_deref().is_some_and(|sent| sent != request) {
            return Err(format!("{request} answered for another request"));
        }
        let other_version = self.version.as_deref().is_some_and(|asked| asked != version);
        if adapter != self.adapter.as_str() || other_version {
            return Err(format!("{adapter}@{version} answered for {}", self.adapter));
        }
        let model = Model { adapter: Name::from(adapter), version: Name::from(version) };
        Ok(Identity { request: request.to_owned(), model })
    }

    /// Compares a part of the body with the headers.
    pub(crate) fn check_chunk(&self, identity: &Identity, body: &Value) -> Result<(), String> {
        let model = format!("{}@{}", identity.model.adapter, identity.model.version);
        if body["id"] != identity.request.as_str() || body["model"] != model.as_str() {
            let (id, seen) = (&body["id"], &body["model"]);
            return Err(format!("{id} {seen} in the answer {} {model}", identity.request));
        }
        Ok(())
    }

    /// Compares the whole text.
    pub(crate) fn check_text(&self, identity: &Identity, text: &str) -> Result<(), String> {
        let model = &identity.model;
        let expected =
            stub::answer::text(model, &identity.request, self.prompt_digest, self.tokens);
        if text == expected {
            return Ok(());
        }
        let kind = if expected.starts_with(text) { "a short" } else { "another" };
        Err(format!("{kind} text in the answer {}", identity.request))
    }
}

/// Returns the text of a part of an answer, or of the whole.
pub(crate) fn content(body: &Value) -> &str {
    let choice = &body["choices"][0];
    let places = [&choice["text"], &choice["delta"]["content"], &choice["message"]["content"]];
    places.into_iter().find_map(Value::as_str).unwrap_or_default()
}
