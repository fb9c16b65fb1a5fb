//! Requests to discovery, and notifications of results.

use serde_json::json;
use test_doubles::{draining, listing};

use super::scripted::{Pages, Scene, Server, ask, message};

/// The text of this kind.
pub fn text() -> String {
    let mut pages = Pages::default();
    lists(&mut pages);
    notifications(&mut pages);
    restart(&mut pages);
    pages.finish()
}

fn lists(pages: &mut Pages) {
    let endpoint = Server::new();
    let scene = Scene::new(&[draining("e0", 7)], "", |_| {});
    let watch = scene.platform.next("GET ");
    pages.add_bytes("a watch from the version of the configuration", &watch.bytes);
    watch.answer_with(200, "", &json!({"index": 5, "endpoints": [draining("e1", 8)]}).to_string());
    let watch = scene.platform.next("GET ");
    pages.add_bytes("a watch from the version that was told", &watch.bytes);
    scene.wait_for_figure("svc_registry_entries", 2);
    watch.answer_with(200, "", "{\"index\": broken");
    let watch = scene.platform.next("GET ");
    pages.add_bytes("after a list that is broken", &watch.bytes);
    watch.answer_with(503, "", "");
    let watch = scene.platform.next("GET ");
    pages.add_bytes("after a refusal", &watch.bytes);
    let mut left = draining("e1", 8);
    left["status"] = json!("left");
    let entries = [left, listing("e2", 9, "plain", endpoint.address)];
    watch.answer_with(200, "", &json!({"index": 6, "endpoints": entries}).to_string());
    let watch = scene.platform.next("GET ");
    pages.add_bytes("after an endpoint left and another came", &watch.bytes);
    scene.wait_for_figure("svc_registry_entries", 2);
    assert!(
        ask(scene.node.address, &message("a", "order", &[("dest=7", "dest=9")])).starts_with(b"HTTP/1.1 202")
    );
    endpoint.next("").answer_with(200, "", "");
    // Discovery at another address: the list is asked for as a whole there.
    let other = Server::new();
    let mut configuration = scene.node.configuration();
    configuration["discovery"] = json!(other.address.to_string());
    scene.node.reconfigure(&configuration.to_string());
    scene.node.signal("-HUP");
    let whole = other.next("GET ");
    pages.add_bytes("the whole list from another address", &whole.bytes);
    drop(watch);
    // Without a known version it is asked for as a whole too.
    let scene = Scene::new(&[], "", |config| config["known"] = json!({}));
    pages.add_bytes("with no list in the configuration", &scene.platform.next("GET ").bytes);
}

fn notifications(pages: &mut Pages) {
    let endpoint = Server::new();
    let scene = Scene::new(&[draining("e0", 7), listing("e1", 8, "plain", endpoint.address)], "", |_| {});
    let submit = |id: &str, class: &str, changes: &[(&str, &str)]| {
        let answer = ask(scene.node.address, &message(id, class, changes));
        assert!(answer.starts_with(b"HTTP/1.1 202 "), "{}", answer.escape_ascii());
    };
    submit("a", "order", &[("Deadline-Ms: 20000", "Deadline-Ms: 300")]);
    let told = scene.platform.next("POST ");
    pages.add_bytes("deferred", &told.bytes);
    told.answer_with(500, "", "");
    let told = scene.platform.next("POST ");
    pages.add_bytes("deferred, after the platform failed", &told.bytes);
    told.answer_with(204, "", "");
    submit("b", "order", &[("dest=7", "dest=8")]);
    endpoint.next("").answer_with(500, "", "");
    let told = scene.platform.next("POST ");
    pages.add_bytes("undeliverable", &told.bytes);
    // Those that come while one is out are told together.
    for id in ["c", "d"] {
        submit(id, "order", &[("dest=7", "dest=8")]);
        endpoint.next("").answer_with(500, "", "");
    }
    told.answer_with(400, "", "");
    scene.wait_for(0);
    let mut more = Vec::new();
    while !["c", "d"].iter().all(|id| more.iter().any(|line: &String| line.contains(&format!("\"{id}\"")))) {
        let told = scene.platform.next("POST ");
        let body = String::from_utf8_lossy(&told.bytes).split_once("\r\n\r\n").expect("a head").1.to_owned();
        more.extend(body.lines().map(str::to_owned));
        told.answer_with(204, "", "");
    }
    pages.add("further lines", &more.join("\n"));
    submit("e", "note", &[("dest=7", "dest=8"), ("Deadline-Ms: 20000", "Deadline-Ms: 1000")]);
    endpoint.next("").answer_with(429, "Retry-After: 3\r\n", "");
    let told = scene.platform.next("POST ");
    pages.add_bytes("deferred, with a wait", &told.bytes);
    told.answer_with(204, "", "");
}

/// What a restart found attempted once already is undeliverable.
fn restart(pages: &mut Pages) {
    let endpoint = Server::new();
    let scene = Scene::new(&[listing("e1", 7, "plain", endpoint.address)], "", |_| {});
    assert!(ask(scene.node.address, &message("a", "order", &[])).starts_with(b"HTTP/1.1 202 "));
    let out = endpoint.next("");
    let scene = scene.killed_and_restarted();
    let told = scene.platform.next("POST ");
    pages.add_bytes("undeliverable, after a kill", &told.bytes);
    told.answer_with(204, "", "");
    drop(out);
}
