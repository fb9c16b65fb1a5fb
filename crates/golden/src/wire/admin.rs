//! Answers at the admin address.

use serde_json::json;
use test_doubles::{draining, listing};

use super::scripted::{Pages, Scene, Server, ask, message, unordered};

/// The text of this kind.
pub fn text() -> String {
    let mut pages = Pages::default();
    let endpoint = Server::new();
    let scene = Scene::new(&[listing("e1", 7, "plain", endpoint.address), draining("e2", 8)], "", |_| {});
    for (title, method, call) in [
        ("status", "GET", "/status"),
        ("figures at the start", "GET", "/status/metrics"),
        ("nothing shared", "GET", "/shared"),
        ("no such call", "GET", "/none"),
        ("no such call, to do", "POST", "/none"),
        ("to ask with POST", "POST", "/status"),
        ("to do with GET", "GET", "/standby"),
        ("to do with PUT", "PUT", "/standby"),
        ("an endpoint without a name", "POST", "/maintenance/enter"),
        ("an endpoint with two names", "POST", "/maintenance/enter?target=e1&target=e2"),
        ("an endpoint that no list named", "POST", "/maintenance/enter?target=e9"),
        ("out of rotation", "POST", "/maintenance/enter?target=e1"),
        ("out of rotation again", "POST", "/maintenance/enter?target=e1"),
        ("figures, one out of rotation", "GET", "/status/metrics"),
        ("in rotation again", "POST", "/maintenance/exit?target=e1"),
        ("in rotation, an endpoint that no list named", "POST", "/maintenance/exit?target=e9"),
        ("standby", "POST", "/standby"),
        ("status at standby", "GET", "/status"),
        ("active", "POST", "/active"),
        ("a move without a core", "POST", "/cores/move?destination=7"),
        ("a move without a destination", "POST", "/cores/move?core=1"),
        ("a move with a word", "POST", "/cores/move?destination=7&core=one"),
        ("a move with one core", "POST", "/cores/move?destination=7&core=1"),
    ] {
        pages.add_bytes(title, &scene.admin(method, call));
    }
    for (n, status) in [200, 200, 500].into_iter().enumerate() {
        assert!(
            ask(scene.node.address, &message(&format!("m{n}"), "order", &[])).starts_with(b"HTTP/1.1 202")
        );
        endpoint.next("").answer_with(status, "", "");
        if status == 500 {
            scene.platform.next("POST ").answer_with(204, "", "");
        }
        scene.wait_for(0);
    }
    assert!(
        ask(scene.node.address, &message("u", "note", &[("dest=7", "dest=9")])).starts_with(b"HTTP/1.1 503")
    );
    assert!(
        ask(scene.node.address, &message("h", "note", &[("dest=7", "dest=8")])).starts_with(b"HTTP/1.1 202")
    );
    pages.add_bytes("figures after some messages", &scene.admin("GET", "/status/metrics"));
    cores(&mut pages);
    shared(&mut pages);
    pages.finish()
}

fn cores(pages: &mut Pages) {
    let scene = Scene::new(&[draining("e1", 7)], "[cores]\ncount = 2\n", unordered);
    pages.add_bytes("a core that is not there", &scene.admin("POST", "/cores/move?destination=7&core=2"));
    let answers = [0, 1].map(|core| scene.admin("POST", &format!("/cores/move?destination=7&core={core}")));
    // Which core has it at first is a matter of its number alone.
    pages.add_bytes("a move to core 0", &answers[0]);
    pages.add_bytes("a move to core 1", &answers[1]);
    let figures = scene.admin("GET", "/status/metrics");
    let names: Vec<String> = String::from_utf8_lossy(&figures)
        .lines()
        .filter(|line| line.starts_with('#') || line.contains("core"))
        .map(|line| line.rsplit_once(' ').map_or(line, |(name, _)| name).to_owned())
        .collect();
    pages.add("names of figures with two cores", &names.join("\n"));
}

fn shared(pages: &mut Pages) {
    let scene = Scene::new(&[draining("e1", 7)], "[shared]\non = true\nbytes = \"4kB\"\n", |config| {
        config["peer_listen"] = json!("127.0.0.1:0");
        config["peers"] = json!(["127.0.0.1:9", "127.0.0.1:9"]);
        config["settings"]["rank"] = json!(0);
        config["settings"]["balancers"] = json!(2);
    });
    let text = String::from_utf8_lossy(&scene.admin("GET", "/shared")).into_owned();
    // Peers are suspected, and bytes counted, as time passes.
    let first = text.lines().find(|line| line.starts_with("senders ")).expect("a line").to_owned();
    let shape: String = first.chars().map(|c| if c.is_ascii_digit() { '0' } else { c }).collect();
    let words: Vec<&str> = shape.split(' ').filter(|word| !word.starts_with('0')).collect();
    pages.add("shared, its first line without numbers", &words.join(" "));
}
