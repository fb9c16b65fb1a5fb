//! What the cases of the review have in common: the record, a small HTTP/1.1, the sender as a process, and stand-ins for
//! clients, endpoints and discovery. The standard library alone; every address is a loopback address.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::{CommandExt, ExitStatusExt};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

/// The record of a run: what was sent, answered and run, in seconds since the case began.
#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<File>)>);

impl Record {
    /// Opens `record.txt` in the folder that `CASE_DIR` names.
    pub fn open() -> Self {
        let path = PathBuf::from(std::env::var("CASE_DIR").expect("CASE_DIR")).join("record.txt");
        Self(Arc::new((Instant::now(), Mutex::new(File::create(path).expect("record.txt")))))
    }

    pub fn now(&self) -> f64 {
        self.0.0.elapsed().as_secs_f64()
    }

    pub fn note(&self, text: impl AsRef<str>) {
        let line = format!("{:8.3} {}\n", self.now(), text.as_ref());
        self.0.1.lock().unwrap().write_all(line.as_bytes()).unwrap();
    }

    /// Also tells it on standard output.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.note(text);
    }

    pub fn sleep_until(&self, at: f64) {
        thread::sleep(Duration::from_secs_f64((at - self.now()).max(0.0)));
    }
}

/// Whether the case runs with its disruption.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// A message of HTTP/1.1: a request or an answer.
#[derive(Debug, Clone, Default)]
pub struct Http {
    pub first: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Http {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.path().parse().unwrap_or(0)
    }

    /// Reads one message; `None` at the end of the stream.
    pub fn read(from: &mut impl BufRead) -> io::Result<Option<Self>> {
        let mut http = Self::default();
        if from.read_line(&mut http.first)? == 0 {
            return Ok(None);
        }
        http.first.truncate(http.first.trim_end().len());
        loop {
            let mut line = String::new();
            if from.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let Some((name, value)) = line.trim_end().split_once(':') else { break };
            http.headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
        let length = http.header("content-length").parse().unwrap_or(0);
        http.body = vec![0; length];
        from.read_exact(&mut http.body)?;
        Ok(Some(http))
    }
}

/// An answer as bytes.
pub fn answer(status: u16, headers: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

/// Listens on a free port and calls `serve` on a thread of its own for each connection.
pub fn listen(serve: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    listen_at(TcpListener::bind("127.0.0.1:0").unwrap(), serve)
}

pub fn listen_at(listener: TcpListener, serve: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let address = listener.local_addr().unwrap();
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            let _ = stream.set_nodelay(true);
            thread::spawn(move || serve(stream));
        }
    });
    address
}

/// A call that an endpoint got.
#[derive(Debug, Clone)]
pub struct Call {
    pub at: f64,
    pub endpoint: String,
    pub id: String,
    pub answered: u16,
}

/// All calls that the endpoints got, in the order in which their last bytes came.
#[derive(Clone, Default)]
pub struct Calls(Arc<Mutex<Vec<Call>>>);

impl Calls {
    pub fn all(&self) -> Vec<Call> {
        self.0.lock().unwrap().clone()
    }

    pub fn add(&self, call: Call) {
        self.0.lock().unwrap().push(call);
    }
}

/// Starts an endpoint. `reply` gets the time of the call and the request, and returns status and bytes of the answer; it is
/// written `pace` after the call.
pub fn endpoint(
    name: &str,
    record: &Record,
    calls: &Calls,
    pace: Duration,
    reply: impl Fn(f64, &Http) -> (u16, Vec<u8>) + Send + Sync + 'static,
) -> SocketAddr {
    let (name, record, calls) = (name.to_owned(), record.clone(), calls.clone());
    listen(move |stream| {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let mut writer = stream;
        while let Ok(Some(request)) = Http::read(&mut reader) {
            let at = record.now();
            let id = request.header("req-id").to_owned();
            let (status, bytes) = reply(at, &request);
            record.note(format!("endpoint {name} got {} id {id}, answers {status}", request.first));
            calls.add(Call { at, endpoint: name.clone(), id, answered: status });
            thread::sleep(pace);
            if writer.write_all(&bytes).is_err() {
                return;
            }
        }
    })
}

/// An entry of discovery's list.
pub fn entry(name: &str, address: SocketAddr, kind: &str, group: u16, status: &str) -> String {
    format!(
        r#"{{"name":"{name}","address":"{address}","zone":"cph-1","type":"{kind}","group":{group},"status":"{status}","weight":20.0,"since_ms":0}}"#
    )
}

