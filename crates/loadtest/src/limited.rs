//! HTTP servers that answer as the simulated partners of `fleet-sim`: with limits, outages and slow starts after them. One thread
//! serves all partners.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use bytes::Bytes;
use decision::interface::Outcome;
use fleet_sim::Partner;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::{TcpListener, TcpStream};

/// Effects of one message at all partners.
#[derive(Debug, Clone, Copy, Default)]
pub struct Delivered {
    /// Number of times that the message took effect.
    pub ran: u32,
    /// Time of the first answer to it, since the start.
    pub at: Option<Duration>,
}

struct State {
    partners: Vec<Partner>,
    started: Instant,
    messages: HashMap<String, Delivered>,
}

/// Handle of all partners.
#[derive(Clone)]
pub struct LimitedPartners {
    /// Addresses of the partners, in their order.
    pub addresses: Vec<SocketAddr>,
    state: Arc<Mutex<State>>,
}

impl LimitedPartners {
    /// Starts the partners. The times of their outages count from now on.
    pub fn new(partners: Vec<Partner>) -> Result<Self, String> {
        let listeners = partners.iter().map(|_| {
            let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
            listener.set_nonblocking(true)?;
            Ok(listener)
        });
        let listeners = listeners.collect::<std::io::Result<Vec<_>>>().map_err(|e| e.to_string())?;
        let addresses = listeners.iter().filter_map(|listener| listener.local_addr().ok()).collect();
        let state = State { partners, started: Instant::now(), messages: HashMap::new() };
        let server = Self { addresses, state: Arc::new(Mutex::new(state)) };
        let task_server = server.clone();
        thread::spawn(move || {
            let Ok(runtime) = tokio::runtime::Builder::new_current_thread().enable_all().build() else {
                return;
            };
            runtime.block_on(async {
                let mut tasks = tokio::task::JoinSet::new();
                for (number, listener) in listeners.into_iter().enumerate() {
                    let Ok(listener) = TcpListener::from_std(listener) else { return };
                    let task_server = task_server.clone();
                    tasks.spawn(async move {
                        while let Ok((stream, _)) = listener.accept().await {
                            // A partner that is down drops the connection; the call still counts as one of its calls.
                            if task_server.is_down(number) {
                                task_server.call(number);
                                continue;
                            }
                            tokio::spawn(task_server.clone().serve(number, stream));
                        }
                    });
                }
                while tasks.join_next().await.is_some() {}
            });
        });
        Ok(server)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Returns the partners in their present state, with their counts.
    pub fn partners(&self) -> Vec<Partner> {
        self.state().partners.clone()
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Duration {
        self.state().started.elapsed()
    }

    /// Returns the effects of each message, by its `Req-Id`.
    pub fn messages(&self) -> HashMap<String, Delivered> {
        self.state().messages.clone()
    }

    fn is_down(&self, number: usize) -> bool {
        let state = self.state();
        let at = state.started.elapsed().as_secs_f64();
        state.partners[number].outages.iter().any(|span| (span.0..span.1).contains(&at))
    }

    fn call(&self, number: usize) -> (Outcome, Vec<f32>, Duration) {
        let state = &mut *self.state();
        let now = state.started.elapsed().as_micros() as u64;
        let partner = &mut state.partners[number];
        let (outcome, report) = partner.call(now);
        (outcome, report, Duration::from_secs_f64(partner.call_seconds))
    }

    async fn serve(self, number: usize, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let service = service_fn(|request: Request<Incoming>| {
            let server = self.clone();
            async move { server.answer(number, request).await }
        });
        let _ =
            hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
    }

    async fn answer(
        &self,
        number: usize,
        request: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, String> {
        let batch = request.uri().path().ends_with(":batch");
        let id =
            request.headers().get("req-id").and_then(|id| id.to_str().ok()).unwrap_or_default().to_owned();
        let body = request.into_body().collect().await.map_err(|e| e.to_string())?.to_bytes();
        let ids: Vec<String> = match batch {
            true => {
                let parts: Vec<Value> = serde_json::from_slice(&body).map_err(|e| e.to_string())?;
                parts.iter().filter_map(|part| Some(part["id"].as_str()?.to_owned())).collect()
            }
            false => vec![id],
        };
        let (outcome, report, duration) = self.call(number);
        let load = report.first().zip(report.get(1)).map(|(left, limit)| format!("x0={left},x1={limit}"));
        let answer = |status: u16, body: String| {
            let mut response = Response::builder().status(status);
            if let Some(load) = &load {
                response = response.header("srv-load", load);
            }
            response.body(Full::new(Bytes::from(body))).map_err(|e| e.to_string())
        };
        match outcome {
            Outcome::Delivered => {
                for id in &ids {
                    self.state().messages.entry(id.clone()).or_default().ran += 1;
                }
                tokio::time::sleep(duration).await;
                let state = &mut *self.state();
                let at = state.started.elapsed();
                for id in &ids {
                    state.messages.entry(id.clone()).or_default().at.get_or_insert(at);
                }
                let states: Vec<_> =
                    ids.iter().map(|id| serde_json::json!({"id": id, "state": "ok"})).collect();
                answer(200, if batch { Value::from(states).to_string() } else { String::new() })
            }
            Outcome::Rejected(_) => answer(503, String::new()),
            // The partner went down while the connection was open.
            _ => Err("the partner is down".to_owned()),
        }
    }
}
