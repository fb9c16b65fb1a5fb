//! A platform that acknowledges notifications late.

use std::sync::mpsc::channel;
use std::thread;
use std::time::{Duration, Instant};

use test_doubles::*;

use super::program;

/// Later than the repetition of a notification.
const LATE: Duration = Duration::from_millis(800);

/// A notification was given up and repeated half a second after it was sent, so that an acknowledgement that takes longer was
/// never read: the message stayed pending for good, and the platform got its notification several times a second.
#[test]
fn acknowledgement_that_comes_late_completes_the_message() {
    let (mut platform, endpoint) = (Platform::new(), ScriptedServer::new());
    let node = Node::start(&program(), &platform, &[listing("e1", 7, "plain", endpoint.address)], |_| {});
    let notifications = platform.take_notifications();
    let (read_sender, read) = channel();
    thread::spawn(move || {
        while let Ok(request) = notifications.recv() {
            let _ = read_sender.send(String::from_utf8(request.http.body.clone()).unwrap());
            thread::spawn(move || {
                thread::sleep(LATE);
                request.reply(status(204));
            });
        }
    });
    assert_eq!(node.submit("a", "order", 7, 20_000).status(), 202);
    endpoint.next().reply(status(500));
    let notified_at = Instant::now();
    let mut copies = 0;
    // Once it is acknowledged, no further copy comes.
    while read.recv_timeout(LATE).is_ok() {
        copies += 1;
        assert!(notified_at.elapsed() < 5 * LATE, "{copies} copies of the notification, none acknowledged");
    }
    assert!(copies > 0);
}
