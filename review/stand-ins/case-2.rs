//! While a client is still sending its payment order in pieces, a bad client hands in a message with the id of that open
//! request.

mod rig;
use rig::*;
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

const CLASS: &str = "payment-order";
const PACE: Duration = Duration::from_millis(230);
/// The order whose id the bad client uses.
const CHOSEN: u32 = 10;
/// An order is sent in two pieces, with this between them.
const BETWEEN: Duration = Duration::from_millis(100);
const TTL_MS: u32 = 5_000;
/// A message that is over is lost if its end is not there 300 ms after its time; each time limit is 50 ms longer.
const END_WITHIN: f64 = 0.35;

fn main() {
    let record = Record::open();
    let (folder, listen) = (folder(), free_address());
    let calls = Calls::default();
    // What came to the partner: id and body of each call.
    let bodies: Arc<Mutex<Vec<(String, Vec<u8>)>>> = Arc::default();
    let (got, noted) = (bodies.clone(), record.clone());
    let address = endpoint("s-1", &record, &calls, PACE, move |_, request| {
        let (id, body) = (request.header("req-id").to_owned(), request.body.clone());
        noted.note(format!("s-1 gets {id} with the body {:?}", String::from_utf8_lossy(&body)));
        got.lock().unwrap().push((id, body));
        (200, answer(200, "", ""))
    });
    let entries = vec![entry("s-1", address, "standard", 7, "active")];
    let discovery = Discovery::start("discovery", &record, 41, entries.clone(), Duration::ZERO);
    std::fs::write(
        folder.join("config.json"),
        config(listen, discovery.address, 41, &entries, &gavekassen_settings(2)),
    )
    .unwrap();
    let mut sender = Sender::start(&record, folder, listen);

    // What the usual clients handed in and were told that it is taken on: body and the time at which its time is up.
    let mut taken_on: HashMap<String, (String, f64)> = HashMap::new();
    for n in 1..=20 {
        let (id, at) = (format!("{n:016x}"), record.now());
        let body = format!("pay {n} kroner to account {n}");
        let request = submission(&id, CLASS, 7, TTL_MS, None, &body);
        let (first, second) = request.split_at(request.len() - body.len() / 2);
        let handed_in = Client::new(listen).and_then(|mut client| {
            client.set_timeout(Duration::from_millis(400));
            client.write(first.as_bytes())?;
            record.note(format!("client has sent the first piece of {id}"));
            std::thread::sleep(BETWEEN / 2);
            if n == CHOSEN && trouble() {
                let foreign = submission(&id, CLASS, 7, TTL_MS, None, "no order of this client");
                record.note("bad client hands in a message with the id of the open request");
                let status = hand_in(&record, listen, &format!("{id} (bad client)"), &foreign);
                record.note(format!("bad client is answered {status}"));
            }
            std::thread::sleep(BETWEEN / 2);
            client.write(second.as_bytes())?;
            client.answer()
        });
        record.note(format!(
            "client has sent the second piece of {id}, is answered {:?}",
            handed_in.as_ref().map(Http::status)
        ));
        if handed_in.is_ok_and(|answer| matches!(answer.status(), 200 | 202)) {
            taken_on.insert(id, (body, at + f64::from(TTL_MS) / 1e3));
        }
        record.sleep_until(at + 0.3);
    }
    let last = taken_on.values().map(|message| message.1).fold(0.0, f64::max);
    record.sleep_until(last + END_WITHIN + 0.2);
    let ended = sender.ended();
    drop(sender);

    let (bodies, notices) = (bodies.lock().unwrap().clone(), discovery.notices.lock().unwrap().clone());
    let is_over = |id: &str, body: &str| {
        bodies.iter().any(|call| call.0 == id && call.1 == body.as_bytes())
            || notices.iter().any(|notice| notice.1.contains(&format!("\"{id}\"")))
    };
    let lost = taken_on.iter().find(|(id, (body, _))| !is_over(id, body));
    let code = match lost {
        _ if ended.is_some() || taken_on.len() < 19 || bodies.len() < 19 => {
            record.say(format!(
                "could not run: {} messages taken on, {} calls, the sender ended: {ended:?}",
                taken_on.len(),
                bodies.len()
            ));
            COULD_NOT_RUN
        }
        Some((id, (body, _))) => {
            let came: Vec<_> = bodies
                .iter()
                .filter(|call| call.0 == *id)
                .map(|call| String::from_utf8_lossy(&call.1))
                .collect();
            record.say(format!("broken: order {id} ({body:?}) was taken on, never came to the partner and has no notice; under its id came {came:?}"));
            BROKEN
        }
        None => {
            record.say(format!(
                "held: all {} messages that were taken on came to the partner or ended by a notice",
                taken_on.len()
            ));
            HELD
        }
    };
    std::process::exit(code);
}
