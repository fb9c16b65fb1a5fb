//! Servers whose requests go to the test one by one.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::Duration;

use serde_json::Value;

use crate::TIMEOUT;

/// A request or an answer: its first line, its headers in lower case, its body.
#[derive(Debug, Clone)]
pub struct Http {
    /// The first line.
    pub first: String,
    /// Headers by their names in lower case.
    pub headers: HashMap<String, String>,
    /// The body.
    pub body: Vec<u8>,
}

impl Http {
    /// Reads one; none where the connection ends before.
    pub fn read(stream: &mut impl BufRead) -> Option<Self> {
        let mut line = String::new();
        let mut next = |stream: &mut dyn BufRead| {
            line.clear();
            let size = stream.read_line(&mut line).ok()?;
            (size > 0).then(|| line.trim_end().to_owned())
        };
        let first = next(stream)?;
        let mut headers = HashMap::new();
        loop {
            let line = next(stream)?;
            let Some((name, value)) = line.split_once(':') else { break };
            headers.insert(name.to_lowercase(), value.trim().to_owned());
        }
        let length = headers.get("content-length").map_or(0, |n| n.parse().unwrap());
        let mut body = vec![0; length];
        stream.read_exact(&mut body).ok()?;
        Some(Self { first, headers, body })
    }

    /// An answer's status.
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).unwrap().parse().unwrap()
    }

    /// The body as JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap()
    }
}

/// What an endpoint or the platform does with a request.
#[derive(Debug, Clone)]
pub enum Reply {
    /// Status, headers and body.
    Answer(u16, Vec<(&'static str, String)>, String),
    /// These, and then the connection goes on.
    Bytes(&'static [u8]),
    /// The connection ends.
    Close,
    /// Answers with 200, and breaks the connection as soon as anything more comes, which it tells of.
    Forget(Sender<()>),
}

/// An answer that is a status alone.
pub fn status(code: u16) -> Reply {
    Reply::Answer(code, vec![], String::new())
}

/// A request that waits for what the test makes of it.
pub struct Asked {
    /// As it came.
    pub http: Http,
    /// Tells connections apart.
    pub connection: usize,
    reply: Sender<Reply>,
    /// Hears when the other side has closed without waiting for the answer.
    pub closed: Receiver<()>,
}

impl Asked {
    /// Answers.
    pub fn reply(self, reply: Reply) {
        let _ = self.reply.send(reply);
    }
}

/// A server whose requests go to the test one by one.
pub struct Served {
    /// Where it listens.
    pub address: SocketAddr,
    pub(crate) asked: Receiver<Asked>,
}

impl Default for Served {
    fn default() -> Self {
        Self::new()
    }
}

impl Served {
    /// Listens.
    pub fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (ask, asked) = channel();
        thread::spawn(move || {
            for (connection, stream) in listener.incoming().enumerate() {
                let (ask, stream) = (ask.clone(), stream.unwrap());
                thread::spawn(move || converse(stream, connection, &ask));
            }
        });
        Self { address, asked }
    }

    /// The next request.
    pub fn next(&self) -> Asked {
        self.asked.recv_timeout(TIMEOUT).expect("a request comes")
    }

    /// A request that has come already.
    pub fn poll(&self) -> Option<Asked> {
        self.asked.try_recv().ok()
    }

    /// Whether a request has come that the test has not seen.
    pub fn unseen(&self) -> bool {
        self.poll().is_some()
    }
}

fn converse(stream: TcpStream, connection: usize, ask: &Sender<Asked>) {
    let mut out = stream.try_clone().unwrap();
    let mut input = BufReader::new(stream);
    while let Some(http) = Http::read(&mut input) {
        let (reply, replied) = channel();
        let (close, closed) = channel();
        if ask.send(Asked { http, connection, reply, closed }).is_err() {
            return;
        }
        // Without an answer the other side sends nothing more: what can be read is its end.
        let watched = out.try_clone().unwrap();
        let told = loop {
            match replied.recv_timeout(Duration::from_millis(5)) {
                Ok(told) => break told,
                Err(std::sync::mpsc::RecvTimeoutError::Disconnected) => return,
                Err(_) => {
                    watched.set_read_timeout(Some(Duration::from_millis(1))).unwrap();
                    if matches!(watched.peek(&mut [0]), Ok(0)) {
                        let _ = close.send(());
                        return;
                    }
                    watched.set_read_timeout(None).unwrap();
                }
            }
        };
        watched.set_read_timeout(None).unwrap();
        match told {
            Reply::Answer(code, headers, body) => {
                let mut text = format!("HTTP/1.1 {code} X\r\ncontent-length: {}\r\n", body.len());
                for (name, value) in headers {
                    text += &format!("{name}: {value}\r\n");
                }
                if out.write_all(format!("{text}\r\n{body}").as_bytes()).is_err() {
                    return;
                }
            }
            Reply::Bytes(bytes) => {
                if out.write_all(bytes).is_err() {
                    return;
                }
            }
            Reply::Close => return,
            Reply::Forget(tell) => {
                let answer = b"HTTP/1.1 200 X\r\ncontent-length: 0\r\n\r\n";
                if out.write_all(answer).is_ok() && matches!(watched.peek(&mut [0]), Ok(1)) {
                    let _ = tell.send(());
                }
                // What has not been read makes the close a reset.
                return;
            }
        }
    }
}
