//! Case 6: discovery turns calls away for 8 s; afterwards a sender does not ask again for up to 12 s.

use kit::*;
use std::thread;

/// How long discovery turns calls away.
const CROWDED: f64 = 8.0;
/// A change counts as told so long after discovery had it and could be reached.
const TOLD_WITHIN: f64 = 6.0;
/// The grace of the rule on drains, and the 50 ms by which every time limit is longer on sockets.
const GRACE: f64 = 2.0 + 0.05;
/// The hold of the sender's watches.
const HOLD: f64 = 20.0;

fn main() {
    let log = Log::new();
    let leaving = Endpoint::start("pay-1", &log, |_| Reply::ok(60));
    let staying = Endpoint::start("pay-2", &log, |_| Reply::ok(60));
    let other = Endpoint::start("aid-1", &log, |_| Reply::ok(60));
    let first = Entry::new("pay-1", leaving.address, "standard", 7);
    let list = vec![
        first.clone(),
        Entry::new("pay-2", staying.address, "standard", 7),
        Entry::new("aid-1", other.address, "standard", 9),
    ];
    // A new endpoint of another partner gets the address of the one that is gone.
    let successor = Entry::new("aid-2", leaving.address, "standard", 9);
    let seeds = ["359c2184c9a937a6", "201d4b058652dbd0", "168b1a5ab4653252"];
    let runs: Vec<_> = seeds
        .iter()
        .enumerate()
        .map(|(number, seed)| {
            let (log, list, seed) = (log.clone(), list.clone(), (*seed).to_owned());
            let (first, successor, leaving) = (first.clone(), successor.clone(), leaving.clone());
            thread::spawn(move || {
                let name = format!("s{number}");
                // The agent on this sender's machine.
                let platform = Platform::start(&format!("agent of {name}"), &log, &list);
                let settings = Settings { seed, senders: 3, ..Settings::default() };
                let mut sender = Sender::new(&name, &log, settings, &platform, &list);
                sender.start();
                let ready = log.now();
                let clients = Clients::new(sender.listen, &log);
                let reached = ready + HOLD - 0.05 + CROWDED;
                let end = reached + TOLD_WITHIN + GRACE + 5.0;
                let (clients_log, submitting) = (log.clone(), clients.clone());
                let traffic = thread::spawn(move || {
                    steady(&clients_log, &submitting, (ready, end - 1.0), 12.0, |n| {
                        let class = if n % 10 < 7 { "donation-notice" } else { "payment-order" };
                        Message::new(class, if n % 3 == 2 { 9 } else { 7 }, 4000)
                    });
                });
                // The watch that was opened at the start is answered when its hold is over; the next call is turned away.
                log.sleep_until(ready + HOLD - 0.05);
                if trouble() {
                    platform.set_mode(Mode::Crowded);
                }
                log.sleep_until(reached - 1.0);
                leaving.rename("aid-2");
                platform.change(&[first.with_status("left"), successor]);
                log.sleep_until(reached);
                platform.set_mode(Mode::Normal);
                let _ = traffic.join();
                log.sleep_until(end);
                let crashed = sender.has_ended();
                (name, reached, crashed)
            })
        })
        .collect();
    let mut findings = Vec::new();
    let mut reached = f64::MAX;
    let mut latest = 0.0f64;
    for run in runs {
        let Ok((name, at, crashed)) = run.join() else { could_not_run(&log, "a stand-in failed") };
        findings.extend(crashed.map(|status| format!("{name} ended by itself: {status}")));
        (reached, latest) = (reached.min(at), latest.max(at));
    }
    let events = log.events();
    // The earliest time at which the change counts as told to all three, and the grace.
    let binding = latest + TOLD_WITHIN + GRACE;
    let mut after_told = 0;
    for (id, story) in stories(&events) {
        for call in story.calls.iter().filter(|call| call.endpoint == "aid-2" && story.dest == 7) {
            if call.first > binding {
                findings.push(format!(
                    "message {id} ({}) for destination 7 is sent to the address of aid-2, of destination 9, at {:.3}: \
                     {:.3} s after discovery could be reached",
                    story.class,
                    call.first,
                    call.first - reached
                ));
            } else {
                after_told += 1;
            }
        }
    }
    let calls = events.iter().filter(|(_, e)| matches!(e, Event::Call { .. })).count();
    if calls < 500 {
        could_not_run(&log, &format!("only {calls} calls came"));
    }
    judge(
        &log,
        &findings,
        &format!(
            "pay-1 is gone; {} calls with its messages after {binding:.3}, {after_told} before that; {calls} calls in all",
            findings.len()
        ),
    )
}
