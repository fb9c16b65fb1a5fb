//! Requests to the platform, over a connection that is kept for the next request.

use std::net::SocketAddr;

use bytes::Bytes;
use hyper::{Request, StatusCode};
use tokio::sync::oneshot;

use crate::http::connection::Connection;

/// Maximum size of a response, in bytes: enough for an endpoint list of about 200,000 entries.
const MAX_RESPONSE_BYTES: usize = 32 << 20;

/// Sends a request to the platform and returns the response. Uses the kept connection or else opens one, and keeps it if the
/// response was received completely. `first_byte` is told when the response begins. The caller limits the time.
pub async fn send_request(
    kept: &mut Option<Connection>,
    address: SocketAddr,
    request: Request<Bytes>,
    first_byte: Option<oneshot::Sender<()>>,
) -> Result<(StatusCode, Bytes), ()> {
    let mut conn = match kept.take() {
        Some(conn) => conn,
        None => Connection::open(address).await.map_err(|_| ())?,
    };
    if let Some(first_byte) = first_byte {
        conn.notify_first_byte(first_byte);
    }
    let (head, body) = conn.send(request).await.map_err(|_| ())?.into_parts();
    let body = conn.body_limited(body, MAX_RESPONSE_BYTES).await?;
    if conn.usable().await {
        *kept = Some(conn);
    }
    Ok((head.status, body))
}
