//! Endpoints that accept few connections, and reject a further one in their answer to its first call.

use super::{CONNECTION_REST, program};
use serde_json::json;
use test_doubles::*;

/// An endpoint that has no room for a further connection must not be taken for one that is at its limit or down: it answers the
/// first call on a new connection with a 503 that closes the connection and carries no load report. Otherwise the following
/// calls would be sent at the minimum send rate.
#[test]
fn connection_rejection_does_not_reduce_the_send_rate() {
    let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
    let mut entry = listing("e1", 7, "plain", endpoint.address);
    entry["weight"] = json!(20.0);
    let node = Node::start(&program(), &platform, &[entry], |_| {});
    for id in ["a", "b", "c"] {
        assert_eq!(node.submit(id, "order", 7, 20_000).status(), 202);
        let rejected = endpoint.next();
        assert_eq!(rejected.http.headers["req-id"], id);
        let connection = rejected.connection;
        let close_headers =
            vec![("connection", "keep-alive, Close".to_owned()), ("srv-declined", "1".to_owned())];
        rejected.reply(Reply::Answer(503, close_headers, String::new()));
        let resent = endpoint.next();
        assert_eq!(resent.http.headers["req-id"], id, "resent, since it never ran");
        assert_ne!(resent.connection, connection);
        let before = node.journal_length();
        // The next call finds no open connection.
        resent.reply(Reply::Answer(200, vec![("connection", "close".to_owned())], String::new()));
        wait_until(|| node.journal_length() > before);
    }
    // At the send rate after a rejection by load most of these would expire.
    let ids = ["d", "e", "f", "g"];
    for id in ids {
        assert_eq!(node.submit(id, "note", 7, 1_500).status(), 202);
    }
    for id in ids {
        let call = endpoint.next();
        assert_eq!(call.http.headers["req-id"], id);
        call.reply(status(200));
    }
}

/// A 503 that carries a load report, or comes on a connection that was used before, rejects the call because of load, not the
/// connection.
#[test]
fn rejection_with_load_report_or_on_reused_connection_reduces_the_send_rate() {
    for (reused, with_load_report) in [(false, true), (true, false)] {
        let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
        let node = Node::start(&program(), &platform, &[listing("e1", 7, "plain", endpoint.address)], |_| {});
        let ids = if reused { vec!["a", "b", "c"] } else { vec!["c"] };
        for id in &ids {
            std::thread::sleep(CONNECTION_REST);
            assert_eq!(node.submit(id, "note", 7, 20_000).status(), 202);
            let call = endpoint.next();
            let before = node.journal_length();
            if *id == "c" {
                let mut headers = vec![("connection", "close".to_owned())];
                headers.extend(with_load_report.then(|| ("srv-load", "x0=0.0,x1=0.5".to_owned())));
                call.reply(Reply::Answer(503, headers, String::new()));
            } else {
                call.reply(status(200));
            }
            wait_until(|| node.journal_length() > before);
        }
        // The minimum send rate is one call per 2 s.
        assert_eq!(node.submit("late", "note", 7, 1_500).status(), 202);
        assert_eq!(
            platform.answer_notification(204)[0]["id"],
            json!("late"),
            "reused connection {reused}, load report {with_load_report}"
        );
    }
}
