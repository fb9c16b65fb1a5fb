//! Gossip: several processes of the program exchange evidence about destinations over a lossy network.

use std::io::Write;

use serde_json::{Value, json};
use test_doubles::*;

use super::program;

/// Senders with gossip switched on in their operators' file.
struct Fleet {
    network: LossyNetwork,
    platform: Platform,
    nodes: Vec<Node>,
    _operators_file: tempfile::NamedTempFile,
}

impl Fleet {
    fn new(senders: usize, endpoints: &[Value]) -> Self {
        let (network, platform) = (LossyNetwork::new(senders, 7), Platform::new());
        let mut operators_file = tempfile::NamedTempFile::new().unwrap();
        operators_file.write_all(b"[shared]\non = true\nbytes = \"4kB\"\n").unwrap();
        let program = program().arg("--operators").arg(operators_file.path());
        let node = |rank: usize| {
            Node::start(&program, &platform, endpoints, |config| {
                config["ops"] = json!("127.0.0.1:0");
                config["peer_listen"] = json!(network.listens[rank]);
                config["peers"] = json!(network.peers[rank]);
                config["settings"]["rank"] = json!(rank);
                config["settings"]["balancers"] = json!(senders);
            })
        };
        let nodes = (0..senders).map(node).collect();
        Self { network, platform, nodes, _operators_file: operators_file }
    }

    fn evidence_report(&self, rank: usize) -> String {
        String::from_utf8(self.nodes[rank].ops("GET", "/shared").body).unwrap()
    }

    /// Returns whether a sender considers destination 7 down.
    fn considers_down(&self, rank: usize) -> bool {
        self.evidence_report(rank).contains("destination 7: ill")
    }

    /// Submits a message for destination 7 to that sender, which tries it until it is given up.
    fn submit(&self, rank: usize, n: usize) {
        assert_eq!(self.nodes[rank].submit(&format!("m{rank}-{n}"), "note", 7, 20_000).status(), 202);
    }
}

/// An outage that at least two senders see (here three) is believed by all that receive their evidence: by one that makes no call
/// itself, and by one that is cut off only once it is connected again (with 20 % of the datagrams lost and 20 % duplicated). A
/// successful call ends it for all.
#[test]
fn outage_seen_by_several_senders_spreads_to_all_connected_ones() {
    let partner = Partner::new(Behavior::Unreachable);
    let fleet = Fleet::new(5, &[listing("e1", 7, "plain", partner.address)]);
    // The last sender is cut off.
    fleet.network.set(|from, to| if from == 4 || to == 4 { Fault::CUT } else { Fault::default() });
    for rank in 0..3 {
        fleet.submit(rank, 0);
    }
    wait_until(|| fleet.considers_down(3));
    assert!(!fleet.considers_down(4), "{}", fleet.evidence_report(4));
    fleet.network.set(|_, _| Fault { loss_rate: 0.2, duplicate_rate: 0.2, ..Fault::default() });
    wait_until(|| fleet.considers_down(4));
    partner.set(Behavior::Healthy(std::time::Duration::from_millis(1)));
    wait_until(|| (0..5).all(|rank| !fleet.considers_down(rank)));
    assert!(fleet.network.carried() > 0);
    drop(fleet.platform);
}

/// Only one sender sees failures, as if its own path to the partner were broken: however much evidence it sends, the others do
/// not consider the destination down.
#[test]
fn outage_seen_by_one_sender_is_not_believed_by_others() {
    let partner = Partner::new(Behavior::Unreachable);
    let fleet = Fleet::new(3, &[listing("e1", 7, "plain", partner.address)]);
    for n in 0..4 {
        fleet.submit(0, n);
    }
    // The others have received its evidence once their report shows it.
    wait_until(|| {
        fleet.evidence_report(1).contains("  sender 0:") && fleet.evidence_report(2).contains("  sender 0:")
    });
    assert!(!fleet.considers_down(1) && !fleet.considers_down(2));
}

/// Unless the operators' file switches gossip on, nothing is sent, and what others send is ignored.
#[test]
fn gossip_is_off_by_default() {
    let (platform, partner) = (Platform::new(), Partner::new(Behavior::Unreachable));
    let node = Node::start(&program(), &platform, &[listing("e1", 7, "plain", partner.address)], |config| {
        config["ops"] = json!("127.0.0.1:0");
    });
    assert_eq!(node.ops("GET", "/shared").status(), 404);
}
