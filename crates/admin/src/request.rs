//! Requests of on-call staff, parsed from the method, path and query of a request line.

use serde::{Deserialize, Serialize};

/// Paths that only read, requested with `GET`.
const QUERIES: [&str; 3] = ["/status", "/status/metrics", "/shared"];
/// Paths that change something, requested with `POST`.
const COMMANDS: [&str; 5] = ["/maintenance/enter", "/maintenance/exit", "/standby", "/active", "/cores/move"];

/// Maximum length of an endpoint name in a request, in bytes.
pub const ID_LIMIT: usize = 256;

/// A request to the sender. A predecessor forwards it to its successor with the variants encoded by name.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum AdminRequest {
    /// Return whether this process admits clients.
    Status,
    /// Return the metrics.
    Metrics,
    /// Return the gossip that senders publish to one another.
    #[serde(rename = "Shared")]
    Gossip,
    /// Eject the endpoint of this name.
    #[serde(rename = "HoldOut")]
    Eject(String),
    /// Reinstate the endpoint of this name.
    #[serde(rename = "PutBack")]
    Reinstate(String),
    /// Enter standby: stop admitting clients.
    Standby,
    /// Leave standby: admit clients again.
    Active,
    /// Move a destination to another core.
    Move {
        /// The destination.
        destination: u16,
        /// The core, from 0.
        core: u8,
    },
}

/// Why a request is invalid.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InvalidRequest {
    /// The path does not exist.
    Path,
    /// The path exists, but for the other method of `GET` and `POST`.
    Method,
    /// The request needs a destination and a core.
    Cores,
    /// The request needs exactly one `target=ID` in its query, with an id of at most [`ID_LIMIT`] bytes.
    Target,
}

impl InvalidRequest {
    /// Returns the HTTP status of the answer.
    pub fn status(self) -> u16 {
        match self {
            Self::Path => 404,
            Self::Method => 405,
            Self::Target | Self::Cores => 400,
        }
    }

    /// Returns the text of the answer.
    pub fn text(self) -> &'static str {
        match self {
            Self::Path => "no such call\n",
            Self::Method => "/status, /status/metrics and /shared are asked with GET, all else with POST\n",
            Self::Cores => "name a destination and a core by their numbers, as destination=7&core=2\n",
            Self::Target => "name one endpoint, as target=ID\n",
        }
    }
}

/// Parses the method, path and query of a request line.
///
/// # Errors
/// Fails when they are not a valid request. The error has the answer to send.
pub fn parse(method: &str, path: &str, query: Option<&str>) -> Result<AdminRequest, InvalidRequest> {
    let expected_method = if QUERIES.contains(&path) {
        "GET"
    } else if COMMANDS.contains(&path) {
        "POST"
    } else {
        return Err(InvalidRequest::Path);
    };
    if method != expected_method {
        return Err(InvalidRequest::Method);
    }
    Ok(match path {
        "/status" => AdminRequest::Status,
        "/status/metrics" => AdminRequest::Metrics,
        "/shared" => AdminRequest::Gossip,
        "/standby" => AdminRequest::Standby,
        "/active" => AdminRequest::Active,
        "/cores/move" => AdminRequest::Move {
            destination: number(query, "destination").ok_or(InvalidRequest::Cores)?,
            core: number(query, "core").ok_or(InvalidRequest::Cores)?,
        },
        "/maintenance/enter" => AdminRequest::Eject(target(query)?),
        _ => AdminRequest::Reinstate(target(query)?),
    })
}

/// Returns the number that the query has for this name; `None` if the name is missing, given twice, or not a number.
fn number<T: std::str::FromStr>(query: Option<&str>, name: &str) -> Option<T> {
    let pairs = form_urlencoded::parse(query.unwrap_or_default().as_bytes());
    let mut values = pairs.filter(|(key, _)| key == name).map(|(_, value)| value);
    let value = values.next().filter(|value| value.bytes().all(|b| b.is_ascii_digit()))?;
    if values.next().is_some() { None } else { value.parse().ok() }
}

/// Returns the value of `target`, which the query must have exactly once.
fn target(query: Option<&str>) -> Result<String, InvalidRequest> {
    let mut targets =
        form_urlencoded::parse(query.unwrap_or_default().as_bytes()).filter(|(name, _)| name == "target");
    match (targets.next(), targets.next()) {
        (Some((_, id)), None) if !id.is_empty() && id.len() <= ID_LIMIT => Ok(id.into_owned()),
        _ => Err(InvalidRequest::Target),
    }
}
