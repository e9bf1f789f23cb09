//! Compares a response with its request.

use base::Name;
use hyper::HeaderMap;
use serde_json::Value;
use wire::endpoint::Model;
use wire::header;

/// The values that the response to a completion must have.
pub(crate) struct Expected {
    /// The request id; `None` if the gate generates it.
    pub(crate) request: Option<String>,
    pub(crate) adapter: Name,
    /// The requested version; `None` for the default version.
    pub(crate) version: Option<Name>,
    pub(crate) prompt_digest: u64,
    pub(crate) tokens: u32,
}

/// The request and the model that a response says it belongs to.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Identity {
    pub(crate) request: String,
    pub(crate) model: Model,
}

impl Expected {
    /// Reads the identity from the headers and compares it; the error is a message for the user.
    pub(crate) fn identity(&self, headers: &HeaderMap) -> Result<Identity, String> {
        let text = |name| headers.get(name).and_then(|value| value.to_str().ok());
        let request = text(header::REQUEST).ok_or("the response has no x-request-id")?;
        let adapter = text(header::ADAPTER).ok_or("the response has no x-adapter")?;
        let version = text(header::VERSION).ok_or("the response has no x-version")?;
        if self.request.as_deref().is_some_and(|sent| sent != request) {
            return Err(format!("the response is for another request, {request}"));
        }
        let other_version = self.version.as_deref().is_some_and(|expected| expected != version);
        if adapter != self.adapter.as_str() || other_version {
            return Err(format!(
                "response of {adapter}@{version} to a request for {}",
                self.adapter
            ));
        }
        let model = Model { adapter: Name::from(adapter), version: Name::from(version) };
        Ok(Identity { request: request.to_owned(), model })
    }

    /// Compares the id and the model in a chunk of the body with the headers.
    pub(crate) fn check_chunk(&self, identity: &Identity, body: &Value) -> Result<(), String> {
        let model = format!("{}@{}", identity.model.adapter, identity.model.version);
        if body["id"] != identity.request.as_str() || body["model"] != model.as_str() {
            let (id, seen) = (&body["id"], &body["model"]);
            return Err(format!(
                "body for {id} {seen} in the response {} {model}",
                identity.request
            ));
        }
        Ok(())
    }

    /// Compares the complete text.
    pub(crate) fn check_text(&self, identity: &Identity, text: &str) -> Result<(), String> {
        let model = &identity.model;
        let expected =
            stub::answer::text(model, &identity.request, self.prompt_digest, self.tokens);
        if text == expected {
            return Ok(());
        }
        let kind = if expected.starts_with(text) { "truncated" } else { "wrong" };
        Err(format!("{kind} text in the response {}", identity.request))
    }
}

/// Returns the generated text in a chunk or in a complete response.
pub(crate) fn content(body: &Value) -> &str {
    let choice = &body["choices"][0];
    let places = [&choice["text"], &choice["delta"]["content"], &choice["message"]["content"]];
    places.into_iter().find_map(Value::as_str).unwrap_or_default()
}
