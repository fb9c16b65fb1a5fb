//! A client uses the id of another client's open request: the other client is told that its message is taken on, and the
//! message is dropped.

use kit::*;
use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

/// Pairs of a usual client and one that uses its id.
const PAIRS: usize = 20;

/// A usual client: its request is written in three pieces within 0.1 s.
fn slow_client(log: &Log, address: std::net::SocketAddr, message: &Message) {
    let Ok(mut stream) = TcpStream::connect(address) else { return };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(Duration::from_millis(400)));
    let request = message.request();
    let pieces = [&request[..60], &request[60..request.len() - 20], &request[request.len() - 20..]];
    for (number, piece) in pieces.iter().enumerate() {
        if number > 0 {
            thread::sleep(Duration::from_millis(50));
        }
        if stream.write_all(piece).is_err() {
            return;
        }
    }
    let Message { id, class, dest, deadline_ms, .. } = message.clone();
    log.add(Event::Sent { id: id.clone(), class, dest, deadline_ms });
    let status = match read_answer(&mut stream, &mut Vec::new()) {
        Ok(Some((status, _))) => status,
        Ok(None) => 0,
        Err(_) => 1,
    };
    log.add(Event::Answered { id, status });
}

/// A client that uses the id of another client's open request, for a message of its own.
fn bad_client(log: &Log, address: std::net::SocketAddr, message: &Message) {
    let Ok(mut stream) = TcpStream::connect(address) else { return };
    let _ = stream.set_read_timeout(Some(Duration::from_millis(400)));
    if stream.write_all(&message.request()).is_err() {
        return;
    }
    let answer = read_answer(&mut stream, &mut Vec::new()).ok().flatten();
    log.note(format!("the other client's message with id {} is answered {answer:?}", message.id));
}

fn main() {
    let log = Log::new();
    let seventh = Endpoint::start("pay-1", &log, |_| Reply::ok(60));
    let ninth = Endpoint::start("aid-1", &log, |_| Reply::ok(60));
    let list = vec![
        Entry::new("pay-1", seventh.address, "standard", 7),
        Entry::new("aid-1", ninth.address, "standard", 9),
    ];
    let platform = Platform::start("agent", &log, &list);
    let mut sender = Sender::new("s1", &log, Settings::default(), &platform, &list);
    sender.start();
    let clients = Clients::new(sender.listen, &log);
    let traffic = {
        let (log, clients) = (log.clone(), clients.clone());
        let from = log.now();
        thread::spawn(move || {
            steady(&log, &clients, (from, from + 12.0), 10.0, |n| {
                Message::new("donation-notice", if n % 2 == 0 { 7 } else { 9 }, 4000)
            });
        })
    };
    let mut usual = Vec::new();
    for number in 0..PAIRS {
        let mut message = Message::new("payment-order", 7, 4000);
        message.body =
            format!("order {number:04} of the usual client, 100 kroner for partner 7").into_bytes();
        let mut other = Message::new("payment-order", 9, 4000);
        other.body = format!("order {number:04} of the other client").into_bytes();
        if trouble() {
            other.id = message.id.clone();
        }
        usual.push(message.clone());
        let (log_of_usual, address) = (log.clone(), sender.listen);
        let slow = thread::spawn(move || slow_client(&log_of_usual, address, &message));
        thread::sleep(Duration::from_millis(20));
        bad_client(&log, sender.listen, &other);
        let _ = slow.join();
        thread::sleep(Duration::from_millis(400));
    }
    let _ = traffic.join();
    thread::sleep(Duration::from_secs(5));
    let mut findings: Vec<String> = sender.has_ended().into_iter().collect();
    let events = log.events();
    let stories = stories(&events);
    let mut taken_on = 0;
    for message in &usual {
        let story = stories.get(&message.id).cloned().unwrap_or_default();
        if !matches!(story.status, 200 | 202) {
            continue;
        }
        taken_on += 1;
        let body = String::from_utf8_lossy(&message.body).into_owned();
        let arrived = events.iter().any(|(_, event)| {
            matches!(event, Event::Call { endpoint, ids, body: b, .. }
                if endpoint == "pay-1" && ids.contains(&message.id) && *b == body)
        });
        if !arrived && story.notices.is_empty() {
            findings.push(format!(
                "order {} for destination 7 was answered {} at {:.3}; it was never sent, and no notice came; \
                 under its id came: {:?}",
                message.id, story.status, story.sent, story.calls
            ));
        }
    }
    if stories.len() < 100 {
        could_not_run(&log, "too few messages");
    }
    judge(
        &log,
        &findings,
        &format!("{taken_on} of {PAIRS} orders were taken on, {} of them lost", findings.len()),
    )
}
