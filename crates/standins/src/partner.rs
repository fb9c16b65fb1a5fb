//! Partners that answer by themselves, and count what took effect.

use std::collections::{HashMap, VecDeque};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::Http;

/// What a partner does with a call once its last byte has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mood {
    /// It takes effect, and is answered 200 after that time.
    Well(Duration),
    /// It takes effect, and is answered 500.
    Failing,
    /// It takes no effect, and is answered 503.
    Full,
    /// It takes effect, and is never answered.
    Silent,
    /// Connections end as soon as they are made.
    Down,
}

/// What came of one message.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Effects {
    /// How often it took effect.
    pub ran: u32,
    /// How often it was answered 200.
    pub answered: u32,
}

/// What a partner asks of all its callers together, and counts.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Terms {
    /// Each so many calls one is told to wait so long, of all that are out to it.
    pub waits: Option<(u64, Duration)>,
    /// So many calls in two seconds; more are turned away. Reports tell of it.
    pub limit: Option<u32>,
}

/// What a partner counted.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counted {
    /// Calls.
    pub calls: u64,
    /// Calls at once, at most.
    pub at_once: usize,
    /// Waits that were told.
    pub waits: u64,
    /// Calls that came over a tenth of a second after a wait was told and before it was over.
    pub too_soon: u64,
    /// Calls beyond the limit.
    pub beyond: u64,
}

#[derive(Debug)]
struct State {
    mood: Mood,
    /// Calls that were answered 200.
    answered: u64,
    effects: HashMap<String, Effects>,
    terms: Terms,
    counted: Counted,
    out: usize,
    /// When a wait was told, and when it ends.
    wait: Option<(Instant, Instant)>,
    /// Calls of the last two seconds, where there is a limit.
    latest: VecDeque<Instant>,
}

impl State {
    /// A call's last byte has come; tells the status that its terms have for it, the wait, and what a report says.
    fn comes(&mut self) -> (Option<u16>, Option<Duration>, Option<String>) {
        let now = Instant::now();
        self.out += 1;
        self.counted.calls += 1;
        self.counted.at_once = self.counted.at_once.max(self.out);
        if self.wait.is_some_and(|(told, until)| now > told + Duration::from_millis(100) && now < until) {
            self.counted.too_soon += 1;
        }
        let mut report = None;
        if let Some(limit) = self.terms.limit {
            while self.latest.front().is_some_and(|at| now.duration_since(*at) > SPAN) {
                self.latest.pop_front();
            }
            self.latest.push_back(now);
            let left = (f64::from(limit) - self.latest.len() as f64) / f64::from(limit);
            report = Some(format!(
                "srv-load: x0={:.3},x1={}\r\n",
                left.max(0.0),
                f64::from(limit) / SPAN.as_secs_f64()
            ));
            if self.latest.len() > limit as usize {
                self.counted.beyond += 1;
                return (Some(503), None, report);
            }
        }
        match self.terms.waits {
            Some((every, wait)) if self.counted.calls.is_multiple_of(every) => {
                self.counted.waits += 1;
                self.wait = Some((now, now + wait));
                (Some(429), Some(wait), report)
            }
            _ => (None, None, report),
        }
    }
}

/// Calls are counted against a limit over so long.
const SPAN: Duration = Duration::from_secs(2);

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
    pub fn new(mood: Mood) -> Self {
        Self::with_terms(mood, Terms::default())
    }

    /// The same with terms.
    pub fn with_terms(mood: Mood, terms: Terms) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let partner = Self {
            address,
            state: Arc::new(Mutex::new(State {
                mood,
                answered: 0,
                effects: HashMap::new(),
                terms,
                counted: Counted::default(),
                out: 0,
                wait: None,
                latest: VecDeque::new(),
            })),
        };
        let serving = partner.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let partner = serving.clone();
                if partner.state().mood != Mood::Down {
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
    pub fn set(&self, mood: Mood) {
        self.state().mood = mood;
    }

    /// What came of each message that took effect, by `Req-Id`.
    pub fn effects(&self) -> HashMap<String, Effects> {
        self.state().effects.clone()
    }

    /// What it counted.
    pub fn counted(&self) -> Counted {
        self.state().counted
    }

    /// Calls that were answered 200, so far.
    pub fn answered(&self) -> u64 {
        self.state().answered
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut out) = stream.try_clone() else { return };
        let mut input = BufReader::new(stream);
        while let Some(call) = Http::read(&mut input) {
            let id = call.headers.get("req-id").cloned().unwrap_or_default();
            let (mood, (status, wait, report)) = {
                let mut state = self.state();
                let terms = state.comes();
                if terms.0.is_none() && !matches!(state.mood, Mood::Full | Mood::Down) {
                    state.effects.entry(id.clone()).or_default().ran += 1;
                }
                (state.mood, terms)
            };
            let counts = Out(self);
            let status = match mood {
                _ if status.is_some() => status.unwrap_or_default(),
                Mood::Well(after) => {
                    thread::sleep(after);
                    200
                }
                Mood::Failing => 500,
                Mood::Full => 503,
                Mood::Down => return,
                Mood::Silent => {
                    // Until the other side gives the call up.
                    let _ = std::io::Read::read(&mut input, &mut [0]);
                    return;
                }
            };
            let wait = wait.map(|wait| format!("retry-after: {:.3}\r\n", wait.as_secs_f64()));
            let (wait, report) = (wait.unwrap_or_default(), report.unwrap_or_default());
            let answer = format!("HTTP/1.1 {status} X\r\n{wait}{report}content-length: 0\r\n\r\n");
            // Whoever reads the answer may call again at once.
            drop(counts);
            if out.write_all(answer.as_bytes()).is_err() {
                return;
            }
            if status == 200 {
                let mut state = self.state();
                state.answered += 1;
                state.effects.entry(id).or_default().answered += 1;
            }
        }
    }
}
