//! A sender with several cores: no core loses a message, sends it twice or sends it too early.

use super::program;
use test_doubles::*;

/// Starts a sender with that number of cores and an admin interface.
fn start(platform: &Platform, endpoints: &[serde_json::Value], cores: u32) -> (Node, tempfile::TempDir) {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("operators.toml");
    std::fs::write(&file, format!("[cores]\ncount = {cores}\n")).unwrap();
    let program = program().arg("--operators").arg(&file);
    let set_admin_address = |config: &mut serde_json::Value| config["ops"] = serde_json::json!("127.0.0.1:0");
    (Node::start(&program, platform, endpoints, set_admin_address), folder)
}

/// A message is delivered whichever core its client's connection is on and whichever core owns its destination.
#[test]
fn delivers_messages_from_any_core_to_any_other() {
    let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
    let endpoints: Vec<_> =
        (1..9).map(|dest| listing(&format!("e{dest}"), dest, "plain", endpoint.address)).collect();
    let (node, _folder) = start(&platform, &endpoints, 3);
    let mut clients: Vec<_> =
        (0..6).map(|_| Client::connect(node.address, std::time::Duration::from_secs(5)).unwrap()).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        for dest in 1..9 {
            let id = format!("m{n}-{dest}");
            client.write(&submission_with(&id, "order", dest, 20_000, b"x"));
            let call = endpoint.next();
            assert_eq!(call.http.headers["req-id"], id);
            call.reply(status(200));
            assert_eq!(client.answer().unwrap().status(), 202);
        }
    }
}

/// After a restart with another number of cores each core recovers the messages of the destinations that it owns then.
#[test]
fn restart_with_other_core_count_recovers_all_messages() {
    let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
    let endpoints: Vec<_> =
        (1..9).map(|dest| listing(&format!("e{dest}"), dest, "plain", endpoint.address)).collect();
    let (node, folder) = start(&platform, &endpoints, 4);
    let mut calls = Vec::new();
    for dest in 1..9 {
        assert_eq!(node.submit(&format!("m{dest}"), "note", dest, 20_000).status(), 202);
        calls.push(endpoint.next());
    }
    let (mut node, operators) = (node, folder.path().join("operators.toml"));
    for cores in [2, 1, 5] {
        std::fs::write(&operators, format!("[cores]\ncount = {cores}\n")).unwrap();
        node = node.kill_and_restart();
        let mut resent: Vec<_> = (1..9).map(|_| endpoint.next()).collect();
        let mut ids: Vec<_> = resent.iter().map(|call| call.http.headers["req-id"].clone()).collect();
        ids.sort();
        assert_eq!(ids, (1..9).map(|dest| format!("m{dest}")).collect::<Vec<_>>());
        calls.append(&mut resent);
    }
    calls.into_iter().rev().take(8).for_each(|call| call.reply(status(200)));
    wait_until(|| node.metric("svc_open_requests") == 0);
}

/// Moves a destination to a core, and waits until the move is complete.
fn move_destination(node: &Node, destination: u16, core: u8) {
    let moved_before = node.metric("svc_destinations_moved");
    let answer = node.ops("POST", &format!("/cores/move?destination={destination}&core={core}"));
    if answer.status() == 202 {
        wait_until(|| node.metric("svc_destinations_moved") > moved_before);
    } else {
        assert_eq!(answer.status(), 200, "the destination is on that core already");
    }
}

