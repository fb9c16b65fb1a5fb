//! Answers that an endpoint writes a second time, around the next call on the connection: a copy must not be taken for the
//! answer to that call.

use std::collections::HashMap;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use test_doubles::*;

use super::{CONNECTION_REST, hand_over, program};

/// How long an endpoint processes a call in the tests of single copies.
const SERVICE_TIME: Duration = Duration::from_millis(60);
/// Calls that come within this time of an answer with `Retry-After` are not counted as too early.
const RETRY_AFTER_SLACK: Duration = Duration::from_millis(100);

/// Starts a sender with these endpoints and an administrative address.
fn start(platform: &Platform, endpoints: &[Value]) -> Node {
    Node::start(&program(), platform, endpoints, |config| config["ops"] = json!("127.0.0.1:0"))
}

/// A partner that gives these answers in turn, and from then on 200.
fn scripted(answers: impl IntoIterator<Item = PlannedAnswer> + Send + 'static) -> CopyingPartner {
    let mut answers: Vec<_> = answers.into_iter().collect();
    answers.reverse();
    CopyingPartner::new(move |_| answers.pop().unwrap_or_else(|| PlannedAnswer::new(200, SERVICE_TIME)))
}

/// Waits until the partner has written this many answers.
fn wait_for_answers(partner: &CopyingPartner, count: usize) {
    wait_until(|| partner.calls().iter().filter(|call| call.answered.is_some()).count() >= count);
}

/// Waits until the sender has no pending message, and the partner has processed what was sent to it.
fn wait_for_end(node: &Node, partner: &CopyingPartner) {
    wait_until(|| node.metric("svc_open_requests") == 0);
    thread::sleep(2 * SERVICE_TIME);
    wait_until(|| partner.calls().iter().all(|call| call.answered.is_some()));
}

/// Returns the calls of a message that may have taken effect, or during which such a call was processed: more than one breaks
/// the rule that a non-idempotent message is not sent again unless each earlier attempt is known not to have run.
fn unsafe_calls(calls: &[RecordedCall], id: &str) -> Vec<RecordedCall> {
    let mut carried = calls.iter().filter(|call| call.messages.iter().any(|(other, _)| other == id));
    let ran = |call: &RecordedCall| call.messages.contains(&(id.to_owned(), Effect::Ran));
    match carried.find(|call| ran(call)) {
        Some(first) => std::iter::once(first).chain(carried).cloned().collect(),
        None => Vec::new(),
    }
}

/// Checks that no call of an order followed one that ran.
fn assert_ran_once(calls: &[RecordedCall], id: &str) {
    let calls = unsafe_calls(calls, id);
    assert_eq!(calls.len(), 1, "{id} was sent again after a call that ran: {calls:#?}");
}

/// Guards against the second record of issue 57: the copy of a 503 that arrived after the last byte of the next attempt was taken
/// for its rejection, and the message was sent again while that attempt was processed.
#[test]
fn copy_of_a_rejection_does_not_reject_the_next_attempt() {
    for status in [503, 504, 429] {
        let rejection = PlannedAnswer {
            retry_after: (status == 429).then_some(Duration::from_millis(20)),
            ..PlannedAnswer::new(status, Duration::ZERO)
        };
        let partner = scripted([rejection.copied(CopyInstant::AfterLastByte(Duration::ZERO))]);
        let platform = Platform::new();
        let node = start(&platform, &[listing("e1", 7, "plain", partner.address)]);
        assert_eq!(node.submit("a", "order", 7, 20_000).status(), 202);
        wait_for_end(&node, &partner);
        assert_ran_once(&partner.calls(), "a");
    }
}

/// Guards against the first record of issue 57: the copy of an answer was taken for the answer to a call, whose own answer, a
/// rejection, was then taken for that of the message after it on the same connection, which was sent again while it was
/// processed. The message that was rejected was never delivered.
#[test]
fn copy_does_not_shift_the_answers_on_its_connection() {
    let copy = CopyInstant::AfterLastByte(Duration::ZERO);
    let partner = scripted([
        PlannedAnswer::new(200, SERVICE_TIME),
        PlannedAnswer::new(200, SERVICE_TIME).copied(copy),
        // The copy arrives before this answer.
        PlannedAnswer::new(503, SERVICE_TIME),
        PlannedAnswer::new(200, 4 * SERVICE_TIME),
    ]);
    let platform = Platform::new();
    let node = start(&platform, &[listing("e1", 7, "plain", partner.address)]);
    for (sent, id) in ["a", "b", "c", "d"].into_iter().enumerate() {
        assert_eq!(node.submit(id, "order", 7, 20_000).status(), 202);
        wait_until(|| partner.calls().len() > sent);
        if sent < 2 {
            wait_until(|| node.metric("svc_open_requests") == 0);
            thread::sleep(CONNECTION_REST);
        }
        // The copy is read.
        thread::sleep(SERVICE_TIME / 3);
    }
    wait_for_end(&node, &partner);
    ["c", "d"].into_iter().for_each(|id| assert_ran_once(&partner.calls(), id));
}

