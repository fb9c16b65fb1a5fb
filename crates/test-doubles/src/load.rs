//! Clients that hand messages in at a rate, and what became of each message.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use serde_json::Value;

use crate::node::{Client, submission_with};
use crate::{Platform, status};

/// Where the clients of a sender connect: another place after each restart.
pub type ClientAddress = Arc<Mutex<Option<SocketAddr>>>;

/// What a client heard of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ClientAnswer {
    /// 202: the sender owes it its end.
    Accepted,
    /// 503.
    Rejected,
    /// Any other answer.
    Failed,
    /// Nothing: the connection broke, could not be made, or the client's patience ended.
    Nothing,
}

/// A message that was handed in.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Submission {
    /// Its class.
    pub class: &'static str,
    /// What its client heard.
    pub answer: ClientAnswer,
    /// How long that took.
    pub latency: Duration,
    /// When it was handed in, since the load began.
    pub at: Duration,
}

/// What is handed in.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Begins each id, so that runs differ.
    pub prefix: String,
    /// Messages a second, by all clients together.
    pub rate: u32,
    /// Clients, each with a connection of its own.
    pub clients: u32,
    /// Classes and destinations, taken in turn.
    pub mix: Vec<(&'static str, u16)>,
    /// Bytes of a body.
    pub body: usize,
    /// How long a message may still be delivered, in milliseconds.
    pub within_ms: u32,
}

/// How long a client waits for its answer.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(400);

/// Clients at work until they are stopped.
pub struct Load {
    stop: Arc<AtomicBool>,
    said: Arc<Mutex<HashMap<String, Submission>>>,
    clients: Vec<JoinHandle<()>>,
}

impl Load {
    /// Begins.
    pub fn start(plan: &Plan, place: &ClientAddress) -> Self {
        Self::start_every(plan, place, Duration::from_secs(1) * plan.clients / plan.rate.max(1))
    }

    /// The same with the time between two messages of a client, whatever the plan says of the rate.
    pub fn start_every(plan: &Plan, place: &ClientAddress, period: Duration) -> Self {
        let start = Instant::now();
        let stop = Arc::new(AtomicBool::new(false));
        let said = Arc::new(Mutex::new(HashMap::new()));
        let client = |number: u32| {
            let (plan, place, stop, said) = (plan.clone(), place.clone(), stop.clone(), said.clone());
            thread::spawn(move || {
                let mut connection: Option<(SocketAddr, Client)> = None;
                let mut due = Instant::now() + period * number / plan.clients.max(1);
                for n in 0u64.. {
                    thread::sleep(due.saturating_duration_since(Instant::now()));
                    // One that fell behind does not make up for it in a burst.
                    due = (due + period).max(Instant::now());
                    if stop.load(Ordering::Relaxed) {
                        return;
                    }
                    let turn = n * u64::from(plan.clients) + u64::from(number);
                    let (class, dest) = plan.mix[turn as usize % plan.mix.len()];
                    let id = format!("{}-{number}-{n}", plan.prefix);
                    let text = submission_with(&id, class, dest, plan.within_ms, &vec![b'x'; plan.body]);
                    let begun = Instant::now();
                    let at = *place.lock().unwrap();
                    connection = connection.take().filter(|c| Some(c.0) == at).or_else(|| {
                        let at = at?;
                        Some((at, Client::connect(at, CLIENT_TIMEOUT).ok()?))
                    });
                    let answer = connection.as_mut().and_then(|c| {
                        c.1.write(&text);
                        c.1.answer()
                    });
                    let heard = match answer.as_ref().map(crate::Http::status) {
                        Some(202) => ClientAnswer::Accepted,
                        Some(503) => ClientAnswer::Rejected,
                        Some(_) => ClientAnswer::Failed,
                        None => ClientAnswer::Nothing,
                    };
                    if heard == ClientAnswer::Nothing {
                        connection = None;
                    }
                    let (after, at) = (begun.elapsed(), begun.duration_since(start));
                    said.lock().unwrap().insert(id, Submission { class, answer: heard, latency: after, at });
                }
            })
        };
        let clients = (0..plan.clients).map(client).collect();
        Self { stop, said, clients }
    }

    /// What was handed in so far, by what its client heard.
    pub fn tally(&self) -> BTreeMap<ClientAnswer, usize> {
        let mut tally = BTreeMap::new();
        self.said.lock().unwrap().values().for_each(|m| *tally.entry(m.answer).or_default() += 1);
        tally
    }

    /// Ends, and tells of each message by its id.
    pub fn stop(self) -> HashMap<String, Submission> {
        self.stop.store(true, Ordering::Relaxed);
        for client in self.clients {
            client.join().unwrap();
        }
        std::mem::take(&mut *self.said.lock().unwrap())
    }
}

/// How messages ended by notices, by their ids: each notice that came, in order.
#[derive(Debug, Clone, Default)]
pub struct Notifications(Arc<Mutex<HashMap<String, Vec<String>>>>);

impl Notifications {
    /// Answers every notice that comes to the platform from now on.
    pub fn collect(platform: &mut Platform) -> Self {
        let notices = Self::default();
        let kept = notices.clone();
        let asked = platform.take_notifications();
        thread::spawn(move || {
            while let Ok(asked) = asked.recv() {
                let text = String::from_utf8_lossy(&asked.http.body).into_owned();
                for line in text.lines().filter_map(|line| serde_json::from_str::<Value>(line).ok()) {
                    let (id, status) = (line["id"].as_str(), line["status"].as_str());
                    let status = status.unwrap_or_default().to_owned();
                    let mut kept = kept.0.lock().unwrap();
                    kept.entry(id.unwrap_or_default().to_owned()).or_default().push(status);
                }
                asked.reply(status(204));
            }
        });
        notices
    }

    /// All that came so far.
    pub fn all(&self) -> HashMap<String, Vec<String>> {
        self.0.lock().unwrap().clone()
    }
}
