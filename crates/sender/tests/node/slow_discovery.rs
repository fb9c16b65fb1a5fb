//! Discovery that is slow: its answers take up to two seconds, come in pieces, or come after a time of silence.

use std::net::TcpListener;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use test_doubles::*;

use super::program;

/// The longest time that discovery takes for an answer (`timeout_ms` of `[discovery]` in the bench's page).
const SLOWEST_ANSWER: Duration = Duration::from_secs(2);
/// A change counts as told this long after SIGHUP (LATER, "New configurations and restarts").
const TOLD_AFTER_SIGHUP: Duration = Duration::from_secs(4);
/// A change counts as told this long after discovery had it and could be reached (STANDING).
const TOLD_AFTER_REACHABLE: Duration = Duration::from_secs(6);
const AT_ONCE: AnswerPace = AnswerPace::After(Duration::ZERO);
const SLOW: AnswerPace = AnswerPace::After(SLOWEST_ANSWER);

/// Sets the address of discovery in the configuration and sends SIGHUP. Returns when.
fn move_discovery(node: &Node, to: &Discovery) -> Instant {
    let mut config = node.configuration();
    config["discovery"] = json!(to.address.to_string());
    node.reconfigure(&config.to_string());
    node.signal("-HUP");
    Instant::now()
}

/// Starts a sender with this discovery and this list in its configuration.
fn start(discovery: &Discovery, known: &[Value]) -> Node {
    Node::start(&program(), &Platform::new(), known, |config| {
        config["discovery"] = json!(discovery.address.to_string());
    })
}

/// Starts a sender on a listening socket that the platform holds open, so that a successor can take over.
fn start_with_successor(discovery: &Discovery, known: &[Value]) -> Node {
    let socket = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = socket.local_addr().unwrap().to_string();
    Node::start(&program().inheriting(&socket), &Platform::new(), known, |config| {
        (config["listen"], config["ops"]) = (json!(address), json!("127.0.0.1:0"));
        config["discovery"] = json!(discovery.address.to_string());
    })
}

/// Publishes a list with one entry more than may wait to be applied.
fn publish_too_many(discovery: &Discovery) {
    let entry = |n| json!({"name": format!("m{n}"), "group": 9, "status": "leaving"});
    discovery.publish(&(0..=200_000).map(entry).collect::<Vec<_>>());
}

/// Whether the sender accepts a message for this destination, which it does once a list has named it.
fn knows(node: &Node, id: &str, destination: u16) -> bool {
    node.submit(id, "note", destination, 20_000).status() == 202
}

/// A request for the full list was given up after a second and sent anew, so that an answer that takes longer was never read.
#[test]
fn full_list_after_sighup_is_read_however_slow_the_answer_is() {
    let old = Discovery::new(1, &[draining("e0", 7)], AT_ONCE);
    let new = Discovery::new(41, &[draining("e1", 8)], SLOW);
    let node = start(&old, &[draining("e0", 7)]);
    old.next();
    let moved_at = move_discovery(&node, &new);
    new.watched_from(41, TOLD_AFTER_SIGHUP);
    assert!(moved_at.elapsed() < TOLD_AFTER_SIGHUP);
    wait_until(|| knows(&node, "a", 8));
}

/// A second configuration that comes while the answer under the first is under way starts over at the new address; further
/// signals with the same address must not, or the answer is never read.
#[test]
fn configurations_in_quick_succession_delay_the_list_no_longer_than_one() {
    let old = Discovery::new(1, &[draining("e0", 7)], AT_ONCE);
    let skipped = Discovery::new(90, &[draining("e1", 8)], SLOW);
    let newest = Discovery::new(41, &[draining("e2", 9)], SLOW);
    let node = start(&old, &[draining("e0", 7)]);
    old.next();
    move_discovery(&node, &skipped);
    assert_eq!(skipped.next().path, "/v1/endpoints");
    let moved_at = move_discovery(&node, &newest);
    assert_eq!(newest.next().path, "/v1/endpoints", "versions of two instances of discovery are not mixed");
    while moved_at.elapsed() < SLOWEST_ANSWER / 2 {
        std::thread::sleep(Duration::from_millis(100));
        node.signal("-HUP");
    }
    newest.watched_from(41, TOLD_AFTER_SIGHUP);
    assert!(moved_at.elapsed() < TOLD_AFTER_SIGHUP);
    wait_until(|| knows(&node, "a", 9));
    assert!(!knows(&node, "b", 8), "the answer of the address before is not applied");
}