/// Guards against `review/6`: a copy that came on the way of the next call was taken for its answer, and the message was lost,
/// since the connection was closed before that call was answered. A copy that comes while its connection rests closes it; one
/// that comes later, with the next call, is no answer where the endpoint never answered nearly as early.
#[test]
fn copy_that_nothing_follows_in_time_loses_no_message() {
    const LONG_SERVICE_TIME: Duration = Duration::from_millis(240);
    let (in_rest, with_call) =
        (CopyInstant::AfterAnswer(Duration::from_millis(10)), CopyInstant::AfterLastByte(Duration::ZERO));
    for (class, copy, pause) in [
        ("note", in_rest, Duration::ZERO),
        ("order", in_rest, Duration::ZERO),
        ("note", with_call, CONNECTION_REST),
        ("order", with_call, CONNECTION_REST),
    ] {
        let partner = scripted([
            PlannedAnswer::new(200, LONG_SERVICE_TIME),
            PlannedAnswer::new(200, LONG_SERVICE_TIME).copied(copy),
            // A copy is read long before this answer.
            PlannedAnswer::new(200, 4 * LONG_SERVICE_TIME),
        ]);
        let platform = Platform::new();
        let node = start(&platform, &[listing("e1", 7, "plain", partner.address)]);
        let ids = ["a", "b", "c"];
        for id in ids {
            assert_eq!(node.submit(id, class, 7, 20_000).status(), 202);
            wait_until(|| node.metric("svc_open_requests") == 0);
            thread::sleep(pause);
        }
        let calls = partner.calls();
        for id in ids {
            let delivers = |call: &&RecordedCall| {
                call.answered.is_some() && call.messages[0] == (id.to_owned(), Effect::Ran)
            };
            assert!(calls.iter().any(|call| delivers(&call)), "{class} {id}, {copy:?}: {calls:#?}");
        }
        assert!(platform.notifications.try_recv().is_err(), "no message failed");
    }
}

/// Guards against the same where the process hands over while the copy is held: the call goes on in the predecessor.
#[test]
fn copy_that_is_held_during_a_hand_over_loses_no_message() {
    const LONG_SERVICE_TIME: Duration = Duration::from_millis(240);
    let copy = CopyInstant::AfterLastByte(Duration::from_millis(10));
    let partner = scripted([
        PlannedAnswer::new(200, LONG_SERVICE_TIME),
        PlannedAnswer::new(200, LONG_SERVICE_TIME).copied(copy),
        PlannedAnswer::new(200, 5 * LONG_SERVICE_TIME),
    ]);
    let platform = Platform::new();
    let node = hand_over::start(&platform, &[listing("e1", 7, "plain", partner.address)]);
    for id in ["a", "b", "c"] {
        assert_eq!(node.submit(id, "order", 7, 20_000).status(), 202);
        wait_until(|| id == "c" || node.metric("svc_open_requests") == 0);
        thread::sleep(CONNECTION_REST);
    }
    assert_eq!(partner.copies(), 1);
    let successor = node.start_successor();
    wait_until(|| successor.metric("svc_open_requests") == 0);
    let calls = partner.calls();
    assert!(calls.last().unwrap().answered.is_some(), "c was not delivered: {calls:#?}");
    assert_eq!(calls.len(), 3, "{calls:#?}");
    assert!(platform.notifications.try_recv().is_err(), "no message failed");
}

/// Guards against a response that breaks off and is held back as part of a copy: its status line says 200, so that the message is
/// delivered.
#[test]
fn response_that_breaks_off_like_a_copy_is_read() {
    let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
    let node = start(&platform, &[listing("e1", 7, "plain", endpoint.address)]);
    for (id, connection, reply) in
        [("a", 0, status(200)), ("b", 1, status(200)), ("c", 1, Reply::Bytes(b"HTTP/1.1 200 X\r\ncontent-"))]
    {
        thread::sleep(CONNECTION_REST);
        assert_eq!(node.submit(id, "order", 7, 20_000).status(), 202);
        let call = endpoint.next();
        assert_eq!((call.http.headers["req-id"].as_str(), call.connection), (id, connection));
        // Later answers come earlier: what equals the answer before may be a copy.
        thread::sleep(if id == "c" { Duration::ZERO } else { SERVICE_TIME });
        let replied_at = Instant::now();
        call.reply(reply);
        wait_until(|| node.metric("svc_open_requests") == 0);
        assert!(replied_at.elapsed() < Duration::from_secs(2), "{:?}", replied_at.elapsed());
    }
    assert!(platform.notifications.try_recv().is_err(), "no message failed");
}

