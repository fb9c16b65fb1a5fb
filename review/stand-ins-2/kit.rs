//! Stand-ins for the second review: endpoints, platform (discovery and reports), clients, and the sender as a separate
//! process. Standard library only. All addresses are loopback addresses. Everything that happens is recorded with its
//! time; a case judges the record.

use std::collections::{BTreeMap, HashMap};
use std::fmt::Write as _;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

/// What happened. Times are seconds since the start of the case.
#[derive(Debug, Clone)]
pub enum Event {
    /// A client wrote the last byte of a request.
    Sent { id: String, class: String, dest: u16, deadline_ms: u64 },
    /// A client got an answer; status 0 is an end of the connection without one, 1 is no answer within 400 ms.
    Answered { id: String, status: u16 },
    /// The last byte of a call arrived at an endpoint; `first` is when its first byte arrived. `body` is the start of it.
    Call { endpoint: String, connection: u64, ids: Vec<String>, first: f64, body: String },
    /// An endpoint wrote an answer; for a batch the states by message.
    Replied {
        endpoint: String,
        connection: u64,
        ids: Vec<String>,
        status: u16,
        states: Vec<String>,
        wait: f64,
    },
    /// A connection to an endpoint was closed as soon as it was accepted.
    Refused { endpoint: String },
    /// A connection to an endpoint ended.
    Ended { endpoint: String, connection: u64 },
    /// A notice arrived at the platform.
    Notice { id: String, status: String },
    /// Anything else: a disruption, an answer of discovery, a start or an end of a process.
    Note(String),
}

/// The record of a case.
#[derive(Clone)]
pub struct Log {
    start: Instant,
    events: Arc<Mutex<Vec<(f64, Event)>>>,
}

impl Log {
    /// Starts the record. A case that takes over 115 s is ended: it could not run.
    pub fn new() -> Self {
        thread::spawn(|| {
            thread::sleep(Duration::from_secs(115));
            println!("could not run: the case takes too long");
            finish(COULD_NOT_RUN)
        });
        Self { start: Instant::now(), events: Arc::default() }
    }

    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn add(&self, event: Event) {
        let mut events = self.events.lock().unwrap();
        let now = self.start.elapsed().as_secs_f64();
        events.push((now, event));
    }

    pub fn note(&self, text: impl Into<String>) {
        self.add(Event::Note(text.into()));
    }

    pub fn events(&self) -> Vec<(f64, Event)> {
        self.events.lock().unwrap().clone()
    }

    pub fn sleep_until(&self, at: f64) {
        let now = self.now();
        if at > now {
            thread::sleep(Duration::from_secs_f64(at - now));
        }
    }

    /// Writes `record.txt`: the verdict, and all events.
    pub fn write(&self, path: &Path, verdict: &str) {
        let mut text = format!("{verdict}\n\n");
        for (at, event) in self.events() {
            let _ = writeln!(text, "{at:9.4} {event:?}");
        }
        let _ = std::fs::write(path, text);
    }
}

/// A request that was read from a connection.
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
    pub first_byte: f64,
}

/// Reads requests from a connection.
pub struct RequestReader {
    stream: TcpStream,
    buffer: Vec<u8>,
    log: Log,
}

impl RequestReader {
    pub fn new(stream: TcpStream, log: Log) -> Self {
        Self { stream, buffer: Vec::new(), log }
    }

    fn fill(&mut self) -> bool {
        let mut bytes = [0; 16384];
        match self.stream.read(&mut bytes) {
            Ok(n) if n > 0 => {
                self.buffer.extend_from_slice(&bytes[..n]);
                true
            }
            _ => false,
        }
    }

    /// Waits so long. Returns false at once if the caller ends the connection meanwhile.
    pub fn pause(&mut self, time: Duration) -> bool {
        let until = Instant::now() + time;
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                let _ = self.stream.set_read_timeout(None);
                return true;
            }
            let _ = self.stream.set_read_timeout(Some(left.max(Duration::from_micros(100))));
            match self.stream.peek(&mut [0]) {
                Ok(0) => return false,
                // The next request comes early: it waits for its turn.
                Ok(_) => thread::sleep(left),
                Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {}
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return false,
            }
        }
    }

    /// Returns the next request; none at the end of the connection.
    pub fn next(&mut self) -> Option<Request> {
        if self.buffer.is_empty() && !self.fill() {
            return None;
        }
        let first_byte = self.log.now();
        let head_end = loop {
            if let Some(at) = self.buffer.windows(4).position(|w| w == b"\r\n\r\n") {
                break at + 4;
            }
            if !self.fill() {
                return None;
            }
        };
        let head = String::from_utf8_lossy(&self.buffer[..head_end]).into_owned();
        let mut lines = head.split("\r\n");
        let mut first = lines.next()?.split(' ');
        let (method, path) = (first.next()?.to_owned(), first.next()?.to_owned());
        let headers: HashMap<String, String> = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.trim().to_lowercase(), value.trim().to_owned()))
            .collect();
        let length = headers.get("content-length").and_then(|n| n.parse().ok()).unwrap_or(0usize);
        while self.buffer.len() < head_end + length {
            if !self.fill() {
                return None;
            }
        }
        let body = self.buffer[head_end..head_end + length].to_vec();
        self.buffer.drain(..head_end + length);
        Some(Request { method, path, headers, body, first_byte })
    }
}

/// The values of `"name":"value"` in a JSON text of the sender, in order.
pub fn json_strings(text: &str, name: &str) -> Vec<String> {
    let pattern = format!("\"{name}\":\"");
    let mut found = Vec::new();
    let mut rest = text;
    while let Some(at) = rest.find(&pattern) {
        rest = &rest[at + pattern.len()..];
        let end = rest.find('"').unwrap_or(rest.len());
        found.push(rest[..end].to_owned());
        rest = &rest[end..];
    }
    found
}

