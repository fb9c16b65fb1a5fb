//! Servers and clients that keep bytes as they came, and the rules for what varies.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::fs;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;

use serde_json::{Value, json};
use test_doubles::{Node, Platform, Program, TIMEOUT, submission, wait_until};

use super::programs;

/// A request as it came, which waits for its answer.
pub struct Request {
    /// Head and body.
    pub bytes: Vec<u8>,
    answer: Sender<Vec<u8>>,
}

impl Request {
    /// Answers with these bytes.
    pub fn answer(self, bytes: impl Into<Vec<u8>>) {
        // The other side may have gone.
        let _ = self.answer.send(bytes.into());
    }

    /// Answers with a status, headers as they are to be written, and a body.
    pub fn answer_with(self, status: u16, headers: &str, body: &str) {
        let head = format!("HTTP/1.1 {status} X\r\ncontent-length: {}\r\n{headers}\r\n", body.len());
        self.answer(head + body);
    }
}

/// A server whose requests are kept as bytes.
pub struct Server {
    /// Where it listens.
    pub address: SocketAddr,
    requests: Receiver<Request>,
    /// Those that came while another was waited for.
    later: RefCell<VecDeque<Request>>,
}

impl Server {
    /// Listens on loopback.
    pub fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("its address");
        let (tell, requests) = channel();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let tell = tell.clone();
                thread::spawn(move || serve(stream, &tell));
            }
        });
        Self { address, requests, later: RefCell::default() }
    }

    /// The next request whose first line begins so.
    pub fn next(&self, begins: &str) -> Request {
        let mut later = self.later.borrow_mut();
        if let Some(at) = later.iter().position(|request| request.bytes.starts_with(begins.as_bytes())) {
            return later.remove(at).expect("it is there");
        }
        loop {
            let request = self.requests.recv_timeout(TIMEOUT).expect("a request comes");
            if request.bytes.starts_with(begins.as_bytes()) {
                return request;
            }
            later.push_back(request);
        }
    }

    /// The next request with that message alone; repeats of others, which an answer that took long leads to, are answered well.
    pub fn next_for(&self, id: &str) -> Request {
        loop {
            let request = self.next("");
            if String::from_utf8_lossy(&request.bytes).contains(&format!("\r\nreq-id: {id}\r\n")) {
                return request;
            }
            request.answer_with(200, "", "");
        }
    }
}

impl Default for Server {
    fn default() -> Self {
        Self::new()
    }
}

fn serve(stream: TcpStream, tell: &Sender<Request>) {
    let Ok(mut out) = stream.try_clone() else { return };
    let mut input = BufReader::new(stream);
    while let Some(bytes) = read(&mut input) {
        let (answer, answered) = channel();
        if tell.send(Request { bytes, answer }).is_err() {
            return;
        }
        let Ok(answer) = answered.recv() else { return };
        if answer.is_empty() || out.write_all(&answer).is_err() {
            return;
        }
    }
}

/// One request or answer as it came; none where the connection ends before its end.
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

/// Writes a request on a connection of its own and reads the answer as it comes.
pub fn ask(address: SocketAddr, request: &[u8]) -> Vec<u8> {
    let mut stream = TcpStream::connect_timeout(&address, TIMEOUT).expect("a connection");
    stream.set_read_timeout(Some(TIMEOUT)).expect("a time to wait");
    stream.write_all(request).expect("it is written");
    read(&mut BufReader::new(stream)).expect("an answer")
}

/// Asks until the answer is another than that the message is accepted: one that has its outcome is in the ledger a moment
/// later.
pub fn ask_again(address: SocketAddr, request: &[u8]) -> Vec<u8> {
    let mut answer = Vec::new();
    wait_until(|| {
        answer = ask(address, request);
        !answer.starts_with(b"HTTP/1.1 202 ")
    });
    answer
}

/// A request that submits a message to destination 7 for 20 s, with these changes.
pub fn message(id: &str, class: &str, changes: &[(&str, &str)]) -> Vec<u8> {
    let mut text = String::from_utf8(submission(id, class, 7, 20_000)).expect("it is text");
    for (from, to) in changes {
        assert!(text.contains(from), "{from} is there to be changed");
        text = text.replace(from, to);
    }
    text.into_bytes()
}

/// Leaves out the class that is kept in order, which several cores do not have.
pub fn unordered(config: &mut Value) {
    let classes = config["settings"]["classes"].as_array_mut().expect("classes");
    classes.retain(|class| class["in_order"] != true);
}

/// The exit code of a process that is to end by itself.
pub fn wait_out(node: &mut Node) -> Option<i32> {
    wait_until(|| node.has_ended());
    node.exit_code()
}

/// A real sender, and a scripted platform that it knows.
pub struct Scene {
    /// The sender.
    pub node: Node,
    /// Its platform.
    pub platform: Server,
    _operators: tempfile::TempDir,
}

