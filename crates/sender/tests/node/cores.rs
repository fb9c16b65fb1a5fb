//! Several cores of one sender: nothing is lost, doubled or sent too soon by any of them.

use super::program;
use standins::*;

/// Starts a sender with so many cores.
fn start(platform: &Platform, endpoints: &[serde_json::Value], cores: u32) -> (Node, tempfile::TempDir) {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("operators.toml");
    std::fs::write(&file, format!("[cores]\ncount = {cores}\n")).unwrap();
    let program = program().arg("--operators").arg(&file);
    let ops = |config: &mut serde_json::Value| config["ops"] = serde_json::json!("127.0.0.1:0");
    (Node::start(&program, platform, endpoints, ops), folder)
}

/// Whichever core a client's connection is on, and whichever owns the destination.
#[test]
fn messages_pass_through_any_core_to_any_other() {
    let (platform, served) = (Platform::new(), Served::new());
    let known: Vec<_> =
        (1..9).map(|dest| listing(&format!("e{dest}"), dest, "plain", served.address)).collect();
    let (node, _folder) = start(&platform, &known, 3);
    let mut clients: Vec<_> =
        (0..6).map(|_| Client::connect(node.address, std::time::Duration::from_secs(5)).unwrap()).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        for dest in 1..9 {
            let id = format!("m{n}-{dest}");
            client.say(&handing_in_with(&id, "order", dest, 20_000, b"x"));
            let call = served.next();
            assert_eq!(call.http.headers["req-id"], id);
            call.reply(status(200));
            assert_eq!(client.answer().unwrap().status(), 202);
        }
    }
}

/// Guards a restart with another number of cores: each finds what is its own then.
#[test]
fn what_was_taken_on_is_found_by_another_number_of_cores() {
    let (platform, served) = (Platform::new(), Served::new());
    let known: Vec<_> =
        (1..9).map(|dest| listing(&format!("e{dest}"), dest, "plain", served.address)).collect();
    let (node, folder) = start(&platform, &known, 4);
    let mut calls = Vec::new();
    for dest in 1..9 {
        assert_eq!(node.hand_in(&format!("m{dest}"), "note", dest, 20_000).status(), 202);
        calls.push(served.next());
    }
    let (mut node, operators) = (node, folder.path().join("operators.toml"));
    for cores in [2, 1, 5] {
        std::fs::write(&operators, format!("[cores]\ncount = {cores}\n")).unwrap();
        node = node.kill_and_restart();
        let mut again: Vec<_> = (1..9).map(|_| served.next()).collect();
        let mut ids: Vec<_> = again.iter().map(|call| call.http.headers["req-id"].clone()).collect();
        ids.sort();
        assert_eq!(ids, (1..9).map(|dest| format!("m{dest}")).collect::<Vec<_>>());
        calls.append(&mut again);
    }
    calls.into_iter().rev().take(8).for_each(|call| call.reply(status(200)));
    wait_until(|| node.figure("svc_open_requests") == 0);
}
