//! An HTTP/1.1 client that acts as a caller.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;

/// Timeout for the response headers, and again for the body.
const TIMEOUT: Duration = Duration::from_secs(40);

/// A complete response.
#[derive(Debug)]
pub struct Answer {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl Answer {
    /// Returns the body as JSON, or null if it is not JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }

    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Returns the value of a header, or an empty string if it is missing.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or("")
    }

    /// Returns the result code of a refusal, or 0 if the response is not a refusal.
    pub fn code(&self) -> u64 {
        self.json()["error"]["code"].as_u64().unwrap_or(0)
    }

    /// Returns whether the response is a refusal that guarantees that the request did not run.
    pub fn not_run(&self) -> bool {
        self.json()["error"]["ran"] == "no"
    }
}

/// An HTTP client with a connection pool.
#[derive(Clone)]
pub struct Client {
    http: legacy::Client<HttpConnector, Full<Bytes>>,
}

impl Default for Client {
    fn default() -> Client {
        Client { http: legacy::Client::builder(TokioExecutor::new()).build_http() }
    }
}

impl Client {
    /// Sends a request and returns the response with its body unread.
    pub async fn open(
        &self,
        method: &str,
        url: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Result<Response<Incoming>, String> {
        let mut request = Request::builder().method(method).uri(url);
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(body.into())).map_err(|error| error.to_string())?;
        let answer = tokio::time::timeout(TIMEOUT, self.http.request(request)).await;
        answer
            .map_err(|_| "timed out without a response".to_owned())?
            .map_err(|error| error.to_string())
    }

    /// Sends a request and reads the complete response.
    pub async fn send(
        &self,
        method: &str,
        url: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Result<Answer, String> {
        let answer = self.open(method, url, headers, body).await?;
        let (head, body) = answer.into_parts();
        let body = tokio::time::timeout(TIMEOUT, body.collect()).await;
        let body = body.map_err(|_| "timed out before the end of the response".to_owned())?;
        let body = body.map_err(|error| error.to_string())?.to_bytes();
        Ok(Answer { status: head.status, headers: head.headers, body })
    }

    /// Sends a GET request and reads the complete response.
    pub async fn get(&self, url: &str) -> Result<Answer, String> {
        self.send("GET", url, &[], Bytes::new()).await
    }
}
