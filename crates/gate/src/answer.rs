//! Answers on their way to the caller.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use axum::body::Body;
use axum::body::Bytes;
use axum::http::HeaderMap;
use axum::http::HeaderValue;
use axum::http::StatusCode;
use axum::http::header::CONTENT_TYPE;
use axum::response::Response;
use base::Name;
use blackboard::Ticket;
use tokio::sync::mpsc;
use tokio::time::Instant;
use wire::header;

use crate::context::Context;
use crate::crash;
use crate::failure::Failure;
use crate::progress::Guard;
use crate::request::Request;
use crate::request::Resolved;
use crate::stream::Event;
use crate::stream::Source;

/// The events of a stream that wait for a slow caller.
const BUFFER: usize = 16;
/// The pause in which the last event of a broken stream leaves before the connection is cut.
const FLUSH: Duration = Duration::from_millis(10);

/// An answer that was compared with its request.
#[derive(Debug)]
pub(crate) enum Answer {
    /// It is complete.
    Whole(Whole),
    /// It has begun.
    Stream(Box<Live>),
}

/// A complete answer.
#[derive(Clone, Debug)]
pub(crate) struct Whole {
    /// The HTTP status.
    pub(crate) status: u16,
    /// The content type.
    pub(crate) content_type: Option<Name>,
    /// The body.
    pub(crate) body: Bytes,
    /// The headers that radishbank adds.
    pub(crate) head: Head,
}

/// The headers that radishbank adds to an answer.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Head {
    /// How long the request waited for its adapter to load.
    pub(crate) stall: Duration,
    /// Whether the answer was recorded before.
    pub(crate) replayed: bool,
}

/// A stream that has begun.
#[derive(Debug)]
pub(crate) struct Live {
    /// The headers.
    pub(crate) head: Head,
    /// The count at the endpoint; none if another gate counts.
    pub(crate) ticket: Option<Ticket>,
    source: Source,
    first: Event,
}

impl Head {
    /// Reads the headers that another gate added.
    pub(crate) fn read(headers: &HeaderMap) -> Head {
        let text = |name| headers.get(name).and_then(|value| value.to_str().ok());
        let stall = text(header::LOAD_STALL).and_then(|text| text.parse().ok()).unwrap_or(0);
        let replayed = text(header::REPLAYED) == Some("true");
        Head { stall: Duration::from_millis(stall), replayed }
    }
}

impl Live {
    /// Returns a stream whose first event has come.
    pub(crate) fn new(head: Head, source: Source, first: Event) -> Live {
        Live { head, ticket: None, source, first }
    }

    /// Waits for the end and returns all events.
    pub(crate) async fn collect(mut self) -> Result<(Bytes, Option<Ticket>), Failure> {
        let mut all = self.first.bytes.to_vec();
        let mut last = self.first.last;
        while !last {
            let event = self.source.next().await?;
            all.extend_from_slice(&event.bytes);
            last = event.last;
        }
        Ok((Bytes::from(all), self.ticket))
    }
}

impl Answer {
    /// Notes how long the request waited for its adapter, and who counts it at the endpoint.
    pub(crate) fn seal(&mut self, mut ticket: Ticket) {
        match self {
            Answer::Whole(whole) => {
                whole.head.stall = ticket.stall;
                ticket.finish();
            }
            Answer::Stream(live) => {
                live.head.stall = ticket.stall;
                live.ticket = Some(ticket);
            }
        }
    }

    /// Returns the answer for the caller; `guard` lasts until its end.
    pub(crate) fn response(
        self,
        context: &Arc<Context>,
        request: &Request<Resolved>,
        guard: Guard,
    ) -> Response {
        let (status, content_type, head, body) = match self {
            Answer::Whole(whole) => {
                answered(context, request);
                let body = Body::from(whole.body);
                (whole.status, whole.content_type, whole.head, body)
            }
            Answer::Stream(live) => {
                let head = live.head;
                let body = stream(Arc::clone(context), request.clone(), *live, guard);
                (200, Some(Name::from("text/event-stream")), head, body)
            }
        };
        let mut response = Response::new(body);
        *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
        let headers = response.headers_mut();
        if let Some(value) = content_type {
            put(headers, CONTENT_TYPE.as_str(), &value);
        }
        put(headers, header::REQUEST, &request.id);
        put(headers, header::LOAD_STALL, &head.stall.as_millis().to_string());
        if head.replayed {
            put(headers, header::REPLAYED, "true");
        } else if let Some(model) = request.model() {
            put(headers, header::ADAPTER, &model.adapter);
            put(headers, header::VERSION, &model.version);
        }
        if request.stage.deprecated {
            put(headers, header::DEPRECATED, "true");
        }
        response
    }
}

fn put(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

fn answered(context: &Context, request: &Request<Resolved>) {
    context.metrics.requests.with_label_values(&["answered"]).inc();
    let took = request.received.elapsed().as_millis();
    context.trace.note(&request.id, base::Event::Answered, format!("after {took} ms"));
}

fn stream(context: Arc<Context>, request: Request<Resolved>, live: Live, guard: Guard) -> Body {
    let (sender, receiver) = mpsc::channel(BUFFER);
    tokio::spawn(pump(context, request, live, sender, guard));
    let events = futures::stream::unfold(receiver, |mut receiver| async move {
        receiver.recv().await.map(|item| (item, receiver))
    });
    Body::from_stream(events)
}

/// Passes events on until the end mark; a stream that breaks ends with an error and a cut.
async fn pump(
    context: Arc<Context>,
    request: Request<Resolved>,
    mut live: Live,
    sender: mpsc::Sender<io::Result<Bytes>>,
    guard: Guard,
) {
    let began = Instant::now();
    let mut event = live.first.clone();
    loop {
        if event.last
            && let Some(ticket) = &mut live.ticket
        {
            ticket.finish();
            context.served(began.elapsed());
        }
        if sender.send(Ok(event.bytes)).await.is_err() {
            context.metrics.requests.with_label_values(&["cancelled"]).inc();
            break;
        }
        if event.last {
            answered(&context, &request);
            break;
        }
        let next = tokio::select! {
            next = live.source.next() => next,
            () = sender.closed() => {
                context.metrics.requests.with_label_values(&["cancelled"]).inc();
                break;
            }
        };
        match next {
            Ok(next) => event = next,
            Err(failure) => {
                fail(&context, &request, &live, &failure, &sender).await;
                break;
            }
        }
    }
    drop(live);
    context.board.dispatch();
    drop(guard);
}

async fn fail(
    context: &Arc<Context>,
    request: &Request<Resolved>,
    live: &Live,
    failure: &Failure,
    sender: &mpsc::Sender<io::Result<Bytes>>,
) {
    let refusal = match (&live.ticket, failure) {
        (Some(ticket), failure) => {
            if failure.crash() {
                let fingerprint = request.stage.fingerprint;
                crash::broken(context, &ticket.endpoint, ticket.fence, fingerprint);
                crash::warn(context, fingerprint).await;
            }
            failure.refusal()
        }
        (None, Failure::Lost | Failure::Short) => base::Code::OwnerLost.into(),
        (None, failure) => failure.refusal(),
    };
    context.metrics.refused(refusal.code);
    context.trace.note(&request.id, base::Event::AnswerRejected, refusal.message.as_str());
    let body = refusal.body(context, &request.id);
    let json = serde_json::to_string(&body).unwrap_or_default();
    sender.send(Ok(Bytes::from(format!("data: {json}\n\n")))).await.ok();
    tokio::time::sleep(FLUSH).await;
    sender.send(Err(io::Error::other("the answer is not complete"))).await.ok();
}
