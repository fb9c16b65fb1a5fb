//! The watch on the endpoint list: a long poll that is renewed for as long as the process runs.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use decision::interface::Event;
use hyper::{Request, StatusCode};
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::{Notify, watch::Receiver};
use tokio::time::timeout;

use crate::discovery::endpoint_list::{EndpointList, EndpointUpdate};
use crate::discovery::poll_schedule::{PollFailure, PollSchedule};
use crate::platform_client::ask;
use crate::ports::Inbound;

/// How long a long poll may be held open.
const LONG_POLL: Duration = Duration::from_secs(20);
/// How much later its answer may come; one that need not wait comes at once. A change that a silent watch
/// missed binds 2 s after its wait: by then the watch is known to be silent.
const LONG_POLL_SLACK: Duration = Duration::from_millis(1_500);
const LIST_TIMEOUT: Duration = Duration::from_secs(1);
/// A longer list takes a millisecond and more to parse.
const LONG_LIST: usize = 128 << 10;

/// Parses a list, a long one on another thread: guards iterations against the time that it takes.
async fn read_list(body: Bytes) -> Option<EndpointList> {
    if body.len() <= LONG_LIST {
        return serde_json::from_slice(&body).ok();
    }
    tokio::task::spawn_blocking(move || serde_json::from_slice(&body).ok()).await.ok().flatten()
}

/// Watches the list from a known version, or from the full list, for as long as the process runs. A known
/// list may be good for some time. Where discovery moves, the watch begins anew with the full list there:
/// versions of two places must not mix.
pub async fn watch_endpoints(
    mut discovery: Receiver<SocketAddr>,
    known: Option<u64>,
    whole: Rc<Notify>,
    mut again: PollSchedule,
    good_for: Duration,
    inbound: UnboundedSender<Inbound>,
) {
    let mut from = known;
    tokio::time::sleep(again.first(good_for)).await;
    let mut conn = None;
    loop {
        let address = *discovery.borrow_and_update();
        let (path, within) = match from {
            Some(from) => (
                format!("/v1/endpoints?from={from}&hold_ms={}", LONG_POLL.as_millis()),
                LONG_POLL + LONG_POLL_SLACK,
            ),
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
            Ok(Ok((StatusCode::OK, body))) => read_list(body).await.ok_or(PollFailure::Broken),
            Ok(Ok((StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS, _))) => {
                Err(PollFailure::Rejected)
            }
            _ => Err(PollFailure::Broken),
        };
        let said = match list {
            Ok(list) => {
                again.answered();
                from = Some(list.index);
                Inbound::EndpointsUpdated(EndpointUpdate(Arc::new(list)))
            }
            Err(how) => {
                conn = None;
                if let Ok(Ok(())) = timeout(again.backoff(how), discovery.changed()).await {
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