/// What a silent discovery was asked is never answered: the list has to be requested anew, and that answer may be slow.
#[test]
fn discovery_that_is_silent_and_then_slow_is_read_in_time() {
    let old = Discovery::new(1, &[draining("e0", 7)], AT_ONCE);
    let new = Discovery::new(41, &[draining("e1", 8)], AnswerPace::Silent);
    let node = start(&old, &[draining("e0", 7)]);
    old.next();
    move_discovery(&node, &new);
    for _ in 0..3 {
        new.next();
    }
    new.set_pace(SLOW);
    let reachable_at = Instant::now();
    new.watched_from(41, TOLD_AFTER_REACHABLE);
    assert!(reachable_at.elapsed() < TOLD_AFTER_REACHABLE);
    wait_until(|| knows(&node, "a", 8));
}

/// A successor that took over while its predecessor's list was incomplete never requested the full list.
#[test]
fn successor_of_a_sender_with_an_incomplete_list_requests_the_full_list() {
    let discovery = Discovery::new(1, &[], AT_ONCE);
    let predecessor = start_with_successor(&discovery, &[draining("e0", 7)]);
    discovery.next();
    discovery.set_pace(AnswerPace::Silent);
    publish_too_many(&discovery);
    while discovery.next().path != "/v1/endpoints" {}
    let index = discovery.publish(&[draining("e1", 8)]);
    discovery.set_pace(AT_ONCE);
    let successor = predecessor.start_successor();
    let watch = std::iter::repeat_with(|| discovery.next().path).find(|path| path != "/v1/endpoints");
    assert!(
        watch.unwrap().contains(&format!("?from={index}&")),
        "not from the version of the incomplete list"
    );
    wait_until(|| knows(&successor, "a", 8));
}

/// After updates that were too many to apply, the full list is requested; a slow answer to that was never read either.
#[test]
fn full_list_after_too_many_updates_is_read_however_slow_the_answer_is() {
    let discovery = Discovery::new(1, &[], AT_ONCE);
    let node = start(&discovery, &[draining("e0", 7)]);
    discovery.next();
    discovery.set_pace(SLOW);
    publish_too_many(&discovery);
    while discovery.next().path != "/v1/endpoints" {}
    let index = discovery.publish(&[draining("e1", 8)]);
    let requested_at = Instant::now();
    discovery.watched_from(index, TOLD_AFTER_REACHABLE);
    assert!(requested_at.elapsed() < TOLD_AFTER_REACHABLE);
    wait_until(|| knows(&node, "a", 8));
}

/// An answer to a long poll that comes two seconds after the end of its hold was given up half a second before.
#[test]
fn late_answer_to_a_long_poll_is_read() {
    let discovery = Discovery::new(1, &[draining("e0", 7)], SLOW);
    let _node = start(&discovery, &[draining("e0", 7)]);
    discovery.next();
    // The first poll is overdue. It is answered half a second later, with the list as it is then.
    let second = discovery.next();
    let index = discovery.publish(&[draining("e1", 8)]);
    let (read_at, _) = discovery.watched_from(index, TOLD_AFTER_REACHABLE);
    let waited = read_at - second.at;
    assert!(waited < SLOWEST_ANSWER, "the first answer was not read: {waited:?}");
}

/// A discovery that answers in time gets one request for the full list and one for its changes, and no further one.
#[test]
fn quick_discovery_gets_no_further_request() {
    let old = Discovery::new(1, &[draining("e0", 7)], AT_ONCE);
    let new = Discovery::new(41, &[draining("e1", 8)], AnswerPace::After(Duration::from_millis(700)));
    let node = start(&old, &[draining("e0", 7)]);
    assert!(old.next().path.contains("?from=1&"));
    move_discovery(&node, &new);
    let (_, earlier) = new.watched_from(41, TIMEOUT);
    assert_eq!(earlier, 1);
    assert!(new.requests.recv_timeout(Duration::from_secs(3)).is_err(), "one watch is open and nothing else");
    assert!(old.requests.try_recv().is_err(), "nothing goes to the old address");
}