/// What an endpoint does with a call.
#[derive(Debug, Clone)]
pub enum Reply {
    /// Answers with this status after that time (for a batch and 200: all messages are `ok`).
    Status { after: Duration, status: u16, wait: Option<f64> },
    /// Answers a batch with 200 and these states, after that time.
    States { after: Duration, states: Vec<String>, wait: Option<f64> },
    /// Never answers; the message has run.
    Silent,
    /// Ends the connection after that time, without an answer; the message has run.
    Close { after: Duration },
}

impl Reply {
    pub fn ok(ms: u64) -> Self {
        Self::Status { after: Duration::from_millis(ms), status: 200, wait: None }
    }

    pub fn status(status: u16) -> Self {
        Self::Status { after: Duration::ZERO, status, wait: None }
    }

    pub fn wait(seconds: f64) -> Self {
        Self::Status { after: Duration::ZERO, status: 429, wait: Some(seconds) }
    }
}

/// A call, as the behaviour of an endpoint sees it.
pub struct Call {
    pub at: f64,
    pub ids: Vec<String>,
    pub keys: Vec<String>,
    pub path: String,
    pub body_length: usize,
}

type Behaviour = Arc<dyn Fn(&Call) -> Reply + Send + Sync>;

/// An endpoint on a loopback port.
#[derive(Clone)]
pub struct Endpoint {
    pub address: SocketAddr,
    name: Arc<Mutex<String>>,
    up: Arc<AtomicBool>,
    /// Connections are closed as soon as they are accepted.
    closing: Arc<AtomicBool>,
    behaviour: Arc<Mutex<Behaviour>>,
    connections: Arc<Mutex<HashMap<u64, TcpStream>>>,
    log: Log,
}

static CONNECTIONS: AtomicU64 = AtomicU64::new(1);

impl Endpoint {
    pub fn start(name: &str, log: &Log, behaviour: impl Fn(&Call) -> Reply + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let endpoint = Self {
            address: listener.local_addr().unwrap(),
            name: Arc::new(Mutex::new(name.to_owned())),
            up: Arc::new(AtomicBool::new(true)),
            closing: Arc::default(),
            behaviour: Arc::new(Mutex::new(Arc::new(behaviour))),
            connections: Arc::default(),
            log: log.clone(),
        };
        let accepting = endpoint.clone();
        thread::spawn(move || accepting.accept(Some(listener)));
        endpoint
    }

    /// Changes how calls are treated that come from now on.
    pub fn set(&self, behaviour: impl Fn(&Call) -> Reply + Send + Sync + 'static) {
        *self.behaviour.lock().unwrap() = Arc::new(behaviour);
    }

    /// Gives the address to an endpoint of another name.
    pub fn rename(&self, name: &str) {
        *self.name.lock().unwrap() = name.to_owned();
    }

    /// The process ends: connections are ended, new ones are refused.
    pub fn down(&self) {
        self.up.store(false, Ordering::SeqCst);
        for (_, stream) in self.connections.lock().unwrap().drain() {
            let _ = stream.shutdown(Shutdown::Both);
        }
        thread::sleep(Duration::from_millis(10));
    }

    pub fn up(&self) {
        self.up.store(true, Ordering::SeqCst);
    }

    /// Sets whether connections are closed as soon as they are accepted, and ends those that there are.
    pub fn set_closing(&self, closing: bool) {
        self.closing.store(closing, Ordering::SeqCst);
        self.close_connections();
    }

