//! Upgrades, in each of which the old process is killed at a random moment: now and then the new process ends as well.

use kit::*;
use std::thread;
use std::time::{Duration, Instant};

/// The old process is killed so long after the new one was started, at most.
const KILLED_WITHIN_MS: u64 = 25;
/// Length of a message's body, a quarter of the most.
const BODY: usize = 16 * 1024;
/// Upgrades end by then.
const UNTIL: f64 = 85.0;
/// The new process must say yes within this time.
const YES_WITHIN: Duration = Duration::from_secs(6);

fn main() {
    let log = Log::new();
    let endpoints: Vec<_> =
        (0..4).map(|n| Endpoint::start(&format!("pay-{n}"), &log, |_| Reply::ok(230))).collect();
    let list: Vec<_> = endpoints
        .iter()
        .enumerate()
        .map(|(n, endpoint)| Entry::new(&format!("pay-{n}"), endpoint.address, "standard", n as u16))
        .collect();
    let platform = Platform::start("agent", &log, &list);
    let settings = Settings { calls_out: 20, ..Settings::default() };
    let mut sender = Sender::new("s1", &log, settings, &platform, &list);
    sender.hold_socket();
    sender.start_with_ops(Some(free_address()));
    let clients = Clients::new(sender.listen, &log);
    let traffic = {
        let (log, clients) = (log.clone(), clients.clone());
        thread::spawn(move || {
            steady(&log, &clients, (0.5, UNTIL + 3.0), 17.0, |n| {
                let class = if n % 10 < 7 { "donation-notice" } else { "payment-order" };
                let mut message = Message::new(class, (n % 4) as u16, 24_000);
                message.body.resize(BODY, b'.');
                message
            });
        })
    };
    let mut findings = Vec::new();
    let mut random = 65u64;
    let mut upgrades = 0;
    thread::sleep(Duration::from_secs(1));
    while log.now() < UNTIL {
        random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        let delay = Duration::from_micros((random >> 33) % (KILLED_WITHIN_MS * 1000));
        let ops = free_address();
        let mut old = sender.spawn_successor(ops);
        upgrades += 1;
        if trouble() {
            thread::sleep(delay);
            let _ = old.kill();
            log.note(format!("the old process is killed after {delay:?}"));
        }
        let started = Instant::now();
        let mut ended = None;
        while started.elapsed() < YES_WITHIN {
            ended = sender.has_ended();
            if ended.is_some() || matches!(ask(ops, "GET", "/status", Duration::from_secs(1)), Some((200, _)))
            {
                break;
            }
            thread::sleep(Duration::from_millis(5));
        }
        if ended.is_none() && started.elapsed() < YES_WITHIN {
            log.note("the new process says yes");
            if !trouble() {
                signal(old.id(), "TERM");
                thread::sleep(Duration::from_millis(3700));
                let _ = old.kill();
            }
        }
        let _ = old.wait();
        disown(old.id());
        thread::sleep(Duration::from_millis(200));
        if let Some(status) = ended.or_else(|| sender.has_ended()) {
            let said = sender.stderr().lines().last().unwrap_or_default().to_owned();
            findings.push(format!(
                "upgrade {upgrades}: the old process was killed {delay:?} after the new one was started, and the new one \
                 ended by itself ({status}): {said}"
            ));
            break;
        }
        if started.elapsed() >= YES_WITHIN {
            findings.push(format!("upgrade {upgrades}: the new process does not say yes within 6 s"));
            break;
        }
    }
    // Nobody is left: what was taken on has no end, and its clients find nobody.
    if !findings.is_empty() {
        thread::sleep(Duration::from_secs(1));
        let stories = stories(&log.events());
        let open = stories.values().filter(|story| {
            matches!(story.status, 200 | 202)
                && story.notices.is_empty()
                && !story.calls.iter().any(StoryCall::delivered)
        });
        let open = open.count();
        judge(&log, &findings, &format!("{upgrades} upgrades; {open} messages that were taken on are left"));
    }
    drop(traffic);
    if upgrades < if trouble() { 40 } else { 10 } {
        could_not_run(&log, &format!("only {upgrades} upgrades"));
    }
    judge(&log, &findings, &format!("{upgrades} upgrades, the sender is there after each"))
}
