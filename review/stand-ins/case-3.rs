//! A new configuration moves discovery, and the new discovery is slow: it takes 1.2 s for each answer about the list.
//! Later an endpoint goes, and another partner's endpoint takes its address.

mod rig;
use rig::*;
use std::io::{BufReader, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Under the 2 s after which a call to discovery is timed out (BENCH, [discovery] timeout_ms).
const SLOW: Duration = Duration::from_millis(1200);
const PACE: Duration = Duration::from_millis(100);
const SIGHUP_AT: f64 = 3.0;
/// Discovery lists s-2, an endpoint of partner 7, as gone.
const LEFT_AT: f64 = 6.0;
/// A change counts as told 6 s after discovery had it and could be reached, and what discovery has to tell 4 s after SIGHUP.
const TOLD_AT: f64 = LEFT_AT + 6.0;
const GRACE: f64 = 2.0;
/// A sender may be held up for 0.15 s, and each time limit on sockets is 50 ms longer.
const SLACK: f64 = 0.2;
/// s-9, an endpoint of partner 9, starts at the address of s-2: well after the grace.
const REPLACED_AT: f64 = TOLD_AT + GRACE + 2.5;
const ENDS_AT: f64 = 24.0;

/// An address that is an endpoint of partner 7, and from `REPLACED_AT` on one of partner 9.
fn replaced_endpoint(record: &Record, calls: &Calls) -> std::net::SocketAddr {
    let open: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
    let (events, ends) = (record.clone(), open.clone());
    std::thread::spawn(move || {
        events.sleep_until(REPLACED_AT);
        events.note("s-2 of partner 7 ends, s-9 of partner 9 starts at its address");
        for stream in ends.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    });
    let (record, calls) = (record.clone(), calls.clone());
    listen(move |stream| {
        open.lock().unwrap().push(stream.try_clone().unwrap());
        let name = if record.now() < REPLACED_AT { "s-2" } else { "s-9" };
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let mut writer = stream;
        while let Ok(Some(request)) = Http::read(&mut reader) {
            let (at, id) = (record.now(), request.header("req-id").to_owned());
            record.note(format!("endpoint {name} got {} id {id}, answers 200", request.first));
            calls.add(Call { at, endpoint: name.to_owned(), id, answered: 200 });
            std::thread::sleep(PACE);
            if writer.write_all(&answer(200, "", "")).is_err() {
                return;
            }
        }
    })
}

fn main() {
    let record = Record::open();
    let (folder, listen) = (folder(), free_address());
    let calls = Calls::default();
    let first = endpoint("s-1", &record, &calls, PACE, |_, _| (200, answer(200, "", "")));
    let second = replaced_endpoint(&record, &calls);
    let entries = |second_status: Option<&str>, ninth: bool| {
        let mut entries = vec![entry("s-1", first, "standard", 7, "active")];
        entries.extend(second_status.map(|status| entry("s-2", second, "standard", 7, status)));
        entries.extend(ninth.then(|| entry("s-9", second, "standard", 9, "active")));
        entries
    };
    let all_active = entries(Some("active"), false);
    let old = Discovery::start("old discovery", &record, 41, all_active.clone(), Duration::ZERO);
    let takes = if trouble() { SLOW } else { Duration::ZERO };
    let new = Discovery::start("new discovery", &record, 41, all_active.clone(), takes);
    let text = |discovery| config(listen, discovery, 41, &all_active, &gavekassen_settings(2));
    std::fs::write(folder.join("config.json"), text(old.address)).unwrap();
    let mut sender = Sender::start(&record, folder, listen);

    let (events, closed, published) = (record.clone(), old.clone(), new.clone());
    let (without, replaced) = (entries(None, false), entries(None, true));
    let platform = std::thread::spawn(move || {
        events.sleep_until(SIGHUP_AT + 1.5);
        closed.close();
        events.note("the old discovery closes its connections");
        events.sleep_until(LEFT_AT);
        events.note("the new discovery lists s-2 no longer");
        published.publish(without);
        events.sleep_until(REPLACED_AT);
        events.note("the new discovery lists s-9 of partner 9");
        published.publish(replaced);
    });
    // Ten payment orders a second, all for partner 7.
    let (mut n, mut moved) = (0, false);
    while record.now() < ENDS_AT {
        if !moved && record.now() >= SIGHUP_AT {
            moved = true;
            sender.reconfigure(&text(new.address));
            sender.signal(&record, "HUP");
        }
        n += 1;
        let (id, at) = (format!("{n:016x}"), record.now());
        let request = submission(&id, "payment-order", 7, 20_000, None, "order for partner 7");
        let noted = record.clone();
        std::thread::spawn(move || hand_in(&noted, listen, &id, &request));
        record.sleep_until(at + 0.1);
    }
    platform.join().unwrap();
    std::thread::sleep(Duration::from_millis(500));
    let ended = sender.ended();
    drop(sender);

    let all = calls.all();
    let foreign: Vec<_> = all.iter().filter(|call| call.endpoint == "s-9").collect();
    let late: Vec<_> =
        all.iter().filter(|call| call.endpoint == "s-2" && call.at > TOLD_AT + GRACE + SLACK).collect();
    let code = match late.first().or(foreign.first()) {
        _ if ended.is_some() || all.len() < 100 => {
            record.say(format!("could not run: {} calls, the sender ended: {ended:?}", all.len()));
            COULD_NOT_RUN
        }
        Some(call) => {
            record.say(format!(
                "broken: {} calls came to s-2 after its grace, the first {:.1} s after discovery listed it no longer; \
                 then {} payment orders for partner 7 ran at s-9 of partner 9, at the same address",
                late.len(),
                call.at - LEFT_AT,
                foreign.len()
            ));
            BROKEN
        }
        None => {
            let last = all.iter().rfind(|call| call.endpoint == "s-2").map_or(0.0, |call| call.at);
            record.say(format!(
                "held: the last call came to s-2 {:.1} s after discovery listed it no longer",
                last - LEFT_AT
            ));
            HELD
        }
    };
    std::process::exit(code);
}
