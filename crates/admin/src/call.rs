//! The calls, as a request line names them.

use serde::{Deserialize, Serialize};

/// An id of more bytes is not looked for.
pub const ID_LIMIT: usize = 256;

/// What is asked of the sender.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum AdminRequest {
    /// Does this process take clients?
    Status,
    /// The figures.
    Metrics,
    /// What senders share.
    #[serde(rename = "Shared")]
    Gossip,
    /// Leave the endpoint of that name out.
    #[serde(rename = "HoldOut")]
    Eject(String),
    /// The endpoint of that name may serve again.
    #[serde(rename = "PutBack")]
    Reinstate(String),
    /// Send clients away.
    Standby,
    /// Take clients again.
    Active,
    /// A destination is to go to another core.
    Move {
        /// The destination.
        destination: u16,
        /// The core, from 0.
        core: u8,
    },
}

/// Why a request is no call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InvalidRequest {
    /// There is nothing of that path: see the list of calls.
    Path,
    /// The path is there, for `GET` or `POST` alone: use the other.
    Method,
    /// The call needs a destination and a core.
    Cores,
    /// The call needs one `target=ID` in its query, with an id of [`ID_LIMIT`] bytes at most.
    Target,
}

impl InvalidRequest {
    /// The answer's status.
    pub fn status(self) -> u16 {
        match self {
            Self::Path => 404,
            Self::Method => 405,
            Self::Target | Self::Cores => 400,
        }
    }

    /// What a person is told.
    pub fn text(self) -> &'static str {
        match self {
            Self::Path => "no such call\n",
            Self::Method => "/status, /status/metrics and /shared are asked with GET, all else with POST\n",
            Self::Cores => "name a destination and a core by their numbers, as destination=7&core=2\n",
            Self::Target => "name one endpoint, as target=ID\n",
        }
    }
}

/// Reads a request line's method, path and query.
///
/// # Errors
/// Fails, with what to tell the caller, when it is none of the calls.
pub fn read(method: &str, path: &str, query: Option<&str>) -> Result<AdminRequest, InvalidRequest> {
    let asks = ["/status", "/status/metrics", "/shared"].contains(&path);
    let does =
        ["/maintenance/enter", "/maintenance/exit", "/standby", "/active", "/cores/move"].contains(&path);
    match (asks, does, method) {
        (false, false, _) => return Err(InvalidRequest::Path),
        (true, _, "GET") | (_, true, "POST") => {}
        _ => return Err(InvalidRequest::Method),
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

/// The one value of a name, as a number.
fn number<T: std::str::FromStr>(query: Option<&str>, name: &str) -> Option<T> {
    let pairs = form_urlencoded::parse(query.unwrap_or_default().as_bytes());
    let mut values = pairs.filter(|(key, _)| key == name).map(|(_, value)| value);
    let value = values.next().filter(|value| value.bytes().all(|b| b.is_ascii_digit()))?;
    if values.next().is_some() { None } else { value.parse().ok() }
}

fn target(query: Option<&str>) -> Result<String, InvalidRequest> {
    let mut targets =
        form_urlencoded::parse(query.unwrap_or_default().as_bytes()).filter(|(name, _)| name == "target");
    match (targets.next(), targets.next()) {
        (Some((_, id)), None) if !id.is_empty() && id.len() <= ID_LIMIT => Ok(id.into_owned()),
        _ => Err(InvalidRequest::Target),
    }
}
