//! A destination is down for 12 s and returns cold: senders that saw it fail send it their backlog at once.

use kit::*;
use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const SENDERS: usize = 3;
/// Calls a second at full load, from all senders together.
const FULL_LOAD: f64 = 7.5;
/// The destination's limit, as a multiple of that, and its capacity, as a multiple of the limit.
const HEADROOM: f64 = 1.2;
const SPARE: f64 = 1.4;
const CAPACITY: f64 = FULL_LOAD * HEADROOM * SPARE;
/// The traffic: nine tenths of full load.
const TRAFFIC: f64 = 0.9 * FULL_LOAD;
/// Messages that the destination queues, in seconds of its limit.
const DEPTH: f64 = 0.9;
/// The settings: a cold destination has this share of its capacity, all of it after that time, and falls when it gets more
/// than this multiple of what it can do, for so long.
const COLD_SHARE: f64 = 0.18;
const WARM_WITHIN: f64 = 14.0;
const FALL_MULTIPLE: f64 = 2.0;
const OVERLOAD_FOR: f64 = 3.0;
/// Messages a second that each sender gets for other destinations, which are well: 68 with its part of this one's traffic.
const OTHER_TRAFFIC: f64 = 66.0;
const OTHERS: u64 = 10;
/// Calls that a sender may have out: 2.3 times what full load keeps busy (0.9 of it are 68 messages a second of 0.23 s each).
const SLOTS: usize = 40;
/// Messages that a sender holds: 8 s of full load.
const MAX_OPEN: usize = 600;
/// The outage, after so much time of usual traffic.
const OUTAGE: f64 = 12.0;
const BEFORE: f64 = 12.0;

/// The destination, which has one address for each sender.
struct Destination {
    returned_at: Option<f64>,
    /// When it has served all that it has queued.
    free_at: f64,
    /// Calls since the return: when, and of which sender.
    calls: Vec<(f64, usize)>,
    fallen: Option<String>,
    fallen_at: f64,
    /// The most calls within the time of the settings.
    peak: usize,
}

impl Destination {
    fn share(&self, at: f64) -> f64 {
        let warm = self.returned_at.map_or(1.0, |returned| (at - returned) / WARM_WITHIN);
        (COLD_SHARE + (1.0 - COLD_SHARE) * warm).min(1.0)
    }

    /// More calls than this in the time of the settings bring it down: N is taken with the capacity at the end of that time,
    /// which is the highest.
    fn most(&self, to: f64) -> f64 {
        let n = FALL_MULTIPLE * CAPACITY * self.share(to) * OVERLOAD_FOR;
        if n < 30.0 {
            n + 3.0 * n.sqrt() + 3.0
        } else {
            n + 2.0 * n.sqrt() + 2.0
        }
    }

    /// A call comes. Returns how it is answered.
    fn call(&mut self, now: f64, sender: usize, told: &BTreeSet<usize>, log: &Log) -> Reply {
        let cold = self.returned_at.is_some_and(|returned| now < returned + WARM_WITHIN);
        if cold {
            self.calls.push((now, sender));
            let recent: Vec<_> = self.calls.iter().filter(|call| call.0 > now - OVERLOAD_FOR).collect();
            self.peak = self.peak.max(recent.len());
            if recent.len() as f64 > self.most(now) && self.fallen.is_none() {
                let of_told = recent.iter().filter(|call| told.contains(&call.1)).count();
                let text = format!(
                    "{:.2} s after its return the destination has got {} calls within {OVERLOAD_FOR} s, {of_told} of them \
                     from senders that had seen it fail; more than {:.1} bring it down",
                    now - self.returned_at.unwrap_or(now),
                    recent.len(),
                    self.most(now)
                );
                log.note(text.clone());
                if of_told as f64 > recent.len() as f64 * 2.0 / 3.0 {
                    (self.fallen, self.fallen_at) = (Some(text), now);
                }
            }
        }
        let rate = CAPACITY * self.share(now);
        if (self.free_at - now).max(0.0) * rate > DEPTH * FULL_LOAD * HEADROOM {
            return Reply::status(503);
        }
        self.free_at = self.free_at.max(now) + 1.0 / rate;
        Reply::ok(((self.free_at - now) * 1000.0) as u64 + 230)
    }
}

