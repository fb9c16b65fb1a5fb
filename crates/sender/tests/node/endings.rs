//! What is still owed when a message, a call, a connection or a process ends, each crossing forced (`docs/endings.md`).

use std::time::{Duration, Instant};

use super::program;
use standins::*;

/// Guards a message's end against the answer that comes between what its client and what the sender take for its time:
/// the platform takes such an answer for no end, and no notice came. A call is waited for no longer than to a good while
/// before the client's time, of which the call itself tells. How late the call is read here adds to what it tells, so
/// that one that is read soon is enough, and without the guard there is none.
#[test]
fn no_answer_is_waited_for_up_to_the_end_of_a_messages_time() {
    const WITHIN: Duration = Duration::from_millis(400);
    let (platform, endpoint) = (Platform::new(), Served::new());
    let node = Node::start(&program(), &platform, &[listing("e1", 7, "plain", endpoint.address)], |_| {});
    let mut client = Client::new(&node);
    let early = (0..200).any(|n| {
        let since = Instant::now();
        assert_eq!(client.ask(&handing_in(&format!("m{n}"), "order", 7, 400)).status(), 202);
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
