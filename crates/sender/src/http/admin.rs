//! The administrative address, for on-call staff: one request per connection. The crate `admin` defines the requests; the
//! event loop answers them.

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

/// Maximum number of connections at a time, so that clients that connect and never finish a request don't use up the
/// file descriptors or keep others out. The oldest connection is closed for a new one, which fails a request that is
/// still open when this many others have connected after it.
pub const MAX_ADMIN_CONNECTIONS: usize = 16;
/// Maximum lifetime of a connection.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum size of a request head, in bytes.
const HEAD_LIMIT: usize = 8 * 1024;
/// Connections that may wait to be accepted.
const BACKLOG: u32 = 64;

/// Listens on this address for as long as the process runs. Returns the bound address.
///
/// # Errors
/// Fails when the address can't be bound.
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
    let connections: Rc<RefCell<VecDeque<AbortHandle>>> = Rc::default();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let mut connections = connections.borrow_mut();
        connections.retain(|connection_task| !connection_task.is_finished());
        if connections.len() >= MAX_ADMIN_CONNECTIONS
            && let Some(oldest) = connections.pop_front()
        {
            oldest.abort();
        }
        let inbound = inbound.clone();
        let connection_task = tokio::task::spawn_local(async move {
            let service = service_fn(|request| answer(request, &inbound));
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(CONNECTION_TIMEOUT)
                .max_buf_size(HEAD_LIMIT)
                .keep_alive(false)
                .serve_connection(TokioIo::new(stream), service);
            let _ = tokio::time::timeout(CONNECTION_TIMEOUT, connection).await;
        });
        connections.push_back(connection_task.abort_handle());
    }
}

async fn answer(
    request: Request<Incoming>,
    inbound: &UnboundedSender<Inbound>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let uri = request.uri();
    let admin_response = match admin::request::parse(request.method().as_str(), uri.path(), uri.query()) {
        Ok(call) => {
            let (answer, answer_received) = oneshot::channel();
            let _ = inbound.send(Inbound::AdminRequest(call, answer));
            answer_received.await.unwrap_or(AdminResponse { status: 503, text: "ending\n".into() })
        }
        Err(error) => AdminResponse { status: error.status(), text: error.text().into() },
    };
    let mut response = Response::new(Full::new(Bytes::from(admin_response.text)));
    *response.status_mut() =
        StatusCode::from_u16(admin_response.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    // The version is that of the metrics text format; it does no harm to other texts, which are plain as well.
    let content_type = HeaderValue::from_static("text/plain; version=0.0.4");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    Ok(response)
}
