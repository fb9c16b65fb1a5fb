//! Clients that submit messages at a given rate, and the record of what happened to each message.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use serde_json::Value;

use crate::node::{Client, submission_with};
use crate::{Platform, status};

/// The address that clients connect to, which changes with each restart of the sender; `None` while there is none.
pub type ClientAddress = Arc<Mutex<Option<SocketAddr>>>;

/// The answer that a client got for a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ClientAnswer {
    /// 202: the sender must bring the message to a final outcome.
    Accepted,
    /// 503.
    Rejected,
    /// Any other answer.
    Failed,
    /// No answer: the connection failed or could not be made, or the client timed out.
    NoAnswer,
}

/// A message that a client submitted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Submission {
    /// The class of the message.
    pub class: &'static str,
    /// The answer to the client.
    pub answer: ClientAnswer,
    /// The time until the answer, or until the client gave up.
    pub latency: Duration,
    /// The time of submission, since the load started.
    pub at: Duration,
}

/// What the clients submit.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The prefix of each message id, which keeps the ids of several runs apart.
    pub prefix: String,
    /// Messages per second, from all clients together.
    pub rate: u32,
    /// The number of clients; each has its own connection.
    pub clients: u32,
    /// Classes and destinations of the messages, used in rotation.
    pub mix: Vec<(&'static str, u16)>,
    /// The size of a message body in bytes.
    pub body: usize,
    /// The deadline of a message in milliseconds, from its submission.
    pub within_ms: u32,
}

/// The time a client waits for a connection, and for its answer.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(400);

/// Clients that submit messages until they are stopped.
pub struct Load {
    stop: Arc<AtomicBool>,
    submissions: Arc<Mutex<HashMap<String, Submission>>>,
    clients: Vec<JoinHandle<()>>,
}

impl Load {
    /// Starts the clients.
    pub fn start(plan: &Plan, address: &ClientAddress) -> Self {
        Self::start_every(plan, address, Duration::from_secs(1) * plan.clients / plan.rate.max(1))
    }

    /// Starts the clients with this time between two messages of each client; [`Plan::rate`] is ignored.
    pub fn start_every(plan: &Plan, address: &ClientAddress, period: Duration) -> Self {
        let start = Instant::now();
        let stop = Arc::new(AtomicBool::new(false));
        let submissions = Arc::new(Mutex::new(HashMap::new()));
        let client = |client_number: u32| {
            let (plan, address, stop, submissions) =
                (plan.clone(), address.clone(), stop.clone(), submissions.clone());
            thread::spawn(move || {
                let mut connection: Option<(SocketAddr, Client)> = None;
                let mut next_at = Instant::now() + period * client_number / plan.clients.max(1);
                for n in 0u64.. {
                    thread::sleep(next_at.saturating_duration_since(Instant::now()));
                    // A client that fell behind does not catch up with a burst.
                    next_at = (next_at + period).max(Instant::now());
                    if stop.load(Ordering::Relaxed) {
                        return;
                    }
                    let sequence = n * u64::from(plan.clients) + u64::from(client_number);
                    let (class, dest) = plan.mix[sequence as usize % plan.mix.len()];
                    let id = format!("{}-{client_number}-{n}", plan.prefix);
                    let text = submission_with(&id, class, dest, plan.within_ms, &vec![b'x'; plan.body]);
                    let sent_at = Instant::now();
                    let current = *address.lock().unwrap();
                    connection = connection.take().filter(|c| Some(c.0) == current).or_else(|| {
                        let current = current?;
                        Some((current, Client::connect(current, CLIENT_TIMEOUT).ok()?))
                    });
                    let answer = connection.as_mut().and_then(|c| {
                        c.1.write(&text);
                        c.1.answer()
                    });
                    let outcome = match answer.as_ref().map(crate::Http::status) {
                        Some(202) => ClientAnswer::Accepted,
                        Some(503) => ClientAnswer::Rejected,
                        Some(_) => ClientAnswer::Failed,
                        None => ClientAnswer::NoAnswer,
                    };
                    if outcome == ClientAnswer::NoAnswer {
                        connection = None;
                    }
                    let (latency, at) = (sent_at.elapsed(), sent_at.duration_since(start));
                    submissions
                        .lock()
                        .unwrap()
                        .insert(id, Submission { class, answer: outcome, latency, at });
                }
            })
        };
        let clients = (0..plan.clients).map(client).collect();
        Self { stop, submissions, clients }
    }

    /// Returns the number of messages submitted so far, by the answer to the client.
    pub fn tally(&self) -> BTreeMap<ClientAnswer, usize> {
        let mut tally = BTreeMap::new();
        self.submissions.lock().unwrap().values().for_each(|m| *tally.entry(m.answer).or_default() += 1);
        tally
    }

    /// Stops the clients and returns the submitted messages by their ids.
    pub fn stop(self) -> HashMap<String, Submission> {
        self.stop.store(true, Ordering::Relaxed);
        for client in self.clients {
            client.join().unwrap();
        }
        std::mem::take(&mut *self.submissions.lock().unwrap())
    }
}

/// The notifications of final outcomes that the platform received: by message id, the statuses in order of arrival.
#[derive(Debug, Clone, Default)]
pub struct Notifications(Arc<Mutex<HashMap<String, Vec<String>>>>);

impl Notifications {
    /// Receives and acknowledges all notifications to the platform from now on.
    pub fn collect(platform: &mut Platform) -> Self {
        let notifications = Self::default();
        let collected = notifications.clone();
        let requests = platform.take_notifications();
        thread::spawn(move || {
            while let Ok(request) = requests.recv() {
                let text = String::from_utf8_lossy(&request.http.body).into_owned();
                for line in text.lines().filter_map(|line| serde_json::from_str::<Value>(line).ok()) {
                    let (id, status) = (line["id"].as_str(), line["status"].as_str());
                    let status = status.unwrap_or_default().to_owned();
                    let mut collected = collected.0.lock().unwrap();
                    collected.entry(id.unwrap_or_default().to_owned()).or_default().push(status);
                }
                request.reply(status(204));
            }
        });
        notifications
    }

    /// Returns all notifications received so far.
    pub fn all(&self) -> HashMap<String, Vec<String>> {
        self.0.lock().unwrap().clone()
    }
}
