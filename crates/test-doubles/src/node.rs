//! The sender as a process, and its clients.

use std::collections::VecDeque;
use std::ffi::OsString;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use serde_json::{Value, json};

use crate::{Http, Platform, TIMEOUT};

/// Lines of a log that are kept.
const LOG_LINES: usize = 1000;

/// One sender as a process, with the folder that outlasts it.
pub struct Node {
    child: Child,
    program: Program,
    /// Where clients connect.
    pub address: SocketAddr,
    /// Where it answers on-call staff, if it does.
    pub admin: Option<SocketAddr>,
    log: Arc<Mutex<VecDeque<String>>>,
    folder: Arc<tempfile::TempDir>,
}

/// The program that is the sender: its path, and arguments that come before any others.
#[derive(Debug, Clone)]
pub struct Program {
    /// Its file.
    pub path: PathBuf,
    /// Arguments.
    pub arguments: Vec<OsString>,
    /// The listening socket that it inherits as descriptor 4.
    pub inherits: Option<Arc<TcpListener>>,
}

impl Program {
    /// The program in that file.
    pub fn new(path: impl Into<PathBuf>) -> Self {
        Self { path: path.into(), arguments: vec![], inherits: None }
    }

    /// The same with a listening socket that the platform holds.
    #[must_use]
    pub fn inheriting(mut self, held: &TcpListener) -> Self {
        self.inherits = Some(Arc::new(held.try_clone().unwrap()));
        self
    }

    /// The same with a further argument.
    #[must_use]
    pub fn arg(mut self, argument: impl Into<OsString>) -> Self {
        self.arguments.push(argument.into());
        self
    }

    /// What starts it on a folder with its configuration.
    pub fn command(&self, folder: &Path) -> Command {
        let Some(held) = &self.inherits else {
            let mut command = Command::new(&self.path);
            command.args(&self.arguments);
            surround(&mut command, folder);
            return command;
        };
        // A shell moves it to its number.
        let mut command = Command::new("sh");
        command
            .args(["-c", "exec 4<&0 0</dev/null; exec \"$0\" \"$@\""])
            .arg(&self.path)
            .args(&self.arguments);
        command.stdin(Stdio::from(OwnedFd::from(held.try_clone().unwrap()))).env("NODE_LISTEN_FD", "4");
        surround(&mut command, folder);
        command
    }
}

impl Program {
    /// What starts it with files that can't grow beyond so many blocks of 512 bytes: writing the journal fails then.
    pub fn short_of_disk(&self, folder: &Path, blocks: u32) -> Command {
        let mut shell = Command::new("sh");
        shell.args(["-c", &format!("trap '' XFSZ; ulimit -f {blocks}; exec \"$0\" \"$@\"")]);
        shell.arg(&self.path).args(&self.arguments);
        surround(&mut shell, folder);
        shell
    }
}

fn surround(command: &mut Command, folder: &Path) {
    command.env_remove("NODE_LISTEN").env_remove("NODE_DISCOVERY").env_remove("NODE_NAME");
    command.env_remove("NODE_OPS");
    command.env("NODE_CONFIG", folder.join("config.json")).env("NODE_STATE", folder.join("state"));
}

impl Node {
    /// Starts a sender that knows these endpoints; `change` alters its configuration.
    pub fn start(
        program: &Program,
        platform: &Platform,
        endpoints: &[Value],
        change: impl FnOnce(&mut Value),
    ) -> Self {
        let folder = Self::configure(platform, endpoints, change);
        let command = program.command(folder.path());
        Self::run(program, folder, command)
    }

    /// The same with files that can't grow beyond a block: writing the journal fails.
    pub fn start_short_of_disk(program: &Program, platform: &Platform, endpoints: &[Value]) -> Self {
        let folder = Self::configure(platform, endpoints, |_| {});
        let command = program.short_of_disk(folder.path(), 1);
        Self::run(program, folder, command)
    }