impl Scene {
    /// Starts a sender that knows these endpoints, with that operators' file, its configuration changed so. It knows classes of
    /// each effect, and answers at an admin address.
    pub fn new(endpoints: &[Value], operators: &str, change: impl FnOnce(&mut Value)) -> Self {
        Self::start(programs::sender(), endpoints, operators, change)
    }

    /// The same with a listening socket that two processes inherit one after the other.
    pub fn inheriting(endpoints: &[Value]) -> Self {
        let held = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = held.local_addr().expect("its address").to_string();
        let listen = |config: &mut Value| config["listen"] = json!(address);
        Self::start(programs::sender().inheriting(&held), endpoints, "", listen)
    }

    fn start(
        program: Program,
        endpoints: &[Value],
        operators: &str,
        change: impl FnOnce(&mut Value),
    ) -> Self {
        let (platform, folder) = (Server::new(), tempfile::tempdir().expect("a folder"));
        let file = folder.path().join("myrtleyard.toml");
        fs::write(&file, operators).expect("it is written");
        let program = program.arg("--operators").arg(&file);
        // Only its address would be used, which is replaced.
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

    /// SIGKILL, and a new process on the same folder.
    pub fn killed_and_restarted(self) -> Self {
        Self { node: self.node.kill_and_restart(), ..self }
    }

    /// Asks the admin address.
    pub fn admin(&self, method: &str, call: &str) -> Vec<u8> {
        let request = format!("{method} {call} HTTP/1.1\r\nHost: ops\r\nContent-Length: 0\r\n\r\n");
        ask(self.node.admin.expect("an admin address"), request.as_bytes())
    }

    /// Waits until one of the figures has that value.
    pub fn wait_for_figure(&self, name: &str, value: u64) {
        wait_until(|| self.node.metric(name) == value);
    }

    /// Waits until so many messages are pending.
    pub fn wait_for(&self, pending: u64) {
        self.wait_for_figure("svc_open_requests", pending);
    }

    /// The figures of how messages ended.
    pub fn operations(&self) -> String {
        let figures = String::from_utf8_lossy(&self.admin("GET", "/status/metrics")).into_owned();
        let ends =
            figures.lines().filter(|line| line.starts_with("svc_operations{") && !line.ends_with(" 0"));
        ends.map(|line| format!("{line}\n")).collect()
    }

    /// Waits for a line of the log that holds this.
    pub fn line(&self, holds: &str) -> String {
        let find = || self.log().into_iter().find(|line| line.contains(holds));
        wait_until(|| find().is_some());
        find().unwrap_or_default()
    }

    /// The log so far, with the name of its folder and what [`normal`] replaces left out.
    pub fn log(&self) -> Vec<String> {
        let state = self.node.state();
        let folder = state.parent().expect("a folder above").to_string_lossy().into_owned();
        self.node.log().iter().map(|line| normal(&line.replace(&folder, "FOLDER"))).collect()
    }
}

/// Bytes as lines of text: what is no printable ASCII is escaped, a line ends after each line feed.
pub fn shown(bytes: &[u8]) -> String {
    let mut text = String::new();
    for byte in bytes {
        text.extend(byte.escape_ascii().map(char::from));
        if *byte == b'\n' {
            text.push('\n');
        }
    }
    text.replace("\\\"", "\"").replace("\\'", "'")
}

/// Bytes as hexadecimal digits.
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// A file of titled parts.
#[derive(Default)]
pub struct Pages(String);

impl Pages {
    /// Adds a part.
    pub fn add(&mut self, title: &str, text: &str) {
        self.0 += &format!("== {title}\n{}\n", text.trim_end_matches('\n'));
    }

    /// Adds bytes that were on a socket, with what varies replaced.
    pub fn add_bytes(&mut self, title: &str, bytes: &[u8]) {
        self.add(title, &normal(&shown(bytes)));
    }

    /// The file.
    pub fn finish(self) -> String {
        self.0
    }
}

/// Replaces what varies from run to run, and nothing else: ports of loopback addresses, the milliseconds of
/// `req-deadline-ms` and `again_ms`, and the value of `date`.
pub fn normal(text: &str) -> String {
    let mut text = text.to_owned();
    for (before, mark) in [("127.0.0.1:", "PORT"), ("req-deadline-ms: ", "MS"), ("\"again_ms\":", "MS")] {
        text = replaced(&text, before, mark, |c| c.is_ascii_digit());
    }
    replaced(&text, "\ndate: ", "DATE", |c| c != '\\')
}

fn replaced(text: &str, before: &str, mark: &str, varies: impl Fn(char) -> bool) -> String {
    let mut parts = text.split(before);
    let mut done = parts.next().unwrap_or_default().to_owned();
    for part in parts {
        let rest = part.trim_start_matches(&varies);
        done += before;
        done += if rest.len() < part.len() { mark } else { "" };
        done += rest;
    }
    done
}
