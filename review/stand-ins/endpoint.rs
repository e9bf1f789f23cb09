//! A server of a plain service: sends heartbeats and runs requests.

use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http;
use crate::http::Message;
use crate::record::Record;
use crate::site::HEARTBEAT;

/// The number of requests that a server runs at the same time, as it says in its heartbeats.
const SLOTS: u32 = 6;

/// What a faulty server sends late, after a complete response, where the next response is expected.
const LATE_BYTES: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
/// A faulty server does so before one response of this many (`garble` with `x = 0.03`).
const LATE_EVERY: u64 = 34;

/// A request that the server ran.
#[derive(Clone, Debug)]
pub struct Run {
    /// The time since the start of the case at which the request arrived.
    pub at: Duration,
    pub id: String,
}

/// A server of a plain service.
#[derive(Clone)]
pub struct Endpoint {
    inner: Arc<Inner>,
}

struct Inner {
    record: Record,
    id: String,
    service: String,
    address: SocketAddr,
    keepers: Vec<SocketAddr>,
    born: u64,
    sequence: AtomicU64,
    running: AtomicU64,
    /// The time for which it works on a request.
    work: Duration,
    /// Whether it still sends heartbeats.
    beating: AtomicBool,
    /// Whether it sends [`LATE_BYTES`].
    faulty: AtomicBool,
    /// The responses on connections that had carried one before.
    repeated: AtomicU64,
    runs: Mutex<Vec<Run>>,
}

impl Endpoint {
    /// Starts a server that is ready.
    pub fn start(
        record: &Record,
        id: &str,
        service: &str,
        address: SocketAddr,
        keepers: Vec<SocketAddr>,
        work: Duration,
    ) -> Result<Endpoint, String> {
        let listener = TcpListener::bind(address).map_err(|error| format!("{address}: {error}"))?;
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let inner = Arc::new(Inner {
            record: record.clone(),
            id: id.to_owned(),
            service: service.to_owned(),
            address,
            keepers,
            born: born.as_millis() as u64,
            sequence: AtomicU64::new(1),
            running: AtomicU64::new(0),
            work,
            beating: AtomicBool::new(true),
            faulty: AtomicBool::new(false),
            repeated: AtomicU64::new(0),
            runs: Mutex::default(),
        });
        record.line(&format!("server {id}: starts at {address}"));
        let (accepting, beating) = (inner.clone(), inner.clone());
        thread::spawn(move || accept(&accepting, &listener));
        thread::spawn(move || beat(&beating));
        Ok(Endpoint { inner })
    }

    /// Sets whether it sends bytes late that belong to no request.
    pub fn set_faulty(&self, faulty: bool) {
        self.inner.faulty.store(faulty, Ordering::SeqCst);
    }

    /// Returns the requests that it ran.
    pub fn runs(&self) -> Vec<Run> {
        self.inner.runs.lock().expect("no holder panics").clone()
    }

    /// Sends no more heartbeats and deregisters; returns the time of the acknowledgement. Requests are still served.
    pub fn deregister(&self) -> Result<Duration, String> {
        let inner = &self.inner;
        inner.beating.store(false, Ordering::SeqCst);
        let path = format!("/v1/instances/{}", inner.id);
        let body = format!("{{\"born\":{}}}", inner.born);
        for keeper in inner.keepers.iter().cycle().take(12) {
            let headers = [("Content-Type", "application/json")];
            let sent = http::call(
                *keeper,
                "DELETE",
                &path,
                &headers,
                body.as_bytes(),
                Duration::from_secs(1),
            );
            if sent.is_ok_and(|answer| answer.status() / 100 == 2) {
                let now = inner.record.now();
                inner.record.line(&format!("server {}: DELETE {path} is acknowledged", inner.id));
                return Ok(now);
            }
        }
        Err(format!("nobody acknowledges that {} leaves", inner.id))
    }
}

fn beat(inner: &Inner) {
    let mut keeper = 0;
    while inner.beating.load(Ordering::SeqCst) {
        let sequence = inner.sequence.fetch_add(1, Ordering::SeqCst);
        let body = format!(
            "{{\"Service\":\"{}\",\"Address\":\"{}\",\"Zone\":\"north-port\",\"Version\":\"v1\",\"Slots\":{SLOTS},\
             \"State\":\"ready\",\"ColdRemainingMs\":0,\"Sequence\":{sequence},\"born\":{}}}",
            inner.service, inner.address, inner.born
        );
        let path = format!("/v1/instances/{}", inner.id);
        let headers = [("Content-Type", "application/json")];
        for _ in 0..inner.keepers.len() {
            let address = inner.keepers[keeper % inner.keepers.len()];
            let sent = http::call(
                address,
                "PUT",
                &path,
                &headers,
                body.as_bytes(),
                Duration::from_secs(1),
            );
            if sent.is_ok_and(|answer| answer.status() / 100 == 2) {
                break;
            }
            keeper += 1;
        }
        thread::sleep(HEARTBEAT);
    }
}

fn accept(inner: &Arc<Inner>, listener: &TcpListener) {
    for stream in listener.incoming() {
        let Ok(stream) = stream else { continue };
        let inner = inner.clone();
        thread::spawn(move || serve(&inner, stream));
    }
}

/// Serves the requests of a connection, one at a time.
fn serve(inner: &Inner, stream: TcpStream) {
    stream.set_nodelay(true).ok();
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    let mut answered = 0;
    while let Ok(request) = http::read(&mut reader, false) {
        if answered > 0
            && inner.faulty.load(Ordering::SeqCst)
            && inner.repeated.fetch_add(1, Ordering::SeqCst) % LATE_EVERY == 0
        {
            inner
                .record
                .line(&format!("server {}: sends bytes that belong to no request", inner.id));
            writer.write_all(LATE_BYTES).ok();
        }
        answered += 1;
        let response = answer(inner, &request);
        if writer.write_all(&response).is_err() {
            return;
        }
    }
}

fn answer(inner: &Inner, request: &Message) -> Vec<u8> {
    let (method, path) = request.target();
    let id = request.header("x-request-id").unwrap_or_default().to_owned();
    let other = request.header("x-expected-instance").is_some_and(|expected| expected != inner.id);
    if other {
        return response(421, &id, "X-Not-Executed: 1\r\n", "");
    }
    if path == "/health" {
        return response(200, &id, &format!("X-Instance-Id: {}\r\n", inner.id), "");
    }
    if id.is_empty() {
        return response(400, &id, "X-Not-Executed: 1\r\n", "");
    }
    let at = inner.record.now();
    inner.record.line(&format!("server {}: runs {id} ({method} {path})", inner.id));
    inner.runs.lock().expect("no holder panics").push(Run { at, id: id.clone() });
    let running = inner.running.fetch_add(1, Ordering::SeqCst) + 1;
    thread::sleep(inner.work);
    inner.running.fetch_sub(1, Ordering::SeqCst);
    let headers =
        format!("X-Server-Signature: {}.{id}\r\nX-Server-Load: {running},0,{SLOTS}\r\n", inner.id);
    response(200, &id, &headers, "done")
}

fn response(status: u16, id: &str, headers: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    let head = format!(
        "HTTP/1.1 {status} S\r\nX-Request-Id: {id}\r\nKeep-Alive: timeout=10\r\nContent-Length: {length}\r\n{headers}\r\n"
    );
    [head.as_bytes(), body.as_bytes()].concat()
}
