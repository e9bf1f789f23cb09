//! `radishctl explain` with a stand-in for the keepers on the loopback address.

use std::ffi::OsString;
use std::net::SocketAddr;

use ctl::Error;
use fleet::explanation::Refusal;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

const REPORT: &str = r#"{"decision":{"outcome":"loads_first","endpoint":"i-2","code":null,"goal_ms":700.0,"excess":1.5,
"waiting":3,"endpoints":[{"endpoint":"i-1","obstacle":"adapter_slots","expected_ms":null,"cost":null,"backlog":900.0,
"running":4,"slots":8.0,"speed":18.0,"work_ms":null,"pace":250.0,"age_ms":120.0,"adapter":"absent","stalled":null},
{"endpoint":"i-2","obstacle":null,"expected_ms":310.0,"cost":402.0,"backlog":0.0,"running":1,"slots":8.0,"speed":18.0,
"work_ms":null,"pace":100.0,"age_ms":null,"adapter":"cached","stalled":0.0}]},
"budget":{"tenant":"t","limit":1000,"used":400,"refused":2}}"#;

/// Answers all requests with a status and a body; returns its address.
async fn serve(status: u16, body: String) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut head = [0; 4_096];
            let read = stream.read(&mut head).await.expect("a request");
            assert!(head[..read].starts_with(b"GET /explain?service=llm&"));
            let length = body.len();
            let head = format!(
                "HTTP/1.1 {status} x\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n"
            );
            stream.write_all((head + &body).as_bytes()).await.expect("the client reads");
        }
    });
    address
}

async fn refuse(status: u16, refusal: Refusal) -> SocketAddr {
    serve(status, serde_json::to_string(&refusal).expect("JSON")).await
}

async fn explain(keepers: &[SocketAddr]) -> Result<String, Error> {
    let mut args = vec!["explain".to_owned(), "--service".to_owned(), "llm".to_owned()];
    for keeper in keepers {
        args.extend(["--keeper".to_owned(), keeper.to_string()]);
    }
    ctl::run(&ctl::parse(args.into_iter().map(OsString::from))?).await
}

/// Guards against an estimate or a reason that the table leaves out.
#[tokio::test]
async fn the_leader_that_another_keeper_names_is_asked() {
    let leader = serve(200, REPORT.to_owned()).await;
    let named = Some(base::Name::from(leader.to_string()));
    let other = refuse(503, Refusal::NotLeader { leader: named }).await;
    let text = explain(&[other]).await.expect("an answer");
    let lines: Vec<Vec<&str>> =
        text.lines().map(|line| line.split_whitespace().collect()).collect();
    assert_eq!(lines[0], ["loads", "first:", "i-2"]);
    assert!(text.contains("quota of t: 400 of 1000 units used"), "{text}");
    let first =
        ["i-1", "adapter", "slots", "-", "-", "absent", "4", "8", "900", "18.0", "-", "250"];
    assert_eq!(lines[5], [&first[..], &["120", "-"]].concat());
    let second = ["i-2", "chosen", "310", "402", "cached", "1", "8", "0", "18.0", "-", "100"];
    assert_eq!(lines[6], [&second[..], &["-", "0.0"]].concat());
}

/// Guards against errors that do not tell their cause.
#[tokio::test]
async fn errors_name_their_cause() {
    let follower = refuse(503, Refusal::NotLeader { leader: None }).await;
    let error = explain(&[follower]).await.expect_err("no leader");
    assert_eq!((error.to_string().as_str(), error.exit_code()), ("no keeper leads", 3));
    let unknown = refuse(404, Refusal::UnknownService).await;
    let error = explain(&[follower, unknown]).await.expect_err("an unknown service");
    assert_eq!((error.to_string().as_str(), error.exit_code()), ("unknown service 'llm'", 4));
    let closed = SocketAddr::from(([127, 0, 0, 1], 1));
    let error = explain(&[closed]).await.expect_err("nobody listens");
    assert!(error.to_string().starts_with("no keeper responded: 127.0.0.1:1"), "{error}");
    let error = explain(&[]).await.expect_err("no address");
    assert_eq!(error.exit_code(), 2);
}
