//! Endpoints write some answers a second time: the copy is taken for the answer to the next call on the connection, whose
//! message then counts as delivered.

use kit::*;
use std::collections::VecDeque;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Destinations, each with one endpoint.
const DESTINATIONS: u16 = 14;
/// The way from the sender to an endpoint, and its jitter (gavekassen-prod.toml: same_ms 8 to 30, jitter 0.062 to 0.22).
const WAY_MS: f64 = 15.0;
const JITTER: f64 = 0.2;
/// The mean time that a call takes (170 to 290 ms), of an exponential distribution (dist of payment-order).
const SERVICE_MS: f64 = 230.0;
/// The share of answers that come a second time, and how long behind the first, unless another call begins.
const COPIED: f64 = 0.5;
const BEHIND_MS: (f64, f64) = (5.0, 20.0);
/// Messages that come in a clump for one destination.
const CLUMP: usize = 14;
const DEADLINE_MS: u64 = 24_000;

/// Random numbers between 0 and 1.
struct Random(AtomicU64);

impl Random {
    fn next(&self) -> f64 {
        let state = self.0.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::SeqCst);
        let mut mixed = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((mixed ^ (mixed >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }

    fn between(&self, (from, to): (f64, f64)) -> f64 {
        from + (to - from) * self.next()
    }
}

type Queue = Arc<(Mutex<VecDeque<(Instant, Vec<u8>)>>, Condvar)>;

/// Carries bytes in one direction, each part as late as the way is long, in their order.
fn carry(mut from: TcpStream, mut to: TcpStream, random: Arc<Random>) {
    let queue: Queue = Arc::default();
    let queued = queue.clone();
    thread::spawn(move || loop {
        let (at, bytes) = {
            let mut parts = queued.0.lock().unwrap();
            while parts.is_empty() {
                parts = queued.1.wait(parts).unwrap();
            }
            parts.pop_front().unwrap()
        };
        thread::sleep(at.saturating_duration_since(Instant::now()));
        if bytes.is_empty() {
            let _ = to.shutdown(Shutdown::Both);
            return;
        }
        if to.write_all(&bytes).is_err() {
            return;
        }
    });
    let mut last = Instant::now();
    loop {
        let mut bytes = [0; 65536];
        let length = from.read(&mut bytes).unwrap_or(0);
        let way = WAY_MS * (1.0 + JITTER * random.between((-1.0, 1.0)));
        last = last.max(Instant::now() + Duration::from_secs_f64(way / 1000.0));
        queue.0.lock().unwrap().push_back((last, bytes[..length].to_vec()));
        queue.1.notify_one();
        if length == 0 {
            return;
        }
    }
}

/// The way to an endpoint: returns its near end.
fn way(to: SocketAddr, random: &Arc<Random>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let random = random.clone();
    thread::spawn(move || {
        for near in listener.incoming().flatten() {
            let Ok(far) = TcpStream::connect(to) else { continue };
            let _ = near.set_nodelay(true);
            let _ = far.set_nodelay(true);
            let (Ok(near_again), Ok(far_again)) = (near.try_clone(), far.try_clone()) else { continue };
            let (there, back) = (random.clone(), random.clone());
            thread::spawn(move || carry(near, far, there));
            thread::spawn(move || carry(far_again, near_again, back));
        }
    });
    address
}

/// Serves a connection of an endpoint. A call whose caller leaves is not worked on any further.
fn serve(stream: TcpStream, name: &str, connection: u64, log: &Log, random: &Random) {
    let _ = stream.set_nodelay(true);
    let (Ok(mut output), Ok(watched)) = (stream.try_clone(), stream.try_clone()) else { return };
    let mut requests = RequestReader::new(stream, log.clone());
    while let Some(request) = requests.next() {
        let ids: Vec<_> = request.headers.get("req-id").cloned().into_iter().collect();
        let (endpoint, first) = (name.to_owned(), request.first_byte);
        log.add(Event::Call { endpoint, connection, ids: ids.clone(), first, body: String::new() });
        let service = (-(1.0 - random.next()).ln() * SERVICE_MS).min(2000.0);
        if !requests.pause(Duration::from_secs_f64(service / 1000.0)) {
            break;
        }
        let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        if output.write_all(answer).is_err() {
            break;
        }
        let endpoint = name.to_owned();
        log.add(Event::Replied { endpoint, connection, ids, status: 200, states: vec![], wait: 0.0 });
        if trouble() && random.next() < COPIED {
            let behind = random.between(BEHIND_MS);
            let _ = watched.set_read_timeout(Some(Duration::from_secs_f64(behind / 1000.0)));
            let another_call = watched.peek(&mut [0]).is_ok();
            let _ = watched.set_read_timeout(None);
            if !another_call {
                if output.write_all(answer).is_err() {
                    break;
                }
                log.note(format!("{name}: second copy of the answer on connection {connection}"));
            }
        }
    }
    let _ = output.shutdown(Shutdown::Both);
    log.add(Event::Ended { endpoint: name.to_owned(), connection });
}

fn main() {
    let log = Log::new();
    let random = Arc::new(Random(AtomicU64::new(65)));
    let connections = Arc::new(AtomicU64::new(1_000_000));
    let mut list = Vec::new();
    for group in 0..DESTINATIONS {
        let name = format!("pay-{group}");
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let near = way(listener.local_addr().unwrap(), &random);
        list.push(Entry::new(&name, near, "standard", group));
        let (log, random, connections) = (log.clone(), random.clone(), connections.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let connection = connections.fetch_add(1, Ordering::SeqCst);
                let (name, log, random) = (name.clone(), log.clone(), random.clone());
                thread::spawn(move || serve(stream, &name, connection, &log, &random));
            }
        });
    }
    let platform = Platform::start("agent", &log, &list);
    let mut sender = Sender::new("s1", &log, Settings::default(), &platform, &list);
    sender.start();
    let clients = Clients::new(sender.listen, &log);
    // A clump for each destination in turn.
    for group in 0..DESTINATIONS {
        for number in 0..CLUMP {
            let class = if number % 10 < 7 { "donation-notice" } else { "payment-order" };
            clients.submit(Message::new(class, group, DEADLINE_MS));
        }
        thread::sleep(Duration::from_millis(2000));
    }
    // Until the time of the last one is up, and the 0.35 s of the rule.
    thread::sleep(Duration::from_millis(DEADLINE_MS + 1000));
    let mut findings: Vec<String> = sender.has_ended().into_iter().collect();
    let now = log.now();
    let events = log.events();
    let stories = stories(&events);
    findings.extend(lost(&stories, &[], now));
    let copies =
        events.iter().filter(|(_, e)| matches!(e, Event::Note(text) if text.contains("second copy"))).count();
    let taken_on = stories.values().filter(|story| matches!(story.status, 200 | 202)).count();
    if taken_on < 100 || trouble() && copies < 20 {
        could_not_run(&log, &format!("{taken_on} messages taken on, {copies} second copies"));
    }
    judge(
        &log,
        &findings,
        &format!(
            "{taken_on} messages taken on, {copies} answers came a second time, {} messages lost",
            findings.len()
        ),
    )
}
