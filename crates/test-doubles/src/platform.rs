//! The platform: discovery and the place for notices.

use std::net::SocketAddr;
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::TIMEOUT;
use crate::http::{Asked, Reply, Served, status};

/// Discovery and the place for notices.
pub struct Platform {
    /// Where it listens.
    pub address: SocketAddr,
    /// The paths of requests for the list, as they come.
    pub watched: Receiver<String>,
    list: Arc<(Mutex<Value>, Condvar)>,
    load: Arc<Mutex<Load>>,
    /// Requests with notices, as they come.
    pub notifications: Receiver<Asked>,
}

/// What calls for the list cost a discovery that has few places for them.
#[derive(Debug, Default)]
struct Load {
    /// Each takes so long, one after the other; turned away once they would wait longer than that.
    costs: Option<(Duration, Duration)>,
    busy_until: Option<Instant>,
    turned_away: u64,
    answered: u64,
}

impl Load {
    /// How long a call waits for its turn, if it is let in; one that is turned away costs half.
    fn begins(&mut self) -> Result<Duration, ()> {
        let Some((each, longest)) = self.costs else { return Ok(Duration::ZERO) };
        let now = Instant::now();
        let free = self.busy_until.map_or(now, |until| until.max(now));
        let waits = free.duration_since(now);
        if waits > longest {
            self.busy_until = Some(free + each / 2);
            self.turned_away += 1;
            return Err(());
        }
        self.busy_until = Some(free + each);
        self.answered += 1;
        Ok(waits + each)
    }
}

impl Default for Platform {
    fn default() -> Self {
        Self::new()
    }
}

impl Platform {
    /// Listens; its list is empty and of version 1.
    pub fn new() -> Self {
        let served = Served::new();
        let list = Arc::new((Mutex::new(json!({"index": 1})), Condvar::new()));
        let (notice, notices) = channel();
        let (watch, watched) = channel();
        let told = list.clone();
        let load = Arc::new(Mutex::new(Load::default()));
        let costs = load.clone();
        let address = served.address;
        thread::spawn(move || {
            while let Ok(asked) = served.asked.recv() {
                if asked.http.first.starts_with("POST /reports ") {
                    let _ = notice.send(asked);
                    continue;
                }
                let path = asked.http.first.split(' ').nth(1).unwrap().to_owned();
                let _ = watch.send(path.clone());
                let from = path.split("from=").nth(1).and_then(|f| f.split('&').next());
                let from: u64 = from.map_or(0, |from| from.parse().unwrap());
                let told = told.clone();
                let Ok(waits) = costs.lock().unwrap().begins() else {
                    asked.reply(status(503));
                    continue;
                };
                thread::spawn(move || {
                    thread::sleep(waits);
                    let (list, changed) = &*told;
                    let mut list = list.lock().unwrap();
                    while list["index"].as_u64().unwrap() <= from {
                        list = changed.wait(list).unwrap();
                    }
                    asked.reply(Reply::Answer(200, vec![], list.to_string()));
                });
            }
        });
        Self { address, watched, list, load, notifications: notices }
    }

    /// From now on a call for the list takes so long, one after the other, and is turned away where it would wait longer.
    pub fn overbook(&self, each: Duration, longest: Duration) {
        self.load.lock().unwrap().costs = Some((each, longest));
    }

    /// Calls for the list that were let in, and turned away, since it is overbooked.
    pub fn list_calls(&self) -> (u64, u64) {
        let load = self.load.lock().unwrap();
        (load.answered, load.turned_away)
    }

    /// The whole list is this from now on; tells its version.
    pub fn publish(&self, endpoints: &[Value]) -> u64 {
        let (list, changed) = &*self.list;
        let mut list = list.lock().unwrap();
        let index = list["index"].as_u64().unwrap() + 1;
        *list = json!({"index": index, "snapshot": true, "endpoints": endpoints});
        changed.notify_all();
        index
    }

    /// Hands over what brings the notices, once.
    pub fn take_notifications(&mut self) -> Receiver<Asked> {
        std::mem::replace(&mut self.notifications, channel().1)
    }

    /// The next notice, which is answered so.
    pub fn answer_notification(&self, code: u16) -> Vec<Value> {
        let asked = self.notifications.recv_timeout(TIMEOUT).expect("a notice comes");
        let text = String::from_utf8(asked.http.body.clone()).unwrap();
        asked.reply(status(code));
        text.lines().map(|line| serde_json::from_str(line).unwrap()).collect()
    }
}

/// An entry of the list.
pub fn listing(name: &str, group: u16, kind: &str, address: SocketAddr) -> Value {
    json!({"name": name, "address": address.to_string(), "zone": "a", "type": kind, "group": group,
           "status": "active", "weight": 50.0, "since_ms": 0})
}

/// An endpoint that wants nothing new: its destination is known, and nothing goes there.
pub fn draining(name: &str, group: u16) -> Value {
    let mut entry = listing(name, group, "plain", SocketAddr::from(([127, 0, 0, 1], 9)));
    entry["status"] = json!("leaving");
    entry
}
