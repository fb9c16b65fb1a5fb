//! Requests to the platform, each on a connection that is kept for the next.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::{Request, StatusCode};

use crate::http::connection::Connection;

/// A list has at most so many bytes: some 200,000 endpoints.
const MAX_ANSWER_BYTES: usize = 32 << 20;
/// How long the rest of an answer may take.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// One request to the platform, on a connection that is kept if all went well.
pub async fn ask(
    kept: &mut Option<Connection>,
    address: SocketAddr,
    request: Request<Bytes>,
) -> Result<(StatusCode, Bytes), ()> {
    let mut conn = match kept.take() {
        Some(conn) => conn,
        None => Connection::open(address).await.map_err(|_| ())?,
    };
    let (head, body) = conn.send(request).await.map_err(|_| ())?.into_parts();
    let body = conn.body_within(body, MAX_ANSWER_BYTES, BODY_TIMEOUT).await?;
    if conn.usable().await {
        *kept = Some(conn);
    }
    Ok((head.status, body))
}
