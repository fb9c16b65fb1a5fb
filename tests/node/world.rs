//! What a real sender meets, over loopback sockets: a platform, endpoints and clients that do as the test
//! says. All waiting is on events; a patience bounds it so that a failure ends the test.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

use serde_json::{Value, json};

pub const PATIENCE: Duration = Duration::from_secs(30);

/// Looks again and again until it is so.
pub fn wait_until(mut so: impl FnMut() -> bool) {
    let begun = std::time::Instant::now();
    while !so() {
        assert!(begun.elapsed() < PATIENCE, "it comes to be so");
        thread::yield_now();
    }
}

/// A request or an answer: its first line, its headers in lower case, its body.
#[derive(Debug, Clone)]
pub struct Http {
    pub first: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Http {
    pub fn read(stream: &mut impl BufRead) -> Option<Self> {
        let mut line = String::new();
        let mut next = |stream: &mut dyn BufRead| {
            line.clear();
            let size = stream.read_line(&mut line).ok()?;
            (size > 0).then(|| line.trim_end().to_owned())
        };
        let first = next(stream)?;
        let mut headers = HashMap::new();
        loop {
            let line = next(stream)?;
            let Some((name, value)) = line.split_once(':') else { break };
            headers.insert(name.to_lowercase(), value.trim().to_owned());
        }
        let length = headers.get("content-length").map_or(0, |n| n.parse().unwrap());
        let mut body = vec![0; length];
        stream.read_exact(&mut body).ok()?;
        Some(Self { first, headers, body })
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).unwrap().parse().unwrap()
    }

    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap()
    }
}

