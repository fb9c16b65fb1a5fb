//! Partners that answer by themselves, and count what took effect.

use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, SystemTime};

use crate::Http;
use crate::partner_limits::{Record, Terms, Violation, Written};
use crate::timestamped_stream::Stamped;

/// What a partner does with a call once its last byte has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Behavior {
    /// It takes effect, and is answered 200 after that time.
    Healthy(Duration),
    /// It takes effect, and is answered 500.
    Failing,
    /// It takes no effect, and is answered 503.
    Rejecting,
    /// It takes effect, and is never answered.
    Silent,
    /// Connections end as soon as they are made.
    Unreachable,
}

/// What came of one message.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Effects {
    /// How often it took effect.
    pub ran: u32,
    /// How often it was answered 200.
    pub answered: u32,
}

/// What a partner counted.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Calls.
    pub calls: u64,
    /// Calls at once, at most.
    pub at_once: usize,
    /// Waits that were told.
    pub waits: u64,
}

#[derive(Debug)]
struct State {
    mood: Behavior,
    /// Calls that were answered 200.
    answered: u64,
    effects: HashMap<String, Effects>,
    record: Record,
    out: usize,
    at_once: usize,
}

/// A call that is out, until it is answered or its connection ends.
struct Out<'a>(&'a Partner);

impl Drop for Out<'_> {
    fn drop(&mut self) {
        self.0.state().out -= 1;
    }
}

/// A partner's endpoint. It knows no keys: each call that it lets in takes effect, so that a count tells of copies.
#[derive(Debug, Clone)]
pub struct Partner {
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Partner {
    /// Listens.
    pub fn new(mood: Behavior) -> Self {
        Self::with_terms(mood, Terms::default())
    }

    /// The same with terms.
    pub fn with_terms(mood: Behavior, terms: Terms) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let partner = Self {
            address,
            state: Arc::new(Mutex::new(State {
                mood,
                answered: 0,
                effects: HashMap::new(),
                record: Record::new(terms),
                out: 0,
                at_once: 0,
            })),
        };
        let serving = partner.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let partner = serving.clone();
                if partner.state().mood != Behavior::Unreachable {
                    thread::spawn(move || partner.serve(stream));
                }
            }
        });
        partner
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    /// Calls whose last byte comes from now on fare so.
    pub fn set(&self, mood: Behavior) {
        self.state().mood = mood;
    }

    /// What came of each message that took effect, by `Req-Id`.
    pub fn effects(&self) -> HashMap<String, Effects> {
        self.state().effects.clone()
    }

    /// What it counted.
    pub fn counts(&self) -> CallCounts {
        let state = self.state();
        CallCounts { calls: state.record.calls(), at_once: state.at_once, waits: state.record.waits() }
    }

    /// Calls that came when they might not have.
    pub fn violations(&self) -> Vec<Violation> {
        self.state().record.violations()
    }

    /// Calls that were answered 200, so far.
    pub fn answered(&self) -> u64 {
        self.state().answered
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut out) = stream.try_clone() else { return };
        let Ok(stream) = Stamped::new(stream) else { return };
        let mut input = BufReader::new(stream);
        while let Some(call) = Http::read(&mut input) {
            let id = call.headers.get("req-id").cloned().unwrap_or_default();
            let (mood, says) = {
                let mut state = self.state();
                let says = state.record.call_arrived(input.get_ref().came());
                state.out += 1;
                state.at_once = state.at_once.max(state.out);
                if says.status.is_none() && !matches!(state.mood, Behavior::Rejecting | Behavior::Unreachable)
                {
                    state.effects.entry(id.clone()).or_default().ran += 1;
                }
                (state.mood, says)
            };
            let counts = Out(self);
            let status = match mood {
                _ if says.status.is_some() => says.status.unwrap_or_default(),
                Behavior::Healthy(after) => {
                    thread::sleep(after);
                    200
                }
                Behavior::Failing => 500,
                Behavior::Rejecting => 503,
                Behavior::Unreachable => return,
                Behavior::Silent => {
                    // Until the other side gives the call up.
                    let _ = std::io::Read::read(&mut input, &mut [0]);
                    return;
                }
            };
            let wait = says.wait.map(|wait| format!("retry-after: {:.3}\r\n", wait.as_secs_f64()));
            let report = says.report.map(|(left, limit)| format!("srv-load: x0={left:.3},x1={limit}\r\n"));
            let (wait, report) = (wait.unwrap_or_default(), report.unwrap_or_default());
            let answer = format!("HTTP/1.1 {status} X\r\n{wait}{report}content-length: 0\r\n\r\n");
            // Whoever reads the answer may call again at once.
            drop(counts);
            let from = SystemTime::now();
            if out.write_all(answer.as_bytes()).is_err() {
                return;
            }
            let written = Written { from, to: SystemTime::now() };
            let mut state = self.state();
            state.record.answer_written(&says, written);
            if status == 200 {
                state.answered += 1;
                state.effects.entry(id).or_default().answered += 1;
            }
        }
    }
}