/// Discovery: the agent of a sender. It serves the list, answers watches, and takes notices.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    /// Version of the list, its entries, and whether this discovery has been closed.
    state: Arc<(Mutex<(u64, Vec<String>, bool)>, Condvar)>,
    pub notices: Arc<Mutex<Vec<(f64, String)>>>,
}

impl Discovery {
    /// Starts it with this list. Each answer about the list takes `takes`.
    pub fn start(label: &str, record: &Record, index: u64, entries: Vec<String>, takes: Duration) -> Self {
        Self::start_crowded(label, record, index, entries, takes, 0.0)
    }

    /// As [`Self::start`]; calls for the list that come before `crowded_until` are refused.
    pub fn start_crowded(
        label: &str,
        record: &Record,
        index: u64,
        entries: Vec<String>,
        takes: Duration,
        crowded_until: f64,
    ) -> Self {
        let state = Arc::new((Mutex::new((index, entries, false)), Condvar::new()));
        let notices: Arc<Mutex<Vec<(f64, String)>>> = Arc::default();
        let (record, label) = (record.clone(), label.to_owned());
        let (shared, got) = (state.clone(), notices.clone());
        let address = listen(move |stream| {
            if shared.0.lock().unwrap().2 {
                return;
            }
            let closer = stream.try_clone().unwrap();
            let until_closed = shared.clone();
            thread::spawn(move || {
                let (state, changed) = &*until_closed;
                let mut state = state.lock().unwrap();
                while !state.2 {
                    state = changed.wait(state).unwrap();
                }
                let _ = closer.shutdown(std::net::Shutdown::Both);
            });
            let mut reader = BufReader::new(stream.try_clone().unwrap());
            let mut writer = stream;
            while let Ok(Some(request)) = Http::read(&mut reader) {
                if request.first.starts_with("POST /reports ") {
                    let text = String::from_utf8_lossy(&request.body).into_owned();
                    for line in text.lines() {
                        record.note(format!("{label} gets the notice {line}"));
                        got.lock().unwrap().push((record.now(), line.to_owned()));
                    }
                    if writer.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").is_err() {
                        return;
                    }
                    continue;
                }
                if record.now() < crowded_until {
                    record.note(format!("{label} is asked {}, refuses", request.first));
                    if writer.write_all(&answer(503, "", "")).is_err() {
                        return;
                    }
                    continue;
                }
                record.note(format!("{label} is asked {}", request.first));
                let value = |name: &str| {
                    let query = request.path().split_once('?').map_or("", |(_, query)| query);
                    let pair = query.split('&').find_map(|pair| pair.strip_prefix(name));
                    pair.and_then(|value| value.parse::<u64>().ok())
                };
                let (from, hold) = (value("from="), value("hold_ms=").unwrap_or(0));
                let (state, changed) = &*shared;
                let mut list = state.lock().unwrap();
                let until = Instant::now() + Duration::from_millis(hold.min(60_000));
                while from.is_some_and(|from| list.0 <= from) && Instant::now() < until && !list.2 {
                    list = changed.wait_timeout(list, until - Instant::now()).unwrap().0;
                }
                if list.2 {
                    return;
                }
                let (index, entries) = (list.0, list.1.clone());
                drop(list);
                thread::sleep(takes);
                // Entries that did not change since that version may be among the changes.
                let (snapshot, entries) = match from {
                    Some(from) if from >= index => (false, String::new()),
                    _ => (true, entries.join(",")),
                };
                let body = format!(r#"{{"index":{index},"snapshot":{snapshot},"endpoints":[{entries}]}}"#);
                let written = writer.write_all(&answer(200, "Content-Type: application/json\r\n", &body));
                record.note(format!("{label} answers version {index}, whole list {snapshot}, {written:?}"));
                if written.is_err() {
                    return;
                }
            }
        });
        Self { address, state, notices }
    }

    /// Changes the list.
    pub fn publish(&self, entries: Vec<String>) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        (state.0, state.1) = (state.0 + 1, entries);
        changed.notify_all();
    }

    /// Takes no new connection from now on and closes those that are open.
    pub fn close(&self) {
        let (state, changed) = &*self.state;
        state.lock().unwrap().2 = true;
        changed.notify_all();
    }
}

