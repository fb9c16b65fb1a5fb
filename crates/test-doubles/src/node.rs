//! The sender as a child process, and connections of its clients.

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

/// The number of latest log lines that are kept.
const MAX_LOG_LINES: usize = 1000;

/// A running sender process, with its folder, which is kept across restarts. Dropping it kills the process.
pub struct Node {
    child: Child,
    program: Program,
    /// The address for clients.
    pub address: SocketAddr,
    /// The address of its admin interface for on-call staff, if it has one.
    pub admin: Option<SocketAddr>,
    log: Arc<Mutex<VecDeque<String>>>,
    folder: Arc<tempfile::TempDir>,
}

/// The program of the sender, with arguments.
#[derive(Debug, Clone)]
pub struct Program {
    /// The path of the executable.
    pub path: PathBuf,
    /// The arguments.
    pub arguments: Vec<OsString>,
    /// The listening socket that it inherits as file descriptor 4.
    pub inherits: Option<Arc<TcpListener>>,
}

impl Program {
    /// Creates a program without arguments.
    pub fn new(path: impl Into<PathBuf>) -> Self {
        Self { path: path.into(), arguments: vec![], inherits: None }
    }

    /// Makes the program inherit a listening socket, which the platform holds open.
    #[must_use]
    pub fn inheriting(mut self, socket: &TcpListener) -> Self {
        self.inherits = Some(Arc::new(socket.try_clone().unwrap()));
        self
    }

    /// Appends an argument.
    #[must_use]
    pub fn arg(mut self, argument: impl Into<OsString>) -> Self {
        self.arguments.push(argument.into());
        self
    }

    /// Returns the command that starts it on a folder that has its configuration.
    pub fn command(&self, folder: &Path) -> Command {
        let Some(socket) = &self.inherits else {
            let mut command = Command::new(&self.path);
            command.args(&self.arguments);
            set_environment(&mut command, folder);
            return command;
        };
        // The socket is passed as standard input; a shell moves it to descriptor 4.
        let mut command = Command::new("sh");
        command
            .args(["-c", "exec 4<&0 0</dev/null; exec \"$0\" \"$@\""])
            .arg(&self.path)
            .args(&self.arguments);
        command.stdin(Stdio::from(OwnedFd::from(socket.try_clone().unwrap()))).env("NODE_LISTEN_FD", "4");
        set_environment(&mut command, folder);
        command
    }
}

impl Program {
    /// Returns the command that starts it with a file size limit in blocks of 512 bytes: writing the journal fails beyond it.
    pub fn command_with_file_limit(&self, folder: &Path, blocks: u32) -> Command {
        let mut shell = Command::new("sh");
        shell.args(["-c", &format!("trap '' XFSZ; ulimit -f {blocks}; exec \"$0\" \"$@\"")]);
        shell.arg(&self.path).args(&self.arguments);
        set_environment(&mut shell, folder);
        shell
    }
}

/// Passes the configuration and the state folder to the process, and removes variables that would override the configuration.
fn set_environment(command: &mut Command, folder: &Path) {
    command.env_remove("NODE_LISTEN").env_remove("NODE_DISCOVERY").env_remove("NODE_NAME");
    command.env_remove("NODE_OPS");
    command.env("NODE_CONFIG", folder.join("config.json")).env("NODE_STATE", folder.join("state"));
}

impl Node {
    /// Starts a sender with this endpoint list; `change` edits its configuration.
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

    /// Starts a sender with a file size limit of one block: writing the journal fails.
    pub fn start_with_file_limit(program: &Program, platform: &Platform, endpoints: &[Value]) -> Self {
        let folder = Self::configure(platform, endpoints, |_| {});
        let command = program.command_with_file_limit(folder.path(), 1);
        Self::run(program, folder, command)
    }

