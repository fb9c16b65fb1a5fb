//! A test double for the platform: the endpoint list (discovery) and the receiver of final-outcome notifications.

use std::net::SocketAddr;
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::TIMEOUT;
use crate::http::{PendingRequest, Reply, ScriptedServer, status};

/// The platform: it serves the endpoint list and receives notifications.
pub struct Platform {
    /// The address it listens on.
    pub address: SocketAddr,
    /// Receives the path of each request for the endpoint list.
    pub watched: Receiver<String>,
    list: Arc<(Mutex<Value>, Condvar)>,
    capacity: Arc<Mutex<ListCapacity>>,
    /// Receives the requests that carry notifications.
    pub notifications: Receiver<PendingRequest>,
}

/// The capacity of discovery for requests for the list, and its use.
#[derive(Debug, Default)]
struct ListCapacity {
    /// The time that a request takes, and the longest that one may wait for those before it; requests are served one after
    /// the other, and one that would wait longer is rejected. Unlimited if `None`.
    cost: Option<(Duration, Duration)>,
    busy_until: Option<Instant>,
    rejected: u64,
    accepted: u64,
}

impl ListCapacity {
    /// Accepts a request and returns how long it takes until it is served, or rejects it. A rejected request takes half
    /// the time of an accepted one.
    fn admit(&mut self) -> Result<Duration, ()> {
        let Some((service_time, max_wait)) = self.cost else { return Ok(Duration::ZERO) };
        let now = Instant::now();
        let free_at = self.busy_until.map_or(now, |until| until.max(now));
        let delay = free_at.duration_since(now);
        if delay > max_wait {
            self.busy_until = Some(free_at + service_time / 2);
            self.rejected += 1;
            return Err(());
        }
        self.busy_until = Some(free_at + service_time);
        self.accepted += 1;
        Ok(delay + service_time)
    }
}

impl Default for Platform {
    fn default() -> Self {
        Self::new()
    }
}

impl Platform {
    /// Starts a platform with an empty list of version 1.
    pub fn new() -> Self {
        let served = ScriptedServer::new();
        let list = Arc::new((Mutex::new(json!({"index": 1})), Condvar::new()));
        let (notification_sender, notifications) = channel();
        let (watch_sender, watched) = channel();
        let shared_list = list.clone();
        let capacity = Arc::new(Mutex::new(ListCapacity::default()));
        let served_capacity = capacity.clone();
        let address = served.address;
        thread::spawn(move || {
            while let Ok(request) = served.requests.recv() {
                if request.http.first.starts_with("POST /reports ") {
                    let _ = notification_sender.send(request);
                    continue;
                }
                let path = request.http.first.split(' ').nth(1).unwrap().to_owned();
                let _ = watch_sender.send(path.clone());
                let from = path.split("from=").nth(1).and_then(|f| f.split('&').next());
                let from: u64 = from.map_or(0, |from| from.parse().unwrap());
                let shared_list = shared_list.clone();
                let Ok(delay) = served_capacity.lock().unwrap().admit() else {
                    request.reply(status(503));
                    continue;
                };
                thread::spawn(move || {
                    thread::sleep(delay);
                    let (list, changed) = &*shared_list;
                    let mut list = list.lock().unwrap();
                    while list["index"].as_u64().unwrap() <= from {
                        list = changed.wait(list).unwrap();
                    }
                    request.reply(Reply::Answer(200, vec![], list.to_string()));
                });
            }
        });
        Self { address, watched, list, capacity, notifications }
    }

    /// Limits the capacity for requests for the list: each takes `service_time`, one after the other, and one that would
    /// wait longer than `max_wait` is rejected.
    pub fn limit_list_capacity(&self, service_time: Duration, max_wait: Duration) {
        self.capacity.lock().unwrap().cost = Some((service_time, max_wait));
    }

    /// Returns how many requests for the list were accepted and rejected since the capacity was limited.
    pub fn list_request_counts(&self) -> (u64, u64) {
        let capacity = self.capacity.lock().unwrap();
        (capacity.accepted, capacity.rejected)
    }

    /// Replaces the endpoint list and returns its new version.
    pub fn publish(&self, endpoints: &[Value]) -> u64 {
        let (list, changed) = &*self.list;
        let mut list = list.lock().unwrap();
        let index = list["index"].as_u64().unwrap() + 1;
        *list = json!({"index": index, "snapshot": true, "endpoints": endpoints});
        changed.notify_all();
        index
    }

    /// Takes the receiver of notifications; a second call returns one that is disconnected.
    pub fn take_notifications(&mut self) -> Receiver<PendingRequest> {
        std::mem::replace(&mut self.notifications, channel().1)
    }

    /// Answers the next request with notifications with that status, and returns the notifications.
    pub fn answer_notification(&self, code: u16) -> Vec<Value> {
        let request = self.notifications.recv_timeout(TIMEOUT).expect("no notification arrived");
        let text = String::from_utf8(request.http.body.clone()).unwrap();
        request.reply(status(code));
        text.lines().map(|line| serde_json::from_str(line).unwrap()).collect()
    }
}

/// Returns an entry of the endpoint list for an active endpoint.
pub fn listing(name: &str, group: u16, kind: &str, address: SocketAddr) -> Value {
    json!({"name": name, "address": address.to_string(), "zone": "a", "type": kind, "group": group,
           "status": "active", "weight": 50.0, "since_ms": 0})
}

/// Returns an entry for a draining endpoint: its destination is known, but no message is sent there.
pub fn draining(name: &str, group: u16) -> Value {
    let mut entry = listing(name, group, "plain", SocketAddr::from(([127, 0, 0, 1], 9)));
    entry["status"] = json!("leaving");
    entry
}
