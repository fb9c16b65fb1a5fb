//! Requests to the platform, over a connection that is kept for the next request.

use std::net::SocketAddr;

use bytes::Bytes;
use hyper::{Request, StatusCode};
use tokio::sync::oneshot;

use crate::http::connection::{Connection, ExchangeError};

/// Maximum size of a response, in bytes: enough for an endpoint list of about 200,000 entries.
const MAX_RESPONSE_BYTES: usize = 32 << 20;

/// Why a request to the platform has no response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestError {
    /// No connection was established.
    Unreachable,
    /// The connection ended under the request: the process at its other end may have ended.
    Disconnected,
    /// The response is not valid, or too long.
    InvalidResponse,
}

/// Sends a request to the platform and returns the response. Uses the kept connection or else opens one, and keeps it if the
/// response was received completely. `first_byte` is told when the response begins. The caller limits the time.
pub async fn send_request(
    kept: &mut Option<Connection>,
    address: SocketAddr,
    request: Request<Bytes>,
    first_byte: Option<oneshot::Sender<()>>,
) -> Result<(StatusCode, Bytes), RequestError> {
    let mut conn = match kept.take() {
        Some(conn) => conn,
        None => Connection::open(address).await.map_err(|_| RequestError::Unreachable)?,
    };
    if let Some(first_byte) = first_byte {
        conn.notify_first_byte(first_byte);
    }
    let response = conn.send(request).await.map_err(|error| match error {
        ExchangeError::Broken => RequestError::Disconnected,
        _ => RequestError::InvalidResponse,
    })?;
    let (head, body) = response.into_parts();
    let body = conn.body_limited(body, MAX_RESPONSE_BYTES).await.map_err(|()| match conn.is_open() {
        true => RequestError::InvalidResponse,
        false => RequestError::Disconnected,
    })?;
    if conn.usable().await {
        *kept = Some(conn);
    }
    Ok((head.status, body))
}
