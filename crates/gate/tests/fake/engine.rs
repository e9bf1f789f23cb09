//! A fake engine or plain service with configurable faults.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use axum::Json;
use axum::Router;
use axum::body::Body;
use axum::body::Bytes;
use axum::extract::Path;
use axum::extract::State;
use axum::http::HeaderMap;
use axum::http::StatusCode;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::any;
use axum::routing::delete;
use axum::routing::get;
use axum::routing::post;
use base::Name;
use parking_lot::Mutex;
use serde_json::Value;
use serde_json::json;
use state::view;
use state::view::Role;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use wire::endpoint::Action;
use wire::endpoint::Announcement;
use wire::endpoint::Fault;
use wire::endpoint::Model;
use wire::endpoint::Order;
use wire::endpoint::Reason;
use wire::endpoint::Running;
use wire::endpoint::State as Report;

/// The behavior of the fake endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum Mode {
    #[default]
    Normal,
    /// The response names another version.
    OtherVersion,
    /// The response belongs to another request.
    OtherRequest,
    /// The response is truncated: a stream lacks its end marker, a completion its `finish_reason`.
    Truncated,
    /// The response pauses until `resume` is notified.
    Paused,
    /// The connection closes without a complete response.
    Disconnected,
    /// The request is refused and does not run.
    Busy,
}

#[derive(Default)]
pub(crate) struct Tables {
    pub(crate) mode: Mode,
    pub(crate) report: Report,
    /// The number of runs, by idempotency key or request id.
    pub(crate) runs: HashMap<Name, u32>,
    pub(crate) orders: Vec<Action>,
    pub(crate) cancelled: Vec<Name>,
    pub(crate) violations: Vec<String>,
    pub(crate) load_failures: u32,
    pub(crate) max_running: usize,
}

impl Tables {
    /// Records a violation if a request contains the credential of its caller.
    fn check_headers(&mut self, headers: &HeaderMap) {
        if headers.contains_key("authorization") {
            self.violations.push("a request contains a credential".to_owned());
        }
    }
}

/// A running fake endpoint.
#[derive(Clone)]
pub(crate) struct Engine {
    pub(crate) endpoint: view::Endpoint,
    pub(crate) tables: Arc<Mutex<Tables>>,
    pub(crate) resume: Arc<Notify>,
}

impl Engine {
    pub(crate) async fn start(name: &str, role: Role) -> Engine {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address").to_string();
        let endpoint = view::Endpoint {
            name: Name::from(name),
            address: Name::from(address),
            host: Name::from("h9"),
            domain: Name::from("d1"),
            role,
            fenced: false,
            generation: 1,
        };
        let engine = Engine { endpoint, tables: Arc::default(), resume: Arc::default() };
        engine.tables.lock().report.generation = 1;
        let router = Router::new()
            .route("/v1/state", get(report))
            .route("/v1/orders", post(order))
            .route("/v1/requests/{id}", delete(cancel))
            .route("/v1/completions", post(complete))
            .route("/v1/chat/completions", post(complete))
            .route("/{*path}", any(service))
            .with_state(engine.clone());
        tokio::spawn(async move { axum::serve(listener, router).await });
        engine
    }

    pub(crate) fn set_mode(&self, mode: Mode) {
        self.tables.lock().mode = mode;
    }

    pub(crate) fn runs(&self) -> u32 {
        self.tables.lock().runs.values().sum()
    }

    pub(crate) fn announcement(&self) -> Announcement {
        let state = self.tables.lock().report.clone();
        Announcement { endpoint: self.endpoint.clone(), state, leaving: false }
    }

    fn end(&self, id: &str) {
        self.tables.lock().report.running.retain(|running| running.request.as_str() != id);
    }
}

async fn report(State(engine): State<Engine>) -> Json<Report> {
    Json(engine.tables.lock().report.clone())
}

async fn cancel(State(engine): State<Engine>, Path(id): Path<Name>) {
    engine.end(&id);
    engine.tables.lock().cancelled.push(id);
    engine.resume.notify_waiters();
}