/// A successor that took over while the first answer of a new address was under way watched that address from the version
/// of the address before.
#[test]
fn successor_requests_the_full_list_that_its_predecessor_waited_for() {
    let old = Discovery::new(50, &[draining("e0", 7)], AT_ONCE);
    let new = Discovery::new(41, &[draining("e1", 8)], SLOW);
    let predecessor = start_with_successor(&old, &[draining("e0", 7)]);
    old.watched_from(50, TIMEOUT);
    move_discovery(&predecessor, &new);
    new.next();
    let successor = predecessor.start_successor();
    let (_, earlier) = new.watched_from(41, TOLD_AFTER_REACHABLE);
    assert!(earlier > 0, "the successor requests the full list first");
    wait_until(|| knows(&successor, "a", 8));
}

/// A new address that came while the first poll was delayed was watched from the version of the address before.
#[test]
fn address_that_changes_before_the_first_poll_is_asked_for_the_full_list() {
    let old = Discovery::new(50, &[draining("e0", 7)], AT_ONCE);
    let new = Discovery::new(41, &[draining("e1", 8)], AT_ONCE);
    let node = Node::start(&program(), &Platform::new(), &[draining("e0", 7)], |config| {
        config["discovery"] = json!(old.address.to_string());
        config["known"]["index"] = json!(50);
        // Many senders spread their first polls over up to two seconds; this seed's delay is over one.
        config["settings"]["balancers"] = json!(300);
        config["settings"]["obligations"]["stop_sending_within_us"] = json!(10_000_000);
        config["seed"] = json!("3");
    });
    move_discovery(&node, &new);
    assert_eq!(new.next().path, "/v1/endpoints");
    assert!(old.requests.try_recv().is_err(), "the first poll was delayed");
    wait_until(|| knows(&node, "a", 8));
}

/// Guards against calls to a partner's new process at the address of another partner's that has gone: discovery started anew at
/// its address too, and was watched from the version of the instance before.
#[test]
fn new_instance_at_the_address_of_discovery_is_asked_for_the_full_list() {
    for version in [3, 41, 60] {
        let discovery = Discovery::new(41, &[draining("e1", 7)], AT_ONCE);
        let node = start(&discovery, &[draining("e1", 7)]);
        discovery.watched_from(41, TOLD_AFTER_REACHABLE);
        discovery.restart(version, &[draining("e2", 8)]);
        let restarted_at = Instant::now();
        discovery.watched_from(version, TOLD_AFTER_REACHABLE);
        wait_until(|| knows(&node, "a", 8));
        assert!(restarted_at.elapsed() < TOLD_AFTER_REACHABLE, "{:?}", restarted_at.elapsed());
    }
}

/// Guards against requests in a tight loop to discovery that answers requests for the full list and cuts off each watch.
#[test]
fn discovery_that_cuts_off_each_watch_is_not_flooded() {
    /// A request for the full list and a watch in each 50 ms, the delay after a broken connection.
    const MAX_REQUESTS: usize = 2 * 21;
    let list = [draining("e0", 7)];
    let discovery = Discovery::new(41, &list, AT_ONCE);
    let node = start(&discovery, &list);
    discovery.watched_from(41, TOLD_AFTER_REACHABLE);
    discovery.restart(41, &list);
    let end = Instant::now() + Duration::from_secs(1);
    let mut requests = 0;
    while let Ok(request) = discovery.requests.recv_timeout(end.saturating_duration_since(Instant::now())) {
        requests += 1;
        if request.path.contains("from=") {
            discovery.restart(41, &list);
        }
    }
    assert!((4..=MAX_REQUESTS).contains(&requests), "{requests} requests within a second");
    assert!(knows(&node, "a", 7));
}

