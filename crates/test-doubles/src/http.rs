//! A server whose requests the test receives and answers one by one.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::Duration;

use serde_json::Value;

use crate::TIMEOUT;

/// A request or an answer.
#[derive(Debug, Clone)]
pub struct Http {
    /// The request line or the status line.
    pub first: String,
    /// The headers, by name in lower case.
    pub headers: HashMap<String, String>,
    /// The body.
    pub body: Vec<u8>,
}

impl Http {
    /// Reads a request or an answer; `None` if the connection ends before it is complete.
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

    /// Returns the status of an answer.
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).unwrap().parse().unwrap()
    }

    /// Parses the body as JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap()
    }
}

/// How an endpoint or the platform replies to a request.
#[derive(Debug, Clone)]
pub enum Reply {
    /// Answers with this status, these headers and this body.
    Answer(u16, Vec<(&'static str, String)>, String),
    /// Writes these bytes and keeps the connection open.
    Bytes(&'static [u8]),
    /// Closes the connection without an answer.
    Close,
    /// Answers with 200, then resets the connection as soon as anything more arrives on it, and notifies this sender.
    ResetOnNextBytes(Sender<()>),
}

/// Returns an answer with that status and no body.
pub fn status(code: u16) -> Reply {
    Reply::Answer(code, vec![], String::new())
}

/// A received request that waits for the test's reply.
pub struct PendingRequest {
    /// The request.
    pub http: Http,
    /// The number of the connection it arrived on.
    pub connection: usize,
    reply: Sender<Reply>,
    /// Receives an item if the client closes the connection before it is answered.
    pub closed: Receiver<()>,
}

impl PendingRequest {
    /// Replies to the request.
    pub fn reply(self, reply: Reply) {
        let _ = self.reply.send(reply);
    }
}

/// A server on loopback. Its requests wait until the test answers them.
pub struct ScriptedServer {
    /// The address it listens on.
    pub address: SocketAddr,
    pub(crate) requests: Receiver<PendingRequest>,
}

impl Default for ScriptedServer {
    fn default() -> Self {
        Self::new()
    }
}

impl ScriptedServer {
    /// Starts a server on a free loopback port.
    pub fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (request_sender, requests) = channel();
        thread::spawn(move || {
            for (connection, stream) in listener.incoming().enumerate() {
                let (request_sender, stream) = (request_sender.clone(), stream.unwrap());
                thread::spawn(move || serve(stream, connection, &request_sender));
            }
        });
        Self { address, requests }
    }

    /// Waits for the next request.
    pub fn next(&self) -> PendingRequest {
        self.requests.recv_timeout(TIMEOUT).expect("no request arrived")
    }

    /// Returns a request if one has already arrived.
    pub fn poll(&self) -> Option<PendingRequest> {
        self.requests.try_recv().ok()
    }

    /// Returns whether a request has arrived that the test has not received yet; that request is dropped.
    pub fn has_unread_request(&self) -> bool {
        self.poll().is_some()
    }
}

fn serve(stream: TcpStream, connection: usize, request_sender: &Sender<PendingRequest>) {
    let mut output = stream.try_clone().unwrap();
    let mut input = BufReader::new(stream);
    while let Some(http) = Http::read(&mut input) {
        let (reply, replied) = channel();
        let (closed_sender, closed) = channel();
        if request_sender.send(PendingRequest { http, connection, reply, closed }).is_err() {
            return;
        }
        // A client sends nothing more before it has its answer: an end of the stream means that it closed the connection.
        let watched = output.try_clone().unwrap();
        let chosen = loop {
            match replied.recv_timeout(Duration::from_millis(5)) {
                Ok(chosen) => break chosen,
                Err(std::sync::mpsc::RecvTimeoutError::Disconnected) => return,
                Err(_) => {
                    watched.set_read_timeout(Some(Duration::from_millis(1))).unwrap();
                    if matches!(watched.peek(&mut [0]), Ok(0)) {
                        let _ = closed_sender.send(());
                        return;
                    }
                    watched.set_read_timeout(None).unwrap();
                }
            }
        };
        watched.set_read_timeout(None).unwrap();
        match chosen {
            Reply::Answer(code, headers, body) => {
                let mut text = format!("HTTP/1.1 {code} X\r\ncontent-length: {}\r\n", body.len());
                for (name, value) in headers {
                    text += &format!("{name}: {value}\r\n");
                }
                if output.write_all(format!("{text}\r\n{body}").as_bytes()).is_err() {
                    return;
                }
            }
            Reply::Bytes(bytes) => {
                if output.write_all(bytes).is_err() {
                    return;
                }
            }
            Reply::Close => return,
            Reply::ResetOnNextBytes(reset_sender) => {
                let answer = b"HTTP/1.1 200 X\r\ncontent-length: 0\r\n\r\n";
                if output.write_all(answer).is_ok() && matches!(watched.peek(&mut [0]), Ok(1)) {
                    let _ = reset_sender.send(());
                }
                // Closing a socket with unread input resets the connection.
                return;
            }
        }
    }
}
