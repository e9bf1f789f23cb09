//! Runs against stubs: checks of responses, change of the gate, retries, latency from the scheduled time.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use axum::Json;
use axum::Router;
use axum::http::StatusCode;
use axum::routing::get;
use axum::routing::post;
use base::Code;
use base::Name;
use base::Ran;
use hyper::Method;
use load::experiment;
use load::render;
use load::run::run;
use load::settings;
use load::settings::Adapters;
use load::settings::Run;
use load::settings::Service;
use stub::Engine;
use stub::Faults;
use stub::client::Client;
use stub::engine;
use stub::service;
use stub::store;
use tokio::net::TcpListener;
use tokio::sync::watch;
use wire::endpoint::Action;
use wire::endpoint::Model;
use wire::endpoint::Order;
use wire::http::Address;
use wire::http::Addresses;
use wire::http::Error;
use wire::http::Refusal;

const ADAPTERS: usize = 4;

async fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").await.unwrap()
}

/// Starts an engine that has all adapters loaded.
async fn engine() -> (Engine, Name) {
    let mut settings =
        engine::Settings { load_time: Duration::ZERO, ..engine::Settings::default() };
    settings.latency.first_token_ms = 2.0;
    settings.latency.token_ms = 1.0;
    settings.latency.token_per_request_ms = 0.0;
    let engine = Engine::start(listener().await, settings).unwrap();
    let address = Name::from(engine.address().to_string());
    for number in 1..=ADAPTERS {
        let adapter = Name::from(format!("adapter-{number:05}"));
        let action = Action::Load(Model { adapter, version: Name::from("v1") });
        let order = Order { id: Name::from(number.to_string()), fence: 1, action };
        let body = serde_json::to_vec(&order).unwrap();
        let limit = Duration::from_secs(5);
        let client = Client::default();
        let answer = client.send(Method::POST, &address, "/v1/orders", body, limit).await.unwrap();
        assert_eq!(answer.status(), 200);
    }
    (engine, address)
}

fn settings(address: &Name) -> Run {
    let version = Some(Name::from("v1"));
    Run {
        gates: vec![address.clone()],
        direct: true,
        rate: 100.0,
        seconds: 1.0,
        chat_percent: 30,
        adapters: Adapters { count: ADAPTERS, version, ..Adapters::default() },
        ..Run::default()
    }
}

#[tokio::test]
async fn correct_responses_are_counted_and_timed() {
    let (_engine, address) = engine().await;
    let report = run(&Run { engines: vec![address.clone()], ..settings(&address) }).await;
    assert!(report.sent > 50, "{report}");
    assert_eq!(report.answered, report.sent, "{report}");
    assert_eq!(report.total_ms.count, report.sent);
    assert!(report.first_ms.count > 10);
    assert!(report.between_ms.p50 > 0.5);
    let engines = report.engines.unwrap();
    assert!(engines.fill > 0.0 && engines.fill <= 1.0, "{engines}");
    assert_eq!(report.violations, 0);
}

#[tokio::test]
async fn violations_of_engines_and_the_store_are_described_in_the_report() {
    let (_engine, address) = engine().await;
    let rate = store::Settings { rate: 0.001, burst: 0.0, ..store::Settings::default() };
    let store = stub::Store::start(listener().await, rate).unwrap();
    let weights = Name::from(store.address().to_string());
    let action = |address: &Name, path: &str, method: &str, body| settings::Action {
        at_seconds: 0.5,
        method: Name::from(method),
        address: address.clone(),
        path: Name::from(path),
        body,
        token: None,
    };
    let model = Model { adapter: Name::from("adapter-00001"), version: Name::from("v1") };
    let order = Order { id: Name::from("late"), fence: 1, action: Action::Unload(model) };
    let unload = serde_json::to_value(order).unwrap();
    let actions = vec![
        action(&weights, "/v1/weights/a/v1", "GET", None),
        action(&address, "/v1/orders", "POST", Some(unload)),
    ];
    let only = Adapters { count: 1, ..settings(&address).adapters };
    let engines = vec![address.clone()];
    let report = run(&Run {
        engines,
        store: Some(weights),
        actions,
        adapters: only,
        tokens: 200,
        ..settings(&address)
    })
    .await;
    assert_eq!(report.violations, 2, "{report}");
    let text = report.problems.join("\n");
    assert!(text.contains("unload of adapter-00001@v1 in use"), "{text}");
    assert!(text.contains("load of a@v1 above the rate"), "{text}");
}

