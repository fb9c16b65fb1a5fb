//! Bytes of a session with the simulator's adapter, and of each action.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::io::{Read as _, Write as _};
use std::process::{Child, ChildStdin, Stdio};
use std::thread;

use decision::interface::{Action, EndpointId, MessageId};
use simulator_adapter::encode;

use super::programs;
use super::scripted::hex;
use super::settings::FULL;

/// Size of an event record, in bytes.
const RECORD_BYTES: usize = 48;
/// Size of an entry of the endpoint list and of an action record, in bytes.
const ENTRY_BYTES: usize = 24;
/// Number of the sender instance in the session.
const INSTANCE: u16 = 3;
/// Number of outcome codes on the wire; each outcome has a destination of its own.
const OUTCOME_COUNT: u16 = 8;
/// Number of the draining endpoint, which follows those of the outcomes.
const DRAINING_ENDPOINT: u16 = OUTCOME_COUNT;

fn record(code: u8, fields: &[(usize, &[u8])]) -> Vec<u8> {
    let mut record = vec![0; RECORD_BYTES];
    record[0] = code;
    record[1..3].copy_from_slice(&INSTANCE.to_le_bytes());
    for (at, bytes) in fields {
        record[*at..at + bytes.len()].copy_from_slice(bytes);
    }
    record
}

fn frame(now: u64, records: &[Vec<u8>], tail: &[u8]) -> Vec<u8> {
    let mut frame = Vec::new();
    frame.extend(((records.len() * RECORD_BYTES + tail.len()) as u32).to_le_bytes());
    frame.extend((records.len() as u32).to_le_bytes());
    frame.extend(now.to_le_bytes());
    records.iter().for_each(|record| frame.extend(record));
    frame.extend(tail);
    frame
}

fn endpoint(number: u16) -> [u8; 6] {
    let [low, high] = number.to_le_bytes();
    [low + 1, high, 3, 4, 5, 6]
}

/// Returns an entry of the endpoint list.
fn entry(number: u16, kind: u8, destination: u16, status: u8) -> Vec<u8> {
    let mut entry = vec![0; ENTRY_BYTES];
    entry[2] = kind;
    entry[3..7].copy_from_slice(&50f32.to_le_bytes());
    entry[7..13].copy_from_slice(&endpoint(number));
    entry[13..15].copy_from_slice(&destination.to_le_bytes());
    entry[15] = status;
    entry
}

fn accepted(message: u32, class: u16, destination: u16) -> Vec<u8> {
    let key = if class == 1 { 0 } else { u64::from(message) + 1_000 };
    record(
        3,
        &[
            (3, &message.to_le_bytes()),
            (7, &class.to_le_bytes()),
            (9, &1u32.to_le_bytes()),
            (13, &key.to_le_bytes()),
            (21, &6_000_000u32.to_le_bytes()),
            (25, &50_000u32.to_le_bytes()),
            (29, &f32::from(destination).to_le_bytes()),
            (33, &1u16.to_le_bytes()),
        ],
    )
}

/// Returns the record of an attempt's outcome, with a load report of two values.
fn attempt_completed(message: u32, outcome: u16, attempt: u16, endpoint: &[u8]) -> Vec<u8> {
    let mut report = vec![2];
    report.extend(40f32.to_le_bytes());
    report.extend(0.5f32.to_le_bytes());
    let note = if outcome == 2 { 250 } else { u32::from(outcome == 7) };
    record(
        7,
        &[
            (3, &message.to_le_bytes()),
            (7, &outcome.to_le_bytes()),
            (9, &note.to_le_bytes()),
            (13, &attempt.to_le_bytes()),
            (15, endpoint),
            (21, &[u8::from(outcome == 0)]),
            (22, &12_000u32.to_le_bytes()),
            (26, &report),
        ],
    )
}

/// A session with one adapter process, whose actions the session answers.
struct Session {
    child: Child,
    stdin: ChildStdin,
    now: u64,
    text: String,
    /// Number of attempts of each message so far.
    attempts: BTreeMap<u32, u16>,
    /// Attempts in flight: message, attempt and endpoint.
    in_flight: Vec<(u32, u16, Vec<u8>)>,
    /// Timers that the adapter has set: time and token.
    timers: BTreeSet<(u64, u64)>,
}

