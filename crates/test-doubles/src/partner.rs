//! Partners that answer calls on their own and count which messages took effect.

use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, SystemTime};

use crate::Http;
use crate::partner_limits::{CallHistory, PartnerLimits, Violation, WriteInterval};
use crate::timestamped_stream::TimestampedStream;

/// How a partner treats a call once its last byte has arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Behavior {
    /// The message takes effect; the call is answered 200 after that time.
    Healthy(Duration),
    /// The message takes effect; the call is answered 500.
    Failing,
    /// The message takes no effect; the call is answered 503.
    Rejecting,
    /// The message takes effect; the call is never answered.
    Silent,
    /// Connections are closed as soon as they are accepted.
    Unreachable,
}

/// What happened to one message.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Effects {
    /// The number of times it took effect.
    pub ran: u32,
    /// The number of times it was answered 200.
    pub answered: u32,
}

/// Counts of the calls at a partner.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// The number of calls.
    pub calls: u64,
    /// The largest number of calls in flight at once.
    pub at_once: usize,
    /// The number of `Retry-After`s that were written.
    pub waits: u64,
}

#[derive(Debug)]
struct State {
    behavior: Behavior,
    /// The number of calls answered 200.
    answered: u64,
    effects: HashMap<String, Effects>,
    history: CallHistory,
    in_flight: usize,
    at_once: usize,
}

/// Counts a call as in flight until this is dropped: before its answer is written, or when its connection ends.
struct InFlightCall<'a>(&'a Partner);

impl Drop for InFlightCall<'_> {
    fn drop(&mut self) {
        self.0.state().in_flight -= 1;
    }
}

/// A partner with one endpoint. It ignores idempotency keys: every call that it accepts takes effect, so that the counts
/// show duplicates.
#[derive(Debug, Clone)]
pub struct Partner {
    /// The address it listens on.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Partner {
    /// Starts a partner without limits.
    pub fn new(behavior: Behavior) -> Self {
        Self::with_limits(behavior, PartnerLimits::default())
    }

    /// Starts a partner with limits.
    pub fn with_limits(behavior: Behavior, limits: PartnerLimits) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let partner = Self {
            address,
            state: Arc::new(Mutex::new(State {
                behavior,
                answered: 0,
                effects: HashMap::new(),
                history: CallHistory::new(limits),
                in_flight: 0,
                at_once: 0,
            })),
        };
        let server = partner.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let partner = server.clone();
                if partner.state().behavior != Behavior::Unreachable {
                    thread::spawn(move || partner.serve(stream));
                }
            }
        });
        partner
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    /// Sets how calls are treated whose last byte arrives from now on.
    pub fn set(&self, behavior: Behavior) {
        self.state().behavior = behavior;
    }

    /// Returns what happened to each message that took effect, by `Req-Id`.
    pub fn effects(&self) -> HashMap<String, Effects> {
        self.state().effects.clone()
    }

    /// Returns the counts of its calls.
    pub fn counts(&self) -> CallCounts {
        let state = self.state();
        CallCounts { calls: state.history.calls(), at_once: state.at_once, waits: state.history.waits() }
    }

    /// Returns the calls that violated its limits.
    pub fn violations(&self) -> Vec<Violation> {
        self.state().history.violations()
    }

    /// Returns the number of calls answered 200 so far.
    pub fn answered(&self) -> u64 {
        self.state().answered
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut output) = stream.try_clone() else { return };
        let Ok(stream) = TimestampedStream::new(stream) else { return };
        let mut input = BufReader::new(stream);
        while let Some(call) = Http::read(&mut input) {
            let id = call.headers.get("req-id").cloned().unwrap_or_default();
            let (behavior, required) = {
                let mut state = self.state();
                let required = state.history.call_arrived(input.get_ref().last_arrival());
                state.in_flight += 1;
                state.at_once = state.at_once.max(state.in_flight);
                if required.status.is_none()
                    && !matches!(state.behavior, Behavior::Rejecting | Behavior::Unreachable)
                {
                    state.effects.entry(id.clone()).or_default().ran += 1;
                }
                (state.behavior, required)
            };
            let in_flight = InFlightCall(self);
            let status = match behavior {
                _ if required.status.is_some() => required.status.unwrap_or_default(),
                Behavior::Healthy(delay) => {
                    thread::sleep(delay);
                    200
                }
                Behavior::Failing => 500,
                Behavior::Rejecting => 503,
                Behavior::Unreachable => return,
                Behavior::Silent => {
                    // Waits until the caller closes the connection.
                    let _ = std::io::Read::read(&mut input, &mut [0]);
                    return;
                }
            };
            let retry_after =
                required.retry_after.map(|wait| format!("retry-after: {:.3}\r\n", wait.as_secs_f64()));
            let report =
                required.report.map(|(left, limit)| format!("srv-load: x0={left:.3},x1={limit}\r\n"));
            let (retry_after, report) = (retry_after.unwrap_or_default(), report.unwrap_or_default());
            let answer = format!("HTTP/1.1 {status} X\r\n{retry_after}{report}content-length: 0\r\n\r\n");
            // The call is no longer in flight when its answer is written: the caller may send the next one at once.
            drop(in_flight);
            let start = SystemTime::now();
            if output.write_all(answer.as_bytes()).is_err() {
                return;
            }
            let written = WriteInterval { start, end: SystemTime::now() };
            let mut state = self.state();
            state.history.answer_written(&required, written);
            if status == 200 {
                state.answered += 1;
                state.effects.entry(id).or_default().answered += 1;
            }
        }
    }
}
