//! Administrative requests that all shards apply.

use admin::ejections::Ejections;
use admin::request::AdminRequest;
use decision::interface::Event;
use sharding::ShardId;
use tokio::sync::oneshot;

use super::BROADCAST_TIMEOUT;
use crate::event_loop::EventLoop;
use crate::ports::AdminResponse;
use crate::shards::ShardMessage;

impl EventLoop {
    /// Sends the ejected endpoints to the other shards. Each one acknowledges on its channel once it has applied them.
    fn broadcast_ejections(&self, ejections: &Ejections) -> Vec<oneshot::Receiver<()>> {
        let Some(shard) = &self.shard else { return Vec::new() };
        let notify = |id| {
            let (done, applied) = oneshot::channel();
            shard.handle.send(id, ShardMessage::Ejections(ejections.clone(), done));
            applied
        };
        shard.others().map(notify).collect()
    }

    /// Answers an administrative request. One that concerns all shards is answered once all of them have applied it.
    pub(in crate::event_loop) fn answer_admin_request(
        &mut self,
        request: AdminRequest,
        answer: oneshot::Sender<AdminResponse>,
        events: &mut Vec<Event>,
    ) {
        let concerns_all_shards = matches!(request, AdminRequest::Eject(_) | AdminRequest::Reinstate(_));
        let response = self.handle_admin_request(request, events);
        if !concerns_all_shards || response.status != 200 || self.shard.is_none() {
            let _ = answer.send(response);
            return;
        }
        let acknowledgements = self.broadcast_ejections(self.directory.ejections());
        tokio::task::spawn_local(async move {
            let all = async {
                for applied in acknowledgements {
                    let _ = applied.await;
                }
            };
            let response = match tokio::time::timeout(BROADCAST_TIMEOUT, all).await {
                Ok(()) => response,
                Err(_) => AdminResponse {
                    status: 503,
                    text: "stored, but not every core has applied it yet\n".into(),
                },
            };
            let _ = answer.send(response);
        });
    }

    /// Requests the migration of a destination to another shard.
    pub(in crate::event_loop) fn request_migration(&mut self, destination: u16, core: u8) -> AdminResponse {
        let response = |status, text: &str| AdminResponse { status, text: text.to_owned() };
        let to = ShardId(core);
        let Some(shard) = &mut self.shard else { return response(409, "there is one core\n") };
        if to.index() >= shard.group().count() {
            return response(404, "there is no such core\n");
        }
        let from = shard.group().owner(destination);
        if from == to {
            return response(200, "it is there\n");
        }
        if from == shard.id() {
            shard.schedule_migration(destination, to, self.clock.now());
        } else {
            shard.handle.send(from, ShardMessage::MigrateTo { destination, to });
        }
        response(202, "it is told to go; the figures say when it has\n")
    }
}
