//! Refusals of requests.

use std::time::Duration;

use axum::Json;
use axum::http::HeaderValue;
use axum::http::StatusCode;
use axum::http::header::RETRY_AFTER;
use axum::response::IntoResponse;
use axum::response::Response;
use base::Code;
use base::Event;
use base::Name;
use base::Ran;
use wire::header;
use wire::http;
use wire::keeper::Fault;

use crate::addresses;
use crate::context::Context;

/// The refusal of a request.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Refusal {
    /// The result code.
    pub(crate) code: Code,
    /// A human-readable explanation.
    pub(crate) message: String,
    /// Whether the request may have run.
    pub(crate) ran: Ran,
    /// The delay after which the caller should retry; `None` if a retry does not help.
    pub(crate) retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal with the default message of the code.
    pub(crate) fn new(code: Code) -> Refusal {
        Refusal::with(code, code.text())
    }

    /// Creates a refusal with a message.
    pub(crate) fn with(code: Code, message: impl Into<String>) -> Refusal {
        let message = message.into();
        Refusal { code, message, ran: code.ran(), retry_after: retry_after(code) }
    }

    /// Returns the body of the response.
    pub(crate) fn body(&self, context: &Context, request: &Name) -> http::Refusal {
        let redirect = matches!(self.code, Code::NotServing | Code::Draining);
        http::Refusal {
            error: http::Error {
                code: self.code,
                kind: Name::from(self.code.name()),
                message: self.message.clone(),
                ran: self.ran,
                request: request.clone(),
                retry_after_ms: self.retry_after.map(|time| time.as_millis() as u64),
                addresses: if redirect { addresses::others(context) } else { Vec::new() },
            },
        }
    }

    /// Returns the response for the caller; logs and counts the refusal.
    pub(crate) fn response(&self, context: &Context, request: &Name) -> Response {
        context.metrics.count_refusal(self.code);
        context.trace.record(
            request,
            Event::Refused,
            format!("{} ran={:?} {}", self.code.name(), self.ran, self.message),
        );
        let status = StatusCode::from_u16(self.code.status());
        let status = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let mut response = (status, Json(self.body(context, request))).into_response();
        let headers = response.headers_mut();
        if let Ok(value) = HeaderValue::from_str(request) {
            headers.insert(header::REQUEST, value);
        }
        if let Some(time) = self.retry_after {
            let seconds = time.as_millis().div_ceil(1_000).max(1) as u64;
            headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
        }
        response
    }
}

impl From<Code> for Refusal {
    fn from(code: Code) -> Refusal {
        Refusal::new(code)
    }
}

impl From<Fault> for Refusal {
    fn from(fault: Fault) -> Refusal {
        match fault {
            Fault::NotLeader { .. } => Refusal::new(Code::NoLeader),
            Fault::Unknown => Refusal::new(Code::Lost),
            Fault::LeaseEnded => Refusal::new(Code::NotServing),
            Fault::Busy => Refusal::new(Code::JournalFull),
        }
    }
}

impl From<http::Error> for Refusal {
    fn from(error: http::Error) -> Refusal {
        Refusal {
            code: error.code,
            message: error.message,
            ran: error.ran,
            retry_after: error.retry_after_ms.map(Duration::from_millis),
        }
    }
}

/// Returns the retry delay for a code, or `None` if a retry does not help.
fn retry_after(code: Code) -> Option<Duration> {
    let milliseconds = match code {
        Code::NotServing | Code::Draining => 200,
        Code::NoEndpoint | Code::OwnerUnreachable | Code::NoLeader | Code::Lost => 500,
        Code::KeyInProgress | Code::CallerLimit | Code::OwnerLost => 500,
        Code::QueueFull | Code::RetryBudget | Code::LoadFailed | Code::JournalFull => 1_000,
        Code::DeadlineExceeded | Code::DeadlineUnreachable => 1_000,
        Code::EndpointFailed | Code::EndpointTimeout => 1_000,
        _ => return None,
    };
    Some(Duration::from_millis(milliseconds))
}
