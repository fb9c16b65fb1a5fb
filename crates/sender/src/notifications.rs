//! Result notifications: the platform is told of messages that ended undelivered, each until it has answered.

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
use crate::platform_client::ask;
use crate::ports::{Inbound, MAX_BODY_BYTES};

/// Wait before a failed notification is sent again.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// A notification that is not acknowledged within this time is sent again.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(500);
/// After this time the request is hedged: sent over a second connection too. The platform answers at once,
/// and is owed a message's outcome within 300 ms: guards that against a kept connection that has fallen
/// silent. The first request is not dropped: one that comes up late may still be the sooner.
const HEDGE_DELAY: Duration = Duration::from_millis(100);

/// One request to the platform that does no harm if it arrives twice: hedged over a second connection where
/// the first takes long.
async fn ask_hedged(
    kept: &mut Option<Connection>,
    address: SocketAddr,
    request: Request<Bytes>,
) -> Result<(StatusCode, Bytes), ()> {
    let mut other = None;
    let answer = {
        let mut first = pin!(ask(kept, address, request.clone()));
        let mut second = pin!(async {
            tokio::time::sleep(HEDGE_DELAY).await;
            ask(&mut other, address, request).await
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

/// The final outcome of a message, which the platform is owed.
#[derive(Debug)]
pub struct Notification {
    /// The message.
    pub message: MessageId,
    /// Its `Req-Id`.
    pub id: String,
    /// How it ended.
    pub outcome: Abandonment,
}

#[derive(Serialize)]
struct NotificationLine<'a> {
    id: &'a str,
    status: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    again_ms: Option<u64>,
}

fn line(notice: &Notification) -> Vec<u8> {
    let (status, again) = match notice.outcome {
        Abandonment::Deferred(again) => ("deferred", Some(again.div_ceil(1000)).filter(|ms| *ms > 0)),
        Abandonment::Undeliverable => ("undeliverable", None),
    };
    let mut line =
        serde_json::to_vec(&NotificationLine { id: &notice.id, status, again_ms: again }).unwrap_or_default();
    line.push(b'\n');
    line
}

/// Sends notifications, each until the platform has acknowledged it, wherever that is by then.
pub async fn send_all(
    mut discovery: Receiver<SocketAddr>,
    mut notices: UnboundedReceiver<Notification>,
    inbound: UnboundedSender<Inbound>,
) {
    let mut owed: BTreeMap<MessageId, Vec<u8>> = BTreeMap::new();
    let mut conn: Option<Connection> = None;
    let mut most = usize::MAX;
    loop {
        if owed.is_empty() {
            let Some(notice) = notices.recv().await else { return };
            owed.insert(notice.message, line(&notice));
        }
        while let Ok(notice) = notices.try_recv() {
            owed.insert(notice.message, line(&notice));
        }
        let (mut body, mut told) = (Vec::new(), Vec::new());
        for (message, line) in owed.iter().take(most) {
            if !body.is_empty() && body.len() + line.len() > MAX_BODY_BYTES {
                break;
            }
            body.extend(line);
            told.push(*message);
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
        // The platform closes idle connections when it likes: a kept one that is closed is no failure.
        if let Some(mut kept) = conn.take()
            && kept.usable().await
        {
            conn = Some(kept);
        }
        let answer = tokio::select! {
            answer = timeout(ATTEMPT_TIMEOUT, ask_hedged(&mut conn, address, request)) => answer,
            Ok(()) = discovery.changed() => {
                conn = None;
                continue;
            }
        };
        match answer {
            Ok(Ok((StatusCode::NO_CONTENT, _))) => {
                owed.retain(|message, _| !told.contains(message));
                most = usize::MAX;
                if inbound.send(Inbound::NotificationsAcknowledged(told)).is_err() {
                    return;
                }
            }
            // One line that can't be parsed must not hold the others back.
            Ok(Ok((StatusCode::BAD_REQUEST, _))) if told.len() > 1 => most = 1,
            Ok(Ok((StatusCode::BAD_REQUEST, _))) => {
                eprintln!("the platform does not read a notice; dropped");
                owed.retain(|message, _| !told.contains(message));
                let _ = inbound.send(Inbound::NotificationsAcknowledged(told));
            }
            _ => {
                conn = None;
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}
