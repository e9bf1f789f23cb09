//! Validated responses and their delivery to the caller.

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

use crate::admission::Guard;
use crate::context::Context;
use crate::crash;
use crate::failure::Failure;
use crate::request::Request;
use crate::request::Resolved;
use crate::stream::Event;
use crate::stream::Reader;

/// The number of stream events buffered for a slow caller.
const EVENT_BUFFER_LEN: usize = 16;
/// The time for the final error event of a broken stream to be sent before the connection is closed.
const FLUSH_PAUSE: Duration = Duration::from_millis(10);

/// A response that was validated against its request.
#[derive(Debug)]
pub(crate) enum Answer {
    /// A complete response.
    Complete(Complete),
    /// A stream that has begun.
    Stream(Box<Streaming>),
}

/// A complete response.
#[derive(Clone, Debug)]
pub(crate) struct Complete {
    /// The HTTP status.
    pub(crate) status: u16,
    /// The content type.
    pub(crate) content_type: Option<Name>,
    /// The body.
    pub(crate) body: Bytes,
    /// The headers that the gate adds.
    pub(crate) head: Head,
}

/// The headers that a gate adds to a response.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Head {
    /// The time for which the request waited for its adapter to load.
    pub(crate) stall: Duration,
    /// Whether the response was replayed from the journal.
    pub(crate) replayed: bool,
}

/// A stream that has begun.
#[derive(Debug)]
pub(crate) struct Streaming {
    /// The headers.
    pub(crate) head: Head,
    /// The ticket at the endpoint; `None` if the response was relayed by another gate.
    pub(crate) ticket: Option<Ticket>,
    reader: Reader,
    first: Event,
}

impl Head {
    /// Reads the headers that another gate has added.
    pub(crate) fn read(headers: &HeaderMap) -> Head {
        let text = |name| headers.get(name).and_then(|value| value.to_str().ok());
        let stall = text(header::LOAD_STALL).and_then(|text| text.parse().ok()).unwrap_or(0);
        let replayed = text(header::REPLAYED) == Some("true");
        Head { stall: Duration::from_millis(stall), replayed }
    }
}

impl Streaming {
    /// Creates a stream from its first event and the reader of the others.
    pub(crate) fn new(head: Head, reader: Reader, first: Event) -> Streaming {
        Streaming { head, ticket: None, reader, first }
    }

    /// Waits for the end and returns all events.
    pub(crate) async fn collect(mut self) -> Result<(Bytes, Option<Ticket>), Failure> {
        let mut all = self.first.bytes.to_vec();
        let mut last = self.first.last;
        while !last {
            let event = self.reader.next().await?;
            all.extend_from_slice(&event.bytes);
            last = event.last;
        }
        Ok((Bytes::from(all), self.ticket))
    }
}

impl Answer {
    /// Records the load stall and attaches the ticket; the ticket of a complete response is released.
    pub(crate) fn attach(&mut self, mut ticket: Ticket) {
        match self {
            Answer::Complete(complete) => {
                complete.head.stall = ticket.stall;
                ticket.mark_finished();
            }
            Answer::Stream(streaming) => {
                streaming.head.stall = ticket.stall;
                streaming.ticket = Some(ticket);
            }
        }
    }

    /// Returns the response for the caller; `guard` is held until the end of the response.
    pub(crate) fn response(
        self,
        context: &Arc<Context>,
        request: &Request<Resolved>,
        guard: Guard,
    ) -> Response {
        let (status, content_type, head, body) = match self {
            Answer::Complete(complete) => {
                record_answered(context, request);
                let body = Body::from(complete.body);
                (complete.status, complete.content_type, complete.head, body)
            }
            Answer::Stream(streaming) => {
                let head = streaming.head;
                let body = stream_body(Arc::clone(context), request.clone(), *streaming, guard);
                (200, Some(Name::from("text/event-stream")), head, body)
            }
        };
        let mut response = Response::new(body);
        *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
        let headers = response.headers_mut();
        if let Some(value) = content_type {
            insert_header(headers, CONTENT_TYPE.as_str(), &value);
        }
        insert_header(headers, header::REQUEST, &request.id);
        insert_header(headers, header::LOAD_STALL, &head.stall.as_millis().to_string());
        if head.replayed {
            insert_header(headers, header::REPLAYED, "true");
        } else if let Some(model) = request.model() {
            insert_header(headers, header::ADAPTER, &model.adapter);
            insert_header(headers, header::VERSION, &model.version);
        }
        if request.stage.deprecated {
            insert_header(headers, header::DEPRECATED, "true");
        }
        response
    }
}

