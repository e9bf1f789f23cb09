//! HTTP/1.1 for clients, operators and servers: blocking, over loopback.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

/// The head of a request or a response, and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The first line.
    pub line: String,
    /// Names in lower case, with their values.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map_or("", |(_, value)| value.as_str())
    }

    /// Returns the status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// Returns the method and the path of a request.
    pub fn target(&self) -> (&str, &str) {
        let mut words = self.line.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads a head; `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> Option<Message> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if message.line.is_empty() {
            message.line = line.to_owned();
        } else if line.is_empty() {
            return Some(message);
        } else if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.trim().to_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads a body by its length or its chunks. Passes each piece to `piece`; returns whether the body is complete.
pub fn read_body(
    reader: &mut impl BufRead,
    head: &Message,
    mut piece: impl FnMut(&[u8]) -> bool,
) -> bool {
    let read_exactly = |reader: &mut dyn BufRead, length: usize| -> Option<Vec<u8>> {
        let mut bytes = vec![0; length];
        reader.read_exact(&mut bytes).ok()?;
        Some(bytes)
    };
    if head.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).unwrap_or(0) == 0 {
                return false;
            }
            let Ok(length) = usize::from_str_radix(line.trim(), 16) else { return false };
            let Some(bytes) = read_exactly(reader, length) else { return false };
            let Some(_) = read_exactly(reader, 2) else { return false };
            if length == 0 {
                return true;
            }
            if !piece(&bytes) {
                return false;
            }
        }
    }
    let length = head.header("content-length").parse().unwrap_or(0);
    match read_exactly(reader, length) {
        Some(bytes) => {
            piece(&bytes);
            true
        }
        None => false,
    }
}

/// Formats a request.
pub fn request(
    method: &str,
    host: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> String {
    let mut text = format!("{method} {path} HTTP/1.1\r\nHost: {host}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() || method != "GET" {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    text.push_str(body);
    text
}

/// Sends a request on a new connection and reads the whole response. `None` without a complete one.
pub fn call(
    address: SocketAddr,
    method: &str,
    host: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_nodelay(true).ok();
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.write_all(request(method, host, path, headers, body).as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let mut response = read_head(&mut reader)?;
    let head = response.clone();
    let complete = read_body(&mut reader, &head, |bytes| {
        response.body.extend_from_slice(bytes);
        true
    });
    complete.then_some(response)
}

/// Calls an interface of the system with a JSON body.
pub fn control(address: SocketAddr, method: &str, path: &str, body: &str) -> Option<Message> {
    let headers = [("Content-Type", "application/json"), ("Connection", "close")];
    call(address, method, &address.to_string(), path, &headers, body, Duration::from_secs(1))
}