    /// Ends all connections.
    pub fn close_connections(&self) {
        for (_, stream) in self.connections.lock().unwrap().drain() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn accept(self, mut listener: Option<TcpListener>) {
        loop {
            if !self.up.load(Ordering::SeqCst) {
                listener = None;
                thread::sleep(Duration::from_millis(2));
                continue;
            }
            if listener.is_none() {
                listener = TcpListener::bind(self.address).ok();
            }
            let Some(bound) = &listener else {
                thread::sleep(Duration::from_millis(2));
                continue;
            };
            bound.set_nonblocking(true).unwrap();
            match bound.accept() {
                Ok(_) if self.closing.load(Ordering::SeqCst) => {
                    self.log.add(Event::Refused { endpoint: self.name.lock().unwrap().clone() });
                }
                Ok((stream, _)) => {
                    stream.set_nonblocking(false).unwrap();
                    let served = self.clone();
                    thread::spawn(move || served.serve(stream));
                }
                Err(_) => thread::sleep(Duration::from_micros(500)),
            }
        }
    }

    fn serve(self, stream: TcpStream) {
        let connection = CONNECTIONS.fetch_add(1, Ordering::SeqCst);
        let _ = stream.set_nodelay(true);
        let Ok(kept) = stream.try_clone() else { return };
        self.connections.lock().unwrap().insert(connection, kept);
        let Ok(mut output) = stream.try_clone() else { return };
        let mut requests = RequestReader::new(stream, self.log.clone());
        while let Some(request) = requests.next() {
            if !self.answer(&mut output, &mut requests, connection, &request) {
                break;
            }
        }
        let _ = output.shutdown(Shutdown::Both);
        self.connections.lock().unwrap().remove(&connection);
        let endpoint = self.name.lock().unwrap().clone();
        self.log.add(Event::Ended { endpoint, connection });
    }

    /// Answers a call. Returns false if the connection is at its end.
    fn answer(
        &self,
        output: &mut TcpStream,
        requests: &mut RequestReader,
        connection: u64,
        request: &Request,
    ) -> bool {
        let endpoint = self.name.lock().unwrap().clone();
        let batch = request.path.ends_with(":batch");
        let text = String::from_utf8_lossy(&request.body);
        let header = |name: &str| request.headers.get(name).cloned().into_iter().collect::<Vec<_>>();
        let (ids, keys) = match batch {
            true => (json_strings(&text, "id"), json_strings(&text, "key")),
            false => (header("req-id"), header("idempotency-key")),
        };
        let behaviour = self.behaviour.lock().unwrap().clone();
        let call = Call {
            at: self.log.now(),
            ids: ids.clone(),
            keys,
            path: request.path.clone(),
            body_length: request.body.len(),
        };
        self.log.add(Event::Call {
            endpoint: endpoint.clone(),
            connection,
            ids: ids.clone(),
            first: request.first_byte,
            body: text.chars().take(60).collect(),
        });
        let (after, status, states, wait) = match behaviour(&call) {
            Reply::Silent => {
                // Until the caller ends the connection.
                while requests.fill() {}
                return false;
            }
            Reply::Close { after } => {
                requests.pause(after);
                return false;
            }
            Reply::Status { after, status, wait } => {
                let states = if status == 200 { vec!["ok".to_owned(); ids.len()] } else { vec![] };
                (after, status, states, wait)
            }
            Reply::States { after, states, wait } => (after, 200, states, wait),
        };
        if !requests.pause(after) {
            return false;
        }
        let results = ids.iter().zip(&states);
        let results: Vec<_> =
            results.map(|(id, state)| format!("{{\"id\":\"{id}\",\"state\":\"{state}\"}}")).collect();
        let body = if batch && status == 200 { format!("[{}]", results.join(",")) } else { String::new() };
        let retry_after = wait.map_or(String::new(), |wait| format!("Retry-After: {wait:.3}\r\n"));
        let text =
            format!("HTTP/1.1 {status} X\r\n{retry_after}Content-Length: {}\r\n\r\n{body}", body.len());
        let written = output.write_all(text.as_bytes()).is_ok();
        if written {
            let wait = wait.unwrap_or(0.0);
            self.log.add(Event::Replied { endpoint, connection, ids, status, states, wait });
        }
        written
    }
}

/// An entry of the endpoint list.
#[derive(Debug, Clone)]
pub struct Entry {
    pub name: String,
    pub address: SocketAddr,
    pub kind: String,
    pub group: u16,
    pub status: String,
}

impl Entry {
    pub fn new(name: &str, address: SocketAddr, kind: &str, group: u16) -> Self {
        Self { name: name.into(), address, kind: kind.into(), group, status: "active".into() }
    }

    pub fn with_status(&self, status: &str) -> Self {
        Self { status: status.into(), ..self.clone() }
    }

    pub fn json(&self) -> String {
        format!(
            "{{\"name\":\"{}\",\"address\":\"{}\",\"zone\":\"a\",\"type\":\"{}\",\"group\":{},\"status\":\"{}\",\
             \"weight\":0.0,\"since_ms\":0}}",
            self.name, self.address, self.kind, self.group, self.status
        )
    }
}

pub fn list_json(index: u64, snapshot: bool, entries: &[Entry]) -> String {
    let entries: Vec<_> = entries.iter().map(Entry::json).collect();
    format!("{{\"index\":{index},\"snapshot\":{snapshot},\"endpoints\":[{}]}}", entries.join(","))
}

/// How discovery treats calls for the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// Answers as the pages say.
    Normal,
    /// Turns every call away with 503 that comes now; open watches run on to the end of their hold.
    Crowded,
    /// Silent: nothing is answered, also of what is asked now; open connections stay open. Calls are answered at the return.
    Silent,
}

struct PlatformState {
    index: u64,
    /// Each change: the version at which it came, and the entry.
    changes: Vec<(u64, Entry)>,
    mode: Mode,
}

/// The platform: discovery and reports, at one address.
#[derive(Clone)]
pub struct Platform {
    pub address: SocketAddr,
    name: String,
    state: Arc<(Mutex<PlatformState>, Condvar)>,
    log: Log,
}