    /// Starts a sender that is to end by itself: tells its exit code and its log.
    pub fn fails_to_start(
        program: &Program,
        platform: &Platform,
        change: impl FnOnce(&mut Value),
    ) -> (Option<i32>, Vec<String>) {
        let folder = Self::configure(platform, &[], change);
        let output = program.command(folder.path()).stderr(Stdio::piped()).output().unwrap();
        let log = String::from_utf8_lossy(&output.stderr).lines().map(str::to_owned).collect();
        (output.status.code(), log)
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

    fn run(program: &Program, folder: Arc<tempfile::TempDir>, command: Command) -> Self {
        match Starting::new(program, folder, command).ready(TIMEOUT) {
            Ok(node) => node,
            Err(failed) => panic!("it does not come to be ready: {:?}", failed.1),
        }
    }

    /// SIGKILL, then a new process on the same folder.
    pub fn kill_and_restart(self) -> Self {
        self.kill_and_restart_with(None)
    }

    /// The same; the new process may write no file beyond so many blocks of 512 bytes, if that is told.
    pub fn kill_and_restart_with(self, blocks: Option<u32>) -> Self {
        self.restart(blocks, || {})
    }

    /// SIGKILL, then something else, then a new process on the same folder.
    pub fn kill_and_restart_after(self, between: impl FnOnce()) -> Self {
        self.restart(None, between)
    }

    fn restart(mut self, blocks: Option<u32>, between: impl FnOnce()) -> Self {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
        between();
        let command = match blocks {
            Some(blocks) => self.program.short_of_disk(self.folder.path(), blocks),
            None => self.program.command(self.folder.path()),
        };
        Self::run(&self.program, self.folder.clone(), command)
    }

    /// A second process on the same folder, beside this one.
    pub fn start_successor(&self) -> Self {
        let command = self.program.command(self.folder.path());
        Self::run(&self.program, self.folder.clone(), command)
    }

    /// The same, told before it is ready.
    pub fn starting_successor(&self) -> Starting {
        Starting::new(&self.program, self.folder.clone(), self.program.command(self.folder.path()))
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().unwrap().is_some()
    }

    /// Ends it and leaves the folder.
    pub fn into_folder(self) -> Arc<tempfile::TempDir> {
        self.folder.clone()
    }

    /// The process's number.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// The latest lines that it wrote to its log.
    pub fn log(&self) -> Vec<String> {
        self.log.lock().unwrap().iter().cloned().collect()
    }

    /// Stops the process, and comes back once the system shows it stopped.
    pub fn stop(&self) {
        self.signal("-STOP");
        let path = format!("/proc/{}/stat", self.pid());
        // The state stands behind the name, which is in brackets.
        let state = || std::fs::read_to_string(&path).unwrap().rsplit_once(") ").unwrap().1.starts_with('T');
        crate::wait_until(state);
    }

    /// Sends the process a signal, as `kill` names it.
    pub fn signal(&self, name: &str) {
        assert!(signal(&self.child, name));
    }

    /// Puts this in the place of the configuration.
    pub fn reconfigure(&self, text: &str) {
        let new = self.folder.path().join("config.new");
        std::fs::write(&new, text).unwrap();
        std::fs::rename(new, self.folder.path().join("config.json")).unwrap();
    }

    /// The configuration as it is.
    pub fn configuration(&self) -> Value {
        serde_json::from_slice(&std::fs::read(self.folder.path().join("config.json")).unwrap()).unwrap()
    }

    /// Waits for the process to end by itself.
    pub fn exit_code(&mut self) -> Option<i32> {
        self.child.wait().unwrap().code()
    }

    /// What the process holds of memory.
    pub fn memory_kb(&self) -> u64 {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap();
        line.split_whitespace().next().unwrap().parse().unwrap()
    }

    /// The folder that outlasts the process.
    pub fn state(&self) -> PathBuf {
        self.folder.path().join("state")
    }

    /// Bytes of the journal's files.
    pub fn journal_length(&self) -> u64 {
        self.length_of("journal")
    }

    /// Bytes of the files in the folder that outlasts the process whose names begin so.
    pub fn length_of(&self, prefix: &str) -> u64 {
        let files = std::fs::read_dir(self.state()).unwrap().filter_map(Result::ok);
        let named = files.filter(|file| file.file_name().to_string_lossy().starts_with(prefix));
        named.filter_map(|file| Some(file.metadata().ok()?.len())).sum()
    }

    /// One call of on-call staff.
    pub fn ops(&self, method: &str, call: &str) -> Http {
        self.try_admin(method, call).expect("an answer at a second address")
    }

    /// The same of a sender that may be gone.
    pub fn try_admin(&self, method: &str, call: &str) -> Option<Http> {
        let mut caller = Client::connect(self.admin?, TIMEOUT).ok()?;
        caller
            .write(format!("{method} {call} HTTP/1.1\r\nHost: ops\r\nContent-Length: 0\r\n\r\n").as_bytes());
        caller.answer()
    }

    /// One of the figures that on-call staff are shown.
    pub fn figure(&self, name: &str) -> u64 {
        let text = String::from_utf8(self.ops("GET", "/status/metrics").body).unwrap();
        let value = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
        value.unwrap_or_else(|| panic!("{name} is not in {text}")).parse().unwrap()
    }

    /// One request on a connection of its own.
    pub fn ask(&self, text: &[u8]) -> Http {
        Client::new(self).ask(text)
    }

    /// Hands a message in.
    pub fn submit(&self, id: &str, class: &str, dest: u16, within_ms: u32) -> Http {
        self.ask(&submission(id, class, dest, within_ms))
    }
}

/// Sends a process a signal, as `kill` names it; false where it is gone.
fn signal(child: &Child, name: &str) -> bool {
    let sent = Command::new("kill").args([name, &child.id().to_string()]).stderr(Stdio::null()).status();
    sent.unwrap().success()
}

/// A sender that is not ready yet. Who drops it leaves the process alone: it is ended by [`Starting::end`], or becomes a node.
pub struct Starting {
    child: Child,
    program: Program,
    folder: Arc<tempfile::TempDir>,
    log: Arc<Mutex<VecDeque<String>>>,
    ready: Receiver<(SocketAddr, Option<SocketAddr>)>,
    /// What it told, once it was asked for.
    told: Option<(SocketAddr, Option<SocketAddr>)>,
}

impl Starting {
    fn new(program: &Program, folder: Arc<tempfile::TempDir>, mut command: Command) -> Self {
        let mut child = command.stderr(Stdio::piped()).spawn().unwrap();
        let lines = BufReader::new(child.stderr.take().unwrap()).lines();
        let log = Arc::new(Mutex::new(VecDeque::new()));
        let (tell, ready) = channel();
        let kept = log.clone();
        thread::spawn(move || {
            let mut ops = None;
            for line in lines.map_while(Result::ok) {
                if let Some(rest) = line.split("on-call staff on ").nth(1) {
                    ops = rest.trim_end().parse().ok();
                }
                let address =
                    line.split("ready on ").nth(1).and_then(|rest| rest.split(' ').next()?.parse().ok());
                let mut kept = kept.lock().unwrap();
                if kept.len() == LOG_LINES {
                    kept.pop_front();
                }
                kept.push_back(line);
                drop(kept);
                if let Some(address) = address {
                    let _ = tell.send((address, ops));
                }
            }
        });
        Self { child, program: program.clone(), folder, log, ready, told: None }
    }

