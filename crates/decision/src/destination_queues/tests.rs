use super::*;

fn ticket(id: u32, class: usize, aim: Micros) -> QueueEntry {
    let (id, destination) = (MessageId(id), DestinationId(7));
    QueueEntry { id, destination, class, tenant: 0, objective_at: aim, end: aim + 10, owed_attempt: false }
}

/// Against sorting all of them, for any border between late and in time.
#[test]
fn they_come_in_order_wherever_the_border_lies() {
    let mut rng = fastrand::Rng::with_seed(1);
    for _ in 0..500 {
        let mut waiting = DestinationQueues::default();
        let count = rng.u32(..12);
        let any =
            |id| QueueEntry { owed_attempt: rng.u8(..4) == 0, ..ticket(id, rng.usize(..3), rng.u64(..8)) };
        let tickets: Vec<_> = (0..count).map(any).collect();
        tickets.iter().for_each(|ticket| waiting.insert(ticket));
        let borders = [rng.u64(..9), rng.u64(..9), rng.u64(..9)];
        let mut sorted: Vec<QueuePosition> = tickets
            .iter()
            .map(|t| (!t.owed_attempt && t.objective_at < borders[t.class], t.objective_at, t.id))
            .collect();
        sorted.sort_unstable();
        let (mut found, mut after) = (vec![], None);
        while let Some(place) = waiting.next(DestinationId(7), after, |class, _| borders[class]) {
            found.push(place);
            after = Some(place);
        }
        assert_eq!(found, sorted);
    }
}

#[test]
fn nothing_is_left_of_a_destination_for_which_nothing_waits() {
    let mut waiting = DestinationQueues::default();
    let (one, two) = (ticket(1, 0, 5), ticket(2, 1, 3));
    waiting.insert(&one);
    waiting.insert(&two);
    assert_eq!(waiting.ending(DestinationId(7), 14).collect::<Vec<_>>(), [two.id]);
    waiting.check_at(DestinationId(7), Some(9));
    waiting.check_at(DestinationId(7), Some(8));
    waiting.set_ready(DestinationId(7), Some((false, 3, two.id)));
    assert_eq!((waiting.next_due(), waiting.count(DestinationId(7))), (Some(8), 2));
    waiting.remove(&one);
    waiting.remove(&two);
    waiting.remove(&two);
    waiting.touch(DestinationId(8));
    assert_eq!((waiting.next_due(), waiting.first_ready(), waiting.destinations()), (None, None, 0));
    assert_eq!(waiting.take_touched().into_iter().collect::<Vec<_>>(), [DestinationId(7)]);
}

#[test]
fn what_is_due_is_touched_once() {
    let mut waiting = DestinationQueues::default();
    waiting.insert(&ticket(1, 0, 5));
    waiting.take_touched();
    waiting.check_at(DestinationId(7), Some(8));
    waiting.advance(7);
    assert_eq!(waiting.touched().count(), 0);
    waiting.advance(8);
    assert_eq!((waiting.touched().count(), waiting.next_due()), (1, None));
}