impl Platform {
    pub fn start(name: &str, log: &Log, entries: &[Entry]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let changes = entries.iter().map(|entry| (1, entry.clone())).collect();
        let state = PlatformState { index: 1, changes, mode: Mode::Normal };
        let platform = Self {
            address: listener.local_addr().unwrap(),
            name: name.to_owned(),
            state: Arc::new((Mutex::new(state), Condvar::new())),
            log: log.clone(),
        };
        let serving = platform.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let served = serving.clone();
                thread::spawn(move || served.serve(stream));
            }
        });
        platform
    }

    /// The list has changed.
    pub fn change(&self, entries: &[Entry]) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        state.index += 1;
        let index = state.index;
        for entry in entries {
            state.changes.retain(|(_, other)| other.name != entry.name);
            state.changes.push((index, entry.clone()));
            self.log.note(format!("{}: version {index} has {} {}", self.name, entry.name, entry.status));
        }
        changed.notify_all();
    }

    pub fn set_mode(&self, mode: Mode) {
        let (state, changed) = &*self.state;
        state.lock().unwrap().mode = mode;
        self.log.note(format!("{}: {mode:?}", self.name));
        changed.notify_all();
    }

    fn serve(self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut output) = stream.try_clone() else { return };
        let mut requests = RequestReader::new(stream, self.log.clone());
        while let Some(request) = requests.next() {
            let (status, body) = if request.method == "POST" {
                let text = String::from_utf8_lossy(&request.body).into_owned();
                for line in text.lines() {
                    let id = json_strings(line, "id").pop().unwrap_or_default();
                    let status = json_strings(line, "status").pop().unwrap_or_default();
                    self.log.add(Event::Notice { id, status });
                }
                (204, String::new())
            } else {
                self.list(&request.path)
            };
            let text = match status {
                204 => "HTTP/1.1 204 No Content\r\n\r\n".to_owned(),
                _ => format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n\r\n{body}", body.len()),
            };
            if output.write_all(text.as_bytes()).is_err() {
                return;
            }
            if status != 204 {
                self.log.note(format!("{}: answered {} with {status} {body}", self.name, request.path));
            }
        }
    }

    /// Answers a call for the list.
    fn list(&self, path: &str) -> (u16, String) {
        let query = |name: &str| -> Option<u64> {
            path.split_once('?')?.1.split('&').find_map(|pair| pair.strip_prefix(name)?.parse().ok())
        };
        let from = query("from=");
        let hold = Instant::now() + Duration::from_millis(query("hold_ms=").unwrap_or(0));
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        if state.mode == Mode::Crowded {
            return (503, String::new());
        }
        loop {
            match state.mode {
                Mode::Silent => {}
                Mode::Normal | Mode::Crowded => match from {
                    None => return (200, self.full(&state)),
                    // A version of another instance.
                    Some(from) if from > state.index => return (200, self.full(&state)),
                    Some(from) if state.index > from || Instant::now() >= hold => {
                        let entries: Vec<_> =
                            state.changes.iter().filter(|c| c.0 > from).map(|c| c.1.clone()).collect();
                        return (200, list_json(state.index, false, &entries));
                    }
                    Some(_) => {}
                },
            }
            state = changed.wait_timeout(state, Duration::from_millis(20)).unwrap().0;
        }
    }

    fn full(&self, state: &PlatformState) -> String {
        let listed: Vec<_> =
            state.changes.iter().map(|c| c.1.clone()).filter(|e| e.status != "left").collect();
        list_json(state.index, true, &listed)
    }
}

/// Finds the repository's root: the folder with the deploy file.
pub fn root() -> PathBuf {
    let mut folder = std::env::current_dir().unwrap();
    while !folder.join("deploy/balancer.toml").exists() {
        if !folder.pop() {
            eprintln!("no deploy/balancer.toml here or above");
            std::process::exit(COULD_NOT_RUN);
        }
    }
    folder
}

/// The command of the deploy file that starts one sender.
fn run_command(root: &Path) -> String {
    let text = std::fs::read_to_string(root.join("deploy/balancer.toml")).unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("run"));
    line.and_then(|line| line.split('"').nth(1)).unwrap_or("exec target/release/myrtleyard").to_owned()
}

/// A free loopback port, outside the range from which the system takes ports for outgoing connections.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let first = u64::from(std::process::id()).wrapping_mul(97);
    loop {
        let port = 20_000 + (first + NEXT.fetch_add(1, Ordering::SeqCst)) % 10_000;
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port as u16)) {
            return listener.local_addr().unwrap();
        }
    }
}

/// The settings that a case changes.
#[derive(Clone)]
pub struct Settings {
    pub seed: String,
    pub senders: usize,
    /// Classes, as JSON objects.
    pub classes: Vec<String>,
    pub calls_out: usize,
    pub max_open: usize,
    pub bundle_max: [usize; 2],
    pub own_limits: [bool; 2],
    pub connect_timeout_us: u64,
    pub sockets: usize,
}

/// The classes of the deployment `gavekassen-prod`.
pub fn notice(window_us: u64) -> String {
    format!(
        "{{\"name\":\"donation-notice\",\"effect\":\"by_key\",\"group\":\"all\",\"dedup_window_us\":{window_us},\
         \"on_time_us\":4000000,\"hard_limit_us\":24000000,\"importance\":2.0,\"late_worth\":0.3,\"stream\":false}}"
    )
}

pub fn order() -> String {
    "{\"name\":\"payment-order\",\"effect\":\"once\",\"group\":\"all\",\"dedup_window_us\":5000000,\
     \"on_time_us\":4000000,\"hard_limit_us\":24000000,\"importance\":1.0,\"late_worth\":0.3,\"stream\":false}"
        .to_owned()
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            seed: "8c1f30d27a5be964".into(),
            senders: 3,
            classes: vec![notice(6_000_000), order()],
            calls_out: 8,
            max_open: 171,
            bundle_max: [5, 1],
            own_limits: [false, false],
            connect_timeout_us: 1_000_000,
            sockets: 1024,
        }
    }
}

impl Settings {
    /// The configuration file of a sender.
    pub fn config(&self, name: &str, listen: SocketAddr, discovery: SocketAddr, known: &str) -> String {
        let Self { seed, senders, calls_out, max_open, bundle_max: [b0, b1], own_limits: [o0, o1], .. } =
            self;
        format!(
            "{{\"name\":\"{name}\",\"listen\":\"{listen}\",\"discovery\":\"{discovery}\",\"seed\":\"{seed}\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":{},\"disk_mb\":3}},\
             \"known\":{known},\"settings\":{{\"azs\":[\"a\"],\"balancers\":{senders},\"classes\":[{}],\
             \"clients\":{{\"marks_retry\":true}},\"discovery\":\"push\",\
             \"family_info\":{{\"bundle_max\":[{b0},{b1}],\"calls_out\":{calls_out},\"decay\":\"halves\",\
             \"own_limits\":[{o0},{o1}],\"toll\":[0.0]}},\
             \"limits\":{{\"cancelling\":true,\"connect_timeout_us\":{},\"idle_close_us\":5000000,\
             \"max_open\":{max_open},\"max_retry_after_us\":3000000,\"peers\":false,\"probing\":false,\
             \"retry_after\":false,\"second_copies\":false,\"streams_per_conn\":1,\"try_limit\":6}},\
             \"load_report\":{{\"fields\":[],\"how\":\"none\"}},\"locality\":0,\
             \"obligations\":{{\"answer_slack_us\":20000,\"ask_every_us\":10000000,\"cold_share\":0.18,\
             \"fall_multiple\":2.0,\"overload_for_us\":3000000,\"stop_sending_within_us\":2000000,\
             \"warm_within_us\":14000000}},\"period_us\":5000,\"rank\":0,\"realms\":[],\
             \"skus\":[\"bulk\",\"standard\"],\"tier\":0,\"tiers\":[\"partners\"],\"value_by\":\"request\",\
             \"weights\":\"none\",\"workload\":\"deliver\"}}}}",
            self.sockets,
            self.classes.join(","),
            self.connect_timeout_us,
        )
    }
}

