//! Several cores of one sender: nothing is lost, doubled or sent too soon by any of them.

use super::program;
use test_doubles::*;

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
    let (platform, served) = (Platform::new(), ScriptedServer::new());
    let known: Vec<_> =
        (1..9).map(|dest| listing(&format!("e{dest}"), dest, "plain", served.address)).collect();
    let (node, _folder) = start(&platform, &known, 3);
    let mut clients: Vec<_> =
        (0..6).map(|_| Client::connect(node.address, std::time::Duration::from_secs(5)).unwrap()).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        for dest in 1..9 {
            let id = format!("m{n}-{dest}");
            client.write(&submission_with(&id, "order", dest, 20_000, b"x"));
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
    let (platform, served) = (Platform::new(), ScriptedServer::new());
    let known: Vec<_> =
        (1..9).map(|dest| listing(&format!("e{dest}"), dest, "plain", served.address)).collect();
    let (node, folder) = start(&platform, &known, 4);
    let mut calls = Vec::new();
    for dest in 1..9 {
        assert_eq!(node.submit(&format!("m{dest}"), "note", dest, 20_000).status(), 202);
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
    wait_until(|| node.metric("svc_open_requests") == 0);
}

/// Tells a destination to go to a core, and waits until it has.
fn move_to(node: &Node, destination: u16, core: u8) {
    let before = node.metric("svc_destinations_moved");
    let told = node.ops("POST", &format!("/cores/move?destination={destination}&core={core}"));
    if told.status() == 202 {
        wait_until(|| node.metric("svc_destinations_moved") > before);
    } else {
        assert_eq!(told.status(), 200, "it is there already");
    }
}

/// Guards an order whose destination goes to another core while its call is out: its end is heard there, and a wait that
/// comes with it holds there.
#[test]
fn a_call_that_is_out_while_its_destination_moves_is_heard_by_the_new_owner() {
    let (platform, served) = (Platform::new(), ScriptedServer::new());
    let (node, _folder) = start(&platform, &[listing("e7", 7, "plain", served.address)], 3);
    for core in [0, 1, 2, 0] {
        assert_eq!(node.submit(&format!("a{core}"), "order", 7, 20_000).status(), 202);
        let call = served.next();
        move_to(&node, 7, core);
        wait_until(|| node.metric("svc_open_requests") == 1);
        let told = std::time::Instant::now();
        call.reply(Reply::Answer(429, vec![("retry-after", "0.400".into())], String::new()));
        let again = served.next();
        assert!(
            told.elapsed() >= std::time::Duration::from_millis(395),
            "the wait holds: {:?}",
            told.elapsed()
        );
        assert_eq!(again.http.headers["req-id"], format!("a{core}"));
        again.reply(status(200));
        wait_until(|| node.metric("svc_open_requests") == 0);
    }
    assert_eq!(node.ops("POST", "/cores/move?destination=7&core=3").status(), 404);
    assert_eq!(node.ops("POST", "/cores/move?destination=7").status(), 400);
}

/// Guards a drain and what is held out by hand against a core that has not heard of them.
#[test]
fn what_is_drained_or_held_out_gets_nothing_from_any_core() {
    let (platform, served) = (Platform::new(), ScriptedServer::new());
    let known: Vec<_> =
        (1..9).map(|dest| listing(&format!("e{dest}"), dest, "plain", served.address)).collect();
    let (node, _folder) = start(&platform, &known, 4);
    for dest in 1..9 {
        assert_eq!(node.ops("POST", &format!("/maintenance/enter?target=e{dest}")).status(), 200);
    }
    assert_eq!(node.metric("svc_out_of_rotation"), 8);
    for dest in 1..9 {
        assert_eq!(node.submit(&format!("m{dest}"), "note", dest, 20_000).status(), 202);
    }
    assert!(!served.has_unread_request(), "held out everywhere from the yes on");
    move_to(&node, 1, 3);
    move_to(&node, 1, 0);
    assert!(!served.has_unread_request());
    for dest in 1..9 {
        assert_eq!(node.ops("POST", &format!("/maintenance/exit?target=e{dest}")).status(), 200);
        served.next().reply(status(200));
    }
    wait_until(|| node.metric("svc_open_requests") == 0);
    assert_eq!(node.metric("svc_registry_entries"), 8);
}

/// Guards order over all destinations, which a core does not see.
#[test]
fn a_class_that_keeps_order_takes_one_core() {
    let platform = Platform::new();
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("operators.toml");
    std::fs::write(&file, "[cores]\ncount = 2\n").unwrap();
    let program = program().arg("--operators").arg(&file);
    let (_, log) = Node::fails_to_start(&program, &platform, |config| {
        config["settings"]["classes"][0]["in_order"] = serde_json::json!(true);
    });
    assert!(
        log.iter().any(|line| line.contains("class note keeps order") && line.contains("count = 1")),
        "{log:?}"
    );
}

/// Guards the hand-over of one sender with several cores to a process with another number of them: what is out on any
/// core's connection goes on, and clients of any core get their answers.
#[test]
fn a_process_with_other_cores_takes_over_what_all_had() {
    let held = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = held.local_addr().unwrap();
    let (platform, served) = (Platform::new(), ScriptedServer::new());
    let known: Vec<_> =
        (1..9).map(|dest| listing(&format!("e{dest}"), dest, "plain", served.address)).collect();
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("operators.toml");
    let program = program().arg("--operators").arg(&file).inheriting(&held);
    let cores = |count: u32| std::fs::write(&file, format!("[cores]\ncount = {count}\n")).unwrap();
    cores(3);
    let mut node = Node::start(&program, &platform, &known, |config| {
        config["listen"] = serde_json::json!(address.to_string());
        config["ops"] = serde_json::json!("127.0.0.1:0");
    });
    for count in [2, 1, 4] {
        let calls: Vec<_> = (1..9)
            .map(|dest| {
                assert_eq!(node.submit(&format!("m{count}-{dest}"), "order", dest, 20_000).status(), 202);
                served.next()
            })
            .collect();
        cores(count);
        let next = node.start_successor();
        assert_eq!(next.metric("svc_open_requests"), 8, "all of it is known there: {:?}", next.log());
        // They end on the old one's connections, after it handed over.
        calls.into_iter().for_each(|call| call.reply(status(200)));
        wait_until(|| next.metric("svc_open_requests") == 0);
        wait_until(|| node.has_ended());
        node = next;
    }
    assert!(!served.has_unread_request(), "no order is sent again");
}
