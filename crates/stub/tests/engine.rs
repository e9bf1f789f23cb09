//! The engine stub: generated text, orders, faults, restarts.

use std::time::Duration;

use base::Name;
use hyper::Method;
use serde_json::Value;
use serde_json::json;
use stub::Engine;
use stub::Faults;
use stub::answer;
use stub::client::Client;
use stub::engine::Settings;
use stub::record::Kind;
use stub::record::Status;
use tokio::net::TcpListener;
use wire::endpoint::Action;
use wire::endpoint::Fault;
use wire::endpoint::Model;
use wire::endpoint::Order;
use wire::endpoint::Reason;

const TIMEOUT: Duration = Duration::from_secs(10);

async fn engine(settings: Settings) -> (Engine, String) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let engine = Engine::start(listener, settings).unwrap();
    let address = engine.address().to_string();
    (engine, address)
}

fn fast_settings() -> Settings {
    let mut settings = Settings { load_time: Duration::from_millis(5), ..Settings::default() };
    settings.latency.first_token_ms = 2.0;
    settings.latency.token_ms = 2.0;
    settings
}

fn model(adapter: &str) -> Model {
    Model { adapter: Name::from(adapter), version: Name::from("v1") }
}

async fn order(address: &str, id: &str, fence: u64, action: Action) -> Result<(), Reason> {
    let order = Order { id: Name::from(id), fence, action };
    let body = serde_json::to_vec(&order).unwrap();
    let answer = Client::default().send(Method::POST, address, "/v1/orders", body, TIMEOUT).await;
    let answer = answer.unwrap();
    if answer.status().is_success() {
        return Ok(());
    }
    Err(serde_json::from_slice::<Fault>(answer.body()).unwrap().error)
}

async fn complete(address: &str, body: &Value) -> std::io::Result<hyper::Response<bytes::Bytes>> {
    let body = body.to_string();
    Client::default().send(Method::POST, address, "/v1/completions", body, TIMEOUT).await
}

fn completion(adapter: &str, tokens: u32, stream: bool) -> Value {
    json!({ "model": format!("{adapter}@v1"), "prompt": "p", "max_tokens": tokens, "stream": stream })
}

