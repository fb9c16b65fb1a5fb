//! A bare proxy that decides and journals nothing: what HTTP alone costs.

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

/// The first argument with which the program is the proxy; the second is where it sends what it gets, in turn where there are
/// several places, and a third how many cores it uses.
pub const PROXY: &str = "run-as-proxy";

/// Kept connections of a core, by place.
struct Pool {
    places: Vec<SocketAddr>,
    kept: RefCell<Vec<Vec<SendRequest<Full<Bytes>>>>>,
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
    let place = pool.next.get();
    pool.next.set((place + 1) % pool.places.len());
    let upstream = pool.places[place];
    let (head, body) = request.into_parts();
    let body = body.collect().await.ok()?.to_bytes();
    let mut onward = Request::post("/v1/messages").header("host", upstream.to_string());
    for name in ["req-id", "idempotency-key", "req-deadline-ms"] {
        if let Some(value) = head.headers.get(name) {
            onward = onward.header(name, value);
        }
    }
    let kept = pool.kept.borrow_mut()[place].pop().filter(|kept| !kept.is_closed());
    let mut sender = match kept {
        Some(kept) => kept,
        None => connect(upstream).await?,
    };
    sender.ready().await.ok()?;
    let answer = sender.send_request(onward.body(Full::new(body)).ok()?).await.ok()?;
    let status = answer.status();
    answer.into_body().collect().await.ok()?;
    pool.kept.borrow_mut()[place].push(sender);
    Some(status)
}

/// Listens, prints where, and forwards on so many cores until the process ends. A core takes a connection when it has
/// nothing else to do.
pub fn run(upstream: &str, cores: usize) -> Result<(), String> {
    let places = upstream.split(',').map(|place| place.parse().map_err(|e| format!("{place}: {e}")));
    let places = places.collect::<Result<Vec<SocketAddr>, String>>()?;
    let listener = std::net::TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
    listener.set_nonblocking(true).map_err(|e| e.to_string())?;
    println!("{}", listener.local_addr().map_err(|e| e.to_string())?);
    // Connections are dealt out in turn, so that each core has as many.
    let mut takers = Vec::new();
    let mut threads = Vec::new();
    for _ in 0..cores.max(1) {
        let (deal, dealt) = tokio::sync::mpsc::unbounded_channel();
        takers.push(deal);
        let places = places.clone();
        threads.push(std::thread::spawn(move || serve(places, dealt)));
    }
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(|e| e.to_string())?;
    runtime.block_on(async {
        let listener = TcpListener::from_std(listener).map_err(|e| e.to_string())?;
        for taker in takers.iter().cycle() {
            let (stream, _) = listener.accept().await.map_err(|e| e.to_string())?;
            let _ = taker.send(stream.into_std().map_err(|e| e.to_string())?);
        }
        Ok::<_, String>(())
    })
}

fn serve(places: Vec<SocketAddr>, mut dealt: UnboundedReceiver<std::net::TcpStream>) -> Result<(), String> {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(|e| e.to_string())?;
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let kept = RefCell::new(places.iter().map(|_| Vec::new()).collect());
        let pool = Rc::new(Pool { places, kept, next: Cell::new(0) });
        while let Some(stream) = dealt.recv().await {
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