fn main() {
    let log = Log::new();
    let destination = Arc::new(Mutex::new(Destination {
        returned_at: None,
        free_at: 0.0,
        calls: vec![],
        fallen: None,
        fallen_at: 0.0,
        peak: 0,
    }));
    let told: Arc<Mutex<BTreeSet<usize>>> = Arc::default();
    let others: Vec<_> =
        (0..OTHERS).map(|n| Endpoint::start(&format!("aid-{n}"), &log, |_| Reply::ok(230))).collect();
    let (mut addresses, mut senders, mut platforms) = (Vec::new(), Vec::new(), Vec::new());
    for number in 0..SENDERS {
        let (destination, told, endpoint_log) = (destination.clone(), told.clone(), log.clone());
        let endpoint = Endpoint::start(&format!("pay-1 as seen by s{number}"), &log, move |_| {
            let told = told.lock().unwrap().clone();
            destination.lock().unwrap().call(endpoint_log.now(), number, &told, &endpoint_log)
        });
        let mut list = vec![Entry::new("pay-1", endpoint.address, "standard", 7)];
        list.extend(
            others
                .iter()
                .enumerate()
                .map(|(n, e)| Entry::new(&format!("aid-{n}"), e.address, "standard", 20 + n as u16)),
        );
        let platform = Platform::start(&format!("agent of s{number}"), &log, &list);
        let settings = Settings {
            seed: format!("{:016x}", 0x5eed_0000 + number),
            senders: SENDERS,
            calls_out: SLOTS,
            max_open: MAX_OPEN,
            ..Settings::default()
        };
        let mut sender = Sender::new(&format!("s{number}"), &log, settings, &platform, &list);
        sender.start();
        addresses.push(endpoint);
        senders.push(sender);
        platforms.push(platform);
    }
    let start = log.now();
    let (down, up) = (start + BEFORE, start + BEFORE + OUTAGE);
    let end = up + WARM_WITHIN;
    let traffic: Vec<_> = senders
        .iter()
        .flat_map(|sender| {
            let clients = Clients::new(sender.listen, &log);
            let (other_clients, other_log, log) = (clients.clone(), log.clone(), log.clone());
            let rate = TRAFFIC / SENDERS as f64;
            let class = |n: u64| if n % 10 < 7 { "donation-notice" } else { "payment-order" };
            [
                thread::spawn(move || {
                    steady(&log, &clients, (start, end), rate, |n| Message::new(class(n), 7, 24_000))
                }),
                thread::spawn(move || {
                    steady(&other_log, &other_clients, (start, end), OTHER_TRAFFIC, |n| {
                        Message::new(class(n), 20 + (n % OTHERS) as u16, 24_000)
                    });
                }),
            ]
        })
        .collect();
    log.sleep_until(down);
    if trouble() {
        log.note("the destination goes down");
        addresses.iter().for_each(|endpoint| endpoint.set_closing(true));
    }
    log.sleep_until(up);
    if trouble() {
        let seen = log.events().into_iter().filter_map(|(_, event)| match event {
            Event::Refused { endpoint } => endpoint.strip_prefix("pay-1 as seen by s")?.parse::<usize>().ok(),
            _ => None,
        });
        *told.lock().unwrap() = seen.collect();
        let mut state = destination.lock().unwrap();
        (state.returned_at, state.free_at) = (Some(log.now()), log.now());
        drop(state);
        addresses.iter().for_each(|endpoint| endpoint.set_closing(false));
        log.note(format!("the destination is back, cold; {:?} had seen it fail", told.lock().unwrap()));
    }
    // Once fallen it stays down. What comes within half a second is still counted.
    while log.now() < end {
        thread::sleep(Duration::from_millis(20));
        let state = destination.lock().unwrap();
        let down = state.fallen.is_some() && log.now() > state.fallen_at + 0.5;
        drop(state);
        if down {
            addresses.iter().for_each(|endpoint| endpoint.set_closing(true));
        }
    }
    traffic.into_iter().for_each(|thread| drop(thread.join()));
    let mut findings: Vec<String> = senders.iter_mut().filter_map(Sender::has_ended).collect();
    let peak = destination.lock().unwrap().peak;
    findings.extend(destination.lock().unwrap().fallen.clone());
    let events = log.events();
    let calls = events.iter().filter(|(_, e)| matches!(e, Event::Call { .. })).count();
    if calls < 1000 || trouble() && told.lock().unwrap().len() < SENDERS {
        could_not_run(&log, &format!("{calls} calls came; {:?} saw the outage", told.lock().unwrap()));
    }
    let stories = stories(&events);
    let to_it = stories.values().filter(|story| story.dest == 7).count();
    let delivered =
        stories.values().filter(|s| s.dest == 7 && s.calls.iter().any(StoryCall::delivered)).count();
    judge(
        &log,
        &findings,
        &format!("{delivered} of {to_it} messages for the destination were delivered; at most {peak} calls in {OVERLOAD_FOR} s"),
    )
}
