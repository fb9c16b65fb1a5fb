//! Requests to endpoints: single messages and batches, with and without an idempotency key, for classes of each idempotency.

use serde_json::{Value, json};
use test_doubles::{Node, draining, listing};

use super::scripted::{Scene, Sections, Server, exchange, message};

fn submit(node: &Node, id: &str, class: &str) {
    let answer = exchange(node.address, &message(id, class, &[]));
    assert!(answer.starts_with(b"HTTP/1.1 202 "), "{}", answer.escape_ascii());
}

/// Returns the text of the kind `endpoints`.
pub fn text() -> String {
    let mut sections = Sections::default();
    single_messages(&mut sections);
    outcomes(&mut sections);
    batch(&mut sections);
    sections.finish()
}

/// Adds requests with one message.
fn single_messages(sections: &mut Sections) {
    let endpoint = Server::new();
    let scene = Scene::new(&[listing("e1", 7, "plain", endpoint.address)], "", |_| {});
    for (title, id, class) in [
        ("idempotent, with a key", "a", "note"),
        ("at most once", "b", "order"),
        ("repeatable, with a key", "c", "tick"),
        ("repeatable, in order", "d", "line"),
    ] {
        submit(&scene.node, id, class);
        let request = endpoint.next_for(id);
        sections.add_bytes(title, &request.bytes);
        request.respond_with(200, "Srv-Load: x0=0.5,x1=40\r\n", "");
        scene.wait_for_pending(0);
    }
    let no_key =
        String::from_utf8(message("e", "note", &[])).expect("text").replace("Idempotency-Key: key-e\r\n", "");
    assert!(exchange(scene.node.address, no_key.as_bytes()).starts_with(b"HTTP/1.1 202 "));
    let request = endpoint.next_for("e");
    sections.add_bytes("idempotent, without a key", &request.bytes);
    request.respond_with(200, "", "");
    scene.wait_for_pending(0);
    let empty = message("f", "order", &[]);
    let head = empty.windows(4).position(|four| four == b"\r\n\r\n").expect("a head") + 4;
    let empty = String::from_utf8_lossy(&empty[..head]).replace("Content-Length: 9", "Content-Length: 0");
    assert!(exchange(scene.node.address, empty.as_bytes()).starts_with(b"HTTP/1.1 202 "));
    let request = endpoint.next_for("f");
    sections.add_bytes("without a body", &request.bytes);
    request.respond_with(200, "", "");
    scene.wait_for_pending(0);
}

/// Adds what each response of an endpoint causes: a retry, a notification, or nothing.
fn outcomes(sections: &mut Sections) {
    for (title, status, headers, retried) in [
        ("200", 200, "", true),
        ("410", 410, "", true),
        ("500", 500, "", false),
        ("299", 299, "", false),
        ("429 with Retry-After", 429, "Retry-After: 0.05\r\n", true),
        ("503", 503, "", true),
        ("503, busy", 503, "X-Line-Busy: 1\r\n", true),
        ("504", 504, "", true),
    ] {
        let endpoint = Server::new();
        let scene = Scene::new(&[listing("e1", 7, "plain", endpoint.address)], "", |_| {});
        submit(&scene.node, "m", "order");
        endpoint.next("").respond_with(status, headers, "");
        if retried && status != 200 && status != 410 {
            let retry = endpoint.next("");
            sections.add_bytes(&format!("after {title}: a retry"), &retry.bytes);
            retry.respond_with(200, "", "");
        } else if !retried {
            let notification = scene.platform.next("POST ");
            sections.add_bytes(&format!("after {title}: a notification"), &notification.bytes);
            notification.respond_with(204, "", "");
        }
        scene.wait_for_pending(0);
        sections.add(&format!("after {title}: figures"), &scene.outcome_metrics());
    }
}

/// Adds a batch of the messages that are pending for one endpoint.
fn batch(sections: &mut Sections) {
    let endpoint = Server::new();
    let scene = Scene::new(&[draining("e0", 7)], "", |_| {});
    for (id, class) in [("a", "note"), ("b", "note"), ("c", "order"), ("d", "note"), ("e", "tick")] {
        submit(&scene.node, id, class);
    }
    let watch = scene.platform.next("GET ");
    let list =
        json!({"index": 2, "snapshot": true, "endpoints": [listing("e1", 7, "bulk", endpoint.address)]});
    watch.respond_with(200, "", &list.to_string());
    let request = endpoint.next("");
    sections.add_bytes("a batch", &request.bytes);
    let states = ["ok", "later", "error", "gone", "ok"];
    let results: Vec<Value> = ["a", "b", "c", "d", "e"]
        .iter()
        .zip(states)
        .map(|(id, state)| json!({"id": id, "state": state}))
        .collect();
    request.respond_with(200, "", &Value::from(results).to_string());
    let notification = scene.platform.next("POST ");
    sections.add_bytes("after error: a notification", &notification.bytes);
    notification.respond_with(204, "", "");
    let retry = endpoint.next("");
    sections.add_bytes("after later: a retry", &retry.bytes);
    retry.respond_with(200, "", "");
    scene.wait_for_pending(0);
    sections.add("figures", &scene.outcome_metrics());
}
