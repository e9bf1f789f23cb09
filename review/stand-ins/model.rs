//! A model engine: holds adapters, carries out orders and runs requests.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http;
use crate::http::Message;
use crate::record::Record;
use crate::site::HEARTBEAT;

/// The base model that the engine holds.
pub const MODEL: &str = "m0";
/// The time for which it works on a request, and in which it loads an adapter.
const WORK: Duration = Duration::from_millis(60);
const LOAD: Duration = Duration::from_millis(250);

/// An order that reached the engine.
#[derive(Clone, Debug)]
pub struct Order {
    pub at: Duration,
    pub holder: String,
    pub fence: u64,
    pub status: u16,
}

/// A model engine.
#[derive(Clone)]
pub struct Engine(Arc<Inner>);

struct Inner {
    record: Record,
    id: String,
    service: String,
    address: SocketAddr,
    keepers: Vec<SocketAddr>,
    born: u64,
    beats: AtomicU64,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    /// The number of orders accepted.
    sequence: u64,
    /// The highest fencing token seen.
    fence: u64,
    adapters: BTreeMap<String, Adapter>,
    orders: Vec<Order>,
}

struct Adapter {
    ready_at: Instant,
    /// The requests that use it.
    users: u32,
    /// Whether it is dropped as soon as no request uses it.
    leaving: bool,
}

impl Engine {
    pub fn start(
        record: &Record,
        id: &str,
        service: &str,
        address: SocketAddr,
        keepers: Vec<SocketAddr>,
    ) -> Result<Engine, String> {
        let listener = TcpListener::bind(address).map_err(|error| format!("{address}: {error}"))?;
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let inner = Arc::new(Inner {
            record: record.clone(),
            id: id.to_owned(),
            service: service.to_owned(),
            address,
            keepers,
            born: born.as_millis() as u64,
            beats: AtomicU64::new(1),
            state: Mutex::default(),
        });
        record.line(&format!("engine {id}: starts at {address}"));
        let (accepting, beating) = (inner.clone(), inner.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let inner = accepting.clone();
                thread::spawn(move || serve(&inner, stream));
            }
        });
        thread::spawn(move || beat(&beating));
        Ok(Engine(inner))
    }

    /// Returns the orders that reached it.
    pub fn orders(&self) -> Vec<Order> {
        self.0.state.lock().expect("no holder panics").orders.clone()
    }
}