/// A folder that is removed with its contents when this is dropped.
pub struct TempFolder(pub PathBuf);

impl TempFolder {
    pub fn new(name: &str) -> Self {
        let base = std::env::var_os("TMPDIR").map_or_else(|| PathBuf::from("/tmp"), PathBuf::from);
        let path = base.join(format!(
            "review-{name}-{}-{}",
            std::process::id(),
            CONNECTIONS.fetch_add(1, Ordering::SeqCst)
        ));
        std::fs::create_dir_all(path.join("state")).unwrap();
        FOLDERS.lock().unwrap().push(path.clone());
        Self(path)
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// One sender of the project: its folder, its addresses and its processes.
pub struct Sender {
    pub name: String,
    pub listen: SocketAddr,
    pub folder: TempFolder,
    pub settings: Settings,
    pub discovery: SocketAddr,
    pub known: String,
    /// The listening socket that the platform holds, on days with upgrades.
    socket: Option<TcpListener>,
    child: Option<Child>,
    log: Log,
}

impl Sender {
    pub fn new(name: &str, log: &Log, settings: Settings, platform: &Platform, known: &[Entry]) -> Self {
        Self {
            name: name.to_owned(),
            listen: free_address(),
            folder: TempFolder::new(name),
            settings,
            discovery: platform.address,
            known: list_json(1, true, known),
            socket: None,
            child: None,
            log: log.clone(),
        }
    }

    /// The platform holds the listening socket, and passes it to each process as descriptor 4.
    pub fn hold_socket(&mut self) {
        let socket = TcpListener::bind("127.0.0.1:0").unwrap();
        self.listen = socket.local_addr().unwrap();
        self.socket = Some(socket);
    }

    fn configure(&self) {
        let text = self.settings.config(&self.name, self.listen, self.discovery, &self.known);
        let new = self.folder.0.join("config.new");
        std::fs::write(&new, text).unwrap();
        std::fs::rename(new, self.folder.0.join("config.json")).unwrap();
    }

    /// The command of the deploy file, with the environment of the platform.
    fn spawn(&self, ops: Option<SocketAddr>) -> Child {
        let root = root();
        let run = run_command(&root);
        let stderr =
            std::fs::OpenOptions::new().create(true).append(true).open(self.folder.0.join("log")).unwrap();
        let mut command = Command::new("/bin/sh");
        match &self.socket {
            // The socket comes as standard input, and the shell moves it to descriptor 4.
            Some(socket) => {
                command.arg("-c").arg(format!("exec 4<&0 0</dev/null; {run}"));
                command
                    .stdin(Stdio::from(OwnedFd::from(socket.try_clone().unwrap())))
                    .env("NODE_LISTEN_FD", "4");
            }
            None => {
                command.arg("-c").arg(run).stdin(Stdio::null());
            }
        }
        for name in ["NODE_OPS", "NODE_LISTEN_FD"] {
            if name != "NODE_LISTEN_FD" || self.socket.is_none() {
                command.env_remove(name);
            }
        }
        if let Some(ops) = ops {
            command.env("NODE_OPS", ops.to_string());
        }
        command
            .current_dir(root)
            .env("NODE_NAME", &self.name)
            .env("NODE_LISTEN", self.listen.to_string())
            .env("NODE_DISCOVERY", self.discovery.to_string())
            .env("NODE_STATE", self.folder.0.join("state"))
            .env("NODE_CONFIG", self.folder.0.join("config.json"))
            .stdout(Stdio::null())
            .stderr(stderr);
        match command.spawn() {
            Ok(child) => {
                own(child.id());
                child
            }
            Err(error) => {
                eprintln!("the sender can't be started: {error}");
                finish(COULD_NOT_RUN)
            }
        }
    }

    /// Starts a process and waits until it is ready.
    pub fn start(&mut self) {
        self.start_with_ops(None);
    }

    pub fn start_with_ops(&mut self, ops: Option<SocketAddr>) {
        self.configure();
        self.child = Some(self.spawn(ops));
        self.log.note(format!("{} starts", self.name));
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            if self.ready() {
                self.log.note(format!("{} is ready", self.name));
                return;
            }
            thread::sleep(Duration::from_millis(10));
        }
        eprintln!("{} is not ready:\n{}", self.name, self.stderr());
        finish(COULD_NOT_RUN);
    }

    /// Starts a second process beside the running one, without waiting for it. Returns the first.
    pub fn spawn_successor(&mut self, ops: SocketAddr) -> Child {
        self.configure();
        let new = self.spawn(Some(ops));
        let old = self.child.replace(new).unwrap();
        self.log.note(format!("{}: a second process starts", self.name));
        old
    }

    /// Starts a second process beside the running one, and returns the first once the second says yes at its
    /// address for operators.
    pub fn start_successor(&mut self, ops: SocketAddr) -> Child {
        let old = self.spawn_successor(ops);
        let until = Instant::now() + Duration::from_secs(10);
        while Instant::now() < until {
            if matches!(ask(ops, "GET", "/status", Duration::from_secs(1)), Some((200, _))) {
                self.log.note(format!("{}: the second process says yes", self.name));
                return old;
            }
            thread::sleep(Duration::from_millis(5));
        }
        eprintln!("{}: the second process does not say yes:\n{}", self.name, self.stderr());
        self.log.note("the second process does not say yes");
        old
    }

    pub fn ready(&self) -> bool {
        matches!(ask(self.listen, "GET", "/ready", Duration::from_millis(500)), Some((200, _)))
    }

    pub fn stderr(&self) -> String {
        std::fs::read_to_string(self.folder.0.join("log")).unwrap_or_default()
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().unwrap().id()
    }

    /// SIGHUP, after the configuration names another address of discovery.
    pub fn move_discovery(&mut self, address: SocketAddr) {
        self.discovery = address;
        self.configure();
        signal(self.pid(), "HUP");
        self.log.note(format!("{}: SIGHUP, discovery is at {address}", self.name));
    }

    /// SIGKILL, and the next process 0.6 s later.
    pub fn kill_and_restart(&mut self) {
        self.kill();
        thread::sleep(Duration::from_millis(600));
        self.start();
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            self.log.note(format!("{}: SIGKILL", self.name));
            let _ = child.kill();
            let _ = child.wait();
            disown(child.id());
        }
    }

