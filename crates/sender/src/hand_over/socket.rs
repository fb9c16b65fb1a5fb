//! The connection between two processes of a sender, which carries frames in both directions.

use handover::frame;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::UnixStream;
use tokio::net::unix::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::task::JoinHandle;

/// The connection between predecessor and successor.
#[derive(Debug)]
pub struct HandoverLink {
    reader: OwnedReadHalf,
    writer: OwnedWriteHalf,
}

impl HandoverLink {
    /// Creates a link over a connected socket.
    pub fn new(stream: UnixStream) -> Self {
        let (reader, writer) = stream.into_split();
        Self { reader, writer }
    }

    /// Sends one message.
    ///
    /// # Errors
    /// Fails when the other process has closed the connection.
    pub async fn send(&mut self, message: &impl Serialize) -> Result<(), String> {
        let frame = frame::write(message).map_err(|e| e.to_string())?;
        self.writer.write_all(&frame).await.map_err(|e| e.to_string())
    }

    /// Receives one message.
    ///
    /// # Errors
    /// Fails when the other process has closed the connection, or sends something that is not a `T`.
    pub async fn receive<T: DeserializeOwned>(&mut self) -> Result<T, String> {
        receive(&mut self.reader).await
    }

    /// Turns both directions into channels. The number of messages that wait to be written is bounded by clients'
    /// connections and calls in flight. The returned task ends once everything is written.
    pub fn split<Out: Serialize + 'static, In: DeserializeOwned + 'static>(
        self,
    ) -> (UnboundedSender<Out>, UnboundedReceiver<In>, JoinHandle<()>) {
        let Self { mut reader, mut writer } = self;
        let (outgoing, mut queued) = unbounded_channel::<Out>();
        let (incoming_sender, incoming) = unbounded_channel();
        let writing = tokio::task::spawn_local(async move {
            while let Some(message) = queued.recv().await {
                let Ok(frame) = frame::write(&message) else { return };
                if writer.write_all(&frame).await.is_err() {
                    return;
                }
            }
        });
        tokio::task::spawn_local(async move {
            while let Ok(message) = receive(&mut reader).await {
                if incoming_sender.send(message).is_err() {
                    return;
                }
            }
        });
        (outgoing, incoming, writing)
    }
}

async fn receive<T: DeserializeOwned>(reader: &mut OwnedReadHalf) -> Result<T, String> {
    let mut head = [0; 4];
    reader.read_exact(&mut head).await.map_err(|e| e.to_string())?;
    let mut body = vec![0; frame::body_length(head).map_err(|e| e.to_string())?];
    reader.read_exact(&mut body).await.map_err(|e| e.to_string())?;
    frame::read(&body).map_err(|e| e.to_string())
}