/// The sender, started by `run` of the deploy file, with a folder of its own. Ends when it is dropped.
pub struct Sender {
    pub child: Child,
    pub address: SocketAddr,
    pub folder: PathBuf,
}

unsafe extern "C" {
    fn prctl(option: i32, argument: u64, ...) -> i32;
}

/// Makes a process end with the thread that starts it, so that none is left if the case itself is killed.
fn end_with_parent() -> io::Result<()> {
    const PR_SET_PDEATHSIG: i32 = 1;
    const SIGKILL: u64 = 9;
    // SAFETY: as its manual page says; it touches no memory.
    if unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL) } == 0 { Ok(()) } else { Err(io::Error::last_os_error()) }
}

/// A folder for this run alone.
pub fn folder() -> PathBuf {
    folder_of("n0")
}

/// A folder for one of several senders.
pub fn folder_of(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("review-{}-{name}", std::process::id()));
    std::fs::create_dir_all(folder.join("state")).unwrap();
    std::fs::create_dir_all(folder.join("tmp")).unwrap();
    folder
}

pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

impl Sender {
    /// Starts the sender on a folder that has its `config.json`, and waits until it is ready.
    pub fn start(record: &Record, folder: PathBuf, address: SocketAddr) -> Self {
        Self::spawn(record, folder, address).ready(record)
    }

    /// Starts the sender without waiting.
    pub fn spawn(record: &Record, folder: PathBuf, address: SocketAddr) -> Self {
        let run = std::env::var("RUN").expect("RUN: the command of the deploy file");
        let log = File::options().create(true).append(true).open(folder.join("log")).unwrap();
        let mut command = Command::new("/bin/sh");
        // SAFETY: `prctl` is a plain system call.
        unsafe { command.pre_exec(end_with_parent) };
        let child = command
            .args(["-c", &run])
            .env("NODE_CONFIG", folder.join("config.json"))
            .env("NODE_STATE", folder.join("state"))
            .env("TMPDIR", folder.join("tmp"))
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap_or_else(|error| could_not_run(record, &format!("the sender can't be started: {error}")));
        Self { child, address, folder }
    }

    /// Waits until it is ready.
    pub fn ready(self, record: &Record) -> Self {
        let sender = self;
        for _ in 0..200 {
            if Client::new(sender.address)
                .and_then(|mut client| client.get("/ready"))
                .is_ok_and(|a| a.status() == 200)
            {
                record.note("the sender is ready");
                return sender;
            }
            thread::sleep(Duration::from_millis(50));
        }
        drop(sender);
        could_not_run(record, "the sender did not become ready")
    }

    pub fn signal(&self, record: &Record, name: &str) {
        record.note(format!("the sender gets {name}"));
        let done = Command::new("kill").args([&format!("-{name}"), &self.child.id().to_string()]).status();
        assert!(done.unwrap().success());
    }

    /// Replaces the configuration file in one step.
    pub fn reconfigure(&self, text: &str) {
        std::fs::write(self.folder.join("config.new"), text).unwrap();
        std::fs::rename(self.folder.join("config.new"), self.folder.join("config.json")).unwrap();
    }

    /// Whether the process has ended by itself, and how.
    pub fn ended(&mut self) -> Option<String> {
        let status = self.child.try_wait().ok()??;
        Some(format!("code {:?}, signal {:?}", status.code(), status.signal()))
    }
}

impl Drop for Sender {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let log = std::fs::read_to_string(self.folder.join("log")).unwrap_or_default();
        let path = PathBuf::from(std::env::var("CASE_DIR").unwrap()).join("record.txt");
        if let Ok(mut record) = File::options().append(true).open(path) {
            let _ = writeln!(record, "the sender's log:\n{log}");
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

pub fn could_not_run(record: &Record, why: &str) -> ! {
    record.say(format!("could not run: {why}"));
    std::process::exit(COULD_NOT_RUN)
}

/// A client's connection.
pub struct Client {
    stream: BufReader<TcpStream>,
}

impl Client {
    pub fn new(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(2)))?;
        Ok(Self { stream: BufReader::new(stream) })
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.get_mut().write_all(bytes)
    }

    /// Reads one answer.
    pub fn answer(&mut self) -> io::Result<Http> {
        Http::read(&mut self.stream)?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }

