//! Result notifications: reports messages that ended undelivered to the platform, and repeats each until the platform has
//! acknowledged it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;

use bytes::Bytes;
use decision::interface::MessageId;
use hyper::{Request, StatusCode};
use journal::Abandonment;
use serde::Serialize;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::sync::watch::Receiver;
use tokio::time::timeout;

use crate::http::connection::Connection;
use crate::platform_client::send_request;
use crate::ports::{Inbound, MAX_BODY_BYTES};

/// Delay before a failed notification is sent again.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// A notification that is not acknowledged within this time is sent again.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(500);
/// After this time a request is hedged: sent over a second connection as well. The platform normally answers at once and
/// has to get a message's outcome within 300 ms, which a kept connection that no longer responds would prevent. The first
/// request is not cancelled: its response may still arrive before the second one.
const HEDGE_DELAY: Duration = Duration::from_millis(100);

/// Sends a request to the platform. The request must be idempotent, since it may arrive twice. It is hedged over a
/// second connection after [`HEDGE_DELAY`].
async fn send_hedged(
    kept: &mut Option<Connection>,
    address: SocketAddr,
    request: Request<Bytes>,
) -> Result<(StatusCode, Bytes), ()> {
    let mut other = None;
    let answer = {
        let mut first = pin!(send_request(kept, address, request.clone(), None));
        let mut second = pin!(async {
            tokio::time::sleep(HEDGE_DELAY).await;
            send_request(&mut other, address, request, None).await
        });
        tokio::select! {
            answer = &mut first => answer,
            answer = &mut second => match answer {
                Ok(answer) => Ok(answer),
                Err(()) => first.await,
            },
        }
    };
    if other.is_some() {
        *kept = other;
    }
    answer
}

/// The final outcome of a message, which has to be reported to the platform.
#[derive(Debug)]
pub struct Notification {
    /// The message.
    pub message: MessageId,
    /// Its `Req-Id`.
    pub id: String,
    /// The outcome.
    pub outcome: Abandonment,
}

/// A notification as a line of JSON.
#[derive(Serialize)]
struct NotificationLine<'a> {
    id: &'a str,
    status: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    again_ms: Option<u64>,
}

fn line(notification: &Notification) -> Vec<u8> {
    let (status, retry_after) = match notification.outcome {
        Abandonment::Deferred(retry_after) => {
            ("deferred", Some(retry_after.div_ceil(1000)).filter(|ms| *ms > 0))
        }
        Abandonment::Undeliverable => ("undeliverable", None),
    };
    let mut line =
        serde_json::to_vec(&NotificationLine { id: &notification.id, status, again_ms: retry_after })
            .unwrap_or_default();
    line.push(b'\n');
    line
}

/// Sends notifications, and repeats each until the platform has acknowledged it, also when the platform's address changes in
/// the meantime.
pub async fn send_all(
    mut discovery: Receiver<SocketAddr>,
    mut notifications: UnboundedReceiver<Notification>,
    inbound: UnboundedSender<Inbound>,
) {
    let mut pending: BTreeMap<MessageId, Vec<u8>> = BTreeMap::new();
    let mut conn: Option<Connection> = None;
    let mut max_lines = usize::MAX;
    loop {
        if pending.is_empty() {
            let Some(notification) = notifications.recv().await else { return };
            pending.insert(notification.message, line(&notification));
        }
        while let Ok(notification) = notifications.try_recv() {
            pending.insert(notification.message, line(&notification));
        }
        let (mut body, mut sent) = (Vec::new(), Vec::new());
        for (message, line) in pending.iter().take(max_lines) {
            if !body.is_empty() && body.len() + line.len() > MAX_BODY_BYTES {
                break;
            }
            body.extend(line);
            sent.push(*message);
        }
        if discovery.has_changed().unwrap_or(false) {
            conn = None;
        }
        let address = *discovery.borrow_and_update();
        let request = Request::post("/reports")
            .header("host", address.to_string())
            .header("content-type", "application/json")
            .body(Bytes::from(body));
        let Ok(request) = request else { return };
        // The platform may close idle connections at any time; a kept one that is closed is not a failed attempt.
        if let Some(mut kept) = conn.take()
            && kept.usable().await
        {
            conn = Some(kept);
        }
        let answer = tokio::select! {
            answer = timeout(ATTEMPT_TIMEOUT, send_hedged(&mut conn, address, request)) => answer,
            Ok(()) = discovery.changed() => {
                conn = None;
                continue;
            }
        };
        match answer {
            Ok(Ok((StatusCode::NO_CONTENT, _))) => {
                pending.retain(|message, _| !sent.contains(message));
                max_lines = usize::MAX;
                if inbound.send(Inbound::NotificationsAcknowledged(sent)).is_err() {
                    return;
                }
            }
            // A line that the platform rejects must not block the others: they are sent one at a time until one
            // is acknowledged.
            Ok(Ok((StatusCode::BAD_REQUEST, _))) if sent.len() > 1 => max_lines = 1,
            Ok(Ok((StatusCode::BAD_REQUEST, _))) => {
                eprintln!("the platform does not read a notice; dropped");
                pending.retain(|message, _| !sent.contains(message));
                let _ = inbound.send(Inbound::NotificationsAcknowledged(sent));
            }
            _ => {
                conn = None;
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}