#[tokio::test]
async fn wrong_and_broken_responses_are_distinguished() {
    let (engine, address) = engine().await;
    let once = Run { retry_percent: 0.0, ..settings(&address) };
    engine.set_faults(Faults { wrong_version_percent: 100, ..Faults::default() });
    let report = run(&once).await;
    assert_eq!(report.wrong, report.sent, "{report}");
    engine.set_faults(Faults { crossed_percent: 100, ..Faults::default() });
    let report = run(&once).await;
    assert_eq!(report.wrong, report.sent, "{report}");
    engine.set_faults(Faults { short_percent: 100, ..Faults::default() });
    let streamed = run(&Run { stream_percent: 100, ..once.clone() }).await;
    assert_eq!(streamed.broken, streamed.sent, "{streamed}");
    let whole = run(&Run { stream_percent: 0, ..once.clone() }).await;
    assert_eq!(whole.wrong, whole.sent, "{whole}");
    engine.set_faults(Faults { cut_percent: 100, ..Faults::default() });
    let report = run(&once).await;
    assert_eq!(report.broken, report.sent, "{report}");
}

#[tokio::test]
async fn broken_connections_are_retried_within_the_budget() {
    let (engine, address) = engine().await;
    engine.set_faults(Faults { cut_percent: 100, times: Some(5), ..Faults::default() });
    let report = run(&settings(&address)).await;
    assert_eq!((report.answered, report.retries), (report.sent, 5), "{report}");
    engine.set_faults(Faults { cut_percent: 100, ..Faults::default() });
    let report = run(&settings(&address)).await;
    let budget = 10 + report.sent / 10;
    assert!(report.retries <= budget, "{} retries, {report}", report.retries);
    assert_eq!(report.answered, 0);
}

#[tokio::test]
async fn latency_is_measured_from_the_scheduled_time() {
    let (engine, address) = engine().await;
    engine.set_faults(Faults { late_percent: 100, late_ms: 300, ..Faults::default() });
    let report = run(&Run { rate: 200.0, seconds: 0.5, ..settings(&address) }).await;
    // The batch of 16 is full, so that later requests wait; arrivals continue at the same rate.
    let unanswered = report.refusals() + report.broken;
    assert!(report.sent > 60, "{report}");
    assert!(unanswered > 0 && report.total_ms.p50 >= 300.0, "{report}");
}

/// Starts a gate that refuses with a result code and names other addresses; returns its address and the
/// number of requests it received.
async fn refusing_gate(code: Code, others: Vec<Name>) -> (Name, Arc<AtomicU64>) {
    refusing_gate_after(code, others, 1).await
}

/// Starts a gate that sends its refusals once it has received a number of requests.
async fn refusing_gate_after(code: Code, others: Vec<Name>, held: u64) -> (Name, Arc<AtomicU64>) {
    let listener = listener().await;
    let address = Name::from(listener.local_addr().unwrap().to_string());
    let list = |names: &[Name]| -> Vec<Address> {
        names.iter().map(|name| Address { address: name.clone(), weight: 1 }).collect()
    };
    let own = Addresses { addresses: list(std::slice::from_ref(&address)), keep_ms: 60_000 };
    let others = list(&others);
    let requests = Arc::new(AtomicU64::new(0));
    let counter = requests.clone();
    let (received, _) = watch::channel(0);
    let refuse = move || {
        let count = counter.fetch_add(1, Ordering::Relaxed) + 1;
        received.send_replace(count);
        let mut received = received.subscribe();
        let error = Error {
            code,
            kind: Name::from(code.name()),
            message: String::new(),
            ran: Ran::No,
            request: Name::from("r"),
            retry_after_ms: Some(20),
            addresses: others.clone(),
        };
        let status = StatusCode::from_u16(code.status()).unwrap();
        async move {
            received.wait_for(|count| *count >= held).await.unwrap();
            (status, Json(Refusal { error }))
        }
    };
    let router = Router::new()
        .route("/v1/addresses", get(move || async move { Json(own) }))
        .route("/v1/completions", post(refuse.clone()))
        .route("/v1/chat/completions", post(refuse));
    tokio::spawn(async move { axum::serve(listener, router).await });
    (address, requests)
}

