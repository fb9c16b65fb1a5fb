//! A test double for discovery alone: it answers requests for the endpoint list late, in pieces or not at all.

use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::TIMEOUT;
use crate::http::Http;

/// How discovery answers the requests that arrive while this is set.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerPace {
    /// The whole answer is written this long after the request, or after the change that a watch waits for.
    After(Duration),
    /// The answer is written in pieces over this time, half of it for the head, the first piece at once.
    InPieces(Duration),
    /// The answer stops in the middle of its body, and the connection stays open.
    Stops,
    /// The connection stays open and nothing is ever written on it.
    Silent,
    /// The request is rejected at once with 503.
    Rejected,
}

/// Number of pieces of the head, and of the body, of an answer that is written in pieces.
const PIECES: usize = 8;

/// A request for the endpoint list.
#[derive(Debug, Clone)]
pub struct ListRequest {
    /// Its path with the query.
    pub path: String,
    /// When it arrived.
    pub at: Instant,
}

/// Discovery on loopback. Notifications are acknowledged at once, whatever the pace.
pub struct Discovery {
    /// The address it listens on.
    pub address: SocketAddr,
    /// Receives each request for the list.
    pub requests: Receiver<ListRequest>,
    state: Arc<(Mutex<State>, Condvar)>,
}

struct State {
    index: u64,
    endpoints: Vec<Value>,
    pace: AnswerPace,
    connections: Vec<TcpStream>,
}

impl Discovery {
    /// Starts discovery with this version of the list.
    pub fn new(index: u64, endpoints: &[Value], pace: AnswerPace) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let state = State { index, endpoints: endpoints.to_vec(), pace, connections: Vec::new() };
        let state = Arc::new((Mutex::new(state), Condvar::new()));
        let (request_sender, requests) = channel();
        let served_state = state.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                served_state.0.lock().unwrap().connections.push(stream.try_clone().unwrap());
                let (request_sender, state) = (request_sender.clone(), served_state.clone());
                thread::spawn(move || serve(stream, &request_sender, &state));
            }
        });
        Self { address, requests, state }
    }

    /// Answers requests that arrive from now on at this pace.
    pub fn set_pace(&self, pace: AnswerPace) {
        self.state.0.lock().unwrap().pace = pace;
    }

    /// Replaces the list and returns its new version.
    pub fn publish(&self, endpoints: &[Value]) -> u64 {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        state.index += 1;
        state.endpoints = endpoints.to_vec();
        changed.notify_all();
        state.index
    }

    /// Replaces this instance by another one at the same address, with this version of the list: closes all connections.
    pub fn restart(&self, index: u64, endpoints: &[Value]) {
        let mut state = self.state.0.lock().unwrap();
        (state.index, state.endpoints) = (index, endpoints.to_vec());
        for connection in state.connections.drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    /// Waits for the next request for the list.
    pub fn next(&self) -> ListRequest {
        self.requests.recv_timeout(TIMEOUT).expect("no request for the list arrived")
    }

    /// Waits until the sender watches for changes after this version, which it does once it has read that version.
    /// Returns when, and how many requests for the list came before that.
    pub fn watched_from(&self, index: u64, within: Duration) -> (Instant, usize) {
        let deadline = Instant::now() + within;
        let expected = format!("?from={index}&");
        for earlier in 0.. {
            let remaining = deadline.saturating_duration_since(Instant::now());
            let Ok(request) = self.requests.recv_timeout(remaining) else {
                panic!("version {index} of the list was not read within {within:?}; {earlier} requests came");
            };
            if request.path.contains(&expected) {
                return (request.at, earlier);
            }
        }
        unreachable!()
    }
}

fn serve(stream: TcpStream, request_sender: &Sender<ListRequest>, state: &(Mutex<State>, Condvar)) {
    let _ = stream.set_nodelay(true);
    let mut output = stream.try_clone().unwrap();
    let mut input = BufReader::new(stream);
    while let Some(http) = Http::read(&mut input) {
        if http.first.starts_with("POST /reports ") {
            if output.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").is_err() {
                return;
            }
            continue;
        }
        let path = http.first.split(' ').nth(1).unwrap_or_default().to_owned();
        let pace = state.0.lock().unwrap().pace;
        if request_sender.send(ListRequest { path: path.clone(), at: Instant::now() }).is_err() {
            return;
        }
        if pace == AnswerPace::Silent {
            // Returns when the sender closes the connection.
            let _ = Http::read(&mut input);
            return;
        }
        if pace == AnswerPace::Rejected {
            if output.write_all(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n").is_err() {
                return;
            }
            continue;
        }
        wait_for_change(&path, state);
        if let AnswerPace::After(delay) = pace {
            thread::sleep(delay);
        }
        let body = list(&path, state);
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        if write_answer(&mut output, head.as_bytes(), body.as_bytes(), pace).is_err() {
            return;
        }
    }
}

/// A version in the query of a request, by the name of its parameter.
fn query_value(path: &str, name: &str) -> Option<u64> {
    let query = path.split_once('?').map_or("", |(_, query)| query);
    query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
}

/// Waits until there is something newer than the version that the sender has, or the hold is over.
fn wait_for_change(path: &str, (state, changed): &(Mutex<State>, Condvar)) {
    let Some(from) = query_value(path, "from") else { return };
    let hold = Duration::from_millis(query_value(path, "hold_ms").unwrap_or(0));
    let state = state.lock().unwrap();
    drop(changed.wait_timeout_while(state, hold, |state| state.index <= from).unwrap());
}

/// Returns the body of the answer: the full list as it is now, or no entries if the sender has this version.
fn list(path: &str, (state, _): &(Mutex<State>, Condvar)) -> String {
    let state = state.lock().unwrap();
    let unchanged = query_value(path, "from").is_some_and(|from| state.index <= from);
    let endpoints: &[Value] = if unchanged { &[] } else { &state.endpoints };
    json!({"index": state.index, "snapshot": !unchanged, "endpoints": endpoints}).to_string()
}

/// Splits bytes into about this many pieces of the same size.
fn pieces(bytes: &[u8], count: usize) -> impl Iterator<Item = &[u8]> {
    bytes.chunks(bytes.len().div_ceil(count).max(1))
}

/// Writes an answer at once, in pieces, or half of its body.
fn write_answer(output: &mut TcpStream, head: &[u8], body: &[u8], pace: AnswerPace) -> std::io::Result<()> {
    let duration = match pace {
        AnswerPace::InPieces(duration) => duration,
        AnswerPace::Stops => return output.write_all(&[head, &body[..body.len() / 2]].concat()),
        AnswerPace::After(_) | AnswerPace::Silent | AnswerPace::Rejected => {
            return output.write_all(&[head, body].concat());
        }
    };
    let interval = duration / (2 * PIECES as u32);
    for piece in pieces(head, PIECES).chain(pieces(body, PIECES)) {
        output.write_all(piece)?;
        thread::sleep(interval);
    }
    Ok(())
}
