//! The sockets of a process, or of one shard of it: connections of clients and to endpoints, and how many there may be.

use std::net::TcpListener;
use std::rc::Rc;

use admin::gate::AdmissionGate;
use decision::interface::{EndpointId, MessageId};
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::watch;

use crate::config::Config;
use crate::hand_over::Predecessor;
use crate::hand_over::socket::HandoverLink;
use crate::http;
use crate::http::client::{HttpTransport, Limits};
use crate::http::server::HttpFrontend;
use crate::ports::{Clock, Frontend, Inbound, Transport};
use crate::shards::{ShardHandle, ShardMessage};

/// Descriptors that are neither clients' nor endpoints'.
const OWN_SOCKETS: usize = 32;
/// Descriptors of each shard: its runtime's, and its connection to the platform.
const SHARD_SOCKETS: usize = 8;
/// While two processes run, each has this part of the connections to clients and endpoints: with what the old one still has
/// in flight, both stay within the descriptors of one.
pub(super) const SHARE_DURING_HANDOVER: usize = 3;

/// Both sides of a process, or of one shard, for as long as it runs.
pub(super) struct SocketSides {
    pub(super) clock: Clock,
    pub(super) frontend: Rc<HttpFrontend>,
    pub(super) transport: HttpTransport,
    pub(super) gate: watch::Sender<AdmissionGate>,
    /// The most connections of either side.
    pub(super) max_connections: usize,
}

impl SocketSides {
    /// Those of one shard of the handle's group, or of the whole process.
    pub(super) fn new(
        config: &Config,
        clock: Clock,
        inherited: Option<TcpListener>,
        inbound: &UnboundedSender<Inbound>,
        shard: Option<Rc<ShardHandle>>,
        gate: watch::Sender<AdmissionGate>,
    ) -> Self {
        let shards = shard.as_ref().map_or(1, |shard| shard.group().count());
        let max_connections = (connection_limit(config, shards) / shards).max(1);
        let limits = Limits {
            connect_timeout: config.settings.connect_timeout.max(1),
            idle_timeout: config.settings.idle_timeout,
            report_fields: config.names.report.clone(),
        };
        let gate_changes = gate.subscribe();
        let deadlines = config.settings.classes.iter().map(|class| class.deadline);
        let classes = config.names.classes.iter().map(|name| name.as_str().into()).zip(deadlines).collect();
        let address = (config.listen, inherited, max_connections);
        let frontend = HttpFrontend::new(address, clock, classes, inbound.clone(), shard, gate_changes);
        let transport = HttpTransport::new(limits, max_connections, inbound.clone());
        Self { clock, frontend: Rc::new(frontend), transport, gate, max_connections }
    }

    pub(super) fn frontends(&self) -> Vec<Rc<dyn Frontend>> {
        vec![self.frontend.clone()]
    }

    pub(super) fn transports(&self) -> Vec<Rc<dyn Transport>> {
        vec![Rc::new(self.transport.clone())]
    }
}

/// The most connections of clients, and as many to endpoints, of all shards together.
pub(super) fn connection_limit(config: &Config, shards: usize) -> usize {
    let own = OWN_SOCKETS + config.ops.map_or(0, |_| http::admin::MAX_ADMIN_CONNECTIONS + 1);
    let own = own + if shards > 1 { shards * SHARD_SOCKETS } else { 0 };
    (config.sockets.saturating_sub(own) / 2).max(1)
}

/// Follows the predecessor's messages, and keeps to a part of the descriptors until it is gone.
pub(super) fn follow_predecessor(
    sides: &SocketSides,
    config: &Config,
    link: HandoverLink,
    in_flight: Vec<(MessageId, u16, EndpointId)>,
    inbound: &UnboundedSender<Inbound>,
    shard: Option<Rc<ShardHandle>>,
) -> Rc<Predecessor> {
    let (frontend, transport, all) = (sides.frontend.clone(), sides.transport.clone(), sides.max_connections);
    let share = (all / SHARE_DURING_HANDOVER).max(1);
    frontend.limit_connections(share);
    let group = shard.as_ref().map(|shard| shard.group().clone());
    let limit_others = move |limit| {
        let Some(shard) = &shard else { return false };
        let others = shard.group().all().filter(|other| *other != shard.id());
        others.for_each(|other| shard.send(other, ShardMessage::MaxConnections(limit)));
        true
    };
    // Several shards lease their connections, of fewer than there will be.
    if !limit_others(share) {
        transport.limit_connections(share);
    }
    let of_all_shards = connection_limit(config, group.as_ref().map_or(1, |group| group.count()));
    let names = config.names.classes.clone();
    let class = move |name: &str| names.iter().position(|class| class == name);
    Predecessor::follow(link, in_flight, sides.clock, class, inbound.clone(), move || {
        frontend.limit_connections(all);
        match group.filter(|_| limit_others(all)) {
            Some(group) => group.quotas().connections.grow(of_all_shards),
            None => transport.limit_connections(all),
        }
    })
}