impl Session {
    fn new() -> Self {
        let mut command = programs::adapter();
        command.stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::piped());
        let mut child = command.spawn().expect("the adapter starts");
        let stdin = child.stdin.take().expect("piped");
        let (attempts, in_flight, timers) = (BTreeMap::new(), Vec::new(), BTreeSet::new());
        Self { child, stdin, now: 1_000_000, text: String::new(), attempts, in_flight, timers }
    }

    /// Advances the time, writes a frame, reads the reply, and records it if the frame has a title or the reply is not empty.
    fn step(&mut self, title: &str, records: &[Vec<u8>], tail: &[u8], elapsed: u64) {
        self.now += elapsed;
        self.stdin.write_all(&frame(self.now, records, tail)).expect("the adapter reads");
        self.stdin.flush().expect("the adapter reads");
        let stdout = self.child.stdout.as_mut().expect("piped");
        let mut output = vec![0; 8];
        stdout.read_exact(&mut output).expect("the adapter answers");
        let length = u32::from_le_bytes(output[..4].try_into().expect("four bytes")) as usize;
        output.resize(8 + length, 0);
        stdout.read_exact(&mut output[8..]).expect("the adapter answers");
        self.process_actions(&output);
        if !title.is_empty() || length > 0 {
            let _ = write!(self.text, "{} {title}\n{}", self.now, reply(&output));
        }
    }

    /// Advances by this number of steps. First attempts end with the outcome of their destination and retries are delivered; timers
    /// expire at their time.
    fn advance(&mut self, steps: usize, elapsed: u64) {
        for _ in 0..steps {
            let next_time = self.now + elapsed;
            let mut records = Vec::new();
            for (message, attempt, endpoint) in std::mem::take(&mut self.in_flight) {
                let outcome = if attempt == 1 { (u16::from(endpoint[0]) - 1) % OUTCOME_COUNT } else { 0 };
                records.push(attempt_completed(message, outcome, attempt, &endpoint));
            }
            while let Some((_, token)) = self.timers.first().copied().filter(|(at, _)| *at <= next_time) {
                self.timers.pop_first();
                records.push(record(10, &[(3, &token.to_le_bytes())]));
            }
            self.step("", &records, b"", elapsed);
        }
    }

    fn process_actions(&mut self, output: &[u8]) {
        let count = u32::from_le_bytes(output[4..8].try_into().expect("four bytes")) as usize;
        for action in output[8..8 + count * ENTRY_BYTES].chunks(ENTRY_BYTES) {
            let long = |at: usize| u64::from_le_bytes(action[at..at + 8].try_into().expect("eight bytes"));
            match action[0] {
                65 => {
                    let message = u32::from_le_bytes(action[3..7].try_into().expect("four bytes"));
                    let attempt = self.attempts.entry(message).or_default();
                    *attempt += 1;
                    self.in_flight.push((message, *attempt, action[7..13].to_vec()));
                }
                69 => drop(self.timers.insert((long(3), long(11)))),
                _ => {}
            }
        }
    }

    fn finish(self) -> String {
        let Self { child, stdin, text, .. } = self;
        drop(stdin);
        let output = child.wait_with_output().expect("the adapter ends");
        let (success, log) = (output.status.success(), String::from_utf8_lossy(&output.stderr).into_owned());
        format!("{text}ends well: {success}, {} bytes beyond, log {log:?}\n", output.stdout.len())
    }
}

/// Runs a session and returns its replies, each with the title of its frame.
fn session() -> String {
    let mut session = Session::new();
    session.step("nothing", &[], b"", 0);
    let length = (FULL.len() as u32).to_le_bytes();
    let boot = record(8, &[(3, &9u64.to_le_bytes()), (15, &length)]);
    session.step("a start", std::slice::from_ref(&boot), FULL.as_bytes(), 5_000);
    let list = |id: u32, start: u32, entries: u32| {
        record(4, &[(1, &id.to_le_bytes()), (5, &start.to_le_bytes()), (9, &entries.to_le_bytes())])
    };
    let list_news = |kind: u8, id: u32| record(6, &[(3, &[kind]), (4, &id.to_le_bytes())]);
    let mut entries: Vec<u8> = (0..OUTCOME_COUNT).flat_map(|n| entry(n, (n % 2) as u8, 10 + n, 1)).collect();
    entries.extend(entry(DRAINING_ENDPOINT, 0, 10, 2));
    session.step("a list", &[list(0, 0, u32::from(OUTCOME_COUNT) + 1), list_news(2, 0)], &entries, 5_000);
    session.step("no list", &[list_news(1, 0)], b"", 5_000);
    // Each outcome for each class.
    for n in 0..3 * OUTCOME_COUNT {
        let (message, class, destination) = (u32::from(n) + 1, n % 3, 10 + n / 3);
        let title = format!("message {message} of class {class} to {destination}");
        session.step(&title, &[accepted(message, class, destination)], b"", 5_000);
        session.advance(6, 100_000);
    }
    session.advance(60, 100_000);
    let burst: Vec<_> = (100..116).map(|m| accepted(m, (m % 3) as u16, 10 + (m % 2) as u16)).collect();
    session.step("a burst", &burst, b"", 5_000);
    let streaming = record(2, &[(3, &100u32.to_le_bytes())]);
    let left = record(5, &[(3, &101u32.to_le_bytes())]);
    session.step("an answer begins, a client leaves", &[streaming, left], b"", 5_000);
    let note = record(1, &[(3, &2u16.to_le_bytes()), (5, &0u32.to_le_bytes()), (9, &4u32.to_le_bytes())]);
    session.step("a gossip message", &[note], b"gsip", 5_000);
    let probed = record(11, &[(3, &endpoint(0)), (13, &0u16.to_le_bytes()), (15, &[1, 0, 0, 128, 63])]);
    session.step("a health check", &[probed], b"", 5_000);
    session.advance(20, 100_000);
    session.step("changes of the list", &[list(1, 0, 1), list_news(0, 1)], &entry(0, 0, 10, 0), 5_000);
    session.step("a whole list again", &[list_news(3, 0)], b"", 5_000);
    session.advance(20, 500_000);
    session.step("an end and a new start", &[record(9, &[]), boot], FULL.as_bytes(), 5_000);
    session.finish()
}

