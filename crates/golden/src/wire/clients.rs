//! Responses to clients.

use test_doubles::{draining, listing};

use super::scripted::{Scene, Sections, Server, exchange, exchange_until_completed, message, wait_for_exit};

const READY: &[u8] = b"GET /ready HTTP/1.1\r\nHost: origin.svc\r\n\r\n";

/// Returns the text of the kind `clients`.
pub fn text() -> String {
    let mut sections = Sections::default();
    let endpoint = Server::new();
    let ledger = "[journal]\nretain = \"1h\"\nledger = \"64kB\"\n";
    let endpoints = [listing("e1", 7, "plain", endpoint.address), draining("e0", 8)];
    let scene = Scene::new(&endpoints, ledger, |_| {});
    let address = scene.node.address;
    sections.add_bytes("ready", &exchange(address, READY));
    sections.add_bytes("accepted", &exchange(address, &message("a", "order", &[])));
    endpoint.next("").respond_with(200, "", "");
    scene.wait_for_pending(0);
    sections.add_bytes(
        "delivered, as the ledger knows",
        &exchange_until_completed(address, &message("a", "order", &[])),
    );
    assert!(exchange(address, &message("b", "order", &[])).starts_with(b"HTTP/1.1 202 "));
    endpoint.next("").respond_with(500, "", "");
    scene.platform.next("POST ").respond_with(204, "", "");
    scene.wait_for_pending(0);
    sections.add_bytes(
        "failed, as the ledger knows",
        &exchange_until_completed(address, &message("b", "order", &[])),
    );
    let unlisted = message("c", "note", &[("dest=7", "dest=9")]);
    sections.add_bytes("refused, no list names the destination", &exchange(address, &unlisted));
    let late = message("d", "note", &[("dest=7", "dest=8"), ("Deadline-Ms: 20000", "Deadline-Ms: 0")]);
    sections.add_bytes("no time left", &exchange(address, &late));
    for (title, from, to) in [
        ("no id", "Req-Id: a\r\n", ""),
        ("no such class", "Req-Kind: order", "Req-Kind: none"),
        ("the path is another class", "POST /order", "POST /note"),
        ("no class in the header", "Req-Kind: order\r\n", ""),
        ("no consignee", "X-Consignee: dest=7\r\n", ""),
        ("a destination that is no number", "dest=7", "dest=x"),
        ("a destination too high", "dest=7", "dest=70000"),
        ("no deadline", "Req-Deadline-Ms: 20000\r\n", ""),
        ("a deadline that is no number", "Req-Deadline-Ms: 20000", "Req-Deadline-Ms: soon"),
        ("a deadline beyond its class's", "Req-Deadline-Ms: 20000", "Req-Deadline-Ms: 24002"),
        ("a length below nothing", "Content-Length: 9", "Content-Length: -9"),
        ("two lengths", "Content-Length: 9", "Content-Length: 9\r\nContent-Length: 8"),
        ("a length too long", "Content-Length: 9", "Content-Length: 65537"),
        ("a transfer encoding", "Content-Length: 9", "Transfer-Encoding: chunked"),
        ("a key that is no text", "Content-Length", "Idempotency-Key: \u{e6}\r\nContent-Length"),
    ] {
        let id = if title == "no class in the header" { "f" } else { "a" };
        let good = String::from_utf8(message(id, "order", &[])).expect("text");
        assert!(good.contains(from), "{title}");
        sections.add_bytes(title, &exchange(address, good.replace(from, to).as_bytes()));
        if title == "no class in the header" {
            endpoint.next("").respond_with(200, "", "");
            scene.wait_for_pending(0);
        }
    }
    sections.add_bytes("not found", &exchange(address, b"GET /none HTTP/1.1\r\nHost: origin.svc\r\n\r\n"));
    sections.add_bytes("no HTTP", &exchange(address, b"\x01\x02\x03\r\n\r\n"));
    let half = message("g", "order", &[("Content-Length: 9", "Content-Length: 10")]);
    sections.add_bytes("a body that does not come", &exchange(address, &half));
    disk_full(&mut sections);
    standby_and_exit(&mut sections, scene);
    sections.finish()
}

/// Adds the rejection of a message because the disk limit is reached.
fn disk_full(sections: &mut Sections) {
    let scene = Scene::new(&[draining("e0", 7)], "", |config| config["limits"]["disk_mb"] = 0.02.into());
    let refused = (0..1000)
        .map(|n| exchange(scene.node.address, &message(&format!("m{n}"), "order", &[])))
        .find(|answer| !answer.starts_with(b"HTTP/1.1 202 "))
        .expect("a message is rejected when the disk limit is reached");
    sections.add_bytes("refused, no room on the disk", &refused);
}

/// Adds the responses of a sender at standby, and its exit code.
fn standby_and_exit(sections: &mut Sections, mut scene: Scene) {
    scene.admin("POST", "/standby");
    sections.add_bytes("not ready", &exchange(scene.node.address, READY));
    sections.add_bytes(
        "accepted, the last on its connection",
        &exchange(scene.node.address, &message("z", "tick", &[("dest=7", "dest=8")])),
    );
    scene.node.signal("-TERM");
    sections.add("exit code at the end", &format!("{:?}", wait_for_exit(&mut scene.node)));
}
