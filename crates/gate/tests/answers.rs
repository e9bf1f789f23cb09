//! Wrong, crossed and short answers never reach a caller as complete.

mod fake;

use fake::engine::Engine;
use fake::engine::Mode;
use fake::keeper::Keeper;
use fake::site;
use fake::site::send;

async fn ask(mode: Mode, stream: bool) -> site::Reply {
    let keeper = Keeper::start(site::view()).await;
    let gate = site::start(&site::config(&["h1"], &keeper), "h1").await;
    let engine = Engine::start("e1", site::engine_role(2, 4)).await;
    engine.mode(mode);
    let announcing = site::announce(&engine, &gate);
    site::owns(&gate, 1).await;
    let url = format!("http://{}/v1/completions", gate.entry.gate);
    let body = format!("{{\"model\":\"a\",\"stream\":{stream}}}");
    let reply = send(&site::http(), "POST", &url, &[], &body).await;
    announcing.abort();
    reply
}

#[tokio::test]
async fn other_version_is_refused() {
    for stream in [false, true] {
        let reply = ask(Mode::OtherVersion, stream).await;
        assert_eq!((reply.code(), reply.ran().as_str()), (1502, "unknown"), "{reply:?}");
    }
}

#[tokio::test]
async fn crossed_answer_is_refused() {
    for stream in [false, true] {
        let reply = ask(Mode::Crossed, stream).await;
        assert_eq!((reply.code(), reply.ran().as_str()), (1502, "unknown"), "{reply:?}");
    }
}

#[tokio::test]
async fn short_stream_ends_with_an_error_and_a_cut() {
    let reply = ask(Mode::Short, true).await;
    assert_eq!(reply.status, 200);
    assert!(!reply.body.contains("[DONE]"), "{}", reply.body);
    assert!(reply.body.contains("\"code\":1503"), "{}", reply.body);
    assert!(!reply.complete);
}

#[tokio::test]
async fn short_whole_answer_is_refused() {
    let reply = ask(Mode::Short, false).await;
    assert_eq!((reply.code(), reply.ran().as_str()), (1503, "unknown"), "{reply:?}");
}

#[tokio::test]
async fn broken_connection_is_refused_as_unknown() {
    let reply = ask(Mode::Cut, false).await;
    assert_eq!((reply.code(), reply.ran().as_str()), (1500, "unknown"), "{reply:?}");
}

#[tokio::test]
async fn idempotent_request_is_retried_at_another_engine() {
    let keeper = Keeper::start(site::view()).await;
    let gate = site::start(&site::config(&["h1"], &keeper), "h1").await;
    let bad = Engine::start("e1", site::engine_role(2, 4)).await;
    let good = Engine::start("e2", site::engine_role(2, 4)).await;
    let announcing = [site::announce(&bad, &gate), site::announce(&good, &gate)];
    site::owns(&gate, 2).await;
    let url = format!("http://{}/v1/completions", gate.entry.gate);
    for number in 0..10 {
        bad.mode(if number % 2 == 0 { Mode::Crossed } else { Mode::Cut });
        let body = format!("{{\"model\":\"b{number}\",\"stream\":true}}");
        let reply = send(&site::http(), "POST", &url, &[], &body).await;
        assert!(reply.body.ends_with("data: [DONE]\n\n"), "{reply:?}");
    }
    assert!(bad.runs() > 0, "no request went to the bad engine");
    announcing.iter().for_each(|task| task.abort());
}
