//! What is still owed when a message, a call, a connection or a process ends, each crossing forced (`docs/endings.md`).

use std::time::{Duration, Instant};

use serde_json::json;

use super::{ids, program};
use test_doubles::*;

/// Guards a message's end against the answer that comes between what its client and what the sender take for its time:
/// the platform takes such an answer for no end, and no notice came. A call is waited for no longer than to a good while
/// before the client's time, of which the call itself tells. How late the call is read here adds to what it tells, so
/// that one that is read soon is enough, and without the guard there is none.
#[test]
fn no_answer_is_waited_for_up_to_the_end_of_a_messages_time() {
    const WITHIN: Duration = Duration::from_millis(400);
    let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
    let node = Node::start(&program(), &platform, &[listing("e1", 7, "plain", endpoint.address)], |_| {});
    let mut client = Client::new(&node);
    let early = (0..200).any(|n| {
        let since = Instant::now();
        assert_eq!(client.ask(&submission(&format!("m{n}"), "order", 7, 400)).status(), 202);
        let call = endpoint.next();
        let waits: u64 = call.http.headers["req-deadline-ms"].parse().unwrap();
        let end = since.elapsed() + Duration::from_millis(waits);
        let before = node.journal_length();
        call.reply(status(200));
        wait_until(|| node.journal_length() > before);
        end < WITHIN - Duration::from_millis(14)
    });
    assert!(early, "two turns before its time are not enough");
}

/// Guards a message's end against a connection to the platform that has fallen silent: its notice is owed within 300 ms.
#[test]
fn a_notice_on_a_silent_connection_goes_over_another_in_time() {
    let platform = Platform::new();
    let node = Node::start(&program(), &platform, &[draining("e0", 7)], |_| {});
    let mut soonest = Duration::MAX;
    // One that is quick is enough: without the guard none is, and a busy machine may delay some.
    for n in 0..8 {
        assert_eq!(node.submit(&format!("m{n}"), "order", 7, 60).status(), 202);
        let silent = platform.notifications.recv_timeout(TIMEOUT).unwrap();
        let since = Instant::now();
        let again = platform.notifications.recv_timeout(TIMEOUT).unwrap();
        soonest = soonest.min(since.elapsed());
        assert_eq!(again.http.body, silent.http.body);
        assert_ne!(again.connection, silent.connection);
        again.reply(status(204));
        if soonest < Duration::from_millis(300) {
            return;
        }
    }
    panic!("the soonest came after {soonest:?}");
}

/// Guards the first request on a connection that was made as the process was asked to end: it is answered, though it comes
/// when the process has long seen both.
#[test]
fn a_new_connection_is_answered_once_while_the_process_ends() {
    let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
    let mut node = Node::start(&program(), &platform, &[listing("e1", 7, "plain", endpoint.address)], |_| {});
    let mut kept = Client::new(&node);
    assert_eq!(kept.ask(b"GET /ready HTTP/1.1\r\nHost: origin.svc\r\n\r\n").status(), 200);
    let mut before = Client::new(&node);
    // What came before is accepted once a later one is answered.
    assert_eq!(node.ask(b"GET /ready HTTP/1.1\r\nHost: origin.svc\r\n\r\n").status(), 200);
    node.signal("-TERM");
    assert!(kept.ended(), "the process has heard it");
    let mut after = Client::new(&node);
    assert_eq!(node.ask(b"GET /ready HTTP/1.1\r\nHost: origin.svc\r\n\r\n").status(), 503);
    for (id, client) in [("before", &mut before), ("after", &mut after)] {
        let answer = client.ask(&submission(id, "note", 7, 20_000));
        assert_eq!(answer.status(), 202);
        assert_eq!(answer.headers["connection"], "close");
        assert!(client.ended(), "and that was the last answer on it");
        endpoint.next().reply(status(200));
    }
    assert_eq!(node.exit_code(), Some(0));
}

/// Guards a request of which a part was read as the process was asked to end: it is answered, and that is the last answer.
#[test]
fn a_request_that_was_read_in_part_is_answered_while_the_process_ends() {
    let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
    let mut node = Node::start(&program(), &platform, &[listing("e1", 7, "plain", endpoint.address)], |_| {});
    const READY: &[u8] = b"GET /ready HTTP/1.1\r\nHost: origin.svc\r\n\r\n";
    let (mut kept, mut half) = (Client::new(&node), Client::new(&node));
    assert_eq!(half.ask(READY).status(), 200);
    let request = submission("a", "note", 7, 20_000);
    let (first, rest) = request.split_at(40);
    half.write(first);
    // It has been read once what came later is answered.
    assert_eq!(kept.ask(READY).status(), 200);
    node.signal("-TERM");
    assert!(kept.ended(), "the process has heard it");
    half.write(rest);
    let answer = half.answer().expect("an answer");
    assert_eq!((answer.status(), &*answer.headers["connection"]), (202, "close"));
    assert!(half.ended());
    endpoint.next().reply(status(200));
    assert_eq!(node.exit_code(), Some(0));
}

