//! Thousands of partners served by one thread. They share a few hundred listeners, each on an address of its own. The
//! message id names the destination that a call is for: it begins with `d7-` for destination 7 and ends with the time at
//! which the message was submitted.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// The maximum size of a call in bytes.
const MAX_CALL_BYTES: usize = 128 * 1024;

/// How a partner treats calls.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum CallBehavior {
    /// Answers 200.
    #[default]
    Healthy,
    /// Answers 503 with a `Retry-After` that ends this long after the first call that gets it, and 200 from then on.
    RetryAfter(Duration),
    /// Never answers.
    Silent,
    /// Closes the connection without an answer when a call has arrived.
    Closes,
}

/// The state of one partner.
#[derive(Debug, Clone, Copy, Default)]
struct PartnerState {
    behavior: CallBehavior,
    /// When it first sent the `Retry-After`, and when that ends.
    retry_after: Option<(Instant, Instant)>,
    last_call_at: Option<Instant>,
    in_flight: u32,
    /// Whether it has answered no call with 200 since it started or was last idle.
    awaiting_first_answer: bool,
}

/// What all the partners observed.
#[derive(Debug, Clone, Default)]
pub struct Observations {
    /// The number of calls.
    pub calls: u64,
    /// Calls that arrived before a `Retry-After` ended: the destination, and the time since it was first sent.
    pub early: Vec<(u16, Duration)>,
    /// Destinations that got a call while another one was in flight, before they had answered any with 200 since they started
    /// or were last idle.
    pub concurrent: Vec<u16>,
    /// The message ids of calls answered with 200; an id answered several times is listed each time.
    pub answered: Vec<String>,
    /// For the partners whose calls are timed: the destination, the arrival since the start, and the time since the message
    /// was submitted.
    pub times: Vec<(u16, Duration, Duration)>,
    /// The largest number of connections open at once, and the number open now.
    pub connections: (usize, usize),
}

struct State {
    partners: Vec<PartnerState>,
    idle_after: Duration,
    timed: u16,
    started_at: Instant,
    observations: Observations,
}

/// A handle on all the partners.
#[derive(Clone)]
pub struct ManyPartners {
    /// The listeners' addresses. A destination uses the one at its number modulo their count.
    pub addresses: Arc<Vec<SocketAddr>>,
    state: Arc<Mutex<State>>,
}

