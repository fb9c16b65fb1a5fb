//! The calls, as a request line names them.

use serde::{Deserialize, Serialize};

/// An id of more bytes is not looked for.
pub const ID_LIMIT: usize = 256;

/// What is asked of the sender.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Call {
    /// Does this process take clients?
    Status,
    /// The figures.
    Metrics,
    /// Leave the endpoint of that name out.
    HoldOut(String),
    /// The endpoint of that name may serve again.
    PutBack(String),
    /// Send clients away.
    Standby,
    /// Take clients again.
    Active,
}

/// Why a request is no call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoCall {
    /// There is nothing of that path: see the list of calls.
    Path,
    /// The path is there, for `GET` or `POST` alone: use the other.
    Method,
    /// The call needs one `target=ID` in its query, with an id of [`ID_LIMIT`] bytes at most.
    Target,
}

impl NoCall {
    /// The answer's status.
    pub fn status(self) -> u16 {
        match self {
            Self::Path => 404,
            Self::Method => 405,
            Self::Target => 400,
        }
    }

    /// What a person is told.
    pub fn text(self) -> &'static str {
        match self {
            Self::Path => "no such call\n",
            Self::Method => "/status and /status/metrics are asked with GET, all else with POST\n",
            Self::Target => "name one endpoint, as target=ID\n",
        }
    }
}

/// Reads a request line's method, path and query.
///
/// # Errors
/// Fails, with what to tell the caller, when it is none of the calls.
pub fn read(method: &str, path: &str, query: Option<&str>) -> Result<Call, NoCall> {
    let asks = ["/status", "/status/metrics"].contains(&path);
    let does = ["/maintenance/enter", "/maintenance/exit", "/standby", "/active"].contains(&path);
    match (asks, does, method) {
        (false, false, _) => return Err(NoCall::Path),
        (true, _, "GET") | (_, true, "POST") => {}
        _ => return Err(NoCall::Method),
    }
    Ok(match path {
        "/status" => Call::Status,
        "/status/metrics" => Call::Metrics,
        "/standby" => Call::Standby,
        "/active" => Call::Active,
        "/maintenance/enter" => Call::HoldOut(target(query)?),
        _ => Call::PutBack(target(query)?),
    })
}

fn target(query: Option<&str>) -> Result<String, NoCall> {
    let mut targets =
        form_urlencoded::parse(query.unwrap_or_default().as_bytes()).filter(|(name, _)| name == "target");
    match (targets.next(), targets.next()) {
        (Some((_, id)), None) if !id.is_empty() && id.len() <= ID_LIMIT => Ok(id.into_owned()),
        _ => Err(NoCall::Target),
    }
}
