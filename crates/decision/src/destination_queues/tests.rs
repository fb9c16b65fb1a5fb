use super::*;

fn entry(id: u32, class: usize, objective_at: Micros) -> QueueEntry {
    let (id, destination) = (MessageId(id), DestinationId(7));
    QueueEntry {
        id,
        destination,
        class,
        tenant: 0,
        objective_at,
        end: objective_at + 10,
        owed_attempt: false,
    }
}

/// Compares with sorting all messages, for random borders between late and in time.
#[test]
fn returns_messages_in_order_for_any_late_border() {
    let mut rng = fastrand::Rng::with_seed(1);
    for _ in 0..500 {
        let mut queues = DestinationQueues::default();
        let count = rng.u32(..12);
        let random_entry =
            |id| QueueEntry { owed_attempt: rng.u8(..4) == 0, ..entry(id, rng.usize(..3), rng.u64(..8)) };
        let entries: Vec<_> = (0..count).map(random_entry).collect();
        entries.iter().for_each(|entry| queues.insert(entry));
        let late_borders = [rng.u64(..9), rng.u64(..9), rng.u64(..9)];
        let mut sorted: Vec<QueuePosition> = entries
            .iter()
            .map(|e| (!e.owed_attempt && e.objective_at < late_borders[e.class], e.objective_at, e.id))
            .collect();
        sorted.sort_unstable();
        let (mut found, mut after) = (vec![], None);
        while let Some(position) = queues.next(DestinationId(7), after, |class, _| late_borders[class]) {
            found.push(position);
            after = Some(position);
        }
        assert_eq!(found, sorted);
    }
}

#[test]
fn removing_the_last_message_removes_the_destination() {
    let mut queues = DestinationQueues::default();
    let (one, two) = (entry(1, 0, 5), entry(2, 1, 3));
    queues.insert(&one);
    queues.insert(&two);
    assert_eq!(queues.ending(DestinationId(7), 14).collect::<Vec<_>>(), [two.id]);
    queues.check_at(DestinationId(7), Some(9));
    queues.check_at(DestinationId(7), Some(8));
    queues.set_ready(DestinationId(7), Some((false, 3, two.id)));
    assert_eq!((queues.next_due(), queues.count(DestinationId(7))), (Some(8), 2));
    queues.remove(&one);
    queues.remove(&two);
    queues.remove(&two);
    queues.touch(DestinationId(8));
    assert_eq!((queues.next_due(), queues.first_ready(), queues.destinations()), (None, None, 0));
    assert_eq!(queues.take_touched().into_iter().collect::<Vec<_>>(), [DestinationId(7)]);
}

#[test]
fn marks_a_destination_once_when_its_check_is_due() {
    let mut queues = DestinationQueues::default();
    queues.insert(&entry(1, 0, 5));
    queues.take_touched();
    queues.check_at(DestinationId(7), Some(8));
    queues.advance(7);
    assert_eq!(queues.touched().count(), 0);
    queues.advance(8);
    assert_eq!((queues.touched().count(), queues.next_due()), (1, None));
}