    /// Starts a sender that is expected to exit by itself, and returns its exit code and its log.
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
        match StartingNode::new(program, folder, command).ready(TIMEOUT) {
            Ok(node) => node,
            Err(failed) => panic!("the sender did not become ready: {:?}", failed.1),
        }
    }

    /// Kills the process with SIGKILL and starts a new one on the same folder.
    pub fn kill_and_restart(self) -> Self {
        self.kill_and_restart_with(None)
    }

    /// Kills the process with SIGKILL and starts a new one on the same folder, optionally with a file size limit in blocks of
    /// 512 bytes.
    pub fn kill_and_restart_with(self, blocks: Option<u32>) -> Self {
        self.restart(blocks, || {})
    }

    /// Kills the process with SIGKILL, calls `while_stopped`, and starts a new process on the same folder.
    pub fn kill_and_restart_after(self, while_stopped: impl FnOnce()) -> Self {
        self.restart(None, while_stopped)
    }

    fn restart(mut self, blocks: Option<u32>, while_stopped: impl FnOnce()) -> Self {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
        while_stopped();
        let command = match blocks {
            Some(blocks) => self.program.command_with_file_limit(self.folder.path(), blocks),
            None => self.program.command(self.folder.path()),
        };
        Self::run(&self.program, self.folder.clone(), command)
    }

    /// Starts a second process on the same folder while this one runs, and waits until it is ready.
    pub fn start_successor(&self) -> Self {
        let command = self.program.command(self.folder.path());
        Self::run(&self.program, self.folder.clone(), command)
    }

    /// Starts a second process on the same folder while this one runs, without waiting until it is ready.
    pub fn spawn_successor(&self) -> StartingNode {
        StartingNode::new(&self.program, self.folder.clone(), self.program.command(self.folder.path()))
    }

    /// Returns whether the process has exited.
    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().unwrap().is_some()
    }

    /// Kills the process and returns its folder.
    pub fn into_folder(self) -> Arc<tempfile::TempDir> {
        self.folder.clone()
    }

    /// Returns the process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Returns the latest lines of its log.
    pub fn log(&self) -> Vec<String> {
        self.log.lock().unwrap().iter().cloned().collect()
    }

    /// Suspends the process with SIGSTOP, and returns once the system shows it as stopped.
    pub fn stop(&self) {
        self.signal("-STOP");
        let path = format!("/proc/{}/stat", self.pid());
        // The state follows the process name, which is in parentheses.
        let state = || std::fs::read_to_string(&path).unwrap().rsplit_once(") ").unwrap().1.starts_with('T');
        crate::wait_until(state);
    }

    /// Sends the process a signal, named as for `kill`.
    pub fn signal(&self, name: &str) {
        assert!(signal(&self.child, name));
    }

    /// Replaces the configuration file.
    pub fn reconfigure(&self, text: &str) {
        let new = self.folder.path().join("config.new");
        std::fs::write(&new, text).unwrap();
        std::fs::rename(new, self.folder.path().join("config.json")).unwrap();
    }

    /// Returns the current configuration.
    pub fn configuration(&self) -> Value {
        serde_json::from_slice(&std::fs::read(self.folder.path().join("config.json")).unwrap()).unwrap()
    }

    /// Waits until the process exits by itself, and returns its exit code.
    pub fn exit_code(&mut self) -> Option<i32> {
        self.child.wait().unwrap().code()
    }

    /// Returns the resident memory of the process, in kB.
    pub fn memory_kb(&self) -> u64 {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap();
        line.split_whitespace().next().unwrap().parse().unwrap()
    }

    /// Returns the path of the state folder, which is kept across restarts.
    pub fn state(&self) -> PathBuf {
        self.folder.path().join("state")
    }

    /// Returns the total size of the journal's files in bytes.
    pub fn journal_length(&self) -> u64 {
        self.length_of("journal")
    }

    /// Returns the total size in bytes of the files in the state folder with that name prefix.
    pub fn length_of(&self, prefix: &str) -> u64 {
        let files = std::fs::read_dir(self.state()).unwrap().filter_map(Result::ok);
        let named = files.filter(|file| file.file_name().to_string_lossy().starts_with(prefix));
        named.filter_map(|file| Some(file.metadata().ok()?.len())).sum()
    }

    /// Sends a request to the admin interface and returns the answer.
    pub fn ops(&self, method: &str, call: &str) -> Http {
        self.try_admin(method, call).expect("no answer from the admin interface")
    }

    /// Sends a request to the admin interface of a sender that may have exited; `None` without an answer.
    pub fn try_admin(&self, method: &str, call: &str) -> Option<Http> {
        let mut caller = Client::connect(self.admin?, TIMEOUT).ok()?;
        caller
            .write(format!("{method} {call} HTTP/1.1\r\nHost: ops\r\nContent-Length: 0\r\n\r\n").as_bytes());
        caller.answer()
    }

    /// Returns the value of a metric.
    pub fn metric(&self, name: &str) -> u64 {
        let text = String::from_utf8(self.ops("GET", "/status/metrics").body).unwrap();
        let value = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
        value.unwrap_or_else(|| panic!("metric {name} not found in {text}")).parse().unwrap()
    }

    /// Sends a request on a new connection and returns the answer.
    pub fn ask(&self, text: &[u8]) -> Http {
        Client::new(self).ask(text)
    }

    /// Submits a message and returns the answer.
    pub fn submit(&self, id: &str, class: &str, dest: u16, within_ms: u32) -> Http {
        self.ask(&submission(id, class, dest, within_ms))
    }
}