/// What an endpoint or the platform does with a request.
#[derive(Debug, Clone)]
pub enum Reply {
    Answer(u16, Vec<(&'static str, String)>, String),
    /// These, and then the connection goes on.
    Bytes(&'static [u8]),
    Close,
    /// Answers with 200, and breaks the connection as soon as anything more comes, which it tells of.
    Forget(Sender<()>),
}

pub fn status(code: u16) -> Reply {
    Reply::Answer(code, vec![], String::new())
}

/// A request that waits for what the test makes of it.
pub struct Asked {
    pub http: Http,
    /// Tells connections apart.
    pub connection: usize,
    reply: Sender<Reply>,
    pub closed: Receiver<()>,
}

impl Asked {
    pub fn reply(self, reply: Reply) {
        let _ = self.reply.send(reply);
    }
}

/// A server whose requests go to the test one by one.
pub struct Served {
    pub address: SocketAddr,
    asked: Receiver<Asked>,
}

impl Served {
    pub fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (ask, asked) = channel();
        thread::spawn(move || {
            for (connection, stream) in listener.incoming().enumerate() {
                let (ask, stream) = (ask.clone(), stream.unwrap());
                thread::spawn(move || converse(stream, connection, &ask));
            }
        });
        Self { address, asked }
    }

    /// The next request.
    pub fn next(&self) -> Asked {
        self.asked.recv_timeout(PATIENCE).expect("a request comes")
    }

    /// A request that has come already.
    pub fn poll(&self) -> Option<Asked> {
        self.asked.try_recv().ok()
    }

    /// Whether a request has come that the test has not seen.
    pub fn unseen(&self) -> bool {
        self.poll().is_some()
    }
}

fn converse(stream: TcpStream, connection: usize, ask: &Sender<Asked>) {
    let mut out = stream.try_clone().unwrap();
    let mut input = BufReader::new(stream);
    while let Some(http) = Http::read(&mut input) {
        let (reply, replied) = channel();
        let (close, closed) = channel();
        if ask.send(Asked { http, connection, reply, closed }).is_err() {
            return;
        }
        // Without an answer the other side sends nothing more: what can be read is its end.
        let watched = out.try_clone().unwrap();
        let told = loop {
            match replied.recv_timeout(Duration::from_millis(5)) {
                Ok(told) => break told,
                Err(std::sync::mpsc::RecvTimeoutError::Disconnected) => return,
                Err(_) => {
                    watched.set_read_timeout(Some(Duration::from_millis(1))).unwrap();
                    if matches!(watched.peek(&mut [0]), Ok(0)) {
                        let _ = close.send(());
                        return;
                    }
                    watched.set_read_timeout(None).unwrap();
                }
            }
        };
        watched.set_read_timeout(None).unwrap();
        match told {
            Reply::Answer(code, headers, body) => {
                let mut text = format!("HTTP/1.1 {code} X\r\ncontent-length: {}\r\n", body.len());
                for (name, value) in headers {
                    text += &format!("{name}: {value}\r\n");
                }
                if out.write_all(format!("{text}\r\n{body}").as_bytes()).is_err() {
                    return;
                }
            }
            Reply::Bytes(bytes) => {
                if out.write_all(bytes).is_err() {
                    return;
                }
            }
            Reply::Close => return,
            Reply::Forget(tell) => {
                let answer = b"HTTP/1.1 200 X\r\ncontent-length: 0\r\n\r\n";
                if out.write_all(answer).is_ok() && matches!(watched.peek(&mut [0]), Ok(1)) {
                    let _ = tell.send(());
                }
                // What has not been read makes the close a reset.
                return;
            }
        }
    }
}

/// Discovery and the place for notices.
pub struct Platform {
    pub address: SocketAddr,
    /// The paths of requests for the list, as they come.
    pub watched: Receiver<String>,
    list: Arc<(Mutex<Value>, Condvar)>,
    pub notices: Receiver<Asked>,
}

impl Platform {
    pub fn new() -> Self {
        let served = Served::new();
        let list = Arc::new((Mutex::new(json!({"index": 1})), Condvar::new()));
        let (notice, notices) = channel();
        let (watch, watched) = channel();
        let told = list.clone();
        let address = served.address;
        thread::spawn(move || {
            while let Ok(asked) = served.asked.recv() {
                if asked.http.first.starts_with("POST /reports ") {
                    let _ = notice.send(asked);
                    continue;
                }
                let path = asked.http.first.split(' ').nth(1).unwrap().to_owned();
                let _ = watch.send(path.clone());
                let from = path.split("from=").nth(1).and_then(|f| f.split('&').next());
                let from: u64 = from.map_or(0, |from| from.parse().unwrap());
                let told = told.clone();
                thread::spawn(move || {
                    let (list, changed) = &*told;
                    let mut list = list.lock().unwrap();
                    while list["index"].as_u64().unwrap() <= from {
                        list = changed.wait(list).unwrap();
                    }
                    asked.reply(Reply::Answer(200, vec![], list.to_string()));
                });
            }
        });
        Self { address, watched, list, notices }
    }

    /// The whole list is this from now on; tells its version.
    pub fn tell(&self, endpoints: &[Value]) -> u64 {
        let (list, changed) = &*self.list;
        let mut list = list.lock().unwrap();
        let index = list["index"].as_u64().unwrap() + 1;
        *list = json!({"index": index, "snapshot": true, "endpoints": endpoints});
        changed.notify_all();
        index
    }

    /// The next notice, which is answered so.
    pub fn notice(&self, code: u16) -> Vec<Value> {
        let asked = self.notices.recv_timeout(PATIENCE).expect("a notice comes");
        let text = String::from_utf8(asked.http.body.clone()).unwrap();
        asked.reply(status(code));
        text.lines().map(|line| serde_json::from_str(line).unwrap()).collect()
    }
}

pub fn listing(name: &str, group: u16, kind: &str, address: SocketAddr) -> Value {
    json!({"name": name, "address": address.to_string(), "zone": "a", "type": kind, "group": group,
           "status": "active", "weight": 50.0, "since_ms": 0})
}

/// An endpoint that wants nothing new: its destination is known, and nothing goes there.
pub fn leaving(name: &str, group: u16) -> Value {
    let mut entry = listing(name, group, "plain", SocketAddr::from(([127, 0, 0, 1], 9)));
    entry["status"] = json!("leaving");
    entry
}

/// One sender as a process, with the folder that outlasts it.
pub struct Node {
    child: Child,
    pub address: SocketAddr,
    folder: Arc<tempfile::TempDir>,
}

pub fn command(folder: &std::path::Path) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_myrtleyard"));
    surround(&mut command, folder);
    command
}

fn surround(command: &mut Command, folder: &std::path::Path) {
    command.env_remove("NODE_LISTEN").env_remove("NODE_DISCOVERY").env_remove("NODE_NAME");
    command.env("NODE_CONFIG", folder.join("config.json")).env("NODE_STATE", folder.join("state"));
}

impl Node {
    /// Starts a sender that knows these endpoints; `change` alters its configuration.
    pub fn start(platform: &Platform, endpoints: &[Value], change: impl FnOnce(&mut Value)) -> Self {
        let folder = Self::configure(platform, endpoints, change);
        let command = command(folder.path());
        Self::run(folder, command)
    }

    /// The same with files that can't grow beyond a block: writing the journal fails.
    pub fn start_short_of_disk(platform: &Platform, endpoints: &[Value]) -> Self {
        let folder = Self::configure(platform, endpoints, |_| {});
        let mut shell = Command::new("sh");
        let program = env!("CARGO_BIN_EXE_myrtleyard");
        shell.args(["-c", "trap '' XFSZ; ulimit -f 1; exec \"$0\"", program]);
        surround(&mut shell, folder.path());
        Self::run(folder, shell)
    }

