//! Client of the operator API of the gates.

use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use base::Name;
use bytes::Bytes;
use futures::FutureExt;
use futures::StreamExt;
use futures::future;
use futures::stream::FuturesUnordered;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;
use wire::http;

use crate::Error;

/// The timeout of a call to one gate.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// The time without a response after which the call is sent to the next gate as well.
const HEDGE_DELAY: Duration = Duration::from_millis(300);

/// A client that tries the gates in order, skipping those that are slow, cannot be reached or refuse with status
/// 503.
pub struct Client {
    addresses: Vec<Name>,
    /// The index of the gate that responded last, which is tried first.
    preferred: AtomicUsize,
    token: Option<Name>,
    http: legacy::Client<HttpConnector, Full<Bytes>>,
}

impl Client {
    /// Creates a client for the gates with these operator addresses.
    pub fn new(addresses: Vec<Name>, token: Option<Name>) -> Client {
        let http = legacy::Client::builder(TokioExecutor::new()).build_http();
        Client { addresses, preferred: AtomicUsize::new(0), token, http }
    }

    /// Reads a resource from the first gate that serves it.
    ///
    /// # Errors
    ///
    /// No gate could be reached, the request was refused, or the response is not valid.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        self.call(Method::GET, path, Bytes::new()).await
    }

    /// Posts a body to the first gate that serves it. The request must be idempotent, since it may reach more
    /// than one gate.
    ///
    /// # Errors
    ///
    /// No gate could be reached, the request was refused, or the response is not valid.
    pub async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, Error> {
        let bytes = serde_json::to_vec(body).map_err(|error| Error::Usage(error.to_string()))?;
        self.call(Method::POST, path, Bytes::from(bytes)).await
    }

    async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<T, Error> {
        let preferred = self.preferred.load(Ordering::Relaxed);
        let count = self.addresses.len();
        let mut gates = (0..count).map(|offset| (preferred + offset) % count);
        let mut calls = FuturesUnordered::new();
        let mut last = Error::Unreachable("no address given".to_owned());
        loop {
            let hedge = match gates.next() {
                Some(gate) => {
                    let call =
                        self.call_gate(&self.addresses[gate], method.clone(), path, body.clone());
                    calls.push(async move { (gate, call.await) });
                    tokio::time::sleep(HEDGE_DELAY).left_future()
                }
                None => future::pending().right_future(),
            };
            let response = tokio::select! {
                response = calls.next() => response,
                () = hedge => continue,
            };
            match response {
                None => return Err(last),
                Some((_, Err(error @ Error::Unreachable(_)))) => last = error,
                Some((_, Err(Error::Refused(error)))) if error.code.status() == 503 => {
                    last = Error::Refused(error);
                }
                Some((gate, other)) => {
                    self.preferred.store(gate, Ordering::Relaxed);
                    return other;
                }
            }
        }
    }

    async fn call_gate<T: DeserializeOwned>(
        &self,
        address: &Name,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<T, Error> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header("content-type", "application/json");
        if let Some(token) = &self.token {
            request = request.header("authorization", format!("Bearer {token}"));
        }
        let request =
            request.body(Full::new(body)).map_err(|error| Error::Usage(error.to_string()))?;
        let response = tokio::time::timeout(CALL_TIMEOUT, self.exchange(request));
        let (status, body) = match response.await {
            Ok(Ok(response)) => response,
            Ok(Err(message)) => return Err(Error::Unreachable(format!("{address}: {message}"))),
            Err(_) => return Err(Error::Unreachable(format!("{address}: no response in time"))),
        };
        decode(address, status, &body)
    }

    /// Reads a path at an address, without the token. The response may have any status.
    pub(crate) async fn fetch(
        &self,
        address: &Name,
        path: &str,
    ) -> Result<(StatusCode, Bytes), String> {
        let request = Request::builder().uri(format!("http://{address}{path}"));
        let request = request.body(Full::default()).map_err(|error| error.to_string())?;
        match tokio::time::timeout(CALL_TIMEOUT, self.exchange(request)).await {
            Ok(response) => response,
            Err(_) => Err("no response in time".to_owned()),
        }
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<(StatusCode, Bytes), String> {
        let response = self.http.request(request).await.map_err(|error| error.to_string())?;
        let status = response.status();
        let body: Incoming = response.into_body();
        let body = body.collect().await.map_err(|error| error.to_string())?;
        Ok((status, body.to_bytes()))
    }
}

fn decode<T: DeserializeOwned>(
    address: &Name,
    status: StatusCode,
    body: &[u8],
) -> Result<T, Error> {
    if status.is_success() {
        return serde_json::from_slice(body).map_err(|error| Error::Response {
            address: address.to_string(),
            message: error.to_string(),
        });
    }
    match serde_json::from_slice::<http::Refusal>(body) {
        Ok(refusal) => Err(Error::Refused(Box::new(refusal.error))),
        Err(_) => Err(Error::Response {
            address: address.to_string(),
            message: format!("status {status} without a result code"),
        }),
    }
}
