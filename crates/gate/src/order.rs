//! Orders to endpoints.

use std::time::Duration;

use base::Name;
use wire::endpoint::Action;
use wire::endpoint::Fault;
use wire::endpoint::Order;
use wire::endpoint::State;

use crate::context::Context;
use crate::leased::Leased;
use crate::request;

/// The timeout of an order at an endpoint.
const ORDER_TIMEOUT: Duration = Duration::from_secs(30);

/// The reason for which an order was not executed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// The gate does not own the endpoint or holds no lease; the order was not sent.
    #[error("the gate does not own the endpoint")]
    NotOwner,
    /// The endpoint refused.
    #[error("refused: {0:?}")]
    Refused(Fault),
    /// No valid response arrived; the endpoint may have executed the order.
    #[error("no valid response")]
    Unknown,
}

/// Sends an order; checks the ownership and the lease immediately before.
pub(crate) async fn send(
    context: &Context,
    endpoint: &Name,
    address: &Name,
    fence: u64,
    action: Action,
) -> Result<State, Error> {
    let order = Order { id: request::id(), fence, action };
    let body = serde_json::to_vec(&order).map_err(|_| Error::NotOwner)?;
    if !context.board.owns(endpoint, fence) {
        return Err(Error::NotOwner);
    }
    let (body, withheld) = Leased::new(&context.board, endpoint, fence, body.into());
    let answer = context.client.post(address, "/v1/orders", body, fence, ORDER_TIMEOUT).await;
    if withheld.get() {
        return Err(Error::NotOwner);
    }
    let (status, body) = answer.ok_or(Error::Unknown)?;
    if status == 200 {
        return serde_json::from_slice(&body).map_err(|_| Error::Unknown);
    }
    let fault = serde_json::from_slice(&body).map_err(|_| Error::Unknown)?;
    Err(Error::Refused(fault))
}