async fn order(State(engine): State<Engine>, Json(order): Json<Order>) -> Response {
    let mut tables = engine.tables.lock();
    tables.orders.push(order.action.clone());
    match order.action {
        Action::Load(model) => {
            if tables.load_failures > 0 {
                tables.load_failures -= 1;
                return fault(Reason::LoadFailed);
            }
            let Role::Engine { slots, .. } = engine.endpoint.role else {
                return fault(Reason::BadRequest);
            };
            if tables.report.loaded.len() >= slots as usize {
                return fault(Reason::NoSlot);
            }
            tables.report.loaded.push(model);
        }
        Action::Unload(model) => {
            if tables.report.running.iter().any(|running| running.model.as_ref() == Some(&model)) {
                tables.violations.push(format!("{} was evicted in use", model.adapter));
            }
            tables.report.loaded.retain(|loaded| *loaded != model);
        }
        Action::Role(_) => {}
    }
    Json(tables.report.clone()).into_response()
}

fn fault(error: Reason) -> Response {
    let body = Json(Fault { error, message: String::new() });
    (StatusCode::CONFLICT, body).into_response()
}

fn header(headers: &HeaderMap, name: &str) -> Name {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    Name::from(value.unwrap_or_default())
}

async fn complete(
    State(engine): State<Engine>,
    headers: HeaderMap,
    Json(body): Json<Value>,
) -> Response {
    let id = header(&headers, "x-request-id");
    let model_name = body["model"].as_str().unwrap_or_default().to_owned();
    let (adapter, version) = model_name.split_once('@').unwrap_or((&model_name, ""));
    let model = Model { adapter: Name::from(adapter), version: Name::from(version) };
    let mode = {
        let mut tables = engine.tables.lock();
        tables.check_headers(&headers);
        if tables.mode == Mode::Busy {
            return fault(Reason::Busy);
        }
        if !tables.report.loaded.contains(&model) {
            return fault(Reason::NotLoaded);
        }
        *tables.runs.entry(id.clone()).or_default() += 1;
        let running = Running { request: id.clone(), model: Some(model.clone()) };
        tables.report.running.push(running);
        tables.max_running = tables.max_running.max(tables.report.running.len());
        tables.mode
    };
    let reported_id = if mode == Mode::OtherRequest { Name::from("other") } else { id.clone() };
    let version = if mode == Mode::OtherVersion { "v0" } else { version };
    let head = Response::builder()
        .header("x-request-id", reported_id.as_str())
        .header("x-adapter", adapter)
        .header("x-version", version);
    if mode == Mode::Disconnected {
        engine.end(&id);
        let broken: Result<Bytes, std::io::Error> = Err(std::io::Error::other("cut"));
        return head.body(Body::from_stream(futures::stream::iter([broken]))).expect("a head");
    }
    let text = json!({"id": reported_id, "model": format!("{adapter}@{version}"), "text": "word"});
    if body["stream"] != true {
        engine.end(&id);
        let reason = if mode == Mode::Truncated { Value::Null } else { Value::from("stop") };
        let mut completion = text;
        completion["choices"] = json!([{"index": 0, "text": "word", "finish_reason": reason}]);
        return head
            .header("content-type", "application/json")
            .body(completion.to_string().into())
            .unwrap();
    }
    let steps = futures::stream::unfold(0, move |step| {
        let engine = engine.clone();
        let id = id.clone();
        let event = format!("data: {text}\n\n");
        async move {
            if step == 3 && mode == Mode::Paused {
                engine.resume.notified().await;
            }
            tokio::time::sleep(Duration::from_millis(2)).await;
            let event = match step {
                0..5 => event,
                5 if mode != Mode::Truncated => String::from("data: [DONE]\n\n"),
                _ => {
                    engine.end(&id);
                    return None;
                }
            };
            if step == 5 {
                engine.end(&id);
            }
            Some((Ok::<_, std::io::Error>(event), step + 1))
        }
    });
    head.header("content-type", "text/event-stream").body(Body::from_stream(steps)).expect("a head")
}

async fn service(State(engine): State<Engine>, headers: HeaderMap, body: Bytes) -> Response {
    let id = header(&headers, "x-request-id");
    let key = header(&headers, "idempotency-key");
    let (mode, count) = {
        let mut tables = engine.tables.lock();
        tables.check_headers(&headers);
        if tables.mode == Mode::Busy {
            return fault(Reason::Busy);
        }
        let count = tables.runs.entry(key).or_default();
        *count += 1;
        let count = *count;
        (tables.mode, count)
    };
    if mode == Mode::Paused {
        engine.resume.notified().await;
    }
    if mode == Mode::Disconnected {
        let broken: Result<Bytes, std::io::Error> = Err(std::io::Error::other("cut"));
        return Response::new(Body::from_stream(futures::stream::iter([broken])));
    }
    let text = format!("run {count} of {} bytes", body.len());
    ([("x-request-id", id.to_string())], text).into_response()
}