/// Sends a process a signal, named as for `kill`; false if the process is gone.
fn signal(child: &Child, name: &str) -> bool {
    let sent = Command::new("kill").args([name, &child.id().to_string()]).stderr(Stdio::null()).status();
    sent.unwrap().success()
}

/// A sender process that is not ready yet. Dropping it does not kill the process; [`StartingNode::end`] does, and
/// [`StartingNode::ready`] turns it into a [`Node`].
pub struct StartingNode {
    child: Child,
    program: Program,
    folder: Arc<tempfile::TempDir>,
    log: Arc<Mutex<VecDeque<String>>>,
    ready: Receiver<(SocketAddr, Option<SocketAddr>)>,
    /// The addresses that it logged, for clients and for on-call staff, once they were received from `ready`.
    addresses: Option<(SocketAddr, Option<SocketAddr>)>,
}

impl StartingNode {
    fn new(program: &Program, folder: Arc<tempfile::TempDir>, mut command: Command) -> Self {
        let mut child = command.stderr(Stdio::piped()).spawn().unwrap();
        let lines = BufReader::new(child.stderr.take().unwrap()).lines();
        let log = Arc::new(Mutex::new(VecDeque::new()));
        let (address_sender, ready) = channel();
        let log_lines = log.clone();
        thread::spawn(move || {
            let mut ops = None;
            for line in lines.map_while(Result::ok) {
                if let Some(rest) = line.split("on-call staff on ").nth(1) {
                    ops = rest.trim_end().parse().ok();
                }
                let address =
                    line.split("ready on ").nth(1).and_then(|rest| rest.split(' ').next()?.parse().ok());
                let mut log_lines = log_lines.lock().unwrap();
                if log_lines.len() == MAX_LOG_LINES {
                    log_lines.pop_front();
                }
                log_lines.push_back(line);
                drop(log_lines);
                if let Some(address) = address {
                    let _ = address_sender.send((address, ops));
                }
            }
        });
        Self { child, program: program.clone(), folder, log, ready, addresses: None }
    }

    /// Sends the process a signal, named as for `kill`; false if the process is gone.
    pub fn signal(&self, name: &str) -> bool {
        signal(&self.child, name)
    }

    /// Returns whether it has logged that it is ready.
    pub fn is_ready(&mut self) -> bool {
        self.addresses = self.addresses.or_else(|| self.ready.try_recv().ok());
        self.addresses.is_some()
    }

    /// Returns whether the process has exited.
    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().unwrap().is_some()
    }

    /// Kills the process and returns the latest lines of its log.
    pub fn end(mut self) -> Vec<String> {
        let _ = self.child.kill();
        let _ = self.child.wait();
        self.log.lock().unwrap().iter().cloned().collect()
    }

    /// Waits until it is ready.
    ///
    /// # Errors
    /// Fails if it exits or is not ready within that time; returns itself and the latest lines of its log.
    pub fn ready(mut self, within: Duration) -> Result<Node, Box<(Self, Vec<String>)>> {
        self.addresses = self.addresses.or_else(|| self.ready.recv_timeout(within).ok());
        let Some((address, ops)) = self.addresses else {
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
    /// Connects to a sender.
    pub fn new(node: &Node) -> Self {
        Self::connect(node.address, TIMEOUT).unwrap()
    }

    /// Connects to an address; the timeout applies to the connection and to each wait for an answer.
    ///
    /// # Errors
    /// Fails if the connection cannot be made.
    pub fn connect(address: SocketAddr, timeout: Duration) -> std::io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, timeout)?;
        stream.set_read_timeout(Some(timeout))?;
        stream.set_nodelay(true)?;
        Ok(Self(BufReader::new(stream)))
    }

    /// Writes a request and reads the answer.
    pub fn ask(&mut self, text: &[u8]) -> Http {
        self.write(text);
        self.answer().expect("the connection ended without an answer")
    }

    /// Writes bytes. An error is ignored, since the sender may have closed the connection already.
    pub fn write(&mut self, text: &[u8]) {
        let _ = self.0.get_mut().write_all(text);
    }

    /// Reads the next answer; `None` if the connection ends before it is complete.
    pub fn answer(&mut self) -> Option<Http> {
        Http::read(&mut self.0)
    }

    /// Waits until the sender closes the connection; false if it sends something or the timeout expires first.
    pub fn ended(&mut self) -> bool {
        matches!(self.0.read(&mut [0]), Ok(0))
    }
}

/// Returns a request that submits a message with a default body. A message of class `note` gets an idempotency key.
pub fn submission(id: &str, class: &str, dest: u16, within_ms: u32) -> Vec<u8> {
    submission_with(id, class, dest, within_ms, format!("body\0of {id}").as_bytes())
}

/// Returns a request that submits a message with this body.
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