/// Guards a message's time against a request that lay unread while the process stood still: it runs from when the request came.
/// Its end is owed within 300 ms.
#[test]
fn a_request_that_lay_unread_has_no_more_time_for_it() {
    const STILL: Duration = Duration::from_millis(350);
    const WITHIN: u32 = 900;
    let platform = Platform::new();
    let node = Node::start(&program(), &platform, &[draining("e0", 7)], |_| {});
    let mut latest = Duration::MAX;
    // One that is in time is enough: without the guard none is, and a busy machine may delay some.
    for n in 0..8 {
        let mut client = Client::new(&node);
        assert_eq!(client.ask(b"GET /ready HTTP/1.1\r\nHost: origin.svc\r\n\r\n").status(), 200);
        node.stop();
        let since = Instant::now();
        client.write(&submission(&format!("m{n}"), "order", 7, WITHIN));
        // Time has to pass, and nothing else.
        std::thread::sleep(STILL);
        node.signal("-CONT");
        assert_eq!(client.answer().expect("an answer").status(), 202);
        platform.answer_notification(204);
        latest = latest.min(since.elapsed());
        if latest < Duration::from_millis(u64::from(WITHIN) + 100) {
            return;
        }
    }
    panic!("the soonest end came after {latest:?}");
}

/// What a client is told on its second connection holds though its first one ends. (That the end of the first shows after the
/// answer to the second was decided, and before its own, can't be held from outside.)
#[test]
fn who_says_it_once_more_is_owed_its_end_though_the_first_connection_goes() {
    let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
    let node = Node::start(&program(), &platform, &[draining("e0", 7)], |_| {});
    let (mut first, mut second) = (Client::new(&node), Client::new(&node));
    for client in [&mut first, &mut second] {
        assert_eq!(client.ask(b"GET /ready HTTP/1.1\r\nHost: origin.svc\r\n\r\n").status(), 200);
    }
    // Stopped, the process finds all of it at once: both requests and the end of the first connection.
    node.stop();
    first.write(&submission("a", "note", 7, 20_000));
    second.write(&submission("a", "note", 7, 20_000));
    drop(first);
    node.signal("-CONT");
    assert_eq!(second.answer().unwrap().status(), 202);
    platform.publish(&[listing("e1", 7, "plain", endpoint.address)]);
    let call = endpoint.next();
    assert_eq!(call.http.headers["req-id"], "a");
    call.reply(status(200));
}

/// What a restart finds taken on and untried is tried, as soon as there is somewhere to go, and what became of it is told.
#[test]
fn what_a_restart_finds_untried_is_tried_and_told_of() {
    let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
    let node = Node::start(&program(), &platform, &[draining("e0", 7), draining("e1", 8)], |_| {});
    for n in 0..3 {
        assert_eq!(node.submit(&format!("m{n}"), "order", 7, 20_000).status(), 202);
    }
    assert_eq!(node.submit("short", "order", 8, 700).status(), 202);
    let node = node.kill_and_restart();
    assert_eq!(platform.answer_notification(204)[0]["id"], json!("short"));
    platform.publish(&[listing("e2", 7, "plain", endpoint.address), draining("e1", 8)]);
    let mut ids: Vec<_> = (0..3)
        .map(|_| {
            let call = endpoint.next();
            let id = call.http.headers["req-id"].clone();
            call.reply(status(200));
            id
        })
        .collect();
    ids.sort();
    assert_eq!(ids, ["m0", "m1", "m2"]);
    let told =
        "of 4 untried messages of the process before 3 were called; without a call ended 1 (1 out of time";
    wait_until(|| node.log().iter().any(|line| line.contains(told)));
}

/// What a restart finds untried stays though more comes in than there is room for, and goes before what came later: newer ones
/// make way.
#[test]
fn what_a_restart_finds_untried_does_not_make_way() {
    const OLD: usize = 12;
    let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
    let node = Node::start(&program(), &platform, &[draining("e0", 7)], |config| {
        config["settings"]["limits"]["max_open"] = json!(16);
    });
    for n in 0..OLD {
        assert_eq!(node.submit(&format!("old{n}"), "order", 7, 20_000).status(), 202);
    }
    let node = node.kill_and_restart();
    for n in 0..20 {
        assert_eq!(node.submit(&format!("new{n}"), "note", 7, 20_000).status(), 202);
    }
    let first_to_go = platform.answer_notification(204)[0]["id"].to_string();
    assert!(first_to_go.contains("new"), "{first_to_go}");
    platform.publish(&[listing("e1", 7, "plain", endpoint.address)]);
    let ids: Vec<_> = (0..OLD)
        .map(|_| {
            let call = endpoint.next();
            let id = call.http.headers["req-id"].clone();
            call.reply(status(200));
            id
        })
        .collect();
    let old: Vec<_> = (0..OLD).map(|n| format!("old{n}")).collect();
    assert!(old.iter().all(|id| ids.contains(id)), "{ids:?}");
}

