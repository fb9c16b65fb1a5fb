use super::*;

/// Too long to limit the first delay.
const GRACE: Duration = Duration::from_secs(60);

/// Drains from before the start of the process have to be known within the grace period, so that the first poll must not be
/// delayed by more than half of it.
#[test]
fn first_poll_leaves_half_of_the_grace_period_for_drains() {
    let grace = Duration::from_secs(1);
    let latest =
        (0..99).map(|seed| PollSchedule::new(300, grace, seed).first_delay(Duration::ZERO)).max().unwrap();
    assert!(latest > grace / 3 && latest <= grace / 2, "{latest:?}");
}

#[test]
fn delay_doubles_with_each_rejection_and_starts_over_after_a_list() {
    let mut schedule = PollSchedule::new(48, GRACE, 1);
    let mut mean = Duration::from_millis(1_200);
    for _ in 0..40 {
        let delay = schedule.backoff(PollFailure::Rejected);
        assert!(delay >= mean / 2 && delay <= mean * 3 / 2, "{delay:?} about {mean:?}");
        mean = (mean * 2).min(MAX_MEAN_DELAY);
    }
    assert_eq!(
        schedule.backoff(PollFailure::Broken),
        BROKEN_DELAY,
        "after a broken connection the local agent is polled again at once"
    );
    schedule.answered();
    assert!(schedule.backoff(PollFailure::Rejected) <= Duration::from_millis(1_800));
}

#[test]
fn single_sender_polls_at_once_and_many_spread() {
    let good_for = Duration::from_secs(4);
    assert_eq!(PollSchedule::new(1, GRACE, 1).first_delay(good_for), Duration::ZERO);
    assert_eq!(PollSchedule::new(0, GRACE, 1).first_delay(good_for), Duration::ZERO);
    assert!(PollSchedule::new(usize::MAX, GRACE, 1).first_delay(Duration::ZERO) <= MAX_MEAN_DELAY / 4);
    let latest = |good_for| {
        (0..99).map(|seed| PollSchedule::new(100, GRACE, seed).first_delay(good_for)).max().unwrap()
    };
    assert!(
        latest(good_for) > MAX_MEAN_DELAY / 4 && latest(good_for) <= good_for,
        "with a valid list the senders spread over a longer time"
    );
    assert!(latest(Duration::from_secs(3)) <= Duration::from_secs(3));
}

/// Simulates a discovery service that can answer every sender once in eight seconds, and that needs half as long to reject a
/// poll. With the delays all senders get a list within 30 s; without them not all do within 60 s.
#[test]
fn all_of_many_senders_get_their_list() {
    let served_by = |backs_off: bool| {
        let mut senders: Vec<_> = (0..48).map(|n| PollSchedule::new(48, GRACE, n)).collect();
        let mut next_poll_at: Vec<_> =
            senders.iter_mut().map(|s| Some(s.first_delay(Duration::ZERO))).collect();
        let (mut busy_until, mut last) = (Duration::ZERO, Duration::ZERO);
        while let Some((now, n)) =
            next_poll_at.iter().enumerate().filter_map(|(n, next_poll_at)| Some(((*next_poll_at)?, n))).min()
        {
            if now > Duration::from_secs(60) {
                return None;
            }
            busy_until = busy_until.max(now);
            if busy_until - now > Duration::from_secs(2) {
                busy_until += MAX_MEAN_DELAY / 96;
                let delay = senders[n].backoff(PollFailure::Rejected);
                next_poll_at[n] = Some(now + if backs_off { delay } else { BROKEN_DELAY });
            } else {
                busy_until += MAX_MEAN_DELAY / 48;
                (next_poll_at[n], last) = (None, busy_until);
            }
        }
        Some(last)
    };
    assert!(served_by(true).unwrap() < Duration::from_secs(30), "{:?}", served_by(true));
    assert_eq!(served_by(false), None);
}