/// An endpoint that always gives the same answer must not be waited for longer, whether it answers fast or not.
#[test]
fn equal_answers_of_a_healthy_endpoint_are_not_delayed() {
    for service_time in [Duration::ZERO, SERVICE_TIME] {
        let partner = CopyingPartner::new(move |_| PlannedAnswer::new(200, service_time));
        let platform = Platform::new();
        let node = start(&platform, &[listing("e1", 7, "plain", partner.address)]);
        for n in 0..20 {
            // Some calls go over new connections, others over connections that are reused.
            if n > 10 {
                thread::sleep(CONNECTION_REST);
            }
            let submitted_at = Instant::now();
            assert_eq!(node.submit(&format!("m{n}"), "order", 7, 20_000).status(), 202);
            wait_until(|| node.metric("svc_open_requests") == 0);
            let took = submitted_at.elapsed();
            assert!(took < service_time + Duration::from_millis(500), "message {n} took {took:?}");
        }
    }
}

/// The same for batches: the copy states `later` for messages that are in the next batch too.
#[test]
fn copy_of_a_batch_answer_does_not_reject_the_next_batch() {
    let first = PlannedAnswer { states: vec!["ok", "later"], ..PlannedAnswer::new(200, Duration::ZERO) };
    let partner = scripted([first.copied(CopyInstant::AfterLastByte(Duration::ZERO))]);
    let platform = Platform::new();
    let node = start(&platform, &[draining("e0", 7)]);
    let ids = ["a", "b", "c", "d"];
    for id in ids {
        assert_eq!(node.submit(id, "order", 7, 20_000).status(), 202);
    }
    platform.publish(&[listing("e1", 7, "bulk", partner.address)]);
    wait_for_end(&node, &partner);
    let calls = partner.calls();
    assert_eq!(calls[0].messages.len(), 4, "{calls:#?}");
    ids.iter().for_each(|id| assert_ran_once(&calls, id));
}

/// Guards against a wait that is not kept: a 429 whose second copy came right behind it was dropped together with its
/// `Retry-After`.
#[test]
fn retry_after_is_kept_if_a_copy_follows() {
    const WAIT: Duration = Duration::from_millis(900);
    let rejection =
        PlannedAnswer { retry_after: Some(WAIT), ..PlannedAnswer::new(429, Duration::from_millis(10)) };
    let partner = scripted([rejection.copied(CopyInstant::WithAnswer)]);
    let platform = Platform::new();
    let node = start(&platform, &[listing("e1", 7, "plain", partner.address)]);
    assert_eq!(node.submit("a", "order", 7, 20_000).status(), 202);
    wait_for_answers(&partner, 1);
    let told_at = partner.calls()[0].answered.unwrap();
    for n in 0..8 {
        assert_eq!(node.submit(&format!("b{n}"), "note", 7, 20_000).status(), 202);
        thread::sleep(Duration::from_millis(50));
    }
    wait_until(|| partner.calls().len() >= 2);
    assert_eq!(early_calls(&partner.calls()), Vec::<String>::new());
    assert!(partner.calls()[1].arrived - told_at >= WAIT - RETRY_AFTER_SLACK);
}

/// Returns the calls that came while a `Retry-After` of this partner was running.
fn early_calls(calls: &[RecordedCall]) -> Vec<String> {
    let mut early = Vec::new();
    for told in calls {
        let Some((told_at, wait)) = told.answered.zip(told.retry_after) else { continue };
        let too_early = told_at + RETRY_AFTER_SLACK..told_at + wait;
        for call in calls.iter().filter(|call| too_early.contains(&call.arrived)) {
            let after = call.arrived - told_at;
            early.push(format!("{after:?} after a Retry-After of {wait:?}: {told:?}, then {call:?}"));
        }
    }
    early
}