async fn until(mut condition: impl FnMut() -> bool) {
    while !condition() {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

#[tokio::test]
async fn the_generated_text_depends_on_model_request_and_prompt() {
    let (engine, address) = engine(fast_settings()).await;
    let refused = complete(&address, &completion("a", 4, false)).await.unwrap();
    assert_eq!(refused.status(), 409);
    order(&address, "1", 1, Action::Load(model("a"))).await.unwrap();
    let answer = complete(&address, &completion("a", 4, false)).await.unwrap();
    assert_eq!(answer.headers()["x-adapter"], "a");
    assert_eq!(answer.headers()["x-version"], "v1");
    let body: Value = serde_json::from_slice(answer.body()).unwrap();
    let prompt = answer::prompt_digest(&completion("a", 4, false));
    let expected = answer::text(&model("a"), "", prompt, 4);
    assert_eq!(body["choices"][0]["text"], expected);
    assert_eq!(body["model"], "a@v1");
    let stream = complete(&address, &completion("a", 4, true)).await.unwrap();
    let text = String::from_utf8(stream.body().to_vec()).unwrap();
    assert!(text.ends_with("data: [DONE]\n\n"), "{text}");
    assert_eq!(text.matches("data: ").count(), 6);
    let record = engine.record();
    assert_eq!(record.totals.complete, 2);
    assert_eq!(record.totals.not_loaded, 1);
    assert!(record.runs.iter().all(|run| run.end == Status::Complete));
}

#[tokio::test]
async fn an_order_is_executed_once_and_a_stale_fencing_token_is_refused() {
    let (engine, address) = engine(Settings { slots: 1, ..fast_settings() }).await;
    let load = || Action::Load(model("a"));
    let (first, second) =
        tokio::join!(order(&address, "1", 5, load()), order(&address, "1", 5, load()));
    assert_eq!((first, second), (Ok(()), Ok(())));
    assert_eq!(engine.record().totals.loads, 1);
    assert_eq!(order(&address, "2", 5, Action::Load(model("b"))).await, Err(Reason::NoSlot));
    let stale = order(&address, "3", 4, Action::Unload(model("a"))).await;
    assert_eq!(stale, Err(Reason::StaleFence));
    order(&address, "4", 6, Action::Unload(model("a"))).await.unwrap();
    order(&address, "5", 6, Action::Load(model("b"))).await.unwrap();
}

#[tokio::test]
async fn an_engine_that_ignores_fencing_tokens_records_a_violation() {
    let (engine, address) = engine(Settings { fenced: false, ..fast_settings() }).await;
    order(&address, "1", 5, Action::Load(model("a"))).await.unwrap();
    order(&address, "2", 4, Action::Load(model("b"))).await.unwrap();
    assert_eq!(engine.record().violations[0].kind, Kind::StaleFence);
}

#[tokio::test]
async fn an_unload_in_use_is_refused_and_recorded() {
    let (engine, address) = engine(fast_settings()).await;
    order(&address, "1", 1, Action::Load(model("a"))).await.unwrap();
    let running = tokio::spawn({
        let address = address.clone();
        async move { complete(&address, &completion("a", 200, false)).await }
    });
    until(|| engine.record().totals.begun == 1).await;
    assert_eq!(order(&address, "2", 1, Action::Unload(model("a"))).await, Err(Reason::InUse));
    assert_eq!(engine.record().violations[0].kind, Kind::UnloadInUse);
    assert_eq!(running.await.unwrap().unwrap().status(), 200);
    order(&address, "3", 1, Action::Unload(model("a"))).await.unwrap();
}

#[tokio::test]
async fn a_closed_connection_cancels_the_request() {
    let (engine, address) = engine(fast_settings()).await;
    order(&address, "1", 1, Action::Load(model("a"))).await.unwrap();
    for stream in [false, true] {
        let begun = engine.record().totals.begun;
        let running = tokio::spawn({
            let address = address.clone();
            async move { complete(&address, &completion("a", 100_000, stream)).await }
        });
        until(|| engine.record().totals.begun == begun + 1).await;
        running.abort();
        until(|| engine.record().runs.iter().all(|run| run.end == Status::Cancelled)).await;
    }
    order(&address, "2", 1, Action::Unload(model("a"))).await.unwrap();
}

#[tokio::test]
async fn a_request_is_cancelled_by_its_id() {
    let (engine, address) = engine(fast_settings()).await;
    order(&address, "1", 1, Action::Load(model("a"))).await.unwrap();
    let running = tokio::spawn({
        let address = address.clone();
        let pool =
            hyper_util::client::legacy::Client::builder(hyper_util::rt::TokioExecutor::new())
                .build_http();
        let request = hyper::Request::post(format!("http://{address}/v1/completions"))
            .header("x-request-id", "r1")
            .body(http_body_util::Full::new(bytes::Bytes::from(
                completion("a", 100_000, false).to_string(),
            )))
            .unwrap();
        async move { pool.request(request).await.unwrap().status() }
    });
    until(|| engine.record().totals.begun == 1).await;
    let client = Client::default();
    let answer =
        client.send(Method::DELETE, &address, "/v1/requests/r1", "", TIMEOUT).await.unwrap();
    assert_eq!(answer.status(), 204);
    assert_eq!(running.await.unwrap(), 410);
    assert_eq!(engine.record().totals.cancelled, 1);
    let answer =
        client.send(Method::DELETE, &address, "/v1/requests/r1", "", TIMEOUT).await.unwrap();
    assert_eq!(answer.status(), 404);
}

#[tokio::test]
async fn a_poisonous_request_crashes_the_engine_with_all_requests() {
    let poison = Some("deadly".to_owned());
    let settings = Settings { poison, downtime: Duration::from_millis(50), ..fast_settings() };
    let (engine, address) = engine(settings).await;
    order(&address, "1", 1, Action::Load(model("a"))).await.unwrap();
    let generation = engine.record().generation;
    let concurrent = tokio::spawn({
        let address = address.clone();
        async move { complete(&address, &completion("a", 100_000, false)).await }
    });
    until(|| engine.record().totals.begun == 1).await;
    let mut body = completion("a", 4, false);
    body["prompt"] = Value::from("a deadly prompt");
    let poisoned = complete(&address, &body).await.unwrap_err();
    assert_ne!(poisoned.kind(), std::io::ErrorKind::TimedOut);
    let concurrent = concurrent.await.unwrap().unwrap_err();
    assert_ne!(concurrent.kind(), std::io::ErrorKind::TimedOut);
    let record = engine.record();
    assert!(record.generation > generation);
    assert!(record.runs.iter().all(|run| run.end == Status::Crashed));
    let mut answer = complete(&address, &completion("a", 4, false)).await;
    while answer.is_err() {
        answer = complete(&address, &completion("a", 4, false)).await;
    }
    assert_eq!(answer.unwrap().status(), 409);
}

#[tokio::test]
async fn faults_are_injected_as_often_as_configured() {
    let (engine, address) = engine(fast_settings()).await;
    order(&address, "1", 1, Action::Load(model("a"))).await.unwrap();
    let once = Some(1);
    engine.set_faults(Faults { wrong_version_percent: 100, times: once, ..Faults::default() });
    let wrong = complete(&address, &completion("a", 4, false)).await.unwrap();
    assert_eq!(wrong.headers()["x-version"], "v1-wrong");
    let right = complete(&address, &completion("a", 4, false)).await.unwrap();
    assert_eq!(right.headers()["x-version"], "v1");
    engine.set_faults(Faults { short_percent: 100, ..Faults::default() });
    let short = complete(&address, &completion("a", 4, true)).await.unwrap();
    assert!(!String::from_utf8_lossy(short.body()).contains("[DONE]"));
    engine.set_faults(Faults { cut_percent: 100, ..Faults::default() });
    assert!(complete(&address, &completion("a", 4, true)).await.is_err());
    engine.set_faults(Faults { load_fail_percent: 100, ..Faults::default() });
    let failed = order(&address, "2", 1, Action::Load(model("b"))).await;
    assert_eq!(failed, Err(Reason::LoadFailed));
    engine.set_faults(Faults { crossed_percent: 100, ..Faults::default() });
    let crossed = complete(&address, &completion("a", 4, false)).await.unwrap();
    assert_eq!(crossed.headers()["x-request-id"], "-crossed");
}

/// Sends a completion with an id and a priority and returns the status code.
async fn complete_with_priority(
    address: String,
    id: &'static str,
    priority: u8,
    tokens: u32,
) -> u16 {
    let pool = hyper_util::client::legacy::Client::builder(hyper_util::rt::TokioExecutor::new())
        .build_http();
    let body =
        http_body_util::Full::new(bytes::Bytes::from(completion("a", tokens, false).to_string()));
    let request = hyper::Request::post(format!("http://{address}/v1/completions"))
        .header("x-request-id", id)
        .header("x-priority", u16::from(priority))
        .body(body)
        .unwrap();
    pool.request(request).await.unwrap().status().as_u16()
}

#[tokio::test]
async fn a_full_batch_queues_by_priority_and_refuses_when_the_queue_is_full() {
    let (engine, address) = engine(Settings { batch: 1, queue: 2, ..fast_settings() }).await;
    order(&address, "1", 1, Action::Load(model("a"))).await.unwrap();
    let first = tokio::spawn(complete_with_priority(address.clone(), "first", 5, 100));
    until(|| engine.record().totals.begun == 1).await;
    let waiting = async |count: u64| {
        loop {
            let client = Client::default();
            let answer =
                client.send(Method::GET, &address, "/v1/state", "", TIMEOUT).await.unwrap();
            let state: Value = serde_json::from_slice(answer.body()).unwrap();
            if state["waiting"] == count {
                return;
            }
        }
    };
    let low = tokio::spawn(complete_with_priority(address.clone(), "low", 1, 2));
    waiting(1).await;
    let high = tokio::spawn(complete_with_priority(address.clone(), "high", 9, 2));
    waiting(2).await;
    assert_eq!(complete_with_priority(address.clone(), "beyond", 9, 2).await, 409);
    for request in [first, low, high] {
        assert_eq!(request.await.unwrap(), 200);
    }
    let record = engine.record();
    let order: Vec<&str> = record.runs.iter().map(|run| run.request.as_str()).collect();
    assert_eq!(order, ["first", "high", "low"]);
    assert_eq!(record.totals.busy, 1);
}

#[tokio::test]
async fn a_deaf_engine_serves_only_control_requests_and_a_hanging_one_never_responds() {
    let (engine, address) = engine(fast_settings()).await;
    order(&address, "1", 1, Action::Load(model("a"))).await.unwrap();
    let client = Client::default();
    let short = Duration::from_millis(100);
    engine.set_faults(Faults { hang_percent: 100, ..Faults::default() });
    let body = completion("a", 2, false).to_string();
    let hung = client.send(Method::POST, &address, "/v1/completions", body, short).await;
    assert_eq!(hung.unwrap_err().kind(), std::io::ErrorKind::TimedOut);
    assert_eq!(engine.record().totals.begun, 1);
    engine.set_faults(Faults { deaf: true, ..Faults::default() });
    let deaf = client.send(Method::GET, &address, "/v1/state", "", short).await;
    assert_eq!(deaf.unwrap_err().kind(), std::io::ErrorKind::TimedOut);
    let answer =
        client.send(Method::POST, &address, "/control/faults", "{}", TIMEOUT).await.unwrap();
    assert_eq!(answer.status(), 200);
    assert_eq!(
        client.send(Method::GET, &address, "/v1/state", "", TIMEOUT).await.unwrap().status(),
        200
    );
}

#[tokio::test]
async fn a_cached_prefix_reduces_the_time_to_first_token() {
    let mut settings = fast_settings();
    settings.latency.first_token_ms = 100.0;
    settings.latency.cached_prefix_percent = 10;
    let (_engine, address) = engine(settings).await;
    order(&address, "1", 1, Action::Load(model("a"))).await.unwrap();
    let mut times = Vec::new();
    for _ in 0..2 {
        let start = tokio::time::Instant::now();
        complete(&address, &completion("a", 1, false)).await.unwrap();
        times.push(start.elapsed());
    }
    assert!(times[0] >= Duration::from_millis(100), "{times:?}");
    assert!(times[1] < times[0], "{times:?}");
}

#[tokio::test]
async fn a_leaving_engine_serves_during_the_linger_time() {
    let linger = Duration::from_millis(200);
    let (engine, address) = engine(Settings { linger, ..fast_settings() }).await;
    order(&address, "1", 1, Action::Load(model("a"))).await.unwrap();
    let start = tokio::time::Instant::now();
    let body = completion("a", 2, false);
    let (answer, ()) = tokio::join!(complete(&address, &body), engine.leave());
    assert_eq!(answer.unwrap().status(), 200);
    assert!(start.elapsed() >= linger);
}
