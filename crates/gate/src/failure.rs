//! Failed attempts at an endpoint or another gate.

use base::Code;
use base::Ran;
use wire::endpoint::Fault;
use wire::endpoint::Reason;

use crate::refusal::Refusal;

/// The reason for which an attempt at an endpoint or another gate returned no valid response.
#[derive(Clone, Debug)]
pub(crate) enum Failure {
    /// No connection could be opened, so the request did not run.
    Unsent,
    /// The endpoint rejected the request before running it.
    Rejected(Fault),
    /// This or another gate refused the request.
    Refused(Refusal),
    /// The connection broke before the end of the response.
    Lost,
    /// The response did not arrive before the deadline.
    Timeout,
    /// The endpoint stopped answering while the request was in progress.
    Abandoned,
    /// The response belongs to another request, adapter or version.
    Wrong(String),
    /// The response ended without its end marker.
    Short,
    /// The endpoint responded with an error status.
    Failed(u16),
}

impl Failure {
    /// Returns the refusal that the caller receives.
    pub(crate) fn refusal(&self) -> Refusal {
        match self {
            Failure::Unsent => Refusal::with(Code::NoEndpoint, "the endpoint cannot be reached"),
            Failure::Rejected(fault) => rejected(fault),
            Failure::Refused(refusal) => refusal.clone(),
            Failure::Lost => Refusal::new(Code::EndpointFailed),
            Failure::Timeout => Refusal::new(Code::EndpointTimeout),
            Failure::Abandoned => {
                Refusal::with(Code::EndpointFailed, "the endpoint stopped answering")
            }
            Failure::Wrong(message) => Refusal::with(Code::WrongAnswer, message.as_str()),
            Failure::Short => Refusal::new(Code::ShortAnswer),
            Failure::Failed(status) => {
                Refusal::with(Code::EndpointFailed, format!("the endpoint answered {status}"))
            }
        }
    }

    /// Returns whether it is certain that the request did not run.
    pub(crate) fn not_run(&self) -> bool {
        match self {
            Failure::Unsent | Failure::Rejected(_) => true,
            Failure::Refused(refusal) => refusal.ran == Ran::No,
            _ => false,
        }
    }

    /// Returns whether an idempotent request may succeed at another endpoint.
    pub(crate) fn retriable(&self) -> bool {
        match self {
            Failure::Rejected(fault) => fault.error != Reason::BadRequest,
            Failure::Refused(refusal) => matches!(
                refusal.code,
                Code::NotServing
                    | Code::Draining
                    | Code::NoEndpoint
                    | Code::OwnerUnreachable
                    | Code::OwnerLost
                    | Code::LoadFailed
                    | Code::EndpointFailed
                    | Code::WrongAnswer
                    | Code::ShortAnswer
            ),
            Failure::Timeout => false,
            _ => true,
        }
    }

    /// Returns whether the endpoint may have crashed while it ran the request.
    pub(crate) fn may_be_crash(&self) -> bool {
        match self {
            Failure::Lost | Failure::Short => true,
            Failure::Refused(refusal) => {
                matches!(refusal.code, Code::EndpointFailed | Code::ShortAnswer)
            }
            _ => false,
        }
    }
}

fn rejected(fault: &Fault) -> Refusal {
    let code = match fault.error {
        Reason::BadRequest => Code::BadRequest,
        Reason::StaleFence => Code::StaleFence,
        Reason::LoadFailed => Code::LoadFailed,
        Reason::Busy => Code::QueueFull,
        Reason::NotLoaded | Reason::NoSlot | Reason::InUse => Code::NoEndpoint,
    };
    Refusal::with(code, fault.message.as_str())
}

impl From<Code> for Failure {
    fn from(code: Code) -> Failure {
        Failure::Refused(Refusal::new(code))
    }
}