    /// SIGTERM, SIGKILL 3.7 s later, and the next process 0.6 s after that.
    pub fn terminate_and_restart(&mut self) {
        self.terminate();
        thread::sleep(Duration::from_millis(3700));
        self.kill();
        thread::sleep(Duration::from_millis(600));
        self.start();
    }

    pub fn terminate(&mut self) {
        signal(self.pid(), "TERM");
        self.log.note(format!("{}: SIGTERM", self.name));
    }

    /// The exit status of the process, if it has ended by itself.
    pub fn has_ended(&mut self) -> Option<String> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        Some(status.to_string())
    }
}

impl Drop for Sender {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Sends a signal to a process that this case started.
pub fn signal(pid: u32, name: &str) {
    let _ = Command::new("/bin/sh").arg("-c").arg(format!("kill -{name} {pid} 2>/dev/null")).status();
}

/// The processes that this case started and that may still run.
static OWNED: Mutex<Vec<u32>> = Mutex::new(Vec::new());
/// The folders that this case made.
static FOLDERS: Mutex<Vec<PathBuf>> = Mutex::new(Vec::new());

fn own(pid: u32) {
    // One writer at a time, and one write a line.
    let mut owned = OWNED.lock().unwrap();
    owned.push(pid);
    // The script ends what is listed here if the case itself is ended.
    if let Some(path) = std::env::var_os("REVIEW_PIDS") {
        if let Ok(mut file) = std::fs::OpenOptions::new().create(true).append(true).open(path) {
            let _ = file.write_all(format!("{pid}\n").as_bytes());
        }
    }
}

pub fn disown(pid: u32) {
    OWNED.lock().unwrap().retain(|other| *other != pid);
}

/// Ends all processes that the case started, and the case itself.
pub fn finish(code: i32) -> ! {
    for pid in OWNED.lock().unwrap().drain(..) {
        signal(pid, "KILL");
    }
    for folder in FOLDERS.lock().unwrap().drain(..) {
        let _ = std::fs::remove_dir_all(folder);
    }
    std::process::exit(code)
}

/// Sends a request without a body on a new connection. Returns the status and the body.
pub fn ask(address: SocketAddr, method: &str, path: &str, within: Duration) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, within).ok()?;
    stream.set_read_timeout(Some(within)).ok()?;
    let text =
        format!("{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    stream.write_all(text.as_bytes()).ok()?;
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    let text = String::from_utf8_lossy(&answer).into_owned();
    let status = text.split(' ').nth(1)?.parse().ok()?;
    Some((status, text.split_once("\r\n\r\n").map_or(String::new(), |(_, body)| body.to_owned())))
}

/// A message of a client.
#[derive(Debug, Clone)]
pub struct Message {
    pub id: String,
    pub class: String,
    pub dest: u16,
    pub deadline_ms: u64,
    pub body: Vec<u8>,
}

static MESSAGES: AtomicU64 = AtomicU64::new(1);

impl Message {
    pub fn new(class: &str, dest: u16, deadline_ms: u64) -> Self {
        let number = MESSAGES.fetch_add(1, Ordering::SeqCst);
        let (class, body) = (class.to_owned(), format!("message {number}").into_bytes());
        Self { id: format!("{number:016x}"), class, dest, deadline_ms, body }
    }

    /// The request as the pages write it.
    pub fn request(&self) -> Vec<u8> {
        let key = match self.class.as_str() {
            "donation-notice" => format!("Idempotency-Key: k{:0>31}\r\n", self.id),
            _ => String::new(),
        };
        let mut request = format!(
            "POST /{} HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: {}\r\nReq-Kind: {}\r\nReq-Deadline-Ms: {}\r\n\
             {key}Content-Length: {}\r\nX-Consignee: dest={}\r\n\r\n",
            self.class,
            self.id,
            self.class,
            self.deadline_ms,
            self.body.len(),
            self.dest
        )
        .into_bytes();
        request.extend_from_slice(&self.body);
        request
    }
}