    pub fn get(&mut self, path: &str) -> io::Result<Http> {
        self.write(format!("GET {path} HTTP/1.1\r\nHost: origin.svc\r\n\r\n").as_bytes())?;
        self.answer()
    }

    pub fn set_timeout(&mut self, within: Duration) {
        let _ = self.stream.get_mut().set_read_timeout(Some(within));
    }
}

/// The request with which a client hands in a message, as PROTOCOL writes it.
pub fn submission(id: &str, class: &str, dest: u16, ttl_ms: u32, key: Option<&str>, body: &str) -> String {
    let key = key.map_or(String::new(), |key| format!("Idempotency-Key: {key}\r\n"));
    format!(
        "POST /{class} HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: {id}\r\nReq-Kind: {class}\r\n\
         Req-Deadline-Ms: {ttl_ms}\r\n{key}Content-Length: {}\r\nX-Consignee: dest={dest}\r\n\r\n{body}",
        body.len()
    )
}

/// Hands in one message over a connection of its own and notes the answer; 0 if none came within 400 ms.
pub fn hand_in(record: &Record, address: SocketAddr, id: &str, request: &str) -> u16 {
    let handed_in = Client::new(address).and_then(|mut client| {
        client.set_timeout(Duration::from_millis(400));
        client.write(request.as_bytes())?;
        client.answer()
    });
    let status = handed_in.as_ref().map_or(0, Http::status);
    match handed_in {
        Ok(answer) => record.note(format!("client hands in {id}, is answered {}", answer.first)),
        Err(error) => record.note(format!("client hands in {id}, has no answer: {error}")),
    }
    status
}

/// The settings of `gavekassen-prod`, as WIRE shows them, for so many senders.
pub fn gavekassen_settings(senders: usize) -> String {
    format!(
        r#"{{"azs":["cph-1"],"balancers":{senders},
 "charges":{{"connection":0.0,"cross_zone":0.0,"discovery":0.0,"handshake":0.04,"late_fail":0.03,"moves":0.0,"origin":0.0,"peer":0.01,"probe":0.01,"waste":0.05}},
 "classes":[{{"dedup_window_us":6000000,"effect":"by_key","group":"all","hard_limit_us":24000000,"importance":2.0,"late_worth":0.3,"name":"donation-notice","on_time_us":4000000,"stream":false}},
  {{"dedup_window_us":5000000,"effect":"once","group":"all","hard_limit_us":24000000,"importance":1.0,"late_worth":0.3,"name":"payment-order","on_time_us":4000000,"stream":false}}],
 "clients":{{"marks_retry":true}},"discovery":"push",
 "family_info":{{"bundle_max":[5,1],"calls_out":8,"decay":"halves","notes":"full: milliseconds to wait, 0 if none is told; moot: 1 no slot was free","own_limits":[false,false],"report_x0":"share of the allowance that is left","report_x1":"calls a second that the limit allows; 0 where there is none","toll":[0.0],"turned_away_price":0.0}},
 "goal":{{"whole":0.5,"worst_class":0.2,"worst_tenant":0.0,"worst_window":0.3}},
 "limits":{{"cancelling":true,"connect_timeout_us":1000000,"cpu_us_per_request":0.0,"cpu_us_per_s":100000,"idle_close_us":5000000,"max_open":171,"max_retry_after_us":3000000,"peers":true,"probing":true,"retry_after":false,"second_copies":false,"streams_per_conn":1,"try_limit":6}},
 "load_report":{{"fields":["x0","x1"],"how":"answers"}},"locality":0,
 "obligations":{{"answer_slack_us":20000,"ask_every_us":10000000,"cold_share":0.18,"fall_multiple":2.0,"overload_for_us":3000000,"stop_sending_within_us":2000000,"warm_within_us":14000000}},
 "over_share_worth":0.1,"period_us":5000,"rank":0,"realms":[],"skus":["bulk","standard"],"tier":0,"tiers":["partners"],"value_by":"request","weights":"rough","workload":"deliver"}}"#
    )
}

/// A configuration, as DEPLOY shows it.
pub fn config(
    listen: SocketAddr,
    discovery: SocketAddr,
    index: u64,
    entries: &[String],
    settings: &str,
) -> String {
    format!(
        r#"{{"name":"n0","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024,"disk_mb":3}},
"known":{{"index":{index},"snapshot":true,"endpoints":[{}]}},"settings":{settings}}}"#,
        entries.join(",")
    )
}
