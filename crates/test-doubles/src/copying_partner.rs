//! A partner that writes whole answers a second time, at chosen instants around the next call on the connection, and
//! records its calls.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;

use crate::Http;

/// When a second copy of an answer is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CopyInstant {
    /// In one write with the answer.
    WithAnswer,
    /// This long after the answer, unless the next call begins earlier; then with its first byte.
    AfterAnswer(Duration),
    /// When the first byte of the next call on the connection has arrived.
    FirstByte,
    /// This long after the last byte of the next call on the connection has arrived, before that call is answered.
    AfterLastByte(Duration),
}

/// What became of a message in a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// It took effect, or may have as far as the sender can know: answered 200, `ok`, 500 or `error`.
    Ran,
    /// It was rejected before it took effect: any other answer.
    NeverRan,
}

/// A call whose last byte has arrived.
#[derive(Debug, Clone)]
pub struct RecordedCall {
    /// The connection's number.
    pub connection: usize,
    /// When the last byte arrived.
    pub arrived: Instant,
    /// When its answer was written; `None` while it is being processed.
    pub answered: Option<Instant>,
    /// The `Retry-After` of its answer, unless the sender had closed the connection before that was written.
    pub retry_after: Option<Duration>,
    /// Each message's `Req-Id`, and what became of it.
    pub messages: Vec<(String, Effect)>,
    /// The status of its answer.
    pub status: u16,
    /// When the second copy of an earlier answer was written on the connection last, if one was.
    pub copy_before: Option<Instant>,
}

/// How a [`CopyingPartner`] answers a call.
#[derive(Debug, Clone)]
pub struct PlannedAnswer {
    /// The status; a batch that is answered with 200 has a state for each message.
    pub status: u16,
    /// The states of a batch's messages in turn, repeated from the start. Not used for other calls.
    pub states: Vec<&'static str>,
    /// The `Retry-After`.
    pub retry_after: Option<Duration>,
    /// Time from the last byte of the call to its answer.
    pub service_time: Duration,
    /// When the answer is written a second time, if it is.
    pub copy: Option<CopyInstant>,
}

impl PlannedAnswer {
    /// An answer without `Retry-After` that is not written a second time.
    pub fn new(status: u16, service_time: Duration) -> Self {
        Self { status, states: vec!["ok"], retry_after: None, service_time, copy: None }
    }

    /// The same answer, written a second time at that instant.
    #[must_use]
    pub fn copied(self, copy: CopyInstant) -> Self {
        Self { copy: Some(copy), ..self }
    }
}

/// Chooses the answer to a call.
type Plan = Box<dyn FnMut(&[String]) -> PlannedAnswer + Send>;

struct State {
    plan: Plan,
    calls: Vec<RecordedCall>,
    copies: u64,
}