/// Runs the adapter with this input. Returns its log, and whether it exited successfully.
fn run(input: Vec<u8>) -> (String, bool) {
    let mut command = programs::adapter();
    command.stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::piped());
    let mut child = command.spawn().expect("the adapter starts");
    let mut stdin = child.stdin.take().expect("piped");
    // The adapter may exit before it has read all of the input.
    let writing = thread::spawn(move || stdin.write_all(&input));
    let output = child.wait_with_output().expect("the adapter ends");
    let _ = writing.join();
    (String::from_utf8_lossy(&output.stderr).into_owned(), output.status.success())
}

/// Returns a reply as text: its head, its records, one per line, and its tail.
fn reply(output: &[u8]) -> String {
    let count = u32::from_le_bytes(output[4..8].try_into().expect("four bytes")) as usize;
    let (records, tail) = output[8..].split_at(count * ENTRY_BYTES);
    let mut text = format!("  {}\n", hex(&output[..8]));
    for record in records.chunks(ENTRY_BYTES) {
        let end = record.iter().rposition(|byte| *byte != 0).map_or(0, |last| last + 1);
        let _ = writeln!(text, "  {}", hex(&record[..end]));
    }
    if !tail.is_empty() {
        let _ = writeln!(text, "  tail {}", tail.escape_ascii());
    }
    text
}

/// Returns the text of the kind `simulator`: the replies of a session in bytes, and the errors for invalid records.
pub fn text() -> String {
    let mut text = session();
    let length = (FULL.len() as u32).to_le_bytes();
    let mut boot = frame(1, &[record(8, &[(15, &length)])], FULL.as_bytes());
    for (title, bad) in [
        ("unknown event", record(99, &[])),
        ("unknown list", record(6, &[(3, &[2])])),
        ("list outside the tail", record(4, &[(5, &[9, 0, 0, 0, 1])])),
        ("list number", record(4, &[(1, &[16])])),
        ("unknown outcome", record(7, &[(7, &[8])])),
        ("long load report", record(7, &[(26, &[5])])),
        ("unknown class", record(3, &[(7, &[9])])),
        ("destination", record(3, &[(29, &0.5f32.to_le_bytes())])),
        ("unknown instance", record(10, &[(1, &[4])])),
    ] {
        let valid_length = boot.len();
        boot.extend(frame(2, &[bad], b""));
        let (log, success) = run(boot.clone());
        boot.truncate(valid_length);
        let _ = write!(text, "{title}: ends well: {success}, {log}");
    }
    text
}

/// Returns the text of the kind `actions`: the bytes of each action.
pub fn actions() -> String {
    let (endpoint, message) = (EndpointId([1, 2, 3, 4, 5, 6]), MessageId(0x5d3a_91c4));
    let attempt = Action::Attempt {
        message,
        endpoint,
        timeout: 80_000,
        send_within: 70_000,
        last_byte_delay: 5,
        new_connection: true,
    };
    let all = [
        ("attempt", attempt),
        ("refuse", Action::Reject { message, retry_after: 1_500_000 }),
        ("fail", Action::Fail(message)),
        ("cancel", Action::Cancel { message, attempt: 2 }),
        ("remind", Action::SetTimer { at: 9_000_000, token: 0x0102 }),
        ("probe", Action::HealthCheck(endpoint)),
        ("close idle connections", Action::CloseIdleConnections(endpoint)),
        ("gossip to one", Action::SendGossip { to: Some(4), content: vec![1, 2] }),
        ("gossip to all", Action::SendGossip { to: None, content: vec![1, 2] }),
        ("log line", Action::Log("a line".into())),
        ("watch", Action::WatchEndpoints),
        ("fetch the list", Action::FetchEndpoints),
    ];
    let mut text = String::new();
    for (name, action) in all.clone() {
        let _ = writeln!(text, "{name}: {}", hex(&encode(&[(INSTANCE, vec![action])])));
    }
    let all = all.map(|(_, action)| action).to_vec();
    let _ = writeln!(text, "all for two instances: {}", hex(&encode(&[(INSTANCE, all.clone()), (515, all)])));
    text
}
