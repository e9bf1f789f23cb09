//! Responses of another version or request and truncated ones never reach a caller as complete.

mod fake;

use fake::engine::Engine;
use fake::engine::Mode;
use fake::keeper::Keeper;
use fake::site;
use fake::site::send;

async fn request_in_mode(mode: Mode, stream: bool) -> site::Reply {
    let keeper = Keeper::start(site::view()).await;
    let gate = site::start(&site::config(&["h1"], &keeper), "h1").await;
    let engine = Engine::start("e1", site::engine_role(2, 4)).await;
    engine.set_mode(mode);
    let announcing = site::announce(&engine, &gate);
    site::wait_for_endpoints(&gate, 1).await;
    let url = format!("http://{}/v1/completions", gate.entry.gate);
    let body = format!("{{\"model\":\"a\",\"stream\":{stream}}}");
    let reply = send(&site::http(), "POST", &url, &[], &body).await;
    announcing.abort();
    reply
}

#[tokio::test]
async fn response_of_another_version_is_refused() {
    for stream in [false, true] {
        let reply = request_in_mode(Mode::OtherVersion, stream).await;
        assert_eq!((reply.code(), reply.ran().as_str()), (1502, "unknown"), "{reply:?}");
    }
}

#[tokio::test]
async fn response_to_another_request_is_refused() {
    for stream in [false, true] {
        let reply = request_in_mode(Mode::OtherRequest, stream).await;
        assert_eq!((reply.code(), reply.ran().as_str()), (1502, "unknown"), "{reply:?}");
    }
}

#[tokio::test]
async fn truncated_stream_ends_with_an_error_event_and_a_closed_connection() {
    let reply = request_in_mode(Mode::Truncated, true).await;
    assert_eq!(reply.status, 200);
    assert!(!reply.body.contains("[DONE]"), "{}", reply.body);
    assert!(reply.body.contains("\"code\":1503"), "{}", reply.body);
    assert!(!reply.complete);
}

#[tokio::test]
async fn truncated_response_is_refused() {
    let reply = request_in_mode(Mode::Truncated, false).await;
    assert_eq!((reply.code(), reply.ran().as_str()), (1503, "unknown"), "{reply:?}");
}

#[tokio::test]
async fn broken_connection_has_an_unknown_outcome() {
    let reply = request_in_mode(Mode::Disconnected, false).await;
    assert_eq!((reply.code(), reply.ran().as_str()), (1500, "unknown"), "{reply:?}");
}

#[tokio::test]
async fn idempotent_request_is_retried_at_another_engine() {
    let keeper = Keeper::start(site::view()).await;
    let gate = site::start(&site::config(&["h1"], &keeper), "h1").await;
    let faulty = Engine::start("e1", site::engine_role(2, 4)).await;
    let healthy = Engine::start("e2", site::engine_role(2, 4)).await;
    let announcing = [site::announce(&faulty, &gate), site::announce(&healthy, &gate)];
    site::wait_for_endpoints(&gate, 2).await;
    let url = format!("http://{}/v1/completions", gate.entry.gate);
    for number in 0..10 {
        faulty.set_mode(if number % 2 == 0 { Mode::OtherRequest } else { Mode::Disconnected });
        let body = format!("{{\"model\":\"b{number}\",\"stream\":true}}");
        let reply = send(&site::http(), "POST", &url, &[], &body).await;
        assert!(reply.body.ends_with("data: [DONE]\n\n"), "{reply:?}");
    }
    assert!(faulty.runs() > 0, "no request went to the faulty engine");
    announcing.iter().for_each(|task| task.abort());
}
