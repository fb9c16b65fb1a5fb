//! Servers and clients that record the exact bytes, and the replacement of values that vary between runs.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::fs;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use test_doubles::{Node, Platform, Program, TIMEOUT, submission, wait_until};

use super::programs;

/// A received request that waits for its response.
pub struct Request {
    /// The bytes of head and body.
    pub bytes: Vec<u8>,
    arrived: Instant,
    response_sender: Sender<Vec<u8>>,
}

impl Request {
    /// How long ago it arrived.
    pub fn age(&self) -> Duration {
        self.arrived.elapsed()
    }

    /// Responds with these bytes.
    pub fn respond(self, bytes: impl Into<Vec<u8>>) {
        // The client may have closed the connection.
        let _ = self.response_sender.send(bytes.into());
    }

    /// Responds with a status, headers in their exact form, and a body.
    pub fn respond_with(self, status: u16, headers: &str, body: &str) {
        let head = format!("HTTP/1.1 {status} X\r\ncontent-length: {}\r\n{headers}\r\n", body.len());
        self.respond(head + body);
    }
}

/// A server that records its requests as bytes.
pub struct Server {
    /// Address on which it listens.
    pub address: SocketAddr,
    requests: Receiver<Request>,
    /// Requests that arrived while another one was awaited.
    skipped: RefCell<VecDeque<Request>>,
}

impl Server {
    /// Starts a server on loopback.
    pub fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("its address");
        let (request_sender, requests) = channel();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let request_sender = request_sender.clone();
                thread::spawn(move || serve(stream, &request_sender));
            }
        });
        Self { address, requests, skipped: RefCell::default() }
    }

    /// Waits for the next request whose first line begins with this prefix.
    pub fn next(&self, prefix: &str) -> Request {
        let mut skipped = self.skipped.borrow_mut();
        if let Some(at) = skipped.iter().position(|request| request.bytes.starts_with(prefix.as_bytes())) {
            return skipped.remove(at).expect("the position is valid");
        }
        loop {
            let request = self.requests.recv_timeout(TIMEOUT).expect("a request comes");
            if request.bytes.starts_with(prefix.as_bytes()) {
                return request;
            }
            skipped.push_back(request);
        }
    }

    /// Waits for the next request that carries this message alone. Answers retries of other messages, which a slow response causes,
    /// with 200.
    pub fn next_for(&self, id: &str) -> Request {
        loop {
            let request = self.next("");
            if String::from_utf8_lossy(&request.bytes).contains(&format!("\r\nreq-id: {id}\r\n")) {
                return request;
            }
            request.respond_with(200, "", "");
        }
    }
}

impl Default for Server {
    fn default() -> Self {
        Self::new()
    }
}

fn serve(stream: TcpStream, request_sender: &Sender<Request>) {
    let Ok(mut out) = stream.try_clone() else { return };
    let mut input = BufReader::new(stream);
    while let Some(bytes) = read(&mut input) {
        let (response_sender, responses) = channel();
        if request_sender.send(Request { bytes, arrived: Instant::now(), response_sender }).is_err() {
            return;
        }
        let Ok(response) = responses.recv() else { return };
        if response.is_empty() || out.write_all(&response).is_err() {
            return;
        }
    }
}

/// Reads one request or response, or returns `None` if the connection ends before it is complete.
fn read(input: &mut impl BufRead) -> Option<Vec<u8>> {
    let mut bytes = Vec::new();
    let mut length = 0;
    loop {
        let start = bytes.len();
        if input.read_until(b'\n', &mut bytes).ok()? == 0 {
            return None;
        }
        let line = String::from_utf8_lossy(&bytes[start..]).to_lowercase();
        if let Some(value) = line.strip_prefix("content-length:") {
            length = value.trim().parse().ok()?;
        }
        if line == "\r\n" {
            break;
        }
    }
    let head = bytes.len();
    bytes.resize(head + length, 0);
    input.read_exact(&mut bytes[head..]).ok()?;
    Some(bytes)
}

/// Sends a request on a new connection and returns the bytes of the response.
pub fn exchange(address: SocketAddr, request: &[u8]) -> Vec<u8> {
    let mut stream = TcpStream::connect_timeout(&address, TIMEOUT).expect("a connection");
    stream.set_read_timeout(Some(TIMEOUT)).expect("a read timeout");
    stream.write_all(request).expect("the request is written");
    read(&mut BufReader::new(stream)).expect("an answer")
}

/// Repeats a request until its response is not 202: the outcome of a message enters the ledger shortly after the message completes.
pub fn exchange_until_completed(address: SocketAddr, request: &[u8]) -> Vec<u8> {
    let mut response = Vec::new();
    wait_until(|| {
        response = exchange(address, request);
        !response.starts_with(b"HTTP/1.1 202 ")
    });
    response
}

/// Returns a request that submits a message to destination 7 with a deadline of 20 s, with these text replacements.
pub fn message(id: &str, class: &str, changes: &[(&str, &str)]) -> Vec<u8> {
    let mut text = String::from_utf8(submission(id, class, 7, 20_000)).expect("it is text");
    for (from, to) in changes {
        assert!(text.contains(from), "the request does not contain {from}");
        text = text.replace(from, to);
    }
    text.into_bytes()
}

/// Removes the ordered class, which is not supported with several cores.
pub fn remove_ordered_class(config: &mut Value) {
    let classes = config["settings"]["classes"].as_array_mut().expect("classes");
    classes.retain(|class| class["in_order"] != true);
}

/// Waits for the end of a process and returns its exit code.
pub fn wait_for_exit(node: &mut Node) -> Option<i32> {
    wait_until(|| node.has_ended());
    node.exit_code()
}