/// Guards those that travel together against the end of the first before its call's, which was taken for the end of all.
#[test]
fn of_messages_that_travel_together_the_one_with_most_time_is_the_first() {
    let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
    let node = Node::start(&program(), &platform, &[draining("e0", 7)], |_| {});
    for (id, within) in [("short", 3_000), ("long", 20_000), ("shorter", 2_000)] {
        assert_eq!(node.submit(id, "order", 7, within).status(), 202);
    }
    platform.publish(&[listing("e1", 7, "bulk", endpoint.address)]);
    let call = endpoint.next();
    assert_eq!(ids(&call), ["long", "short", "shorter"]);
    call.reply(status(200));
}

/// Guards an effect against a class that means something else to the next process: what was taken on is bound by what it was
/// taken on under and by what the settings say now, whichever is stricter; a new message by the settings alone.
#[test]
fn what_was_taken_on_under_other_settings_is_bound_by_both() {
    for [before, after] in [["once", "repeatable"], ["repeatable", "once"]] {
        let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
        let known = [listing("e1", 7, "plain", endpoint.address)];
        let node = Node::start(&program(), &platform, &known, |config| {
            config["settings"]["classes"][1]["effect"] = json!(before);
        });
        assert_eq!(node.submit("old", "order", 7, 20_000).status(), 202);
        let _called = endpoint.next();
        let mut configuration = node.configuration();
        configuration["settings"]["classes"][1]["effect"] = json!(after);
        node.reconfigure(&configuration.to_string());
        let node = node.kill_and_restart();
        assert_eq!(
            platform.answer_notification(204),
            [json!({"id": "old", "status": "undeliverable"})],
            "{before}"
        );
        // What comes now is the settings'.
        assert_eq!(node.submit("new", "order", 7, 20_000).status(), 202);
        let call = endpoint.next();
        assert_eq!(call.http.headers["req-id"], "new");
        call.reply(Reply::Close);
        if after == "repeatable" {
            let again = endpoint.next();
            assert_eq!(again.http.headers["req-id"], "new", "it may run twice");
            again.reply(status(200));
        } else {
            assert_eq!(platform.answer_notification(204), [json!({"id": "new", "status": "undeliverable"})]);
        }
    }
}

/// Guards a message's end against an answer that lies unread as its time runs out, and a call's against one that comes as it is
/// not waited for any more: stopped, the process finds the answer and the end at once.
#[test]
fn an_answer_that_is_read_after_the_end_is_no_end() {
    // Of the message's time, and of what a call gets of it.
    for (within, aim) in [(400, 4000), (20_000, 400)] {
        let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
        let known = [listing("e1", 7, "plain", endpoint.address)];
        let node = Node::start(&program(), &platform, &known, |config| {
            config["settings"]["classes"][1]["on_time_us"] = json!(aim * 1000);
        });
        assert_eq!(node.submit("a", "order", 7, within).status(), 202);
        let call = endpoint.next();
        let waits: u64 = call.http.headers["req-deadline-ms"].parse().unwrap();
        assert!(waits <= 400, "{waits}");
        node.stop();
        call.reply(status(200));
        // Time has to pass, and nothing else; from when the call came it is more than is left.
        std::thread::sleep(Duration::from_millis(waits + 100));
        node.signal("-CONT");
        assert_eq!(
            platform.answer_notification(204),
            [json!({"id": "a", "status": "undeliverable"})],
            "{within}"
        );
    }
}

/// Guards a notice whose connection comes up late against being given up for another that is later: the first is still heard.
#[test]
fn a_notice_that_is_answered_late_over_its_first_connection_is_done() {
    let platform = Platform::new();
    let node = Node::start(&program(), &platform, &[draining("e0", 7)], |_| {});
    assert_eq!(node.submit("a", "order", 7, 60).status(), 202);
    let first = platform.notifications.recv_timeout(TIMEOUT).unwrap();
    let second = platform.notifications.recv_timeout(TIMEOUT).unwrap();
    assert!(first.closed.try_recv().is_err(), "it is not given up");
    let before = node.journal_length();
    first.reply(status(204));
    wait_until(|| node.journal_length() > before);
    drop(second);
}