    fn configure(
        platform: &Platform,
        endpoints: &[Value],
        change: impl FnOnce(&mut Value),
    ) -> Arc<tempfile::TempDir> {
        let folder = tempfile::tempdir().unwrap();
        let mut config = json!({
            "name": "n1", "listen": "127.0.0.1:0", "discovery": platform.address.to_string(),
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
            "known": {"index": 1, "snapshot": true, "endpoints": endpoints},
            "settings": {
                "classes": [
                    {"name": "note", "effect": "by_key", "group": "all", "dedup_window_us": 20_000_000,
                     "on_time_us": 4_000_000, "hard_limit_us": 24_000_000, "importance": 2.0},
                    {"name": "order", "effect": "once", "on_time_us": 4_000_000,
                     "hard_limit_us": 24_000_000, "importance": 1.0}],
                "skus": ["bulk", "plain"], "azs": ["a"], "balancers": 1, "period_us": 5000,
                "family_info": {"calls_out": 8, "bundle_max": [5, 1], "own_limits": [false, false]},
                "limits": {"max_open": 100, "try_limit": 6, "connect_timeout_us": 1_000_000,
                           "idle_close_us": 5_000_000, "max_retry_after_us": 3_000_000},
                "load_report": {"fields": ["x0", "x1"]},
                "obligations": {"answer_slack_us": 20_000, "cold_share": 0.18, "warm_within_us": 14_000_000,
                                "fall_multiple": 2.0, "overload_for_us": 3_000_000,
                                "stop_sending_within_us": 2_000_000}}});
        change(&mut config);
        std::fs::write(folder.path().join("config.json"), config.to_string()).unwrap();
        Arc::new(folder)
    }

    fn run(folder: Arc<tempfile::TempDir>, mut command: Command) -> Self {
        let mut child = command.stderr(Stdio::piped()).spawn().unwrap();
        let mut log = BufReader::new(child.stderr.take().unwrap());
        let mut line = String::new();
        log.read_line(&mut line).unwrap();
        let address = line.split("ready on ").nth(1).and_then(|rest| rest.split(' ').next());
        let address = address.unwrap_or_else(|| panic!("not ready: {line}")).parse().unwrap();
        thread::spawn(move || std::io::copy(&mut log, &mut std::io::sink()));
        Self { child, address, folder }
    }

    /// SIGKILL, then a new process on the same folder.
    pub fn kill_and_restart(mut self) -> Self {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
        Self::run(self.folder.clone(), command(self.folder.path()))
    }

    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill").args([name, &self.child.id().to_string()]).status();
        assert!(sent.unwrap().success());
    }

    /// Puts this in the place of the configuration.
    pub fn reconfigure(&self, text: &str) {
        let new = self.folder.path().join("config.new");
        std::fs::write(&new, text).unwrap();
        std::fs::rename(new, self.folder.path().join("config.json")).unwrap();
    }

    pub fn configuration(&self) -> Value {
        serde_json::from_slice(&std::fs::read(self.folder.path().join("config.json")).unwrap()).unwrap()
    }

    pub fn exit_code(&mut self) -> Option<i32> {
        self.child.wait().unwrap().code()
    }

    /// What the process holds of memory.
    pub fn memory_kb(&self) -> u64 {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap();
        line.split_whitespace().next().unwrap().parse().unwrap()
    }

    pub fn journal_length(&self) -> u64 {
        std::fs::metadata(self.folder.path().join("state/journal")).unwrap().len()
    }

    /// One request on a connection of its own.
    pub fn ask(&self, text: &[u8]) -> Http {
        Client::new(self).ask(text)
    }

    /// Hands a message in.
    pub fn hand_in(&self, id: &str, class: &str, dest: u16, within_ms: u32) -> Http {
        self.ask(&handing_in(id, class, dest, within_ms))
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A client's connection.
pub struct Client(BufReader<TcpStream>);

impl Client {
    pub fn new(node: &Node) -> Self {
        let stream = TcpStream::connect(node.address).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        Self(BufReader::new(stream))
    }

    pub fn ask(&mut self, text: &[u8]) -> Http {
        self.say(text);
        self.answer().expect("an answer")
    }

    /// Writes; the other side may have closed already.
    pub fn say(&mut self, text: &[u8]) {
        let _ = self.0.get_mut().write_all(text);
    }

    /// The next answer, if the connection does not end before.
    pub fn answer(&mut self) -> Option<Http> {
        Http::read(&mut self.0)
    }

    /// Whether the other side has ended the connection, which it does at last.
    pub fn ended(&mut self) -> bool {
        matches!(self.0.read(&mut [0]), Ok(0))
    }
}

pub fn handing_in(id: &str, class: &str, dest: u16, within_ms: u32) -> Vec<u8> {
    let key = if class == "note" { format!("Idempotency-Key: key-{id}\r\n") } else { String::new() };
    let body = format!("body\0of {id}");
    format!(
        "POST /{class} HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: {id}\r\nReq-Kind: {class}\r\n{key}\
         Req-Deadline-Ms: {within_ms}\r\nX-Consignee: dest={dest}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}
