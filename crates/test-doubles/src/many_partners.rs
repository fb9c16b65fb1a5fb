//! Thousands of partners in one thread. They share a few hundred listeners on addresses of their own; whom a call is for
//! stands in its id, which begins with `d7-` for destination 7 and ends with the time at which it was handed in.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Bytes of a call at most.
const CALL_LIMIT: usize = 128 * 1024;

/// What one of them does with calls.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum CallBehavior {
    /// Answers 200.
    #[default]
    Healthy,
    /// Answers 503 with a `Retry-After` that ends so long after its first call since, and 200 from then on.
    RetryAfter(Duration),
    /// Never answers.
    Silent,
    /// Closes once a call has come.
    Closes,
}

/// One of them, and what it saw.
#[derive(Debug, Clone, Copy, Default)]
struct Member {
    way: CallBehavior,
    /// When it first told a wait, and until when nothing may come.
    told: Option<(Instant, Instant)>,
    last: Option<Instant>,
    out: u32,
    /// No call was answered since it had none for long.
    fresh: bool,
}

/// What all of them saw.
#[derive(Debug, Clone, Default)]
pub struct Observations {
    /// Calls in all.
    pub calls: u64,
    /// Calls that came before a wait was over that had been told, and how long before they came.
    pub early: Vec<(u16, Duration)>,
    /// Calls beside another one, to one that had answered none since it woke.
    pub concurrent: Vec<u16>,
    /// Ids of messages that were answered 200, each time.
    pub answered: Vec<String>,
    /// Destination, when it came since the beginning, and how long after it was handed in; of the watched ones.
    pub times: Vec<(u16, Duration, Duration)>,
    /// Connections that were open at once at most, and are now.
    pub connections: (usize, usize),
}

struct State {
    members: Vec<Member>,
    idle: Duration,
    watched: u16,
    begun: Instant,
    saw: Observations,
}

/// All of them.
#[derive(Clone)]
pub struct ManyPartners {
    /// Where they listen; a destination has the place of its number modulo their count.
    pub addresses: Arc<Vec<SocketAddr>>,
    state: Arc<Mutex<State>>,
}

impl ManyPartners {
    /// So many partners on so many addresses. One that had no call for `idle` has slept; of the first `watched` each
    /// call's time is kept.
    pub fn new(count: u16, addresses: u16, idle: Duration, watched: u16) -> Self {
        let mut listeners = Vec::new();
        for n in 0..addresses {
            let [high, low] = n.to_be_bytes();
            let listener = std::net::TcpListener::bind(SocketAddr::from(([127, 1, high, low], 0))).unwrap();
            listener.set_nonblocking(true).unwrap();
            listeners.push(listener);
        }
        let addresses = Arc::new(listeners.iter().map(|l| l.local_addr().unwrap()).collect());
        let members = vec![Member { fresh: true, ..Member::default() }; usize::from(count)];
        let state = State { members, idle, watched, begun: Instant::now(), saw: Observations::default() };
        let crowd = Self { addresses, state: Arc::new(Mutex::new(state)) };
        let serving = crowd.clone();
        thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
            runtime.block_on(async {
                let mut all = tokio::task::JoinSet::new();
                for listener in listeners {
                    let listener = TcpListener::from_std(listener).unwrap();
                    let crowd = serving.clone();
                    all.spawn(async move {
                        while let Ok((stream, _)) = listener.accept().await {
                            let crowd = crowd.clone();
                            tokio::spawn(async move {
                                crowd.connections(1);
                                crowd.serve(stream).await;
                                crowd.connections(-1);
                            });
                        }
                    });
                }
                while all.join_next().await.is_some() {}
            });
        });
        crowd
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    fn connections(&self, change: isize) {
        let (most, now) = &mut self.state().saw.connections;
        *now = now.saturating_add_signed(change);
        *most = (*most).max(*now);
    }

    /// The address of a destination.
    pub fn address(&self, destination: u16) -> SocketAddr {
        self.addresses[usize::from(destination) % self.addresses.len()]
    }

    /// What an id says of a message that is handed in now.
    pub fn id(&self, destination: u16, rest: &str) -> String {
        format!("d{destination}-{rest}-{}", self.state().begun.elapsed().as_micros())
    }

    /// One of them does so from now on.
    pub fn set(&self, destination: u16, way: CallBehavior) {
        let member = &mut self.state().members[usize::from(destination)];
        member.way = way;
        // A wait that is over makes room for a further one.
        member.told = member.told.filter(|told| Instant::now() < told.1);
    }

    /// What they saw so far.
    pub fn observations(&self) -> Observations {
        self.state().saw.clone()
    }

    /// Since the beginning, as the times are.
    pub fn now(&self) -> Duration {
        self.state().begun.elapsed()
    }

    async fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut read = Vec::new();
        loop {
            let Some((id, length)) = call(&mut stream, &mut read).await else { return };
            read.drain(..length);
            let Some(destination) =
                id.strip_prefix('d').and_then(|rest| rest.split('-').next()?.parse().ok())
            else {
                return;
            };
            let Some(status) = self.begins(destination, &id) else {
                // Until the other side gives it up.
                let _ = stream.read(&mut [0]).await;
                self.ends(destination, None);
                return;
            };
            if status.is_empty() {
                self.ends(destination, None);
                return;
            }
            self.ends(destination, status.starts_with("200").then_some(id));
            let answer = format!("HTTP/1.1 {status}\r\ncontent-length: 0\r\n\r\n");
            if stream.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
        }
    }

    /// A call has come: its answer, an empty one for none and an end, nothing for silence.
    fn begins(&self, destination: u16, id: &str) -> Option<String> {
        let now = Instant::now();
        let state = &mut *self.state();
        let (saw, idle) = (&mut state.saw, state.idle);
        let member = state.members.get_mut(usize::from(destination))?;
        saw.calls += 1;
        if destination < state.watched
            && let Some(at) = id.rsplit('-').next().and_then(|at| at.parse().ok())
        {
            let came = state.begun.elapsed();
            saw.times.push((destination, came, came.saturating_sub(Duration::from_micros(at))));
        }
        member.fresh |= member.last.is_none_or(|last| now.duration_since(last) > idle);
        member.last = Some(now);
        if let Some((told, _)) = member.told.filter(|told| now < told.1) {
            saw.early.push((destination, now.duration_since(told)));
        }
        if member.fresh && member.out > 0 {
            saw.concurrent.push(destination);
        }
        member.out += 1;
        match member.way {
            CallBehavior::Healthy => Some("200 OK".to_owned()),
            CallBehavior::Silent => None,
            CallBehavior::Closes => Some(String::new()),
            CallBehavior::RetryAfter(wait) => {
                let (_, until) = *member.told.get_or_insert((now, now + wait));
                let left = until.saturating_duration_since(now);
                if left.is_zero() {
                    member.way = CallBehavior::Healthy;
                    return Some("200 OK".to_owned());
                }
                Some(format!("503 Full\r\nretry-after: {:.6}", left.as_secs_f64() + 0.000_001))
            }
        }
    }

    fn ends(&self, destination: u16, answered: Option<String>) {
        let mut state = self.state();
        let member = &mut state.members[usize::from(destination)];
        member.out -= 1;
        if answered.is_some() {
            member.fresh = false;
        }
        state.saw.answered.extend(answered);
    }
}

/// The next call on a connection: its id, and how many bytes of what was read it has.
async fn call(stream: &mut TcpStream, read: &mut Vec<u8>) -> Option<(String, usize)> {
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
        if read.len() > CALL_LIMIT || stream.read_buf(read).await.ok()? == 0 {
            return None;
        }
    }
}