/// A random answer: most deliver, and half of them are written a second time, at an instant from right behind the answer to
/// after the last byte of the next call.
fn random_answer(random: &mut fastrand::Rng) -> PlannedAnswer {
    let status = match random.u8(0..100) {
        0..5 => 503,
        5..8 => 429,
        8 => 500,
        9 => 504,
        _ => 200,
    };
    let mut states = vec!["ok"; random.usize(1..4)];
    states.extend(["later", "error", "exhausted"].into_iter().filter(|_| random.u8(0..8) == 0));
    let copy = match random.u8(0..if status == 200 { 6 } else { 4 }) {
        0 if random.bool() => Some(CopyInstant::WithAnswer),
        0 => Some(CopyInstant::AfterAnswer(Duration::from_micros(random.u64(0..40_000)))),
        1 => Some(CopyInstant::FirstByte),
        2 => Some(CopyInstant::AfterLastByte(Duration::ZERO)),
        3 => Some(CopyInstant::AfterLastByte(Duration::from_micros(random.u64(0..5_000)))),
        _ => None,
    };
    PlannedAnswer {
        states,
        retry_after: (status == 429).then(|| Duration::from_millis(random.u64(120..400))),
        copy,
        ..PlannedAnswer::new(status, Duration::from_millis(random.u64(5..60)))
    }
}

/// Clients submit messages for a while to partners of both kinds that write random answers a second time at random instants:
/// no order is sent again after a call that ran, and no call comes before a wait is over. `SECOND_COPIES_SEED` and
/// `SECOND_COPIES_SECONDS` give other and longer runs.
#[test]
fn no_order_runs_twice_whenever_copies_come() {
    let parameter = |name: &str, default: u64| {
        std::env::var(name).map_or(default, |text| text.parse().expect("it is a number"))
    };
    let seed = parameter("SECOND_COPIES_SEED", 57);
    let span = Duration::from_secs(parameter("SECOND_COPIES_SECONDS", 12));
    eprintln!("SECOND_COPIES_SEED={seed} SECOND_COPIES_SECONDS={}", span.as_secs());
    let partners: Vec<_> = (0..8)
        .map(|n| {
            let mut random = fastrand::Rng::with_seed(seed * 100 + n);
            CopyingPartner::new(move |_| random_answer(&mut random))
        })
        .collect();
    let endpoints: Vec<_> = (0..)
        .zip(&partners)
        .map(|(n, partner): (u16, _)| {
            listing(&format!("e{n}"), 1 + n, if n % 2 == 0 { "plain" } else { "bulk" }, partner.address)
        })
        .collect();
    let platform = Platform::new();
    let node = Node::start(&program(), &platform, &endpoints, |config| {
        config["settings"]["family_info"]["calls_out"] = json!(40);
        config["settings"]["limits"]["max_open"] = json!(400);
    });
    let end = Instant::now() + span;
    let clients: Vec<_> = (0..8u16)
        .map(|client| {
            let mut random = fastrand::Rng::with_seed(seed * 1000 + u64::from(client));
            let address = node.address;
            thread::spawn(move || {
                let mut connection = None;
                let mut accepted = Vec::new();
                while Instant::now() < end {
                    let id = format!("c{client}-{}", accepted.len());
                    let class = if random.u8(0..10) < 6 { "order" } else { "note" };
                    let client = connection.get_or_insert_with(|| Client::connect(address, TIMEOUT).unwrap());
                    client.write(&submission(&id, class, 1 + random.u16(0..8), 8_000));
                    match client.answer() {
                        Some(answer) => accepted.push((id, class, answer.status() == 202)),
                        None => connection = None,
                    }
                    thread::sleep(Duration::from_millis(random.u64(20..120)));
                }
                accepted
            })
        })
        .collect();
    let submitted: Vec<_> = clients.into_iter().flat_map(|client| client.join().unwrap()).collect();
    thread::sleep(Duration::from_secs(1));
    let (mut orders_checked, mut violations) = (HashMap::new(), Vec::new());
    for partner in &partners {
        let calls = partner.calls();
        violations.extend(early_calls(&calls));
        for (id, ..) in submitted.iter().filter(|(_, class, _)| *class == "order") {
            let calls = unsafe_calls(&calls, id);
            *orders_checked.entry(id).or_insert(0) += calls.len();
            if calls.len() > 1 {
                violations.push(format!("{id} was sent again after a call that ran: {calls:#?}"));
            }
        }
    }
    let copies: u64 = partners.iter().map(CopyingPartner::copies).sum();
    let ran = orders_checked.values().filter(|count| **count > 0).count();
    eprintln!(
        "{} messages submitted, {ran} orders ran, {copies} copies, {} violations",
        submitted.len(),
        violations.len()
    );
    assert!(ran > 100 && copies > 50, "too little happened: {ran} orders ran, {copies} copies");
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}
