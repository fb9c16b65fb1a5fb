//! Log lines that people, tests and fault runs wait for.

use test_doubles::{draining, listing, wait_until};

use super::scripted::{Pages, Scene, Server, ask, message, normal, unordered, wait_out};

/// The text of this kind.
pub fn text() -> String {
    let mut pages = Pages::default();
    let endpoint = Server::new();
    let known = [listing("e1", 7, "plain", endpoint.address), draining("e0", 8)];
    let scene = Scene::new(&known, "[status]\nevery = \"100ms\"\n", |_| {});
    pages.add("status", &scene.line("status"));
    scene.admin("POST", "/maintenance/enter?target=e1");
    scene.admin("POST", "/maintenance/exit?target=e1");
    scene.admin("POST", "/cores/move?destination=7&core=1");
    scene.admin("POST", "/standby");
    scene.admin("POST", "/active");
    scene.node.reconfigure("{");
    scene.node.signal("-HUP");
    pages.add("a configuration that can't be read", &scene.line("the configuration stays"));
    assert!(ask(scene.node.address, &message("a", "order", &[])).starts_with(b"HTTP/1.1 202 "));
    endpoint.next("").answer_with(500, "", "");
    scene.platform.next("POST ").answer_with(400, "", "");
    pages.add("a notification that the platform does not read", &scene.line("the platform does not read"));
    let lines: Vec<String> = scene.log().into_iter().filter(|line| !line.starts_with("status")).collect();
    pages.add("all but status", &lines.join("\n"));
    restart(&mut pages);
    upgrade(&mut pages);
    cores(&mut pages);
    pages.finish()
}

/// What a restart says of what it found.
fn restart(pages: &mut Pages) {
    let scene = Scene::new(&[draining("e0", 7)], "", |_| {});
    for id in ["a", "b"] {
        assert!(ask(scene.node.address, &message(id, "order", &[])).starts_with(b"HTTP/1.1 202 "));
    }
    let mut scene = scene.killed_and_restarted();
    pages.add("after a kill", &scene.line(" is ready on "));
    scene.node.signal("-TERM");
    pages.add("exit code", &format!("{:?}", wait_out(&mut scene.node)));
}

/// Two processes, the second of which takes over.
fn upgrade(pages: &mut Pages) {
    let mut scene = Scene::inheriting(&[draining("e0", 7)]);
    assert!(ask(scene.node.address, &message("a", "order", &[])).starts_with(b"HTTP/1.1 202 "));
    let next = scene.node.start_successor();
    scene.node.signal("-TERM");
    pages.add("exit code of the process before", &format!("{:?}", wait_out(&mut scene.node)));
    wait_until(|| scene.node.log().iter().any(|line| line.contains("has handed over")));
    pages.add("the process before", &scene.log().join("\n"));
    pages.add("the next process", &next.log().iter().map(|line| normal(line)).collect::<Vec<_>>().join("\n"));
}

/// A sender with two cores.
fn cores(pages: &mut Pages) {
    let scene =
        Scene::new(&[draining("e1", 7)], "[cores]\ncount = 2\n[status]\nevery = \"100ms\"\n", unordered);
    pages.add("two cores", &scene.line(" is ready on "));
    pages.add("status of the first", &scene.line("status core=0"));
}
