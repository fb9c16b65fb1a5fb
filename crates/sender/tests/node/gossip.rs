//! Several processes of the program that share what they see, with a switch between them that puts faults there.

use std::io::Write;

use serde_json::{Value, json};
use test_doubles::*;

use super::program;

/// Senders that share, and an operators' file that says so.
struct Fleet {
    switch: LossyNetwork,
    platform: Platform,
    nodes: Vec<Node>,
    _file: tempfile::NamedTempFile,
}

impl Fleet {
    fn new(senders: usize, endpoints: &[Value]) -> Self {
        let (switch, platform) = (LossyNetwork::new(senders, 7), Platform::new());
        let mut file = tempfile::NamedTempFile::new().unwrap();
        file.write_all(b"[shared]\non = true\nbytes = \"4kB\"\n").unwrap();
        let program = program().arg("--operators").arg(file.path());
        let node = |rank: usize| {
            Node::start(&program, &platform, endpoints, |config| {
                config["ops"] = json!("127.0.0.1:0");
                config["peer_listen"] = json!(switch.listens[rank]);
                config["peers"] = json!(switch.peers[rank]);
                config["settings"]["rank"] = json!(rank);
                config["settings"]["balancers"] = json!(senders);
            })
        };
        let nodes = (0..senders).map(node).collect();
        Self { switch, platform, nodes, _file: file }
    }

    fn shows(&self, rank: usize) -> String {
        String::from_utf8(self.nodes[rank].ops("GET", "/shared").body).unwrap()
    }

    /// What a sender believes of the destination.
    fn believes_ill(&self, rank: usize) -> bool {
        self.shows(rank).contains("destination 7: ill")
    }

    /// A message for the destination, at that sender; it is tried until it is given up.
    fn hand_in(&self, rank: usize, n: usize) {
        assert_eq!(self.nodes[rank].submit(&format!("m{rank}-{n}"), "note", 7, 20_000).status(), 202);
    }
}

/// Those that see an outage tell it: one that makes no call itself believes it, one that is cut off does not until it hears
/// others again, and a call that goes well ends it for all.
#[test]
fn an_outage_that_two_saw_is_believed_by_all_that_hear_of_it() {
    let partner = Partner::new(Behavior::Unreachable);
    let fleet = Fleet::new(5, &[listing("e1", 7, "plain", partner.address)]);
    // The last one hears nobody.
    fleet.switch.set(|from, to| if from == 4 || to == 4 { Fault::CUT } else { Fault::default() });
    for rank in 0..3 {
        fleet.hand_in(rank, 0);
    }
    wait_until(|| fleet.believes_ill(3));
    assert!(!fleet.believes_ill(4), "{}", fleet.shows(4));
    fleet.switch.set(|_, _| Fault { loss_rate: 0.2, duplicate_rate: 0.2, ..Fault::default() });
    wait_until(|| fleet.believes_ill(4));
    partner.set(Behavior::Healthy(std::time::Duration::from_millis(1)));
    wait_until(|| (0..5).all(|rank| !fleet.believes_ill(rank)));
    assert!(fleet.switch.carried() > 0);
    drop(fleet.platform);
}

/// One sender's own way to the partner is ill: however much it says, nobody else believes it.
#[test]
fn one_that_is_wrong_is_not_believed() {
    let partner = Partner::new(Behavior::Unreachable);
    let fleet = Fleet::new(3, &[listing("e1", 7, "plain", partner.address)]);
    for n in 0..4 {
        fleet.hand_in(0, n);
    }
    // The others have heard of it, and say so, by the time that they show its evidence.
    wait_until(|| fleet.shows(1).contains("  sender 0:") && fleet.shows(2).contains("  sender 0:"));
    assert!(!fleet.believes_ill(1) && !fleet.believes_ill(2));
}

/// Without the operators' word nothing is said, and what others say counts for nothing.
#[test]
fn nothing_is_shared_unless_the_operators_say_so() {
    let (platform, partner) = (Platform::new(), Partner::new(Behavior::Unreachable));
    let node = Node::start(&program(), &platform, &[listing("e1", 7, "plain", partner.address)], |config| {
        config["ops"] = json!("127.0.0.1:0");
    });
    assert_eq!(node.ops("GET", "/shared").status(), 404);
}
