//! Administrative requests that bind all shards.

use admin::call::AdminRequest;
use admin::ejections::Ejections;
use decision::interface::Event;
use sharding::ShardId;
use tokio::sync::oneshot;

use super::BROADCAST_TIMEOUT;
use crate::event_loop::EventLoop;
use crate::ports::AdminResponse;
use crate::shards::ShardMessage;

impl EventLoop {
    /// Tells the other shards who is ejected; each answers once it has applied that.
    fn eject_everywhere(&self, held_out: &Ejections) -> Vec<oneshot::Receiver<()>> {
        let Some(member) = &self.shard else { return Vec::new() };
        let tell = |core| {
            let (done, heard) = oneshot::channel();
            member.handle.send(core, ShardMessage::Ejections(held_out.clone(), done));
            heard
        };
        member.others().map(tell).collect()
    }

    /// Answers an administrative request; one that binds all shards once it does.
    pub(in crate::event_loop) fn answer_staff(
        &mut self,
        call: AdminRequest,
        answer: oneshot::Sender<AdminResponse>,
        events: &mut Vec<Event>,
    ) {
        let binds = matches!(call, AdminRequest::Eject(_) | AdminRequest::Reinstate(_));
        let told = self.handle_admin_request(call, events);
        if !binds || told.status != 200 || self.shard.is_none() {
            let _ = answer.send(told);
            return;
        }
        let waits = self.eject_everywhere(self.directory.ejections());
        tokio::task::spawn_local(async move {
            let all = async {
                for heard in waits {
                    let _ = heard.await;
                }
            };
            let told = match tokio::time::timeout(BROADCAST_TIMEOUT, all).await {
                Ok(()) => told,
                Err(_) => AdminResponse {
                    status: 503,
                    text: "it is kept, and a core has not taken it in yet\n".into(),
                },
            };
            let _ = answer.send(told);
        });
    }

    /// Asks for a destination to migrate to another shard.
    pub(in crate::event_loop) fn request_migration(&mut self, destination: u16, core: u8) -> AdminResponse {
        let told = |status, text: &str| AdminResponse { status, text: text.to_owned() };
        let to = ShardId(core);
        let Some(member) = &mut self.shard else { return told(409, "there is one core\n") };
        if to.index() >= member.group().count() {
            return told(404, "there is no such core\n");
        }
        let from = member.group().owner(destination);
        if from == to {
            return told(200, "it is there\n");
        }
        if from == member.id() {
            member.schedule_migration(destination, to, self.clock.now());
        } else {
            member.handle.send(from, ShardMessage::MigrateTo { destination, to });
        }
        told(202, "it is told to go; the figures say when it has\n")
    }
}