/// Reads one answer. Returns its status and whether the connection stays open; none at the end of the connection.
pub fn read_answer(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<(u16, bool)>> {
    loop {
        if let Some(at) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..at + 4]).to_lowercase();
            let length = head
                .split("\r\n")
                .find_map(|line| line.strip_prefix("content-length:")?.trim().parse().ok())
                .unwrap_or(0usize);
            if buffer.len() >= at + 4 + length {
                buffer.drain(..at + 4 + length);
                let status = head.split(' ').nth(1).and_then(|s| s.trim().parse().ok()).unwrap_or(0);
                return Ok(Some((status, !head.contains("connection: close"))));
            }
        }
        let mut bytes = [0; 4096];
        match stream.read(&mut bytes)? {
            0 => return Ok(None),
            n => buffer.extend_from_slice(&bytes[..n]),
        }
    }
}

/// The clients of one sender, with their kept connections.
#[derive(Clone)]
pub struct Clients {
    pub address: SocketAddr,
    kept: Arc<Mutex<Vec<TcpStream>>>,
    log: Log,
}

impl Clients {
    pub fn new(address: SocketAddr, log: &Log) -> Self {
        Self { address, kept: Arc::default(), log: log.clone() }
    }

    /// Hands in a message without waiting for the answer.
    pub fn submit(&self, message: Message) {
        let clients = self.clone();
        thread::spawn(move || clients.hand_in(&message));
    }

    /// Hands in a message: on a kept connection if there is one, else on a new one. If the sender ends a kept connection
    /// without an answer, the request is sent once more on a new one.
    pub fn hand_in(&self, message: &Message) -> u16 {
        let kept = self.kept.lock().unwrap().pop();
        if let Some(stream) = kept {
            let status = self.exchange(stream, message);
            if status != 0 {
                return status;
            }
        }
        match TcpStream::connect_timeout(&self.address, Duration::from_millis(400)) {
            Ok(stream) => {
                let _ = stream.set_nodelay(true);
                self.exchange(stream, message)
            }
            Err(_) => {
                self.log.note(format!("{}: no connection", message.id));
                0
            }
        }
    }

    fn exchange(&self, mut stream: TcpStream, message: &Message) -> u16 {
        let _ = stream.set_read_timeout(Some(Duration::from_millis(400)));
        if stream.write_all(&message.request()).is_err() {
            return 0;
        }
        let Message { id, class, dest, deadline_ms, .. } = message.clone();
        self.log.add(Event::Sent { id: id.clone(), class, dest, deadline_ms });
        let status = match read_answer(&mut stream, &mut Vec::new()) {
            Ok(Some((status, open))) => {
                if open {
                    self.kept.lock().unwrap().push(stream);
                }
                status
            }
            Ok(None) => 0,
            Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => 1,
            Err(_) => 0,
        };
        self.log.add(Event::Answered { id, status });
        status
    }
}

/// Hands in messages at a steady rate from `from` to `to`; `next` makes them. Returns at `to`.
pub fn steady(
    log: &Log,
    clients: &Clients,
    (from, to): (f64, f64),
    per_second: f64,
    next: impl Fn(u64) -> Message,
) {
    let mut number = 0;
    loop {
        let at = from + number as f64 / per_second;
        if at >= to {
            return;
        }
        log.sleep_until(at);
        clients.submit(next(number));
        number += 1;
    }
}

/// What is known of one message after the case.
#[derive(Debug, Clone, Default)]
pub struct Story {
    pub class: String,
    pub dest: u16,
    /// When the request's last byte was written, for the last time.
    pub sent: f64,
    pub deadline: f64,
    pub status: u16,
    /// Each call: when its first and its last byte came, endpoint, connection, when the call ended, and with what:
    /// a status, a state of a batch, or "ended" (the connection's end).
    pub calls: Vec<StoryCall>,
    pub notices: Vec<(f64, String)>,
}

#[derive(Debug, Clone)]
pub struct StoryCall {
    pub first: f64,
    pub last: f64,
    pub endpoint: String,
    pub connection: u64,
    pub ended: Option<f64>,
    pub how: String,
}

impl StoryCall {
    /// Whether the call proves that the message did not run.
    pub fn never_ran(&self) -> bool {
        matches!(
            self.how.as_str(),
            "429" | "503" | "504" | "410" | "400" | "404" | "413" | "later" | "gone" | "exhausted"
        )
    }

    pub fn delivered(&self) -> bool {
        self.how == "200" || self.how == "ok"
    }
}

/// The story of each message.
pub fn stories(events: &[(f64, Event)]) -> BTreeMap<String, Story> {
    let mut stories: BTreeMap<String, Story> = BTreeMap::new();
    let mut open: HashMap<u64, Vec<(String, usize)>> = HashMap::new();
    for (at, event) in events {
        match event {
            Event::Sent { id, class, dest, deadline_ms } => {
                let story = stories.entry(id.clone()).or_default();
                (story.class, story.dest, story.sent) = (class.clone(), *dest, *at);
                story.deadline = *at + *deadline_ms as f64 / 1000.0;
            }
            Event::Answered { id, status } => stories.entry(id.clone()).or_default().status = *status,
            Event::Call { endpoint, connection, ids, first, .. } => {
                for id in ids {
                    let story = stories.entry(id.clone()).or_default();
                    open.entry(*connection).or_default().push((id.clone(), story.calls.len()));
                    story.calls.push(StoryCall {
                        first: *first,
                        last: *at,
                        endpoint: endpoint.clone(),
                        connection: *connection,
                        ended: None,
                        how: String::new(),
                    });
                }
            }
            Event::Replied { connection, ids, status, states, .. } => {
                let calls = open.remove(connection).unwrap_or_default();
                for (number, (id, call)) in calls.into_iter().enumerate() {
                    let call = &mut stories.get_mut(&id).unwrap().calls[call];
                    call.ended = Some(*at);
                    let state = states.get(number).filter(|_| ids.len() > 1);
                    call.how = state.cloned().unwrap_or(status.to_string());
                }
            }
            Event::Ended { connection, .. } => {
                for (id, call) in open.remove(connection).unwrap_or_default() {
                    let call = &mut stories.get_mut(&id).unwrap().calls[call];
                    (call.ended, call.how) = (Some(*at), "ended".into());
                }
            }
            Event::Notice { id, status } => {
                stories.entry(id.clone()).or_default().notices.push((*at, status.clone()));
            }
            Event::Note(_) | Event::Refused { .. } => {}
        }
    }
    stories
}

