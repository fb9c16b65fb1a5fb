//! The sockets of a process or of one of its shards: clients' connections, connections to endpoints, and their limits.

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

/// File descriptors that are used neither for clients nor for endpoints.
const OWN_SOCKETS: usize = 32;
/// File descriptors of each shard: its runtime and up to eight connections to the platform, while that does not answer.
const SHARD_SOCKETS: usize = 12;
/// Memory that a client's connection takes at most while its request is received: the body with the buffer from which it is
/// read, and the head.
const CLIENT_CONNECTION_BYTES: u64 = 88 * 1024;
/// Part of the memory limit that clients' connections may take.
const CLIENT_MEMORY_DIVISOR: u64 = 4;
/// While two processes run, each divides its limits of connections to clients and endpoints by this. Together with the
/// calls that the predecessor still has in flight, both stay within the file descriptors of one process.
pub(super) const HANDOVER_DIVISOR: usize = 3;

/// The frontend and the transport of a process or of one shard.
pub(super) struct Sockets {
    pub(super) clock: Clock,
    pub(super) frontend: Rc<HttpFrontend>,
    pub(super) transport: HttpTransport,
    pub(super) gate: watch::Sender<AdmissionGate>,
    /// The limit of connections, of the frontend and of the transport each.
    pub(super) max_connections: usize,
}

impl Sockets {
    /// Creates the sockets of one shard of the handle's group, or of the whole process if there is no handle.
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
        let max_clients = max_connections.min(client_memory_limit(config, shards));
        let address = (config.listen, inherited, max_clients);
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

/// Returns the limit of clients' connections of all shards together. The same limit applies to connections to
/// endpoints.
pub(super) fn connection_limit(config: &Config, shards: usize) -> usize {
    let reserved = OWN_SOCKETS + config.ops.map_or(0, |_| http::admin::MAX_ADMIN_CONNECTIONS + 1);
    let reserved = reserved + if shards > 1 { shards * SHARD_SOCKETS } else { 0 };
    (config.sockets.saturating_sub(reserved) / 2).max(1)
}

/// Returns how many clients' connections the memory limit admits for each of the shards.
fn client_memory_limit(config: &Config, shards: usize) -> usize {
    let Some(memory) = config.memory else { return usize::MAX };
    let connections = memory / CLIENT_MEMORY_DIVISOR / CLIENT_CONNECTION_BYTES;
    (connections as usize / shards).max(1)
}

/// Follows the predecessor's messages, and limits this process to its share of the file descriptors until the
/// predecessor has exited.
pub(super) fn follow_predecessor(
    sockets: &Sockets,
    config: &Config,
    link: HandoverLink,
    in_flight: Vec<(MessageId, u16, EndpointId)>,
    inbound: &UnboundedSender<Inbound>,
    shard: Option<Rc<ShardHandle>>,
) -> Rc<Predecessor> {
    let (frontend, transport, max_connections) =
        (sockets.frontend.clone(), sockets.transport.clone(), sockets.max_connections);
    let share = (max_connections / HANDOVER_DIVISOR).max(1);
    frontend.limit_connections(share);
    let group = shard.as_ref().map(|shard| shard.group().clone());
    let limit_others = move |limit| {
        let Some(shard) = &shard else { return false };
        let others = shard.group().all().filter(|other| *other != shard.id());
        others.for_each(|other| shard.send(other, ShardMessage::MaxConnections(limit)));
        true
    };
    // With several shards the limit is in the lease pool, which was created with the lower limit.
    if !limit_others(share) {
        transport.limit_connections(share);
    }
    let total_limit = connection_limit(config, group.as_ref().map_or(1, |group| group.count()));
    let names = config.names.classes.clone();
    let class = move |name: &str| names.iter().position(|class| class == name);
    Predecessor::follow(link, in_flight, sockets.clock, class, inbound.clone(), move || {
        frontend.limit_connections(max_connections);
        match group.filter(|_| limit_others(max_connections)) {
            Some(group) => group.quotas().connections.grow(total_limit),
            None => transport.limit_connections(max_connections),
        }
    })
}
