//! Bare proxy without decisions and without a journal. It shows the cost of HTTP alone.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::UnboundedReceiver;

/// First argument that makes this program run as the proxy. The second lists the upstream addresses, which are used in rotation,
/// and the third gives the number of cores.
pub const RUN_AS_PROXY: &str = "run-as-proxy";

/// Idle connections of one core, by upstream address.
struct Pool {
    addresses: Vec<SocketAddr>,
    idle: RefCell<Vec<Vec<SendRequest<Full<Bytes>>>>>,
    next: Cell<usize>,
}

async fn connect(upstream: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
    let stream = TcpStream::connect(upstream).await.ok()?;
    stream.set_nodelay(true).ok()?;
    let (sender, driver) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::task::spawn_local(driver);
    Some(sender)
}

async fn forward(request: Request<Incoming>, pool: Rc<Pool>) -> Option<StatusCode> {
    let address_index = pool.next.get();
    pool.next.set((address_index + 1) % pool.addresses.len());
    let upstream = pool.addresses[address_index];
    let (head, body) = request.into_parts();
    let body = body.collect().await.ok()?.to_bytes();
    let mut upstream_request = Request::post("/v1/messages").header("host", upstream.to_string());
    for name in ["req-id", "idempotency-key", "req-deadline-ms"] {
        if let Some(value) = head.headers.get(name) {
            upstream_request = upstream_request.header(name, value);
        }
    }
    let idle = pool.idle.borrow_mut()[address_index].pop().filter(|idle| !idle.is_closed());
    let mut sender = match idle {
        Some(idle) => idle,
        None => connect(upstream).await?,
    };
    sender.ready().await.ok()?;
    let response = sender.send_request(upstream_request.body(Full::new(body)).ok()?).await.ok()?;
    let status = response.status();
    response.into_body().collect().await.ok()?;
    pool.idle.borrow_mut()[address_index].push(sender);
    Some(status)
}

/// Listens, prints the address, and forwards requests on this number of cores until the process ends. Each core serves the
/// connections that are assigned to it.
pub fn run(upstream: &str, cores: usize) -> Result<(), String> {
    let addresses = upstream.split(',').map(|address| address.parse().map_err(|e| format!("{address}: {e}")));
    let addresses = addresses.collect::<Result<Vec<SocketAddr>, String>>()?;
    let listener = std::net::TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
    listener.set_nonblocking(true).map_err(|e| e.to_string())?;
    println!("{}", listener.local_addr().map_err(|e| e.to_string())?);
    // Connections are assigned in rotation, so that all cores have the same number.
    let mut core_channels = Vec::new();
    let mut threads = Vec::new();
    for _ in 0..cores.max(1) {
        let (connections, assigned) = tokio::sync::mpsc::unbounded_channel();
        core_channels.push(connections);
        let addresses = addresses.clone();
        threads.push(std::thread::spawn(move || serve(addresses, assigned)));
    }
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(|e| e.to_string())?;
    runtime.block_on(async {
        let listener = TcpListener::from_std(listener).map_err(|e| e.to_string())?;
        for core_channel in core_channels.iter().cycle() {
            let (stream, _) = listener.accept().await.map_err(|e| e.to_string())?;
            let _ = core_channel.send(stream.into_std().map_err(|e| e.to_string())?);
        }
        Ok::<_, String>(())
    })
}

fn serve(
    addresses: Vec<SocketAddr>,
    mut assigned: UnboundedReceiver<std::net::TcpStream>,
) -> Result<(), String> {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(|e| e.to_string())?;
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let idle = RefCell::new(addresses.iter().map(|_| Vec::new()).collect());
        let pool = Rc::new(Pool { addresses, idle, next: Cell::new(0) });
        while let Some(stream) = assigned.recv().await {
            let stream = TcpStream::from_std(stream).map_err(|e| e.to_string())?;
            let _ = stream.set_nodelay(true);
            let pool = pool.clone();
            tokio::task::spawn_local(async move {
                let service = service_fn(|request| {
                    let pool = pool.clone();
                    async move {
                        let status = match forward(request, pool).await {
                            Some(StatusCode::OK) => StatusCode::ACCEPTED,
                            _ => StatusCode::BAD_GATEWAY,
                        };
                        let mut response = Response::new(Full::new(Bytes::new()));
                        *response.status_mut() = status;
                        Ok::<_, Infallible>(response)
                    }
                });
                let _ = hyper::server::conn::http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
        }
        Ok(())
    })
}