impl ManyPartners {
    /// Starts `count` partners on `addresses` listeners. A partner without a call for `idle_after` counts as idle. The
    /// calls to the first `timed` partners are recorded with their times.
    pub fn new(count: u16, addresses: u16, idle_after: Duration, timed: u16) -> Self {
        let mut listeners = Vec::new();
        for n in 0..addresses {
            let [high, low] = n.to_be_bytes();
            let listener = std::net::TcpListener::bind(SocketAddr::from(([127, 1, high, low], 0))).unwrap();
            listener.set_nonblocking(true).unwrap();
            listeners.push(listener);
        }
        let addresses = Arc::new(listeners.iter().map(|l| l.local_addr().unwrap()).collect());
        let partners =
            vec![PartnerState { awaiting_first_answer: true, ..PartnerState::default() }; usize::from(count)];
        let state = State {
            partners,
            idle_after,
            timed,
            started_at: Instant::now(),
            observations: Observations::default(),
        };
        let handle = Self { addresses, state: Arc::new(Mutex::new(state)) };
        let server = handle.clone();
        thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
            runtime.block_on(async {
                let mut tasks = tokio::task::JoinSet::new();
                for listener in listeners {
                    let listener = TcpListener::from_std(listener).unwrap();
                    let handle = server.clone();
                    tasks.spawn(async move {
                        while let Ok((stream, _)) = listener.accept().await {
                            let handle = handle.clone();
                            tokio::spawn(async move {
                                handle.count_connection(1);
                                handle.serve(stream).await;
                                handle.count_connection(-1);
                            });
                        }
                    });
                }
                while tasks.join_next().await.is_some() {}
            });
        });
        handle
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    fn count_connection(&self, change: isize) {
        let (most, now) = &mut self.state().observations.connections;
        *now = now.saturating_add_signed(change);
        *most = (*most).max(*now);
    }

    /// Returns the address of a destination.
    pub fn address(&self, destination: u16) -> SocketAddr {
        self.addresses[usize::from(destination) % self.addresses.len()]
    }

    /// Returns the id for a message to that destination that is submitted now.
    pub fn id(&self, destination: u16, rest: &str) -> String {
        format!("d{destination}-{rest}-{}", self.state().started_at.elapsed().as_micros())
    }

    /// Sets how a partner treats calls from now on.
    pub fn set(&self, destination: u16, behavior: CallBehavior) {
        let partner = &mut self.state().partners[usize::from(destination)];
        partner.behavior = behavior;
        // Forgets a Retry-After that has ended, so that a further one can start.
        partner.retry_after = partner.retry_after.filter(|retry_after| Instant::now() < retry_after.1);
    }

    /// Returns what the partners have observed so far.
    pub fn observations(&self) -> Observations {
        self.state().observations.clone()
    }

    /// Returns the time since the start, on the clock of [`Observations::times`].
    pub fn now(&self) -> Duration {
        self.state().started_at.elapsed()
    }

    async fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut read = Vec::new();
        loop {
            let Some((id, length)) = read_call(&mut stream, &mut read).await else { return };
            read.drain(..length);
            let Some(destination) =
                id.strip_prefix('d').and_then(|rest| rest.split('-').next()?.parse().ok())
            else {
                return;
            };
            let Some(status) = self.call_arrived(destination, &id) else {
                // Waits until the caller closes the connection.
                let _ = stream.read(&mut [0]).await;
                self.call_ended(destination, None);
                return;
            };
            if status.is_empty() {
                self.call_ended(destination, None);
                return;
            }
            self.call_ended(destination, status.starts_with("200").then_some(id));
            let answer = format!("HTTP/1.1 {status}\r\ncontent-length: 0\r\n\r\n");
            if stream.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
        }
    }

    /// Records the arrival of a call and returns the status line of its answer with further header lines: empty to close the
    /// connection without an answer, `None` to never answer.
    fn call_arrived(&self, destination: u16, id: &str) -> Option<String> {
        let now = Instant::now();
        let state = &mut *self.state();
        let (observations, idle_after) = (&mut state.observations, state.idle_after);
        let partner = state.partners.get_mut(usize::from(destination))?;
        observations.calls += 1;
        if destination < state.timed
            && let Some(at) = id.rsplit('-').next().and_then(|at| at.parse().ok())
        {
            let arrived = state.started_at.elapsed();
            observations.times.push((
                destination,
                arrived,
                arrived.saturating_sub(Duration::from_micros(at)),
            ));
        }
        partner.awaiting_first_answer |=
            partner.last_call_at.is_none_or(|last| now.duration_since(last) > idle_after);
        partner.last_call_at = Some(now);
        if let Some((sent_at, _)) = partner.retry_after.filter(|retry_after| now < retry_after.1) {
            observations.early.push((destination, now.duration_since(sent_at)));
        }
        if partner.awaiting_first_answer && partner.in_flight > 0 {
            observations.concurrent.push(destination);
        }
        partner.in_flight += 1;
        match partner.behavior {
            CallBehavior::Healthy => Some("200 OK".to_owned()),
            CallBehavior::Silent => None,
            CallBehavior::Closes => Some(String::new()),
            CallBehavior::RetryAfter(wait) => {
                let (_, until) = *partner.retry_after.get_or_insert((now, now + wait));
                let left = until.saturating_duration_since(now);
                if left.is_zero() {
                    partner.behavior = CallBehavior::Healthy;
                    return Some("200 OK".to_owned());
                }
                Some(format!("503 Full\r\nretry-after: {:.6}", left.as_secs_f64() + 0.000_001))
            }
        }
    }

    fn call_ended(&self, destination: u16, answered: Option<String>) {
        let mut state = self.state();
        let partner = &mut state.partners[usize::from(destination)];
        partner.in_flight -= 1;
        if answered.is_some() {
            partner.awaiting_first_answer = false;
        }
        state.observations.answered.extend(answered);
    }
}

/// Reads the next call on a connection: returns its message id, and its length in the read buffer.
async fn read_call(stream: &mut TcpStream, read: &mut Vec<u8>) -> Option<(String, usize)> {
    loop {
        if let Some(head) = read.windows(4).position(|four| four == b"\r\n\r\n") {
            let text = String::from_utf8_lossy(&read[..head]).into_owned();
            let field = |name: &str| {
                text.lines().find_map(|line| {
                    let (key, value) = line.split_once(':')?;
                    key.eq_ignore_ascii_case(name).then(|| value.trim().to_owned())
                })
            };
            let length = head + 4 + field("content-length")?.parse::<usize>().ok()?;
            if read.len() >= length {
                return Some((field("req-id")?, length));
            }
        }
        if read.len() > MAX_CALL_BYTES || stream.read_buf(read).await.ok()? == 0 {
            return None;
        }
    }
}
