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
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until, timeout};

use crate::http::connection::Connection;
use crate::platform_client::{RequestError, send_request};
use crate::ports::{Inbound, MAX_BODY_BYTES};

/// Delay before a failed notification is sent again.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// A notification that is not acknowledged within this time is sent again.
const REPEAT_DELAY: Duration = Duration::from_millis(550);
/// How long the answer to a request is waited for: the longest time that the platform takes for an answer, and the time
/// for which the process may stand still.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(2_200);
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
) -> Result<(StatusCode, Bytes), RequestError> {
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
                Err(_) => first.await,
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

/// A request with notifications that ended.
struct Attempt {
    number: u32,
    /// The messages whose notifications it carried.
    sent: Vec<MessageId>,
    status: Result<StatusCode, ()>,
    /// Its connection, if that can be used again.
    connection: Option<Connection>,
}

/// The event loop has ended.
struct Closed;

/// Sends notifications, and repeats each until the platform has acknowledged it, also when the platform's address changes in
/// the meantime.
pub async fn send_all(
    discovery: Receiver<SocketAddr>,
    notifications: UnboundedReceiver<Notification>,
    inbound: UnboundedSender<Inbound>,
) {
    let mut notifier = Notifier {
        discovery,
        notifications,
        inbound,
        pending: BTreeMap::new(),
        idle_connection: None,
        max_lines: usize::MAX,
    };
    while notifier.notify().await.is_ok() {}
}

struct Notifier {
    discovery: Receiver<SocketAddr>,
    notifications: UnboundedReceiver<Notification>,
    inbound: UnboundedSender<Inbound>,
    /// The lines that are not acknowledged.
    pending: BTreeMap<MessageId, Vec<u8>>,
    idle_connection: Option<Connection>,
    /// Maximum number of lines of a request.
    max_lines: usize,
}

impl Notifier {
    /// Waits until there is a notification, and sends requests until one is answered or the platform has another address.
    /// A request whose answer is late is repeated, but its answer still counts: if it were given up, an answer that takes
    /// longer than that would never be read.
    async fn notify(&mut self) -> Result<(), Closed> {
        if self.pending.is_empty() {
            let notification = self.notifications.recv().await.ok_or(Closed)?;
            self.pending.insert(notification.message, line(&notification));
        }
        if self.discovery.has_changed().unwrap_or(false) {
            self.idle_connection = None;
        }
        let address = *self.discovery.borrow_and_update();
        let mut attempts = JoinSet::new();
        let mut started = 0;
        let mut next_attempt_at = Instant::now();
        loop {
            if Instant::now() >= next_attempt_at {
                started += 1;
                let (sent, request) = self.next_request(address)?;
                attempts.spawn_local(attempt(
                    started,
                    sent,
                    self.usable_connection().await,
                    address,
                    request,
                ));
                next_attempt_at = Instant::now() + REPEAT_DELAY;
            }
            tokio::select! {
                biased;
                Ok(()) = self.discovery.changed() => {
                    self.idle_connection = None;
                    return Ok(());
                }
                Some(ended) = attempts.join_next() => match ended {
                    Ok(ended) if self.answered(&ended)? => {
                        self.idle_connection = ended.connection;
                        return Ok(());
                    }
                    Ok(ended) if ended.number == started => next_attempt_at = Instant::now() + RETRY_DELAY,
                    _ => {}
                },
                () = sleep_until(next_attempt_at) => {}
            }
        }
    }

    /// Returns the next request, and the messages whose notifications it carries.
    fn next_request(&mut self, address: SocketAddr) -> Result<(Vec<MessageId>, Request<Bytes>), Closed> {
        while let Ok(notification) = self.notifications.try_recv() {
            self.pending.insert(notification.message, line(&notification));
        }
        let (mut body, mut sent) = (Vec::new(), Vec::new());
        for (message, line) in self.pending.iter().take(self.max_lines) {
            if !body.is_empty() && body.len() + line.len() > MAX_BODY_BYTES {
                break;
            }
            body.extend(line);
            sent.push(*message);
        }
        let request = Request::post("/reports")
            .header("host", address.to_string())
            .header("content-type", "application/json")
            .body(Bytes::from(body));
        Ok((sent, request.map_err(|_| Closed)?))
    }

    /// Takes the idle connection, unless the platform has closed it, which it may do with idle ones at any time.
    async fn usable_connection(&mut self) -> Option<Connection> {
        let mut connection = self.idle_connection.take()?;
        connection.usable().await.then_some(connection)
    }

    /// Handles the answer of an attempt. Returns whether there was one that decides on its notifications.
    fn answered(&mut self, attempt: &Attempt) -> Result<bool, Closed> {
        match attempt.status {
            Ok(StatusCode::NO_CONTENT) => self.max_lines = usize::MAX,
            // A line that the platform rejects must not block the others: they are sent one at a time until one
            // is acknowledged.
            Ok(StatusCode::BAD_REQUEST) if attempt.sent.len() > 1 => {
                self.max_lines = 1;
                return Ok(true);
            }
            Ok(StatusCode::BAD_REQUEST) => eprintln!("the platform does not read a notice; dropped"),
            _ => return Ok(false),
        }
        self.pending.retain(|message, _| !attempt.sent.contains(message));
        let acknowledged = Inbound::NotificationsAcknowledged(attempt.sent.clone());
        self.inbound.send(acknowledged).map_err(|_| Closed)?;
        Ok(true)
    }
}

/// Sends one request with notifications.
async fn attempt(
    number: u32,
    sent: Vec<MessageId>,
    mut connection: Option<Connection>,
    address: SocketAddr,
    request: Request<Bytes>,
) -> Attempt {
    let answer = timeout(ANSWER_TIMEOUT, send_hedged(&mut connection, address, request)).await;
    let status = answer.map_err(drop).and_then(|answer| answer.map_err(drop)).map(|(status, _)| status);
    Attempt { number, sent, status, connection }
}