    /// Sends the process a signal, as `kill` names it; false where it is gone.
    pub fn signal(&self, name: &str) -> bool {
        signal(&self.child, name)
    }

    /// Whether it has said that it is ready.
    pub fn is_ready(&mut self) -> bool {
        self.told = self.told.or_else(|| self.ready.try_recv().ok());
        self.told.is_some()
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().unwrap().is_some()
    }

    /// Ends it, and tells the latest lines of its log.
    pub fn end(mut self) -> Vec<String> {
        let _ = self.child.kill();
        let _ = self.child.wait();
        self.log.lock().unwrap().iter().cloned().collect()
    }

    /// Waits until it is ready.
    ///
    /// # Errors
    /// Fails when it has ended, or is not ready within that time: tells itself, and the latest lines of its log.
    pub fn ready(mut self, within: Duration) -> Result<Node, Box<(Self, Vec<String>)>> {
        self.told = self.told.or_else(|| self.ready.recv_timeout(within).ok());
        let Some((address, ops)) = self.told else {
            let log = self.log.lock().unwrap().iter().cloned().collect();
            return Err(Box::new((self, log)));
        };
        let Self { child, program, folder, log, .. } = self;
        Ok(Node { child, program, address, admin: ops, log, folder })
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
    /// Connects.
    pub fn new(node: &Node) -> Self {
        Self::connect(node.address, TIMEOUT).unwrap()
    }

    /// Connects; an answer is waited for no longer than that.
    ///
    /// # Errors
    /// Fails when no connection is made.
    pub fn connect(address: SocketAddr, patience: Duration) -> std::io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, patience)?;
        stream.set_read_timeout(Some(patience))?;
        stream.set_nodelay(true)?;
        Ok(Self(BufReader::new(stream)))
    }

    /// Writes, and reads the answer.
    pub fn ask(&mut self, text: &[u8]) -> Http {
        self.write(text);
        self.answer().expect("an answer")
    }

    /// Writes; the other side may have closed already.
    pub fn write(&mut self, text: &[u8]) {
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

/// A request that hands a message in; a `note` has a key.
pub fn submission(id: &str, class: &str, dest: u16, within_ms: u32) -> Vec<u8> {
    submission_with(id, class, dest, within_ms, format!("body\0of {id}").as_bytes())
}

/// The same with this body.
pub fn submission_with(id: &str, class: &str, dest: u16, within_ms: u32, body: &[u8]) -> Vec<u8> {
    let key = if class == "note" { format!("Idempotency-Key: key-{id}\r\n") } else { String::new() };
    let mut text = format!(
        "POST /{class} HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: {id}\r\nReq-Kind: {class}\r\n{key}\
         Req-Deadline-Ms: {within_ms}\r\nX-Consignee: dest={dest}\r\nContent-Length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    text.extend(body);
    text
}