#[tokio::test]
async fn requests_move_from_a_draining_gate_to_the_gates_it_names() {
    let (_engine, address) = engine().await;
    let (gate, requests) = refusing_gate(Code::Draining, vec![address.clone()]).await;
    let one = Run { in_progress: 1, ..settings(&address) };
    let report = run(&Run { gates: vec![gate], direct: false, ..one }).await;
    assert!(report.sent > 1, "{report}");
    assert_eq!(report.answered, report.sent, "{report}");
    assert_eq!(requests.load(Ordering::Relaxed), 1);
}

#[tokio::test]
async fn requests_in_progress_at_a_draining_gate_are_not_limited_by_the_retry_budget() {
    let (_engine, address) = engine().await;
    let others = vec![address.clone()];
    let (gate, requests) = refusing_gate_after(Code::Draining, others, 10).await;
    let short = Run { seconds: 0.3, retry_percent: 0.0, ..settings(&address) };
    let report = run(&Run { gates: vec![gate], direct: false, ..short }).await;
    assert_eq!(report.answered, report.sent, "{report}");
    assert!(requests.load(Ordering::Relaxed) >= 10);
}

#[tokio::test]
async fn refusals_are_counted_by_code_and_retried_within_the_budget() {
    let (gate, requests) = refusing_gate(Code::QueueFull, Vec::new()).await;
    let report = run(&Run { direct: false, ..settings(&gate) }).await;
    assert_eq!(report.refused["1303 QueueFull"], report.sent, "{report}");
    let retries = requests.load(Ordering::Relaxed) - report.sent;
    assert_eq!(retries, report.retries);
    assert!(retries > 0 && retries <= 10 + report.sent / 10, "{retries} retries");
}

#[tokio::test]
async fn a_different_response_to_a_repeated_key_is_wrong() {
    let service = stub::Service::start(listener().await, service::Settings::default()).unwrap();
    let address = Name::from(service.address().to_string());
    let calls = Service {
        kind: Name::from("ledger"),
        path: Name::from("/sign"),
        percent: 100,
        repeat_percent: 100,
    };
    // Without a gate there is no journal, so that a repeated key runs again.
    let report = run(&Run { service: Some(calls), rate: 20.0, ..settings(&address) }).await;
    assert_eq!(report.wrong * 2, report.sent, "{report}");
    assert!(report.wrong > 5);
}

#[tokio::test]
async fn an_experiment_compares_variants_and_draws_plots() {
    let (_one, first) = engine().await;
    let (_other, second) = engine().await;
    let text = serde_json::json!({
        "title": "two <engines>",
        "run": {
            "direct": true, "gates": [first], "rate": 40, "seconds": 0.3,
            "adapters": { "count": ADAPTERS, "version": "v1" },
        },
        "variants": [
            { "name": "first", "set": { "engines": [first] } },
            { "name": "second", "set": { "gates": [second], "engines": [second] } },
        ],
        "points": [{ "name": "slow" }, { "name": "fast", "set": { "rate": 80 } }],
        "seeds": [1, 2],
    });
    let experiment: experiment::Experiment = serde_json::from_value(text).unwrap();
    let cells = experiment::run(&experiment, |_| {}).await.unwrap();
    assert_eq!(cells.len(), 8);
    let order: Vec<&str> = cells.iter().map(|cell| cell.variant.as_str()).collect();
    assert_eq!(order[..2], ["first", "second"]);
    assert_eq!(order[4..6], ["second", "first"]);
    let table = render::table(&experiment, &cells);
    assert!(table.contains("load stall p95, ms"), "{table}");
    let html = render::html(&experiment, &cells).unwrap();
    assert!(html.contains("<svg") && html.contains("two &lt;engines&gt;"));
    assert!(html.contains("\"seed\": 2"));
}
