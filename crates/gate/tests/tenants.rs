//! Authentication of callers by the API keys of tenants.

mod fake;

use base::Name;
use conf::section::Tenant;
use fake::engine::Engine;
use fake::engine::Mode;
use fake::keeper::Keeper;
use fake::site;
use fake::site::send;

fn tenant(name: &str, keys: &[&str]) -> Tenant {
    Tenant { name: Name::from(name), keys: keys.iter().map(|key| (*key).to_owned()).collect() }
}

// Guards against requests that are served without a valid key, and against keys that reach an endpoint.
#[tokio::test]
async fn a_request_needs_the_key_of_a_tenant() {
    let keeper = Keeper::start(site::view()).await;
    let mut config = site::config(&["h1"], &keeper);
    config.tenants = vec![tenant("blue", &["sk-b"]), tenant("red", &["sk-r1", "sk-r2"])];
    assert!(!format!("{config:?}").contains("sk-"), "{config:?}");
    let gate = site::start(&config, "h1").await;
    let engine = Engine::start("e1", site::engine_role(2, 4)).await;
    let announcing = site::announce(&engine, &gate);
    site::wait_for_endpoints(&gate, 1).await;
    let http = site::http();
    let url = |path: &str| format!("http://{}{path}", gate.entry.gate);
    let body = "{\"model\":\"a\",\"stream\":false}";
    let refused: [&[(&str, &str)]; 6] = [
        &[("x-caller", "blue")],
        &[("authorization", "Bearer sk-unknown")],
        &[("authorization", "Basic sk-b")],
        &[("authorization", "sk-b")],
        &[("authorization", "Bearer ")],
        &[("authorization", "Bearer sk-b"), ("authorization", "Bearer sk-b")],
    ];
    for headers in refused {
        for (method, path) in [("POST", "/v1/completions"), ("GET", "/v1/models")] {
            let reply = send(&http, method, &url(path), headers, body).await;
            assert_eq!((reply.status, reply.code()), (401, 1005), "{path} {headers:?}: {reply:?}");
            assert!(!reply.body.contains("sk-"), "{reply:?}");
        }
    }
    assert_eq!(engine.runs(), 0);
    for value in ["Bearer sk-b", "bearer sk-r1", "BEARER sk-r2"] {
        let headers = [("authorization", value), ("x-caller", "forged")];
        let reply = send(&http, "POST", &url("/v1/completions"), &headers, body).await;
        assert_eq!(reply.status, 200, "{reply:?}");
        let reply = send(&http, "GET", &url("/v1/models"), &headers, "").await;
        assert_eq!(reply.status, 200, "{reply:?}");
    }
    assert_eq!(engine.runs(), 3);
    assert_eq!(engine.tables.lock().violations, Vec::<String>::new());
    announcing.abort();
}

// Guards against a tenant that uses the limit of another by the name that it sends.
#[tokio::test]
async fn the_limit_of_a_caller_counts_by_tenant() {
    let mut view = site::view();
    view.defaults.caller_limit = 1;
    let keeper = Keeper::start(view).await;
    let mut config = site::config(&["h1"], &keeper);
    config.tenants = vec![tenant("blue", &["sk-b"]), tenant("red", &["sk-r"])];
    let gate = site::start(&config, "h1").await;
    let engine = Engine::start("e1", site::engine_role(2, 4)).await;
    site::announce(&engine, &gate);
    site::wait_for_endpoints(&gate, 1).await;
    engine.set_mode(Mode::Paused);
    let url = format!("http://{}/v1/completions", gate.entry.gate);
    let body = "{\"model\":\"a\",\"stream\":true}";
    let held = tokio::spawn({
        let url = url.clone();
        let headers = [("authorization", "Bearer sk-b"), ("x-caller", "red")];
        async move { send(&site::http(), "POST", &url, &headers, body).await }
    });
    site::wait_until("the stream runs", async || engine.runs() == 1).await;
    engine.set_mode(Mode::Normal);
    let http = site::http();
    let headers = [("authorization", "Bearer sk-b"), ("x-caller", "other")];
    let reply = send(&http, "POST", &url, &headers, body).await;
    assert_eq!(reply.code(), 1307, "{reply:?}");
    let headers = [("authorization", "Bearer sk-r"), ("x-caller", "blue")];
    let reply = send(&http, "POST", &url, &headers, body).await;
    assert_eq!(reply.status, 200, "{reply:?}");
    engine.resume.notify_waiters();
    assert!(held.await.expect("an answer").complete);
}
