//! A small HTTP/1.1 client and the parsing that clients and servers share.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

/// A message: the first line, the headers with lowercase names, and the body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the status of a response; 0 if the first line has none.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// Returns the method and the path of a request.
    pub fn target(&self) -> (&str, &str) {
        let mut words = self.start.split(' ');
        (words.next().unwrap_or_default(), words.next().unwrap_or_default())
    }
}

/// Reads a message; fails if it is not complete. A response without a length ends with its connection.
pub fn read(stream: &mut impl BufRead, response: bool) -> io::Result<Message> {
    let mut message = Message { start: read_line(stream)?, ..Message::default() };
    loop {
        let line = read_line(stream)?;
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
    let chunked = message.header("transfer-encoding").is_some_and(|value| value == "chunked");
    let length = message.header("content-length").and_then(|value| value.parse().ok());
    if chunked {
        message.body = read_chunks(stream)?;
    } else if let Some(length) = length {
        message.body = vec![0; length];
        stream.read_exact(&mut message.body)?;
    } else if response {
        stream.read_to_end(&mut message.body)?;
    }
    Ok(message)
}

fn read_line(stream: &mut impl BufRead) -> io::Result<String> {
    let mut line = String::new();
    if stream.read_line(&mut line)? == 0 {
        return Err(io::Error::from(io::ErrorKind::UnexpectedEof));
    }
    Ok(line.trim_end_matches(['\r', '\n']).to_owned())
}

fn read_chunks(stream: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let line = read_line(stream)?;
        let length = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
        let start = body.len();
        body.resize(start + length, 0);
        stream.read_exact(&mut body[start..])?;
        read_line(stream)?;
        if length == 0 {
            return Ok(body);
        }
    }
}

/// Sends a request on a new connection and returns the response.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, timeout.min(Duration::from_secs(1)))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    if headers.iter().all(|(name, _)| *name != "Host") {
        head.push_str(&format!("Host: {address}\r\n"));
    }
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() || method != "GET" {
        head.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    head.push_str("\r\n");
    stream.write_all(&[head.as_bytes(), body].concat())?;
    read(&mut BufReader::new(stream), true)
}

/// Returns the number after `"name":` in a JSON text.
pub fn json_number(text: &str, name: &str) -> Option<u64> {
    let rest = text.split_once(&format!("\"{name}\":"))?.1.trim_start();
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

/// Returns the text after `"name":` in a JSON text; it must have no escapes.
pub fn json_text(text: &str, name: &str) -> Option<String> {
    let rest = text.split_once(&format!("\"{name}\":"))?.1.trim_start();
    let (value, _) = rest.strip_prefix('"')?.split_once('"')?;
    Some(value.to_owned())
}
