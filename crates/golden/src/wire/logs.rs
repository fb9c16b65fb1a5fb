//! Log lines on which operators, tests and fault scenarios rely.

use test_doubles::{draining, listing, wait_until};

use super::scripted::{
    Scene, Sections, Server, exchange, message, normalize, remove_ordered_class, wait_for_exit,
};

/// Returns the text of the kind `logs`.
pub fn text() -> String {
    let mut sections = Sections::default();
    let endpoint = Server::new();
    let endpoints = [listing("e1", 7, "plain", endpoint.address), draining("e0", 8)];
    let scene = Scene::new(&endpoints, "[status]\nevery = \"100ms\"\n", |_| {});
    sections.add("status", &scene.wait_for_log_line("status"));
    scene.admin("POST", "/maintenance/enter?target=e1");
    scene.admin("POST", "/maintenance/exit?target=e1");
    scene.admin("POST", "/cores/move?destination=7&core=1");
    scene.admin("POST", "/standby");
    scene.admin("POST", "/active");
    scene.node.reconfigure("{");
    scene.node.signal("-HUP");
    sections.add("a configuration that can't be read", &scene.wait_for_log_line("the configuration stays"));
    assert!(exchange(scene.node.address, &message("a", "order", &[])).starts_with(b"HTTP/1.1 202 "));
    endpoint.next("").respond_with(500, "", "");
    scene.platform.next("POST ").respond_with(400, "", "");
    sections.add(
        "a notification that the platform does not read",
        &scene.wait_for_log_line("the platform does not read"),
    );
    let lines: Vec<String> = scene.log().into_iter().filter(|line| !line.starts_with("status")).collect();
    sections.add("all but status", &lines.join("\n"));
    restart(&mut sections);
    upgrade(&mut sections);
    cores(&mut sections);
    sections.finish()
}

/// Adds the log of a process that recovers messages after a kill.
fn restart(sections: &mut Sections) {
    let scene = Scene::new(&[draining("e0", 7)], "", |_| {});
    for id in ["a", "b"] {
        assert!(exchange(scene.node.address, &message(id, "order", &[])).starts_with(b"HTTP/1.1 202 "));
    }
    let mut scene = scene.kill_and_restart();
    sections.add("after a kill", &scene.wait_for_log_line(" is ready on "));
    scene.node.signal("-TERM");
    sections.add("exit code", &format!("{:?}", wait_for_exit(&mut scene.node)));
}

/// Adds the logs of a predecessor and a successor.
fn upgrade(sections: &mut Sections) {
    let mut scene = Scene::inheriting(&[draining("e0", 7)]);
    assert!(exchange(scene.node.address, &message("a", "order", &[])).starts_with(b"HTTP/1.1 202 "));
    let successor = scene.node.start_successor();
    scene.node.signal("-TERM");
    sections.add("exit code of the process before", &format!("{:?}", wait_for_exit(&mut scene.node)));
    wait_until(|| scene.node.log().iter().any(|line| line.contains("has handed over")));
    sections.add("the process before", &scene.log().join("\n"));
    sections.add(
        "the next process",
        &successor.log().iter().map(|line| normalize(line)).collect::<Vec<_>>().join("\n"),
    );
}

/// Adds log lines of a sender with two cores.
fn cores(sections: &mut Sections) {
    let scene = Scene::new(
        &[draining("e1", 7)],
        "[cores]\ncount = 2\n[status]\nevery = \"100ms\"\n",
        remove_ordered_class,
    );
    sections.add("two cores", &scene.wait_for_log_line(" is ready on "));
    sections.add("status of the first", &scene.wait_for_log_line("status core=0"));
}
