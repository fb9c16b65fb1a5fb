//! The watch on the endpoint list: long polls of discovery for as long as the process runs.

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
use crate::platform_client::send_request;
use crate::ports::Inbound;

/// How long discovery may hold a long poll open.
const LONG_POLL: Duration = Duration::from_secs(20);
/// How much later than that the response may arrive; normally it arrives at once. A change that was missed because
/// discovery does not respond is binding 2 s after the end of the long poll, so that the failure has to be noticed earlier.
const LONG_POLL_SLACK: Duration = Duration::from_millis(1_500);
/// Timeout of a request for the full list.
const LIST_TIMEOUT: Duration = Duration::from_secs(1);
/// Length in bytes above which a list takes a millisecond or more to parse.
const LONG_LIST: usize = 128 << 10;

/// Parses a list. A long one is parsed on another thread, so that it doesn't delay the event loop.
async fn parse_list(body: Bytes) -> Option<EndpointList> {
    if body.len() <= LONG_LIST {
        return serde_json::from_slice(&body).ok();
    }
    tokio::task::spawn_blocking(move || serde_json::from_slice(&body).ok()).await.ok().flatten()
}

/// Watches the endpoint list for as long as the process runs, beginning with a known version or else with the full list.
/// `good_for` is how long the known list remains valid, which delays the first poll. When the address of discovery changes,
/// or `full_list_needed` is notified, the watch starts over with the full list: versions of two instances of discovery must
/// not be mixed.
pub async fn watch_endpoints(
    mut discovery: Receiver<SocketAddr>,
    known: Option<u64>,
    full_list_needed: Rc<Notify>,
    mut schedule: PollSchedule,
    good_for: Duration,
    inbound: UnboundedSender<Inbound>,
) {
    let mut from = known;
    tokio::time::sleep(schedule.first_delay(good_for)).await;
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
            answer = timeout(within, send_request(&mut conn, address, request)) => answer,
            () = full_list_needed.notified() => {
                from = None;
                continue;
            }
            Ok(()) = discovery.changed() => {
                (from, conn) = (None, None);
                continue;
            }
        };
        let list = match answer {
            Ok(Ok((StatusCode::OK, body))) => parse_list(body).await.ok_or(PollFailure::Broken),
            Ok(Ok((StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS, _))) => {
                Err(PollFailure::Rejected)
            }
            _ => Err(PollFailure::Broken),
        };
        let update = match list {
            Ok(list) => {
                schedule.answered();
                from = Some(list.index);
                Inbound::EndpointsUpdated(EndpointUpdate(Arc::new(list)))
            }
            Err(failure) => {
                conn = None;
                if let Ok(Ok(())) = timeout(schedule.backoff(failure), discovery.changed()).await {
                    from = None;
                }
                Inbound::Event(Event::DiscoveryFailed)
            }
        };
        if inbound.send(update).is_err() {
            return;
        }
    }
}
