//! Endpoints that hold few connections.

use super::program;
use serde_json::json;
use test_doubles::*;

/// Guards against taking an endpoint that has no place for a further connection for one at its limit, or ill: it says
/// so in the answer to the first call on a new connection, with which it closes, and without a report. What comes next
/// would trickle.
#[test]
fn a_connection_that_found_no_place_slows_nothing_down() {
    let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
    let mut listed = listing("e1", 7, "plain", endpoint.address);
    listed["weight"] = json!(20.0);
    let node = Node::start(&program(), &platform, &[listed], |_| {});
    for id in ["a", "b", "c"] {
        assert_eq!(node.submit(id, "order", 7, 20_000).status(), 202);
        let turned_away = endpoint.next();
        assert_eq!(turned_away.http.headers["req-id"], id);
        let connection = turned_away.connection;
        let closing = vec![("connection", "keep-alive, Close".to_owned()), ("srv-declined", "1".to_owned())];
        turned_away.reply(Reply::Answer(503, closing, String::new()));
        let again = endpoint.next();
        assert_eq!(again.http.headers["req-id"], id, "it never ran");
        assert_ne!(again.connection, connection);
        let before = node.journal_length();
        // The next one finds no connection to use.
        again.reply(Reply::Answer(200, vec![("connection", "close".to_owned())], String::new()));
        wait_until(|| node.journal_length() > before);
    }
    // At the pace after a refusal most of these would be out of time.
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

/// What a report stands beside, or comes on a connection that was used before, is a refusal of the call.
#[test]
fn a_refusal_with_a_report_or_on_a_kept_connection_is_a_limit() {
    for (kept, report) in [(false, true), (true, false)] {
        let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
        let node = Node::start(&program(), &platform, &[listing("e1", 7, "plain", endpoint.address)], |_| {});
        let ids = if kept { vec!["a", "b", "c"] } else { vec!["c"] };
        for id in &ids {
            assert_eq!(node.submit(id, "note", 7, 20_000).status(), 202);
            let call = endpoint.next();
            let before = node.journal_length();
            if *id == "c" {
                let mut headers = vec![("connection", "close".to_owned())];
                headers.extend(report.then(|| ("srv-load", "x0=0.0,x1=0.5".to_owned())));
                call.reply(Reply::Answer(503, headers, String::new()));
            } else {
                call.reply(status(200));
            }
            wait_until(|| node.journal_length() > before);
        }
        // The least pace: a call in 2 s.
        assert_eq!(node.submit("late", "note", 7, 1_500).status(), 202);
        assert_eq!(platform.answer_notification(204)[0]["id"], json!("late"), "kept {kept}, report {report}");
    }
}
