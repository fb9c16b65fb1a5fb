//! The second address, for on-call staff: one call a connection. What a call means stands in the package `ops`; the
//! driver answers.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::{mpsc::UnboundedSender, oneshot};
use tokio::task::AbortHandle;

use crate::ports::{AdminResponse, Inbound};

/// Callers at a time: guards descriptors, and everybody else, against callers that connect and finish no call. The
/// one that has been there longest makes way; it hurts a caller slower than so many others after it.
pub const CALLERS: usize = 16;
/// A connection lasts no longer than that.
const WITHIN: Duration = Duration::from_secs(10);
/// A call's head has at most so many bytes.
const HEAD_LIMIT: usize = 8 * 1024;
const BACKLOG: u32 = 64;

/// Listens there for as long as the process runs.
///
/// # Errors
/// Fails when the address is not to be had.
pub fn listen(address: SocketAddr, inbound: UnboundedSender<Inbound>) -> io::Result<SocketAddr> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    let listener = socket.listen(BACKLOG)?;
    let address = listener.local_addr()?;
    tokio::task::spawn_local(accept(listener, inbound));
    Ok(address)
}

async fn accept(listener: TcpListener, inbound: UnboundedSender<Inbound>) {
    let callers: Rc<RefCell<VecDeque<AbortHandle>>> = Rc::default();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let mut callers = callers.borrow_mut();
        callers.retain(|caller| !caller.is_finished());
        if callers.len() >= CALLERS
            && let Some(oldest) = callers.pop_front()
        {
            oldest.abort();
        }
        let inbound = inbound.clone();
        let caller = tokio::task::spawn_local(async move {
            let service = service_fn(|request| answer(request, &inbound));
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(WITHIN)
                .max_buf_size(HEAD_LIMIT)
                .keep_alive(false)
                .serve_connection(TokioIo::new(stream), service);
            let _ = tokio::time::timeout(WITHIN, connection).await;
        });
        callers.push_back(caller.abort_handle());
    }
}

async fn answer(
    request: Request<Incoming>,
    inbound: &UnboundedSender<Inbound>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let uri = request.uri();
    let told = match admin::call::read(request.method().as_str(), uri.path(), uri.query()) {
        Ok(call) => {
            let (answer, answered) = oneshot::channel();
            let _ = inbound.send(Inbound::AdminRequest(call, answer));
            answered.await.unwrap_or(AdminResponse { status: 503, text: "ending\n".into() })
        }
        Err(none) => AdminResponse { status: none.status(), text: none.text().into() },
    };
    let mut response = Response::new(Full::new(Bytes::from(told.text)));
    *response.status_mut() = StatusCode::from_u16(told.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    // The version is the text format's own; other texts are plain all the same.
    let kind = HeaderValue::from_static("text/plain; version=0.0.4");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    Ok(response)
}
