//! One sending of a request to one endpoint.

use bytes::Bytes;
use fleet::endpoint::Endpoint;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;

use crate::pool::Pool;
use crate::pool::Sender;

/// What came of a sending.
#[derive(Debug)]
pub(crate) enum Sent {
    /// The head of an answer, with the connection that its body comes on.
    Answered(Response<Incoming>, Sender),
    /// Not a byte of the request has left.
    Unsent(String),
    /// The request may have arrived.
    Lost(String),
}

/// Sends a request over a kept connection or a new one.
pub(crate) async fn send(
    pool: &Pool,
    endpoint: &Endpoint,
    mut request: Request<Full<Bytes>>,
) -> Sent {
    if let Some(mut sender) = pool.take(endpoint) {
        match sender.try_send_request(request).await {
            Ok(answer) => return Sent::Answered(answer, sender),
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
    match sender.try_send_request(request).await {
        Ok(answer) => Sent::Answered(answer, sender),
        Err(mut error) => match error.take_message() {
            Some(_) => Sent::Unsent(error.into_error().to_string()),
            None => Sent::Lost(error.into_error().to_string()),
        },
    }
}
