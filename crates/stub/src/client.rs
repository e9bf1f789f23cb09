//! A small HTTP client for announcements, weight loads and the control API.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper_util::client::legacy::Client as Pool;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

/// An HTTP client with a connection pool.
#[derive(Clone, Debug)]
pub struct Client {
    pool: Pool<HttpConnector, Full<Bytes>>,
    token: Option<base::Name>,
}

impl Default for Client {
    fn default() -> Client {
        Client::new(None)
    }
}

impl Client {
    /// Creates a client that sends `token`, if any, as `Authorization: Bearer`.
    pub fn new(token: Option<base::Name>) -> Client {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Client { pool: Pool::builder(TokioExecutor::new()).build(connector), token }
    }

    /// Sends a request to `address` (`IP:PORT`) and reads the whole response.
    ///
    /// Fails with `TimedOut` after `timeout`.
    pub async fn send(
        &self,
        method: Method,
        address: &str,
        path: &str,
        body: impl Into<Bytes>,
        timeout: Duration,
    ) -> io::Result<Response<Bytes>> {
        let mut builder = Request::builder().method(method).uri(format!("http://{address}{path}"));
        builder = builder.header("content-type", "application/json");
        if let Some(token) = &self.token {
            builder = builder.header("authorization", format!("Bearer {token}"));
        }
        let request = builder.body(Full::new(body.into())).map_err(io::Error::other)?;
        let answer = tokio::time::timeout(timeout, self.send_and_collect(request)).await;
        answer.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
    }

    async fn send_and_collect(&self, request: Request<Full<Bytes>>) -> io::Result<Response<Bytes>> {
        let answer = self.pool.request(request).await.map_err(io::Error::other)?;
        let (parts, body) = answer.into_parts();
        let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
        Ok(Response::from_parts(parts, body))
    }
}