fn beat(inner: &Inner) {
    let mut keeper = 0;
    loop {
        let sequence = inner.beats.fetch_add(1, Ordering::SeqCst);
        let models = models(&inner.state.lock().expect("no holder panics"));
        let body = format!(
            "{{\"Service\":\"{}\",\"Address\":\"{}\",\"Zone\":\"north-port\",\"Version\":\"v1\",\"Slots\":64,\
             \"State\":\"ready\",\"ColdRemainingMs\":0,\"Stage\":\"both\",{models},\"Sequence\":{sequence},\"born\":{}}}",
            inner.service, inner.address, inner.born
        );
        let path = format!("/v1/instances/{}", inner.id);
        for _ in 0..inner.keepers.len() {
            let sent = http::call(
                inner.keepers[keeper % inner.keepers.len()],
                "PUT",
                &path,
                &[("Content-Type", "application/json")],
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

/// Returns the fields of a heartbeat or a report that list what is held and what is being loaded.
fn models(state: &State) -> String {
    let now = Instant::now();
    let listed = |ready: bool, prefix: &str| {
        let adapters =
            state.adapters.iter().filter(|(_, adapter)| (adapter.ready_at <= now) == ready);
        let names: Vec<String> =
            adapters.map(|(name, _)| format!("\"{prefix}{name}@1\"")).collect();
        names.join(",")
    };
    format!(
        "\"Models\":[{{\"Name\":\"{MODEL}\",\"Version\":1,\"Adapters\":[{}]}}],\"Incoming\":[{}]",
        listed(true, ""),
        listed(false, &format!("{MODEL}/"))
    )
}

fn serve(inner: &Inner, stream: TcpStream) {
    stream.set_nodelay(true).ok();
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Ok(request) = http::read(&mut reader, false) {
        if writer.write_all(&answer(inner, &request)).is_err() {
            return;
        }
    }
}

fn answer(inner: &Inner, request: &Message) -> Vec<u8> {
    let id = request.header("x-request-id").unwrap_or_default().to_owned();
    if request.header("x-expected-instance").is_some_and(|expected| expected != inner.id) {
        return response(421, &id, "X-Not-Executed: 1\r\n", "");
    }
    match request.target() {
        ("GET", "/v1/report") => {
            let state = inner.state.lock().expect("no holder panics");
            let body = format!(
                "{{\"Stage\":\"both\",{},\"Busy\":false,\"Sequence\":{},\"Queued\":0,\"InFlight\":0,\"KvUsed\":0,\
                 \"KvTotal\":148607,\"Handles\":0,\"born\":{}}}",
                models(&state),
                state.sequence,
                inner.born
            );
            response(200, &id, "Content-Type: application/json\r\n", &body)
        }
        ("POST", "/v1/order") => {
            let text = String::from_utf8_lossy(&request.body).into_owned();
            response(order(inner, &text), &id, "", "")
        }
        _ => run(inner, request, &id),
    }
}

/// Carries out an order; returns the status.
fn order(inner: &Inner, text: &str) -> u16 {
    let (Some(holder), Some(fence)) =
        (http::json_text(text, "Holder"), http::json_number(text, "FencingToken"))
    else {
        return 400;
    };
    let operation = http::json_text(text, "Operation").unwrap_or_default();
    let name = http::json_text(text, "Adapter").unwrap_or_default();
    let expected = http::json_number(text, "Expected");
    let mut state = inner.state.lock().expect("no holder panics");
    let status = if fence < state.fence {
        412
    } else {
        state.fence = fence;
        state.carry_out(&operation, &name, expected)
    };
    let at = inner.record.now();
    inner.record.line(&format!(
        "engine {}: order {operation} {name} of {holder}, token {fence}, answered {status}",
        inner.id
    ));
    state.orders.push(Order { at, holder, fence, status });
    status
}

impl State {
    fn carry_out(&mut self, operation: &str, name: &str, expected: Option<u64>) -> u16 {
        let in_sequence = expected.is_none_or(|expected| expected == self.sequence);
        let now = Instant::now();
        match (operation, self.adapters.get_mut(name)) {
            // The base model is there.
            ("loading", _) if name.is_empty() => 200,
            ("loading", Some(adapter)) if adapter.ready_at <= now => 200,
            ("loading", Some(_)) => 202,
            ("unloading", None) => 200,
            _ if !in_sequence => 409,
            ("loading", None) => {
                let adapter = Adapter { ready_at: now + LOAD, users: 0, leaving: false };
                self.adapters.insert(name.to_owned(), adapter);
                self.sequence += 1;
                202
            }
            ("unloading", Some(adapter)) => {
                self.sequence += 1;
                if adapter.users > 0 {
                    adapter.leaving = true;
                    return 202;
                }
                self.adapters.remove(name);
                200
            }
            _ => 400,
        }
    }
}

/// Runs a request for an adapter that is loaded.
fn run(inner: &Inner, request: &Message, id: &str) -> Vec<u8> {
    let model = request.header("x-model").unwrap_or_default();
    let name = model.split_once('/').map_or("", |(_, name)| name).to_owned();
    {
        let mut state = inner.state.lock().expect("no holder panics");
        let held = state.adapters.get_mut(&name);
        let held = held.filter(|adapter| adapter.ready_at <= Instant::now() && !adapter.leaving);
        let Some(adapter) = held else {
            return response(421, id, "X-Not-Executed: 1\r\n", "");
        };
        adapter.users += 1;
    }
    thread::sleep(WORK);
    let mut state = inner.state.lock().expect("no holder panics");
    if let Some(adapter) = state.adapters.get_mut(&name) {
        adapter.users -= 1;
        if adapter.leaving && adapter.users == 0 {
            state.adapters.remove(&name);
        }
    }
    let headers = format!(
        "Content-Type: text/event-stream\r\nX-Server-Signature: {}.{id}\r\nX-Weight-Versions: 1\r\n",
        inner.id
    );
    response(200, id, &headers, "id: 1\ndata: one\n\nid: 2\ndata: two\n\n")
}

fn response(status: u16, id: &str, headers: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!(
        "HTTP/1.1 {status} S\r\nX-Request-Id: {id}\r\nKeep-Alive: timeout=10\r\nContent-Length: {length}\r\n{headers}\r\n{body}"
    )
    .into_bytes()
}
