//! The connection between two processes of a sender, over which frames go both ways.

use handover::frame;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::UnixStream;
use tokio::net::unix::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::task::JoinHandle;

/// The connection of predecessor and successor.
#[derive(Debug)]
pub struct HandoverLink {
    reader: OwnedReadHalf,
    writer: OwnedWriteHalf,
}

impl HandoverLink {
    /// Over a socket that is connected.
    pub fn of(stream: UnixStream) -> Self {
        let (reader, writer) = stream.into_split();
        Self { reader, writer }
    }

    /// Sends one message.
    ///
    /// # Errors
    /// Fails when the other side is gone.
    pub async fn send(&mut self, message: &impl Serialize) -> Result<(), String> {
        let frame = frame::write(message).map_err(|e| e.to_string())?;
        self.writer.write_all(&frame).await.map_err(|e| e.to_string())
    }

    /// Receives one message.
    ///
    /// # Errors
    /// Fails when the other side is gone, or sends something else.
    pub async fn receive<T: DeserializeOwned>(&mut self) -> Result<T, String> {
        receive(&mut self.reader).await
    }

    /// Both directions as channels. What waits to be written is bounded by clients' connections and calls in
    /// flight. The task ends once all is written.
    pub fn split<Out: Serialize + 'static, In: DeserializeOwned + 'static>(
        self,
    ) -> (UnboundedSender<Out>, UnboundedReceiver<In>, JoinHandle<()>) {
        let Self { mut reader, mut writer } = self;
        let (say, mut said) = unbounded_channel::<Out>();
        let (hear, heard) = unbounded_channel();
        let writing = tokio::task::spawn_local(async move {
            while let Some(message) = said.recv().await {
                let Ok(frame) = frame::write(&message) else { return };
                if writer.write_all(&frame).await.is_err() {
                    return;
                }
            }
        });
        tokio::task::spawn_local(async move {
            while let Ok(message) = receive(&mut reader).await {
                if hear.send(message).is_err() {
                    return;
                }
            }
        });
        (say, heard, writing)
    }
}

async fn receive<T: DeserializeOwned>(reader: &mut OwnedReadHalf) -> Result<T, String> {
    let mut head = [0; 4];
    reader.read_exact(&mut head).await.map_err(|e| e.to_string())?;
    let mut body = vec![0; frame::body_length(head).map_err(|e| e.to_string())?];
    reader.read_exact(&mut body).await.map_err(|e| e.to_string())?;
    frame::read(&body).map_err(|e| e.to_string())
}
