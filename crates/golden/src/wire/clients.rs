//! Answers to clients.

use test_doubles::{draining, listing};

use super::scripted::{Pages, Scene, Server, ask, ask_again, message, wait_out};

const READY: &[u8] = b"GET /ready HTTP/1.1\r\nHost: origin.svc\r\n\r\n";

/// The text of this kind.
pub fn text() -> String {
    let mut pages = Pages::default();
    let endpoint = Server::new();
    let ledger = "[journal]\nretain = \"1h\"\nledger = \"64kB\"\n";
    let known = [listing("e1", 7, "plain", endpoint.address), draining("e0", 8)];
    let scene = Scene::new(&known, ledger, |_| {});
    let address = scene.node.address;
    pages.add_bytes("ready", &ask(address, READY));
    pages.add_bytes("accepted", &ask(address, &message("a", "order", &[])));
    endpoint.next("").answer_with(200, "", "");
    scene.wait_for(0);
    pages.add_bytes("delivered, as the ledger knows", &ask_again(address, &message("a", "order", &[])));
    assert!(ask(address, &message("b", "order", &[])).starts_with(b"HTTP/1.1 202 "));
    endpoint.next("").answer_with(500, "", "");
    scene.platform.next("POST ").answer_with(204, "", "");
    scene.wait_for(0);
    pages.add_bytes("failed, as the ledger knows", &ask_again(address, &message("b", "order", &[])));
    let unlisted = message("c", "note", &[("dest=7", "dest=9")]);
    pages.add_bytes("refused, no list names the destination", &ask(address, &unlisted));
    let late = message("d", "note", &[("dest=7", "dest=8"), ("Deadline-Ms: 20000", "Deadline-Ms: 0")]);
    pages.add_bytes("no time left", &ask(address, &late));
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
        pages.add_bytes(title, &ask(address, good.replace(from, to).as_bytes()));
        if title == "no class in the header" {
            endpoint.next("").answer_with(200, "", "");
            scene.wait_for(0);
        }
    }
    pages.add_bytes("not found", &ask(address, b"GET /none HTTP/1.1\r\nHost: origin.svc\r\n\r\n"));
    pages.add_bytes("no HTTP", &ask(address, b"\x01\x02\x03\r\n\r\n"));
    let half = message("g", "order", &[("Content-Length: 9", "Content-Length: 10")]);
    pages.add_bytes("a body that does not come", &ask(address, &half));
    full(&mut pages);
    leave(&mut pages, scene);
    pages.finish()
}

/// Refused for want of room on the disk.
fn full(pages: &mut Pages) {
    let scene = Scene::new(&[draining("e0", 7)], "", |config| config["limits"]["disk_mb"] = 0.02.into());
    let refused = (0..1000)
        .map(|n| ask(scene.node.address, &message(&format!("m{n}"), "order", &[])))
        .find(|answer| !answer.starts_with(b"HTTP/1.1 202 "))
        .expect("there is no room at last");
    pages.add_bytes("refused, no room on the disk", &refused);
}

/// Clients that are sent away, and an end.
fn leave(pages: &mut Pages, mut scene: Scene) {
    scene.admin("POST", "/standby");
    pages.add_bytes("not ready", &ask(scene.node.address, READY));
    pages.add_bytes(
        "accepted, the last on its connection",
        &ask(scene.node.address, &message("z", "tick", &[("dest=7", "dest=8")])),
    );
    scene.node.signal("-TERM");
    pages.add("exit code at the end", &format!("{:?}", wait_out(&mut scene.node)));
}
