//! Requests to discovery, and notifications of outcomes.

use std::time::Duration;

use serde_json::json;
use test_doubles::{draining, listing};

use super::scripted::{Request, Scene, Sections, Server, exchange, message};

/// Returns the text of the kind `platform`.
pub fn text() -> String {
    let mut sections = Sections::default();
    lists(&mut sections);
    notifications(&mut sections);
    restart(&mut sections);
    sections.finish()
}

fn lists(sections: &mut Sections) {
    let endpoint = Server::new();
    let scene = Scene::new(&[draining("e0", 7)], "", |_| {});
    let watch = scene.platform.next("GET ");
    sections.add_bytes("a watch from the version of the configuration", &watch.bytes);
    watch.respond_with(200, "", &json!({"index": 5, "endpoints": [draining("e1", 8)]}).to_string());
    let watch = scene.platform.next("GET ");
    sections.add_bytes("a watch from the version that was told", &watch.bytes);
    scene.wait_for_metric("svc_registry_entries", 2);
    watch.respond_with(200, "", "{\"index\": broken");
    let watch = scene.platform.next("GET ");
    sections.add_bytes("after a list that is broken", &watch.bytes);
    watch.respond_with(503, "", "");
    let watch = scene.platform.next("GET ");
    sections.add_bytes("after a refusal", &watch.bytes);
    let mut removed = draining("e1", 8);
    removed["status"] = json!("left");
    let entries = [removed, listing("e2", 9, "plain", endpoint.address)];
    watch.respond_with(200, "", &json!({"index": 6, "endpoints": entries}).to_string());
    let watch = scene.platform.next("GET ");
    sections.add_bytes("after an endpoint left and another came", &watch.bytes);
    scene.wait_for_metric("svc_registry_entries", 2);
    assert!(
        exchange(scene.node.address, &message("a", "order", &[("dest=7", "dest=9")]))
            .starts_with(b"HTTP/1.1 202")
    );
    endpoint.next("").respond_with(200, "", "");
    // With discovery at another address, the sender requests the complete list there.
    let other_discovery = Server::new();
    let mut configuration = scene.node.configuration();
    configuration["discovery"] = json!(other_discovery.address.to_string());
    scene.node.reconfigure(&configuration.to_string());
    scene.node.signal("-HUP");
    let list_request = other_discovery.next("GET ");
    sections.add_bytes("the whole list from another address", &list_request.bytes);
    drop(watch);
    // The sender also requests the complete list if the configuration has no list version.
    let scene = Scene::new(&[], "", |config| config["known"] = json!({}));
    sections.add_bytes("with no list in the configuration", &scene.platform.next("GET ").bytes);
}

/// A notification that has no answer after this time may arrive a second time, over another connection. Half of the sender's
/// delay, which begins before the notification arrives.
const REPEAT_DELAY: Duration = Duration::from_millis(50);

/// The notifications that a platform receives. Those that it answered late may arrive once more, which the recording leaves out.
struct Notifications<'a> {
    platform: &'a Server,
    answered_late: Vec<Vec<u8>>,
}

impl Notifications<'_> {
    /// Waits for the next notification that is not one answered late.
    fn next(&mut self) -> Request {
        loop {
            let notification = self.platform.next("POST ");
            let repeated = self.answered_late.iter().position(|bytes| *bytes == notification.bytes);
            let Some(repeated) = repeated else { return notification };
            self.answered_late.remove(repeated);
            notification.respond_with(204, "", "");
        }
    }

    /// Answers a notification.
    fn answer(&mut self, notification: Request, status: u16) {
        if notification.age() >= REPEAT_DELAY {
            self.answered_late.push(notification.bytes.clone());
        }
        notification.respond_with(status, "", "");
    }
}

fn notifications(sections: &mut Sections) {
    let endpoint = Server::new();
    // A destination for each call: one that has failed for a while gets no further call, and a busy machine makes it a while.
    let listed = |destination| listing(&format!("e{destination}"), destination, "plain", endpoint.address);
    let endpoints = [draining("e0", 7), listed(8), listed(9), listed(10), listed(11)];
    let scene = Scene::new(&endpoints, "", |_| {});
    let mut platform = Notifications { platform: &scene.platform, answered_late: Vec::new() };
    let submit = |id: &str, class: &str, changes: &[(&str, &str)]| {
        let answer = exchange(scene.node.address, &message(id, class, changes));
        assert!(answer.starts_with(b"HTTP/1.1 202 "), "{}", answer.escape_ascii());
    };
    submit("a", "order", &[("Deadline-Ms: 20000", "Deadline-Ms: 300")]);
    let notification = platform.next();
    sections.add_bytes("deferred", &notification.bytes);
    platform.answer(notification, 500);
    let notification = platform.next();
    sections.add_bytes("deferred, after the platform failed", &notification.bytes);
    platform.answer(notification, 204);
    submit("b", "order", &[("dest=7", "dest=8")]);
    endpoint.next("").respond_with(500, "", "");
    let notification = platform.next();
    sections.add_bytes("undeliverable", &notification.bytes);
    // Notifications that become due while one is in flight are sent together.
    for (id, destination) in [("c", "dest=9"), ("d", "dest=10")] {
        submit(id, "order", &[("dest=7", destination)]);
        endpoint.next("").respond_with(500, "", "");
    }
    platform.answer(notification, 400);
    scene.wait_for_pending(0);
    let mut further_lines = Vec::new();
    while !["c", "d"]
        .iter()
        .all(|id| further_lines.iter().any(|line: &String| line.contains(&format!("\"{id}\""))))
    {
        let notification = platform.next();
        let body =
            String::from_utf8_lossy(&notification.bytes).split_once("\r\n\r\n").expect("a head").1.to_owned();
        further_lines.extend(body.lines().map(str::to_owned));
        platform.answer(notification, 204);
    }
    sections.add("further lines", &further_lines.join("\n"));
    submit("e", "note", &[("dest=7", "dest=11"), ("Deadline-Ms: 20000", "Deadline-Ms: 1000")]);
    endpoint.next("").respond_with(429, "Retry-After: 3\r\n", "");
    let notification = platform.next();
    sections.add_bytes("deferred, with a wait", &notification.bytes);
    platform.answer(notification, 204);
}

/// Adds the notification of a non-idempotent message that a restart recovered with an attempt: it is undeliverable.
fn restart(sections: &mut Sections) {
    let endpoint = Server::new();
    let scene = Scene::new(&[listing("e1", 7, "plain", endpoint.address)], "", |_| {});
    assert!(exchange(scene.node.address, &message("a", "order", &[])).starts_with(b"HTTP/1.1 202 "));
    let interrupted = endpoint.next("");
    let scene = scene.kill_and_restart();
    let notification = scene.platform.next("POST ");
    sections.add_bytes("undeliverable, after a kill", &notification.bytes);
    notification.respond_with(204, "", "");
    drop(interrupted);
}
