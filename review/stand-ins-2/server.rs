//! A server of a service: registers itself, answers requests and, if it has a model, carries out orders.

use std::io::BufReader;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http;
use crate::http::Message;
use crate::model::Model;
use crate::record::Record;

/// What a server says of itself.
#[derive(Clone)]
pub struct Identity {
    pub id: String,
    pub service: String,
    pub version: String,
    pub address: SocketAddr,
    pub slots: u32,
}

/// Answers a request that the server runs; returns whether the connection stays open.
pub type Work = dyn Fn(&Server, &Message, &mut TcpStream) -> bool + Send + Sync;

pub struct Server {
    pub identity: Identity,
    pub model: Option<Mutex<Model>>,
    pub record: Record,
    pub running: AtomicU32,
    /// The delay of its first heartbeat.
    late: Duration,
    born: u64,
    controls: Vec<SocketAddr>,
    alive: AtomicBool,
    beats: AtomicU64,
    connections: Mutex<Vec<TcpStream>>,
    work: Arc<Work>,
}

/// How often a server registers, as `HeartbeatMs` says.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

impl Server {
    pub fn start(
        identity: Identity,
        model: Option<Model>,
        controls: Vec<SocketAddr>,
        record: &Record,
        work: Arc<Work>,
    ) -> Arc<Server> {
        Server::launch(identity, model, Duration::ZERO, controls, record, work)
    }

    /// Starts a server without a model whose first heartbeat is late.
    pub fn start_late(
        identity: Identity,
        late: Duration,
        controls: Vec<SocketAddr>,
        record: &Record,
        work: Arc<Work>,
    ) -> Arc<Server> {
        Server::launch(identity, None, late, controls, record, work)
    }

    fn launch(
        identity: Identity,
        model: Option<Model>,
        late: Duration,
        controls: Vec<SocketAddr>,
        record: &Record,
        work: Arc<Work>,
    ) -> Arc<Server> {
        let listener = TcpListener::bind(identity.address);
        let listener =
            listener.unwrap_or_else(|_| crate::cannot_run("a server's address is taken"));
        listener.set_nonblocking(true).expect("the listener can be polled");
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
        let server = Arc::new(Server {
            identity,
            model: model.map(Mutex::new),
            record: record.clone(),
            running: AtomicU32::new(0),
            late,
            born,
            controls,
            alive: AtomicBool::new(true),
            beats: AtomicU64::new(0),
            connections: Mutex::default(),
            work,
        });
        record
            .write(&format!("server {} of {} starts", server.identity.id, server.identity.service));
        let accepting = server.clone();
        thread::spawn(move || accepting.accept(&listener));
        let beating = server.clone();
        thread::spawn(move || beating.register());
        server
    }

    pub fn is_alive(&self) -> bool {
        self.alive.load(Ordering::SeqCst)
    }

    /// Ends as a process that crashes does: its connections break, and it sends nothing more.
    pub fn crash(&self) {
        if !self.alive.swap(false, Ordering::SeqCst) {
            return;
        }
        self.record.write(&format!("server {} crashes", self.identity.id));
        for connection in self.connections.lock().unwrap().drain(..) {
            connection.shutdown(Shutdown::Both).ok();
        }
    }

    fn accept(self: Arc<Server>, listener: &TcpListener) {
        while self.is_alive() {
            match listener.accept() {
                Ok((stream, _)) => {
                    let server = self.clone();
                    thread::spawn(move || server.serve(stream));
                }
                Err(_) => thread::sleep(Duration::from_millis(1)),
            }
        }
    }

    fn serve(&self, mut stream: TcpStream) {
        stream.set_nonblocking(false).ok();
        stream.set_nodelay(true).ok();
        let Ok(copy) = stream.try_clone() else { return };
        self.connections.lock().unwrap().push(copy);
        let Ok(copy) = stream.try_clone() else { return };
        let mut reader = BufReader::new(copy);
        while self.is_alive() {
            let Some(mut request) = http::read_head(&mut reader) else { return };
            let head = request.clone();
            let whole = http::read_body(&mut reader, &head, |bytes| {
                request.body.extend_from_slice(bytes);
                true
            });
            if !whole || !self.is_alive() || !self.answer(&request, &mut stream) {
                return;
            }
        }
    }

