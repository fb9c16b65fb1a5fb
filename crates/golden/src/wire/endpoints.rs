//! Requests to endpoints: alone and in a batch, with an idempotency key and without, of each effect.

use serde_json::{Value, json};
use test_doubles::{Node, draining, listing};

use super::scripted::{Pages, Scene, Server, ask, message};

fn submit(node: &Node, id: &str, class: &str) {
    let answer = ask(node.address, &message(id, class, &[]));
    assert!(answer.starts_with(b"HTTP/1.1 202 "), "{}", answer.escape_ascii());
}

/// The text of this kind.
pub fn text() -> String {
    let mut pages = Pages::default();
    alone(&mut pages);
    outcomes(&mut pages);
    batch(&mut pages);
    pages.finish()
}

/// One message a request.
fn alone(pages: &mut Pages) {
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
        pages.add_bytes(title, &request.bytes);
        request.answer_with(200, "Srv-Load: x0=0.5,x1=40\r\n", "");
        scene.wait_for(0);
    }
    let no_key =
        String::from_utf8(message("e", "note", &[])).expect("text").replace("Idempotency-Key: key-e\r\n", "");
    assert!(ask(scene.node.address, no_key.as_bytes()).starts_with(b"HTTP/1.1 202 "));
    let request = endpoint.next_for("e");
    pages.add_bytes("idempotent, without a key", &request.bytes);
    request.answer_with(200, "", "");
    scene.wait_for(0);
    let empty = message("f", "order", &[]);
    let head = empty.windows(4).position(|four| four == b"\r\n\r\n").expect("a head") + 4;
    let empty = String::from_utf8_lossy(&empty[..head]).replace("Content-Length: 9", "Content-Length: 0");
    assert!(ask(scene.node.address, empty.as_bytes()).starts_with(b"HTTP/1.1 202 "));
    let request = endpoint.next_for("f");
    pages.add_bytes("without a body", &request.bytes);
    request.answer_with(200, "", "");
    scene.wait_for(0);
}

/// What each answer of an endpoint leads to: a retry, a notification, or nothing.
fn outcomes(pages: &mut Pages) {
    for (title, status, headers, ends) in [
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
        endpoint.next("").answer_with(status, headers, "");
        if ends && status != 200 && status != 410 {
            let again = endpoint.next("");
            pages.add_bytes(&format!("after {title}: a retry"), &again.bytes);
            again.answer_with(200, "", "");
        } else if !ends {
            let told = scene.platform.next("POST ");
            pages.add_bytes(&format!("after {title}: a notification"), &told.bytes);
            told.answer_with(204, "", "");
        }
        scene.wait_for(0);
        pages.add(&format!("after {title}: figures"), &scene.operations());
    }
}

/// What waits for one endpoint goes as one request.
fn batch(pages: &mut Pages) {
    let endpoint = Server::new();
    let scene = Scene::new(&[draining("e0", 7)], "", |_| {});
    for (id, class) in [("a", "note"), ("b", "note"), ("c", "order"), ("d", "note"), ("e", "tick")] {
        submit(&scene.node, id, class);
    }
    let watch = scene.platform.next("GET ");
    let list =
        json!({"index": 2, "snapshot": true, "endpoints": [listing("e1", 7, "bulk", endpoint.address)]});
    watch.answer_with(200, "", &list.to_string());
    let request = endpoint.next("");
    pages.add_bytes("a batch", &request.bytes);
    let states = ["ok", "later", "error", "gone", "ok"];
    let ends: Vec<Value> = ["a", "b", "c", "d", "e"]
        .iter()
        .zip(states)
        .map(|(id, state)| json!({"id": id, "state": state}))
        .collect();
    request.answer_with(200, "", &Value::from(ends).to_string());
    let told = scene.platform.next("POST ");
    pages.add_bytes("after error: a notification", &told.bytes);
    told.answer_with(204, "", "");
    let again = endpoint.next("");
    pages.add_bytes("after later: a retry", &again.bytes);
    again.answer_with(200, "", "");
    scene.wait_for(0);
    pages.add("figures", &scene.operations());
}