/// A real sender with a scripted platform.
pub struct Scene {
    /// The sender.
    pub node: Node,
    /// Its platform.
    pub platform: Server,
    _operators: tempfile::TempDir,
}

impl Scene {
    /// Starts a sender with these endpoints, this operators' file and a modified configuration. It has classes of each idempotency,
    /// and an admin address.
    pub fn new(endpoints: &[Value], operators: &str, change: impl FnOnce(&mut Value)) -> Self {
        Self::start(programs::sender(), endpoints, operators, change)
    }

    /// Starts a sender with a listening socket that its successor inherits too.
    pub fn inheriting(endpoints: &[Value]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("its address").to_string();
        let listen = |config: &mut Value| config["listen"] = json!(address);
        Self::start(programs::sender().inheriting(&listener), endpoints, "", listen)
    }

    fn start(
        program: Program,
        endpoints: &[Value],
        operators: &str,
        change: impl FnOnce(&mut Value),
    ) -> Self {
        let (platform, folder) = (Server::new(), tempfile::tempdir().expect("a folder"));
        let file = folder.path().join("myrtleyard.toml");
        fs::write(&file, operators).expect("the file is written");
        let program = program.arg("--operators").arg(&file);
        // Only the address of this platform would be used, and it is replaced.
        let node = Node::start(&program, &Platform::new(), endpoints, |config| {
            config["discovery"] = json!(platform.address.to_string());
            config["ops"] = json!("127.0.0.1:0");
            let classes = config["settings"]["classes"].as_array_mut().expect("classes");
            for (name, ordered) in [("tick", false), ("line", true)] {
                classes.push(json!({"name": name, "effect": "repeatable", "on_time_us": 4_000_000,
                    "hard_limit_us": 24_000_000, "importance": 1.0, "in_order": ordered}));
            }
            change(config);
        });
        Self { node, platform, _operators: folder }
    }

    /// Kills the sender and starts a new process on the same folder.
    pub fn kill_and_restart(self) -> Self {
        Self { node: self.node.kill_and_restart(), ..self }
    }

    /// Sends a request to the admin address and returns the response.
    pub fn admin(&self, method: &str, target: &str) -> Vec<u8> {
        let request = format!("{method} {target} HTTP/1.1\r\nHost: ops\r\nContent-Length: 0\r\n\r\n");
        exchange(self.node.admin.expect("an admin address"), request.as_bytes())
    }

    /// Waits until a metric has this value.
    pub fn wait_for_metric(&self, name: &str, value: u64) {
        wait_until(|| self.node.metric(name) == value);
    }

    /// Waits until this number of messages is pending.
    pub fn wait_for_pending(&self, pending: u64) {
        self.wait_for_metric("svc_open_requests", pending);
    }

    /// Returns the metrics that count the outcomes of messages.
    pub fn outcome_metrics(&self) -> String {
        let metrics = String::from_utf8_lossy(&self.admin("GET", "/status/metrics")).into_owned();
        let outcomes =
            metrics.lines().filter(|line| line.starts_with("svc_operations{") && !line.ends_with(" 0"));
        outcomes.map(|line| format!("{line}\n")).collect()
    }

    /// Waits for a log line that contains this text.
    pub fn wait_for_log_line(&self, text: &str) -> String {
        let find = || self.log().into_iter().find(|line| line.contains(text));
        wait_until(|| find().is_some());
        find().unwrap_or_default()
    }

    /// Returns the log so far, with its folder and the values of [`normalize`] replaced.
    pub fn log(&self) -> Vec<String> {
        let state = self.node.state();
        let folder = state.parent().expect("a folder above").to_string_lossy().into_owned();
        self.node.log().iter().map(|line| normalize(&line.replace(&folder, "FOLDER"))).collect()
    }
}

/// Returns bytes as lines of text. Bytes other than printable ASCII are escaped, and a line ends after each line feed.
pub fn escape(bytes: &[u8]) -> String {
    let mut text = String::new();
    for byte in bytes {
        text.extend(byte.escape_ascii().map(char::from));
        if *byte == b'\n' {
            text.push('\n');
        }
    }
    text.replace("\\\"", "\"").replace("\\'", "'")
}

/// Returns bytes as hexadecimal digits.
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Text of a golden file with titled sections.
#[derive(Default)]
pub struct Sections(String);

impl Sections {
    /// Adds a section.
    pub fn add(&mut self, title: &str, text: &str) {
        self.0 += &format!("== {title}\n{}\n", text.trim_end_matches('\n'));
    }

    /// Adds bytes from a socket as a section, with varying values replaced.
    pub fn add_bytes(&mut self, title: &str, bytes: &[u8]) {
        self.add(title, &normalize(&escape(bytes)));
    }

    /// Returns the text of the file.
    pub fn finish(self) -> String {
        self.0
    }
}

/// Replaces the values that vary between runs, and nothing else: ports of loopback addresses, the milliseconds of
/// `req-deadline-ms` and `again_ms`, and the value of `date`.
pub fn normalize(text: &str) -> String {
    let mut text = text.to_owned();
    for (before, placeholder) in
        [("127.0.0.1:", "PORT"), ("req-deadline-ms: ", "MS"), ("\"again_ms\":", "MS")]
    {
        text = replace_after(&text, before, placeholder, |c| c.is_ascii_digit());
    }
    replace_after(&text, "\ndate: ", "DATE", |c| c != '\\')
}

fn replace_after(text: &str, before: &str, placeholder: &str, is_varying: impl Fn(char) -> bool) -> String {
    let mut parts = text.split(before);
    let mut result = parts.next().unwrap_or_default().to_owned();
    for part in parts {
        let rest = part.trim_start_matches(&is_varying);
        result += before;
        result += if rest.len() < part.len() { placeholder } else { "" };
        result += rest;
    }
    result
}
