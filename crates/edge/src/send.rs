//! Sends a request to an endpoint over a pooled connection.

use std::sync::Arc;

use bytes::Bytes;
use fleet::endpoint::Endpoint;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;

use crate::pool::Pool;
use crate::pool::Sender;
use crate::settings::SILENCE;
use crate::view::View;

/// The result of sending a request.
#[derive(Debug)]
pub(crate) enum Sent {
    /// The head of the response, with the connection that carries its body.
    Response(Response<Incoming>, Sender),
    /// No byte of the request was sent; holds the cause.
    Unsent(String),
    /// The request may have reached the endpoint; holds the cause.
    Lost(String),
}

/// Sends a request over an idle pooled connection, or over a new one if there is none or it fails before a
/// byte is sent.
pub(crate) async fn send(
    pool: &Arc<Pool>,
    view: &View,
    endpoint: &Endpoint,
    mut request: Request<Full<Bytes>>,
) -> Sent {
    if let Some(mut sender) = pool.take(endpoint) {
        match exchange(pool, view, endpoint, &mut sender, request).await {
            Ok(response) => return Sent::Response(response, sender),
            Err(mut error) => match error.take_message() {
                Some(unsent) => request = unsent,
                None => return Sent::Lost(error.into_error().to_string()),
            },
        }
    }
    let mut sender = match pool.open(endpoint).await {
        Ok(sender) => sender,
        Err(error) => return Sent::Unsent(error.to_string()),
    };
    match exchange(pool, view, endpoint, &mut sender, request).await {
        Ok(response) => Sent::Response(response, sender),
        Err(mut error) => match error.take_message() {
            Some(_) => Sent::Unsent(error.into_error().to_string()),
            None => Sent::Lost(error.into_error().to_string()),
        },
    }
}

/// Sends a request over a connection, and records whether the endpoint could be reached directly.
async fn exchange(
    pool: &Arc<Pool>,
    view: &View,
    endpoint: &Endpoint,
    sender: &mut Sender,
    request: Request<Full<Bytes>>,
) -> Result<Response<Incoming>, TrySendError<Request<Full<Bytes>>>> {
    let direct = sender.via.is_none();
    let sent = view.now();
    let sending = sender.try_send_request(request);
    tokio::pin!(sending);
    let response = match tokio::time::timeout(SILENCE, &mut sending).await {
        Ok(response) => response,
        Err(_) => {
            if direct && pool.path.succeeded_at() < sent {
                pool.record_failure(endpoint);
            }
            sending.await
        }
    };
    match &response {
        Ok(_) if direct => pool.path.record_success(view.now()),
        Err(error) if direct && error.message().is_none() => pool.record_failure(endpoint),
        _ => {}
    }
    response
}