    /// Answers a request; returns whether the connection stays open.
    fn answer(&self, request: &Message, stream: &mut TcpStream) -> bool {
        let (_, path) = request.target();
        let expected = request.header("x-expected-instance");
        let other = !expected.is_empty() && expected != self.identity.id;
        if other {
            return self.refuse(request, 421, stream);
        }
        if let Some(model) = &self.model {
            match path {
                "/v1/report" => {
                    let report = model.lock().unwrap().report(self.born);
                    return respond(
                        stream,
                        request,
                        200,
                        &[("Content-Type", "application/json")],
                        &report,
                    );
                }
                "/v1/order" => {
                    let Some(status) = model.lock().unwrap().order(&request.text(), self) else {
                        self.crash();
                        return false;
                    };
                    return respond(
                        stream,
                        request,
                        status,
                        &[("Content-Type", "application/json")],
                        "{}",
                    );
                }
                _ => {}
            }
            let adapter =
                request.header("x-model").split_once('/').map_or("", |(_, name)| name).to_owned();
            if !model.lock().unwrap().begin(&adapter) {
                return self.refuse(request, 421, stream);
            }
            let stays = self.run(request, stream);
            model.lock().unwrap().end(&adapter);
            return stays;
        }
        if path == "/health" {
            let headers = [("X-Instance-Id", self.identity.id.as_str())];
            return respond(stream, request, 200, &headers, "");
        }
        self.run(request, stream)
    }

    fn run(&self, request: &Message, stream: &mut TcpStream) -> bool {
        let (method, path) = request.target();
        let id = request.header("x-request-id");
        self.record.write(&format!("server {} runs {id}: {method} {path}", self.identity.id));
        self.running.fetch_add(1, Ordering::SeqCst);
        let stays = (self.work)(self, request, stream);
        self.running.fetch_sub(1, Ordering::SeqCst);
        stays && self.is_alive()
    }

    fn refuse(&self, request: &Message, status: u16, stream: &mut TcpStream) -> bool {
        let headers = [("X-Not-Executed", "1"), ("X-Instance-Id", self.identity.id.as_str())];
        respond(stream, request, status, &headers, "")
    }

    /// Registers until the server ends, at the next node after one that does not acknowledge.
    fn register(&self) {
        let mut node = self.born as usize;
        thread::sleep(self.late);
        while self.is_alive() {
            let start = Instant::now();
            let body = self.heartbeat();
            let path = format!("/v1/instances/{}", self.identity.id);
            for _ in 0..self.controls.len() {
                let control = self.controls[node % self.controls.len()];
                let answer = http::control(control, "PUT", &path, &body);
                if answer.is_some_and(|answer| answer.status() / 100 == 2) {
                    break;
                }
                node += 1;
            }
            while self.is_alive() && start.elapsed() < HEARTBEAT {
                thread::sleep(Duration::from_millis(10));
            }
        }
    }

    fn heartbeat(&self) -> String {
        let Identity { service, version, address, slots, .. } = &self.identity;
        let sequence = self.beats.fetch_add(1, Ordering::SeqCst) + 1;
        let held = self.model.as_ref().map(|model| model.lock().unwrap().held());
        let models =
            held.map(|held| format!(",\"Stage\":\"both\",\"Models\":{held}")).unwrap_or_default();
        let born = self.born;
        format!(
            "{{\"Service\":\"{service}\",\"Address\":\"{address}\",\"Zone\":\"a\",\"Version\":\"{version}\",\"Slots\":{slots},\
             \"State\":\"ready\",\"ColdRemainingMs\":0,\"Sequence\":{sequence},\"born\":{born}{models}}}"
        )
    }
}

/// Writes a response with a length; returns whether it was written.
pub fn respond(
    stream: &mut TcpStream,
    request: &Message,
    status: u16,
    headers: &[(&str, &str)],
    body: &str,
) -> bool {
    let mut text =
        format!("HTTP/1.1 {status} Answer\r\nX-Request-Id: {}\r\n", request.header("x-request-id"));
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body.as_bytes());
    stream.write_all(&bytes).is_ok()
}
