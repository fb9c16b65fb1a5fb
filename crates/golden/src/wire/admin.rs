//! Responses at the admin address.

use serde_json::json;
use test_doubles::{draining, listing};

use super::scripted::{Scene, Sections, Server, exchange, message, remove_ordered_class};

/// Returns the text of the kind `admin`.
pub fn text() -> String {
    let mut sections = Sections::default();
    let endpoint = Server::new();
    let scene = Scene::new(&[listing("e1", 7, "plain", endpoint.address), draining("e2", 8)], "", |_| {});
    for (title, method, target) in [
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
        sections.add_bytes(title, &scene.admin(method, target));
    }
    for (n, status) in [200, 200, 500].into_iter().enumerate() {
        assert!(
            exchange(scene.node.address, &message(&format!("m{n}"), "order", &[]))
                .starts_with(b"HTTP/1.1 202")
        );
        endpoint.next("").respond_with(status, "", "");
        if status == 500 {
            scene.platform.next("POST ").respond_with(204, "", "");
        }
        scene.wait_for_pending(0);
    }
    assert!(
        exchange(scene.node.address, &message("u", "note", &[("dest=7", "dest=9")]))
            .starts_with(b"HTTP/1.1 503")
    );
    assert!(
        exchange(scene.node.address, &message("h", "note", &[("dest=7", "dest=8")]))
            .starts_with(b"HTTP/1.1 202")
    );
    sections.add_bytes("figures after some messages", &scene.admin("GET", "/status/metrics"));
    cores(&mut sections);
    gossip_status(&mut sections);
    sections.finish()
}

fn cores(sections: &mut Sections) {
    let scene = Scene::new(&[draining("e1", 7)], "[cores]\ncount = 2\n", remove_ordered_class);
    sections.add_bytes("a core that is not there", &scene.admin("POST", "/cores/move?destination=7&core=2"));
    let answers = [0, 1].map(|core| scene.admin("POST", &format!("/cores/move?destination=7&core={core}")));
    // The core that has the destination first depends on the number of the destination alone.
    sections.add_bytes("a move to core 0", &answers[0]);
    sections.add_bytes("a move to core 1", &answers[1]);
    let figures = scene.admin("GET", "/status/metrics");
    let names: Vec<String> = String::from_utf8_lossy(&figures)
        .lines()
        .filter(|line| line.starts_with('#') || line.contains("core"))
        .map(|line| line.rsplit_once(' ').map_or(line, |(name, _)| name).to_owned())
        .collect();
    sections.add("names of figures with two cores", &names.join("\n"));
}

fn gossip_status(sections: &mut Sections) {
    let scene = Scene::new(&[draining("e1", 7)], "[shared]\non = true\nbytes = \"4kB\"\n", |config| {
        config["peer_listen"] = json!("127.0.0.1:0");
        config["peers"] = json!(["127.0.0.1:9", "127.0.0.1:9"]);
        config["settings"]["rank"] = json!(0);
        config["settings"]["balancers"] = json!(2);
    });
    let text = String::from_utf8_lossy(&scene.admin("GET", "/shared")).into_owned();
    // Suspected peers and counted bytes depend on time.
    let first_line = text.lines().find(|line| line.starts_with("senders ")).expect("a line").to_owned();
    let without_digits: String =
        first_line.chars().map(|c| if c.is_ascii_digit() { '0' } else { c }).collect();
    let words: Vec<&str> = without_digits.split(' ').filter(|word| !word.starts_with('0')).collect();
    sections.add("shared, its first line without numbers", &words.join(" "));
}
