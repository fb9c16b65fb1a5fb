//! What a sender is configured with at its start: the environment and the configuration file.

use std::net::SocketAddr;
use std::path::PathBuf;

use decision::interface::Settings;
use serde::Deserialize;

use crate::discovery::endpoint_list::EndpointList;

/// The configuration.
#[derive(Debug, Clone)]
pub struct Config {
    /// Its name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// The administrative address, if any.
    pub ops: Option<SocketAddr>,
    /// Discovery.
    pub discovery: SocketAddr,
    /// `NODE_STATE`, the folder that outlasts the process.
    pub state: PathBuf,
    /// Seeds random numbers.
    pub seed: u64,
    /// File descriptors that may be open.
    pub sockets: usize,
    /// Bytes that `NODE_STATE` may take.
    pub disk: u64,
    /// Where gossip arrives, if there is any.
    pub peer_listen: Option<SocketAddr>,
    /// The senders' addresses by their numbers.
    pub peers: Vec<SocketAddr>,
    /// Reaches all senders.
    pub peers_all: Option<SocketAddr>,
    /// The endpoint list as last known.
    pub initial_list: EndpointList,
    /// Its index among the senders of its tier, where the settings tell it.
    pub rank: Option<u16>,
    /// The decision module's settings.
    pub settings: Settings,
    /// Names of classes, kinds and zones, in the settings' order.
    pub names: Names,
}

/// Names in the settings, by position.
#[derive(Debug, Default, Clone)]
pub struct Names {
    /// Classes of message.
    pub classes: Vec<String>,
    /// Kinds of destination.
    pub kinds: Vec<String>,
    /// Zones.
    pub zones: Vec<String>,
    /// Fields of a load report.
    pub report: Vec<String>,
}

#[derive(Deserialize)]
struct RawLimits {
    #[serde(default = "plenty")]
    sockets: usize,
    disk_mb: f64,
}

fn plenty() -> usize {
    1024
}

#[derive(Deserialize)]
struct Raw {
    name: String,
    listen: SocketAddr,
    #[serde(default)]
    ops: Option<SocketAddr>,
    discovery: SocketAddr,
    seed: String,
    limits: RawLimits,
    #[serde(default)]
    peer_listen: Option<SocketAddr>,
    #[serde(default)]
    peers: Vec<SocketAddr>,
    #[serde(default)]
    peers_all: Option<SocketAddr>,
    #[serde(default)]
    known: EndpointList,
    settings: serde_json::Value,
}

fn variable(name: &str) -> Result<Option<String>, String> {
    match std::env::var(name) {
        Ok(text) => Ok(Some(text)),
        Err(std::env::VarError::NotPresent) => Ok(None),
        Err(e) => Err(format!("{name}: {e}")),
    }
}

fn address(name: &str, default: SocketAddr) -> Result<SocketAddr, String> {
    match variable(name)? {
        Some(text) => text.parse().map_err(|e| format!("{name}={text}: {e}")),
        None => Ok(default),
    }
}

/// Reads the environment and the configuration that it names.
///
/// # Errors
/// Fails, in one line, when something needed is missing or cannot be read.
pub fn read() -> Result<Config, String> {
    let path = variable("NODE_CONFIG")?.ok_or("NODE_CONFIG is not set")?;
    let state = variable("NODE_STATE")?.ok_or("NODE_STATE is not set")?;
    let text = std::fs::read(&path).map_err(|e| format!("{path}: {e}"))?;
    let config = parse(&text).map_err(|e| format!("{path}: {e}"))?;
    Ok(Config {
        name: variable("NODE_NAME")?.unwrap_or(config.name),
        listen: address("NODE_LISTEN", config.listen)?,
        ops: match (variable("NODE_OPS")?, config.ops) {
            (None, None) => None,
            (_, default) => Some(address("NODE_OPS", default.unwrap_or(config.listen))?),
        },
        discovery: address("NODE_DISCOVERY", config.discovery)?,
        state: state.into(),
        ..config
    })
}

/// Reads the configuration again and returns discovery's address; what the environment said at the start is
/// no longer valid.
///
/// # Errors
/// Fails, in one line, when the configuration cannot be read.
pub fn reload_discovery() -> Result<SocketAddr, String> {
    let path = variable("NODE_CONFIG")?.ok_or("NODE_CONFIG is not set")?;
    let text = std::fs::read(&path).map_err(|e| format!("{path}: {e}"))?;
    Ok(parse(&text).map_err(|e| format!("{path}: {e}"))?.discovery)
}

fn parse(text: &[u8]) -> Result<Config, String> {
    let raw: Raw = serde_json::from_slice(text).map_err(|e| e.to_string())?;
    let settings = serde_json::to_vec(&raw.settings).map_err(|e| e.to_string())?;
    let settings = simulator_adapter::settings(&settings).map_err(|e| e.to_string())?;
    let texts = |list: &serde_json::Value, field: Option<&str>| {
        let entries = list.as_array().map(Vec::as_slice).unwrap_or_default();
        let name = |e: &serde_json::Value| {
            let name = field.map_or(Some(e), |f| e.get(f));
            name.and_then(serde_json::Value::as_str).unwrap_or_default().to_owned()
        };
        entries.iter().map(name).collect::<Vec<_>>()
    };
    let s = &raw.settings;
    let names = Names {
        classes: texts(&s["classes"], Some("name")),
        kinds: texts(&s["skus"], None),
        zones: texts(&s["azs"], None),
        report: texts(&s["load_report"]["fields"], None),
    };
    if settings.classes.is_empty() || names.classes.iter().any(String::is_empty) {
        return Err("settings: each class needs a name, and there must be one".into());
    }
    if !raw.limits.disk_mb.is_finite() || raw.limits.disk_mb <= 0.0 {
        return Err(format!("limits: disk_mb {} is no size", raw.limits.disk_mb));
    }
    Ok(Config {
        name: raw.name,
        listen: raw.listen,
        ops: raw.ops,
        discovery: raw.discovery,
        state: PathBuf::new(),
        seed: u64::from_str_radix(&raw.seed, 16).map_err(|e| format!("seed {:?}: {e}", raw.seed))?,
        sockets: raw.limits.sockets,
        disk: (raw.limits.disk_mb * 1e6) as u64,
        peer_listen: raw.peer_listen,
        peers: raw.peers,
        peers_all: raw.peers_all,
        initial_list: raw.known,
        rank: s["rank"].as_u64().and_then(|rank| u16::try_from(rank).ok()),
        settings,
        names,
    })
}