/// When a destination moves to another core while a call of a non-idempotent message is in flight, the new owner must process
/// the call's outcome and obey a Retry-After that comes with it (here 0.4 s).
#[test]
fn outcome_of_call_in_flight_reaches_new_owner_of_moved_destination() {
    let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
    let (node, _folder) = start(&platform, &[listing("e7", 7, "plain", endpoint.address)], 3);
    for (round, core) in [0, 1, 2, 0].into_iter().enumerate() {
        assert_eq!(node.submit(&format!("a{round}"), "order", 7, 20_000).status(), 202);
        let call = endpoint.next();
        move_destination(&node, 7, core);
        wait_until(|| node.metric("svc_open_requests") == 1);
        let replied_at = std::time::Instant::now();
        call.reply(Reply::Answer(429, vec![("retry-after", "0.400".into())], String::new()));
        let resent = endpoint.next();
        assert!(
            replied_at.elapsed() >= std::time::Duration::from_millis(395),
            "the new owner obeys Retry-After: {:?}",
            replied_at.elapsed()
        );
        assert_eq!(resent.http.headers["req-id"], format!("a{round}"));
        resent.reply(status(200));
        wait_until(|| node.metric("svc_open_requests") == 0);
    }
    assert_eq!(node.ops("POST", "/cores/move?destination=7&core=3").status(), 404);
    assert_eq!(node.ops("POST", "/cores/move?destination=7").status(), 400);
}

/// No core may call a draining endpoint or one that on-call staff ejected, whichever core received the request to eject it.
#[test]
fn no_core_calls_an_ejected_endpoint() {
    let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
    let endpoints: Vec<_> =
        (1..9).map(|dest| listing(&format!("e{dest}"), dest, "plain", endpoint.address)).collect();
    let (node, _folder) = start(&platform, &endpoints, 4);
    for dest in 1..9 {
        assert_eq!(node.ops("POST", &format!("/maintenance/enter?target=e{dest}")).status(), 200);
    }
    assert_eq!(node.metric("svc_out_of_rotation"), 8);
    for dest in 1..9 {
        assert_eq!(node.submit(&format!("m{dest}"), "note", dest, 20_000).status(), 202);
    }
    assert!(!endpoint.has_unread_request(), "ejected on all cores once the request is answered");
    move_destination(&node, 1, 3);
    move_destination(&node, 1, 0);
    assert!(!endpoint.has_unread_request());
    for dest in 1..9 {
        assert_eq!(node.ops("POST", &format!("/maintenance/exit?target=e{dest}")).status(), 200);
        endpoint.next().reply(status(200));
    }
    wait_until(|| node.metric("svc_open_requests") == 0);
    assert_eq!(node.metric("svc_registry_entries"), 8);
}

/// A class that keeps order over all destinations needs one core, since a core does not see the destinations of the others.
#[test]
fn class_that_keeps_order_requires_one_core() {
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

/// A sender with several cores hands over to a process with another number of cores: calls in flight on any core's connection
/// continue, and clients of any core get their answers.
#[test]
fn successor_with_other_core_count_takes_over_all_calls() {
    let socket = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = socket.local_addr().unwrap();
    let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
    let endpoints: Vec<_> =
        (1..9).map(|dest| listing(&format!("e{dest}"), dest, "plain", endpoint.address)).collect();
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("operators.toml");
    let program = program().arg("--operators").arg(&file).inheriting(&socket);
    let set_cores = |count: u32| std::fs::write(&file, format!("[cores]\ncount = {count}\n")).unwrap();
    set_cores(3);
    let mut node = Node::start(&program, &platform, &endpoints, |config| {
        config["listen"] = serde_json::json!(address.to_string());
        config["ops"] = serde_json::json!("127.0.0.1:0");
    });
    for count in [2, 1, 4] {
        let calls: Vec<_> = (1..9)
            .map(|dest| {
                assert_eq!(node.submit(&format!("m{count}-{dest}"), "order", dest, 20_000).status(), 202);
                endpoint.next()
            })
            .collect();
        set_cores(count);
        let successor = node.start_successor();
        assert_eq!(
            successor.metric("svc_open_requests"),
            8,
            "the successor has all open messages: {:?}",
            successor.log()
        );
        // The calls end on the predecessor's connections, after it has handed over.
        calls.into_iter().for_each(|call| call.reply(status(200)));
        wait_until(|| successor.metric("svc_open_requests") == 0);
        wait_until(|| node.has_ended());
        node = successor;
    }
    assert!(!endpoint.has_unread_request(), "no message is sent again");
}
