//! Requests to the platform, over a connection that is kept for the next request.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::{Request, StatusCode};

use crate::http::connection::Connection;

/// Maximum size of a response, in bytes: enough for an endpoint list of about 200,000 entries.
const MAX_RESPONSE_BYTES: usize = 32 << 20;
/// Time to receive the body of a response.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// Sends a request to the platform and returns the response. Uses the kept connection or else opens one, and keeps it if the
/// response was received completely.
pub async fn send_request(
    kept: &mut Option<Connection>,
    address: SocketAddr,
    request: Request<Bytes>,
) -> Result<(StatusCode, Bytes), ()> {
    let mut conn = match kept.take() {
        Some(conn) => conn,
        None => Connection::open(address).await.map_err(|_| ())?,
    };
    let (head, body) = conn.send(request).await.map_err(|_| ())?.into_parts();
    let body = conn.body_within(body, MAX_RESPONSE_BYTES, BODY_TIMEOUT).await?;
    if conn.usable().await {
        *kept = Some(conn);
    }
    Ok((head.status, body))
}
