//! The configuration of a sender at its start: environment variables and the configuration file that they name.

use std::net::SocketAddr;
use std::path::PathBuf;

use decision::interface::Settings;
use serde::Deserialize;

use crate::discovery::endpoint_list::EndpointList;

/// The configuration of a sender.
#[derive(Debug, Clone)]
pub struct Config {
    /// The sender's name.
    pub name: String,
    /// The address that clients connect to.
    pub listen: SocketAddr,
    /// The address for administrative requests, if there is one.
    pub ops: Option<SocketAddr>,
    /// The address of discovery.
    pub discovery: SocketAddr,
    /// `NODE_STATE`: the folder for state that survives the process.
    pub state: PathBuf,
    /// Seed of the random numbers.
    pub seed: u64,
    /// Maximum number of open file descriptors.
    pub sockets: usize,
    /// Memory limit of the process, in bytes, if there is one.
    pub memory: Option<u64>,
    /// Maximum disk space that files in `NODE_STATE` may occupy, in bytes.
    pub disk: u64,
    /// The address at which gossip is received, if the deployment has gossip.
    pub peer_listen: Option<SocketAddr>,
    /// The gossip addresses of the senders, by rank.
    pub peers: Vec<SocketAddr>,
    /// The broadcast address of all senders, if there is one.
    pub peers_all: Option<SocketAddr>,
    /// The endpoint list as last known.
    pub initial_list: EndpointList,
    /// The sender's index among the senders of its tier, if the settings contain it.
    pub rank: Option<u16>,
    /// The decision module's settings.
    pub settings: Settings,
    /// Names of classes, kinds and zones, in the order of the settings.
    pub names: Names,
}

/// The names in the settings, by position.
#[derive(Debug, Default, Clone)]
pub struct Names {
    /// Message classes.
    pub classes: Vec<String>,
    /// Destination kinds.
    pub kinds: Vec<String>,
    /// Zones.
    pub zones: Vec<String>,
    /// Fields of a load report, in the order of their values.
    pub report: Vec<String>,
}

/// The `limits` of the configuration file.
#[derive(Deserialize)]
struct RawLimits {
    #[serde(default = "default_sockets")]
    sockets: usize,
    memory_mb: Option<f64>,
    disk_mb: f64,
}

fn default_sockets() -> usize {
    1024
}

/// The configuration file.
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

/// Reads an environment variable; `None` if it is not set.
fn variable(name: &str) -> Result<Option<String>, String> {
    match std::env::var(name) {
        Ok(text) => Ok(Some(text)),
        Err(std::env::VarError::NotPresent) => Ok(None),
        Err(e) => Err(format!("{name}: {e}")),
    }
}

/// Reads an address from an environment variable, with a default if it is not set.
fn address(name: &str, default: SocketAddr) -> Result<SocketAddr, String> {
    match variable(name)? {
        Some(text) => text.parse().map_err(|e| format!("{name}={text}: {e}")),
        None => Ok(default),
    }
}

/// Reads the environment variables and the configuration file.
///
/// # Errors
/// Fails when something required is missing or invalid. The text has one line.
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

/// Reads the configuration file again and returns the address of discovery. The environment variable of the start is ignored,
/// since its address is no longer valid.
///
/// # Errors
/// Fails when the configuration can't be read. The text has one line.
pub fn reload_discovery() -> Result<SocketAddr, String> {
    let path = variable("NODE_CONFIG")?.ok_or("NODE_CONFIG is not set")?;
    let text = std::fs::read(&path).map_err(|e| format!("{path}: {e}"))?;
    Ok(parse(&text).map_err(|e| format!("{path}: {e}"))?.discovery)
}

/// Parses the configuration file. The state folder, which only the environment names, remains empty.
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
        return Err(format!("limits: disk_mb {} is not a positive number", raw.limits.disk_mb));
    }
    Ok(Config {
        name: raw.name,
        listen: raw.listen,
        ops: raw.ops,
        discovery: raw.discovery,
        state: PathBuf::new(),
        seed: u64::from_str_radix(&raw.seed, 16).map_err(|e| format!("seed {:?}: {e}", raw.seed))?,
        sockets: raw.limits.sockets,
        memory: raw.limits.memory_mb.filter(|limit| *limit > 0.0).map(|limit| (limit * 1e6) as u64),
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
