//! A bad client sends hundreds of requests at once, with the id of another client's open payment order.

mod rig;
use rig::*;
use std::collections::HashMap;
use std::time::Duration;

const CLASS: &str = "payment-order";
/// The partner's usual pace is 170 to 290 ms.
const PACE: Duration = Duration::from_millis(230);
/// "Hundreds of requests at once".
const AT_ONCE: usize = 200;
/// The order whose id the bad client uses.
const CHOSEN: u32 = 10;

fn main() {
    let record = Record::open();
    let (folder, listen) = (folder(), free_address());
    let calls = Calls::default();
    let ok = |_: f64, _: &Http| (200, answer(200, "", ""));
    let address = endpoint("s-1", &record, &calls, PACE, ok);
    let entries = vec![entry("s-1", address, "standard", 7, "active")];
    let discovery = Discovery::start("discovery", &record, 41, entries.clone(), Duration::ZERO);
    std::fs::write(
        folder.join("config.json"),
        config(listen, discovery.address, 41, &entries, &gavekassen_settings(2)),
    )
    .unwrap();
    let mut sender = Sender::start(&record, folder, listen);

    let mut bad_clients = Vec::new();
    for n in 1..=20 {
        let (id, at) = (format!("{n:016x}"), record.now());
        let status = hand_in(&record, listen, &id, &submission(&id, CLASS, 7, 20_000, None, "order"));
        if n == CHOSEN && status == 202 && trouble() {
            // The order was taken on a moment ago and is at the partner: it is open. All is written at once.
            let request = submission(&id, CLASS, 7, 10_000, None, "no order of this client");
            let all = request.repeat(AT_ONCE);
            record.note(format!("bad client sends {AT_ONCE} requests at once, each is:\n{request}"));
            let record = record.clone();
            bad_clients.push(std::thread::spawn(move || {
                let Ok(mut bad) = Client::new(listen) else { return record.note("bad client can't connect") };
                let written = bad.write(all.as_bytes());
                record.note(format!("bad client has written them: {written:?}"));
                let mut answers: HashMap<u16, usize> = HashMap::new();
                while let Ok(answer) = bad.answer() {
                    *answers.entry(answer.status()).or_default() += 1;
                }
                record.note(format!("bad client has read these answers, by status: {answers:?}"));
            }));
        }
        record.sleep_until(at + 0.3);
    }
    bad_clients.into_iter().for_each(|client| client.join().unwrap());
    std::thread::sleep(Duration::from_secs(2));
    let ended = sender.ended();
    drop(sender);

    let all = calls.all();
    let mut runs: HashMap<&str, Vec<f64>> = HashMap::new();
    for call in &all {
        runs.entry(&call.id).or_default().push(call.at);
    }
    let twice = runs.iter().find(|(_, at)| at.len() > 1);
    let code = match twice {
        _ if ended.is_some() || runs.len() < 20 => {
            record.say(format!(
                "could not run: of 20 orders {} came to the partner, the sender ended: {ended:?}",
                runs.len()
            ));
            COULD_NOT_RUN
        }
        Some((id, at)) => {
            record.say(format!("broken: payment order {id} ran {} times at the partner, at {at:.3?}; each call was answered 200", at.len()));
            BROKEN
        }
        None => {
            record.say(format!("held: {} payment orders, each ran once", runs.len()));
            HELD
        }
    };
    std::process::exit(code);
}
