//! The platform: the watch on the list of endpoints, and notices of messages that ended undelivered.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use decision::interface::{Event, MessageId};
use hyper::{Request, StatusCode};
use serde::Serialize;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::sync::{Notify, watch::Receiver};
use tokio::time::timeout;

use journal::Abandonment;

use crate::again::{Again, Unanswered};
use crate::http::conn::Conn;
use crate::list::{ListBody, Listed};
use crate::ports::{Inbound, MAX_BODY_BYTES};

/// How long a watch may be held open.
const HOLD: Duration = Duration::from_secs(20);
/// How much later its answer may come; one that need not wait comes at once. What a silent watch missed counts as told 2 s
/// after its wait: it is known to be silent before.
const HOLD_SLACK: Duration = Duration::from_millis(1_500);
const LIST_TIMEOUT: Duration = Duration::from_secs(1);
/// A list has at most so many bytes: some 200,000 endpoints.
const LIST_LIMIT: usize = 32 << 20;
/// How long the rest of an answer may take.
const LIST_WITHIN: Duration = Duration::from_secs(5);
/// One of more bytes takes a millisecond and more to read.
const LONG_LIST: usize = 128 << 10;
/// Rest before a failed notice is sent again.
const AGAIN: Duration = Duration::from_millis(50);
/// How long a notice may take; it is sent again after that.
const NOTICE_TIMEOUT: Duration = Duration::from_millis(500);
/// After that time it goes over a second connection too. The platform answers at once, and a message's end is owed to it within
/// 300 ms: guards that against a kept connection that has fallen silent. The first is not given up for it: one that
/// comes up late may still be the sooner.
const NOTICE_BESIDE: Duration = Duration::from_millis(100);

/// One request to the platform, on a connection that is kept if all went well.
async fn ask(
    kept: &mut Option<Conn>,
    address: SocketAddr,
    request: Request<Bytes>,
) -> Result<(StatusCode, Bytes), ()> {
    let mut conn = match kept.take() {
        Some(conn) => conn,
        None => Conn::open(address).await.map_err(|_| ())?,
    };
    let (head, body) = conn.send(request).await.map_err(|_| ())?.into_parts();
    let body = conn.body_within(body, LIST_LIMIT, LIST_WITHIN).await?;
    if conn.usable().await {
        *kept = Some(conn);
    }
    Ok((head.status, body))
}

/// One request to the platform that does no harm if it comes twice: over a second connection too where the first takes long.
async fn ask_twice(
    kept: &mut Option<Conn>,
    address: SocketAddr,
    request: Request<Bytes>,
) -> Result<(StatusCode, Bytes), ()> {
    let mut other = None;
    let answer = {
        let mut first = pin!(ask(kept, address, request.clone()));
        let mut second = pin!(async {
            tokio::time::sleep(NOTICE_BESIDE).await;
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

/// Guards turns against the time that a long list takes to read: another thread does it.
async fn read_list(body: Bytes) -> Option<ListBody> {
    if body.len() <= LONG_LIST {
        return serde_json::from_slice(&body).ok();
    }
    tokio::task::spawn_blocking(move || serde_json::from_slice(&body).ok()).await.ok().flatten()
}

/// Watches the list from the version that is known, or the whole of it, for as long as the process runs. What is known is good
/// for some time, if that was told. Where discovery moves,
/// it begins anew with the whole list there: versions of two places must not mix.
pub async fn watch(
    mut discovery: Receiver<SocketAddr>,
    known: Option<u64>,
    whole: Rc<Notify>,
    mut again: Again,
    good_for: Duration,
    inbound: UnboundedSender<Inbound>,
) {
    let mut from = known;
    tokio::time::sleep(again.first(good_for)).await;
    let mut conn = None;
    loop {
        let address = *discovery.borrow_and_update();
        let (path, within) = match from {
            Some(from) => {
                (format!("/v1/endpoints?from={from}&hold_ms={}", HOLD.as_millis()), HOLD + HOLD_SLACK)
            }
            None => ("/v1/endpoints".to_owned(), LIST_TIMEOUT),
        };
        let Ok(request) = Request::get(path).header("host", address.to_string()).body(Bytes::new()) else {
            return;
        };
        let answer = tokio::select! {
            answer = timeout(within, ask(&mut conn, address, request)) => answer,
            () = whole.notified() => {
                from = None;
                continue;
            }
            Ok(()) = discovery.changed() => {
                (from, conn) = (None, None);
                continue;
            }
        };
        let list = match answer {
            Ok(Ok((StatusCode::OK, body))) => read_list(body).await.ok_or(Unanswered::Broken),
            Ok(Ok((StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS, _))) => {
                Err(Unanswered::TurnedAway)
            }
            _ => Err(Unanswered::Broken),
        };
        let said = match list {
            Ok(list) => {
                again.answered();
                from = Some(list.index);
                Inbound::EndpointsUpdated(Listed(Arc::new(list)))
            }
            Err(how) => {
                conn = None;
                if let Ok(Ok(())) = timeout(again.rest(how), discovery.changed()).await {
                    from = None;
                }
                Inbound::Event(Event::DiscoveryFailed)
            }
        };
        if inbound.send(said).is_err() {
            return;
        }
    }
}

/// A message's end that the platform is owed.
#[derive(Debug)]
pub struct Notice {
    /// The message.
    pub message: MessageId,
    /// Its `Req-Id`.
    pub id: String,
    /// How it ended.
    pub how: Abandonment,
}

#[derive(Serialize)]
struct NoticeLine<'a> {
    id: &'a str,
    status: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    again_ms: Option<u64>,
}

fn line(notice: &Notice) -> Vec<u8> {
    let (status, again) = match notice.how {
        Abandonment::Deferred(again) => ("deferred", Some(again.div_ceil(1000)).filter(|ms| *ms > 0)),
        Abandonment::Undeliverable => ("undeliverable", None),
    };
    let mut line =
        serde_json::to_vec(&NoticeLine { id: &notice.id, status, again_ms: again }).unwrap_or_default();
    line.push(b'\n');
    line
}

/// Sends notices, each until the platform has it, wherever that is by then.
pub async fn notices(
    mut discovery: Receiver<SocketAddr>,
    mut notices: UnboundedReceiver<Notice>,
    inbound: UnboundedSender<Inbound>,
) {
    let mut owed: BTreeMap<MessageId, Vec<u8>> = BTreeMap::new();
    let mut conn: Option<Conn> = None;
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
            answer = timeout(NOTICE_TIMEOUT, ask_twice(&mut conn, address, request)) => answer,
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
            // One line that can't be read must not keep the others back.
            Ok(Ok((StatusCode::BAD_REQUEST, _))) if told.len() > 1 => most = 1,
            Ok(Ok((StatusCode::BAD_REQUEST, _))) => {
                eprintln!("the platform does not read a notice; dropped");
                owed.retain(|message, _| !told.contains(message));
                let _ = inbound.send(Inbound::NotificationsAcknowledged(told));
            }
            _ => {
                conn = None;
                tokio::time::sleep(AGAIN).await;
            }
        }
    }
}