/// The head of an answer had half a second from its first byte, and its body five seconds in all.
#[test]
fn lists_that_arrive_in_pieces_are_read() {
    let pace = AnswerPace::InPieces(SLOWEST_ANSWER);
    let first = Discovery::new(5, &[draining("e1", 8)], pace);
    let second = Discovery::new(41, &[draining("e2", 9)], pace);
    let node = start(&first, &[draining("e0", 7)]);
    first.watched_from(5, TOLD_AFTER_REACHABLE);
    let moved_at = move_discovery(&node, &second);
    second.watched_from(41, TOLD_AFTER_SIGHUP);
    assert!(moved_at.elapsed() < TOLD_AFTER_SIGHUP);
    // A change, which the watch reports in pieces too.
    second.publish(&[draining("e3", 10)]);
    second.watched_from(42, TOLD_AFTER_REACHABLE);
    wait_until(|| knows(&node, "a", 10));
}

/// A watch whose answer stops in the middle is silent from then on: that has to be noticed as soon as for any other request,
/// not at the end of its hold.
#[test]
fn watch_that_falls_silent_within_its_answer_is_replaced_in_time() {
    let discovery = Discovery::new(1, &[draining("e0", 7)], AnswerPace::Stops);
    let node = start(&discovery, &[draining("e0", 7)]);
    discovery.next();
    discovery.set_pace(SLOW);
    let index = discovery.publish(&[draining("e1", 8)]);
    let silent_from = Instant::now();
    discovery.watched_from(index, TOLD_AFTER_REACHABLE);
    assert!(silent_from.elapsed() < TOLD_AFTER_REACHABLE);
    wait_until(|| knows(&node, "a", 8));
}

/// Seed of the random run; `DISCOVERY_SEED` sets another one, and `DISCOVERY_SECONDS` another length.
const SEED: u64 = 61;
const SECONDS: u64 = 30;

/// A pace at which discovery answers within its longest time.
fn random_pace(rng: &mut fastrand::Rng) -> AnswerPace {
    let time = SLOWEST_ANSWER.mul_f64(rng.f64());
    match rng.u8(0..3) {
        0 => AT_ONCE,
        1 => AnswerPace::After(time),
        _ => AnswerPace::InPieces(time),
    }
}

/// Whatever the pace of the answers, and however often discovery moves, the latest list is read before it counts as told.
#[test]
fn latest_list_is_read_in_time_at_any_pace() {
    let number =
        |name: &str, default: u64| std::env::var(name).map_or(default, |value| value.parse().unwrap());
    let (seed, seconds) = (number("DISCOVERY_SEED", SEED), number("DISCOVERY_SECONDS", SECONDS));
    println!("seed {seed}, {seconds} s");
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut discovery = Discovery::new(1, &[draining("e0", 7)], AT_ONCE);
    let node = start(&discovery, &[draining("e0", 7)]);
    let ends_at = Instant::now() + Duration::from_secs(seconds);
    let (mut moves, mut changes, mut slowest) = (0, 0, Duration::ZERO);
    while Instant::now() < ends_at {
        if rng.u8(0..3) == 0 {
            let first_pace = if rng.bool() { AnswerPace::Silent } else { random_pace(&mut rng) };
            discovery = Discovery::new(rng.u64(1..90), &[draining("e0", 7)], first_pace);
            move_discovery(&node, &discovery);
            moves += 1;
            std::thread::sleep(Duration::from_millis(rng.u64(0..3_000)));
        }
        for _ in 0..rng.u8(1..4) {
            discovery.set_pace(random_pace(&mut rng));
            std::thread::sleep(Duration::from_millis(rng.u64(0..1_500)));
            if rng.u8(0..4) == 0 {
                // The same address once more.
                node.signal("-HUP");
            }
        }
        let index = discovery.publish(&[draining("e0", 7), draining("e1", 8)]);
        changes += 1;
        let published_at = Instant::now();
        let (read_at, _) = discovery.watched_from(index, TOLD_AFTER_REACHABLE);
        slowest = slowest.max(read_at - published_at);
    }
    println!("{moves} moves, {changes} changes, the slowest read after {slowest:?}");
}