/// A partner with one endpoint that writes answers a second time.
#[derive(Clone)]
pub struct CopyingPartner {
    /// The address it listens on.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

/// An answer that was written and is still to be written a second time.
struct PendingCopy {
    bytes: Vec<u8>,
    instant: CopyInstant,
}

impl CopyingPartner {
    /// Starts a partner whose answers `plan` chooses, given the ids of a call's messages.
    pub fn new(plan: impl FnMut(&[String]) -> PlannedAnswer + Send + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let state = State { plan: Box::new(plan), calls: Vec::new(), copies: 0 };
        let partner = Self { address, state: Arc::new(Mutex::new(state)) };
        let server = partner.clone();
        thread::spawn(move || {
            for (connection, stream) in listener.incoming().flatten().enumerate() {
                let partner = server.clone();
                thread::spawn(move || partner.serve(connection, stream));
            }
        });
        partner
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    /// Returns the calls whose last byte has arrived, in that order.
    pub fn calls(&self) -> Vec<RecordedCall> {
        self.state().calls.clone()
    }

    /// Returns how many answers were written a second time.
    pub fn copies(&self) -> u64 {
        self.state().copies
    }

    /// Serves a connection until it ends.
    fn serve(&self, connection: usize, stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut output = stream.try_clone().ok()?;
        let mut input = BufReader::new(stream);
        let mut pending: Option<PendingCopy> = None;
        let mut copied_at = None;
        loop {
            self.copy_before_call(input.get_ref(), &mut output, &mut pending, &mut copied_at)?;
            let request = Http::read(&mut input)?;
            let arrived = Instant::now();
            let ids = message_ids(&request);
            let answer = (self.state().plan)(&ids);
            let is_batch = request.first.contains(":batch");
            let (bytes, messages) = encode(&answer, &ids, is_batch);
            let index = {
                let mut state = self.state();
                state.calls.push(RecordedCall {
                    connection,
                    arrived,
                    answered: None,
                    retry_after: answer.retry_after,
                    messages,
                    status: answer.status,
                    copy_before: copied_at,
                });
                state.calls.len() - 1
            };
            if let Some(copy) = pending.take()
                && let CopyInstant::AfterLastByte(delay) = copy.instant
            {
                thread::sleep(delay);
                copied_at = self.write_copy(&mut output, &copy);
                self.state().calls[index].copy_before = copied_at;
            }
            thread::sleep((arrived + answer.service_time).saturating_duration_since(Instant::now()));
            pending = answer.copy.map(|instant| PendingCopy { bytes: bytes.clone(), instant });
            let follows_at_once = pending.take_if(|copy| copy.instant == CopyInstant::WithAnswer);
            let copies = if follows_at_once.is_some() { 2 } else { 1 };
            if has_ended(input.get_ref()) {
                // The sender has given the call up, and an answer would not be read.
                self.state().calls[index].retry_after = None;
                return None;
            }
            output.write_all(&bytes.repeat(copies)).ok()?;
            let mut state = self.state();
            state.calls[index].answered = Some(Instant::now());
            if follows_at_once.is_some() {
                state.copies += 1;
                copied_at = state.calls[index].answered;
            }
        }
    }

    /// Waits for the first byte of the next call and writes a copy that is due before the rest of the call. Returns `None` if
    /// the connection ends.
    fn copy_before_call(
        &self,
        input: &TcpStream,
        output: &mut TcpStream,
        pending: &mut Option<PendingCopy>,
        copied_at: &mut Option<Instant>,
    ) -> Option<()> {
        if let Some(copy) = pending.take_if(|copy| matches!(copy.instant, CopyInstant::AfterAnswer(_)))
            && let CopyInstant::AfterAnswer(delay) = copy.instant
        {
            input.set_read_timeout(Some(delay.max(Duration::from_micros(1)))).ok()?;
            let first_byte = input.peek(&mut [0]);
            input.set_read_timeout(None).ok()?;
            if matches!(first_byte, Ok(0)) {
                return None;
            }
            *copied_at = self.write_copy(output, &copy);
        }
        if input.peek(&mut [0]).ok()? == 0 {
            return None;
        }
        if let Some(copy) = pending.take_if(|copy| copy.instant == CopyInstant::FirstByte) {
            *copied_at = self.write_copy(output, &copy);
        }
        Some(())
    }

    /// Writes a copy and returns when that was, if the connection is still open.
    fn write_copy(&self, output: &mut TcpStream, copy: &PendingCopy) -> Option<Instant> {
        output.write_all(&copy.bytes).ok()?;
        self.state().copies += 1;
        Some(Instant::now())
    }
}

/// Returns whether the sender has closed a connection on which it waits for an answer.
fn has_ended(stream: &TcpStream) -> bool {
    let peeked = stream.set_nonblocking(true).and_then(|()| stream.peek(&mut [0]));
    let _ = stream.set_nonblocking(false);
    !matches!(&peeked, Err(error) if error.kind() == std::io::ErrorKind::WouldBlock)
        && !matches!(peeked, Ok(1..))
}

/// Returns the ids of a call's messages.
fn message_ids(request: &Http) -> Vec<String> {
    match request.headers.get("req-id") {
        Some(id) => vec![id.clone()],
        None => {
            let parts = request.json();
            let ids = parts.as_array().unwrap().iter().map(|part| part["id"].as_str().unwrap().to_owned());
            ids.collect()
        }
    }
}

/// Returns the bytes of an answer, and what becomes of each message.
fn encode(answer: &PlannedAnswer, ids: &[String], is_batch: bool) -> (Vec<u8>, Vec<(String, Effect)>) {
    let states = || answer.states.iter().cycle();
    let is_mixed = is_batch && answer.status == 200;
    let body = match is_mixed {
        true => {
            let results: Vec<_> =
                ids.iter().zip(states()).map(|(id, state)| json!({"id": id, "state": state})).collect();
            json!(results).to_string()
        }
        false => String::new(),
    };
    let effect = |state: &str| match (is_mixed, answer.status, state) {
        (true, _, "ok" | "error") | (false, 200 | 500, _) => Effect::Ran,
        _ => Effect::NeverRan,
    };
    let messages = ids.iter().zip(states()).map(|(id, state)| (id.clone(), effect(state))).collect();
    let retry_after = answer
        .retry_after
        .map_or(String::new(), |wait| format!("Retry-After: {:.3}\r\n", wait.as_secs_f64()));
    let head = format!("HTTP/1.1 {} X\r\n{retry_after}Content-Length: {}\r\n\r\n", answer.status, body.len());
    ((head + &body).into_bytes(), messages)
}