/// Messages that were taken on and have neither been delivered nor ended by a notice 0.35 s after their time (the rule's
/// 300 ms and the 50 ms by which every time limit is longer). `excused` are times in which no notice is overdue.
pub fn lost(stories: &BTreeMap<String, Story>, excused: &[(f64, f64)], until: f64) -> Vec<String> {
    let mut found = Vec::new();
    for (id, story) in stories {
        if !matches!(story.status, 200 | 202) {
            continue;
        }
        let mut due = story.deadline + 0.35;
        for (from, to) in excused {
            if due >= *from && due < *to {
                due = *to;
            }
        }
        if due > until {
            continue;
        }
        let delivered =
            story.calls.iter().any(|call| call.delivered() && call.ended.is_some_and(|at| at <= due));
        let noticed = story.notices.iter().any(|notice| notice.0 <= due);
        let over = story.calls.iter().any(|call| call.how == "410" || call.how == "gone");
        if !delivered && !noticed && !over {
            found.push(format!(
                "{id} ({}, dest {}) was taken on at {:.3}, due {due:.3}: no end; {:?} {:?}",
                story.class, story.dest, story.sent, story.calls, story.notices
            ));
        }
    }
    found
}

/// Messages that ran more than once or may have, against the rule on duplicates. `window` is that of the keyed class.
pub fn duplicates(stories: &BTreeMap<String, Story>, window: f64) -> Vec<String> {
    let mut found = Vec::new();
    for (id, story) in stories {
        let mut first_run: Option<f64> = None;
        let mut earlier: Vec<&StoryCall> = Vec::new();
        for call in &story.calls {
            if earlier.iter().any(|other| other.ended.is_none_or(|ended| ended > call.last)) {
                found.push(format!("{id} ({}): two calls at once: {:?}", story.class, story.calls));
            }
            if story.class == "payment-order" && earlier.iter().any(|other| !other.never_ran()) {
                found.push(format!("{id}: a further call of an order that may have run: {:?}", story.calls));
            }
            if story.class == "donation-notice" && first_run.is_some_and(|at| call.last > at + window + 0.05)
            {
                found.push(format!(
                    "{id}: a notice that may have run is sent after its window: {:?}",
                    story.calls
                ));
            }
            if !call.never_ran() {
                first_run = first_run.or(Some(call.first));
            }
            earlier.push(call);
        }
        let ran = story.calls.iter().any(|call| !call.never_ran());
        if story.class == "payment-order" && ran && story.notices.iter().any(|notice| notice.1 == "deferred")
        {
            found.push(format!(
                "{id}: an order that may have run is refused: {:?} {:?}",
                story.calls, story.notices
            ));
        }
    }
    found
}

/// Calls to a destination that come while a wait of it runs: later than 0.1 s after its answer was written. `group` gives
/// the route of an endpoint, `restarts` the times at which a restart ended all waits.
pub fn broken_waits(
    events: &[(f64, Event)],
    group: impl Fn(&str) -> String,
    restarts: &[f64],
) -> Vec<String> {
    let mut waits: HashMap<String, Vec<(f64, f64)>> = HashMap::new();
    let mut found = Vec::new();
    for (at, event) in events {
        match event {
            Event::Replied { endpoint, wait, .. } if *wait > 0.0 => {
                waits.entry(group(endpoint)).or_default().push((*at, *at + *wait));
            }
            Event::Call { endpoint, ids, .. } => {
                let told = waits.get(&group(endpoint)).into_iter().flatten();
                let broken = told.filter(|(from, to)| {
                    *at > *from + 0.1
                        && *at < *to - 0.002
                        && !restarts.iter().any(|r| *r >= *from && *r <= *at)
                });
                for (from, to) in broken {
                    found.push(format!(
                        "{endpoint} gets a call with {ids:?} at {at:.3}, {:.3} s after it told to wait until {to:.3}",
                        at - from
                    ));
                }
            }
            _ => {}
        }
    }
    found
}

/// Distinct names in a list of findings, for a short verdict.
pub fn short(findings: &[String]) -> String {
    let shown: Vec<_> = findings.iter().take(5).cloned().collect();
    let mut text = shown.join("\n  ");
    if findings.len() > 5 {
        let _ = write!(text, "\n  and {} more", findings.len() - 5);
    }
    text
}

/// Whether the disruption takes place: unless `TROUBLE` is `0`.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Where the record goes: the folder that is the first argument.
pub fn record_path() -> PathBuf {
    PathBuf::from(std::env::args().nth(1).unwrap_or_else(|| ".".into())).join("record.txt")
}

/// Ends the case with its verdict.
pub fn judge(log: &Log, findings: &[String], summary: &str) -> ! {
    let verdict = match findings {
        [] => format!("held: {summary}"),
        _ => format!("BROKEN: {summary}\n  {}", short(findings)),
    };
    println!("{verdict}");
    log.write(&record_path(), &verdict);
    finish(if findings.is_empty() { HELD } else { BROKEN })
}

/// Ends the case since it could not run as intended.
pub fn could_not_run(log: &Log, why: &str) -> ! {
    let verdict = format!("could not run: {why}");
    println!("{verdict}");
    log.write(&record_path(), &verdict);
    finish(COULD_NOT_RUN)
}