fn insert_header(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

fn record_answered(context: &Context, request: &Request<Resolved>) {
    context.metrics.requests.with_label_values(&["answered"]).inc();
    let elapsed_ms = request.received.elapsed().as_millis();
    context.trace.record(&request.id, base::Event::Answered, format!("after {elapsed_ms} ms"));
}

fn stream_body(
    context: Arc<Context>,
    request: Request<Resolved>,
    streaming: Streaming,
    guard: Guard,
) -> Body {
    let (sender, receiver) = mpsc::channel(EVENT_BUFFER_LEN);
    tokio::spawn(forward_events(context, request, streaming, sender, guard));
    let events = futures::stream::unfold(receiver, |mut receiver| async move {
        receiver.recv().await.map(|item| (item, receiver))
    });
    Body::from_stream(events)
}

/// Forwards events up to the end marker; a stream that breaks ends with an error event and a closed
/// connection.
async fn forward_events(
    context: Arc<Context>,
    request: Request<Resolved>,
    mut streaming: Streaming,
    sender: mpsc::Sender<io::Result<Bytes>>,
    guard: Guard,
) {
    let began = Instant::now();
    let mut event = streaming.first.clone();
    loop {
        if event.last
            && let Some(ticket) = &mut streaming.ticket
        {
            ticket.mark_finished();
            context.record_service_time(began.elapsed());
        }
        if sender.send(Ok(event.bytes)).await.is_err() {
            context.metrics.requests.with_label_values(&["cancelled"]).inc();
            break;
        }
        if event.last {
            record_answered(&context, &request);
            break;
        }
        let next = tokio::select! {
            next = streaming.reader.next() => next,
            () = sender.closed() => {
                context.metrics.requests.with_label_values(&["cancelled"]).inc();
                break;
            }
        };
        match next {
            Ok(next) => event = next,
            Err(failure) => {
                end_with_error(&context, &request, &streaming, &failure, &sender).await;
                break;
            }
        }
    }
    drop(streaming);
    context.board.dispatch();
    drop(guard);
}

async fn end_with_error(
    context: &Arc<Context>,
    request: &Request<Resolved>,
    streaming: &Streaming,
    failure: &Failure,
    sender: &mpsc::Sender<io::Result<Bytes>>,
) {
    let refusal = match (&streaming.ticket, failure) {
        (Some(ticket), failure) => {
            if failure.may_be_crash() {
                let fingerprint = request.stage.fingerprint;
                crash::record_disconnect(context, ticket, fingerprint);
                crash::notify_peers(context, fingerprint).await;
            }
            failure.refusal()
        }
        (None, Failure::Lost | Failure::Short) => base::Code::OwnerLost.into(),
        (None, failure) => failure.refusal(),
    };
    context.metrics.count_refusal(refusal.code);
    context.trace.record(&request.id, base::Event::AnswerRejected, refusal.message.as_str());
    let body = refusal.body(context, &request.id);
    let json = serde_json::to_string(&body).unwrap_or_default();
    sender.send(Ok(Bytes::from(format!("data: {json}\n\n")))).await.ok();
    tokio::time::sleep(FLUSH_PAUSE).await;
    sender.send(Err(io::Error::other("the answer is not complete"))).await.ok();
}
