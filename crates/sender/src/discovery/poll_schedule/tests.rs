use super::*;

/// So long that it doesn't bind.
const GRACE: Duration = Duration::from_secs(60);

/// Guards drains that were told before the process began.
#[test]
fn the_first_call_leaves_half_of_the_time_for_drains() {
    let grace = Duration::from_secs(1);
    let latest = (0..99).map(|seed| PollSchedule::new(300, grace, seed).first(Duration::ZERO)).max().unwrap();
    assert!(latest > grace / 3 && latest <= grace / 2, "{latest:?}");
}

#[test]
fn who_is_turned_away_rests_longer_each_time_and_begins_anew_after_a_list() {
    let mut again = PollSchedule::new(48, GRACE, 1);
    let mut mean = Duration::from_millis(1_200);
    for _ in 0..40 {
        let rest = again.backoff(PollFailure::Rejected);
        assert!(rest >= mean / 2 && rest <= mean * 3 / 2, "{rest:?} about {mean:?}");
        mean = (mean * 2).min(LONGEST);
    }
    assert_eq!(again.backoff(PollFailure::Broken), BROKEN, "the agent itself is asked at once");
    again.answered();
    assert!(again.backoff(PollFailure::Rejected) <= Duration::from_millis(1_800));
}

#[test]
fn one_alone_asks_at_once() {
    let good = Duration::from_secs(4);
    assert_eq!(PollSchedule::new(1, GRACE, 1).first(good), Duration::ZERO);
    assert_eq!(PollSchedule::new(0, GRACE, 1).first(good), Duration::ZERO);
    assert!(PollSchedule::new(usize::MAX, GRACE, 1).first(Duration::ZERO) <= LONGEST / 4);
    let latest = |good| (0..99).map(|seed| PollSchedule::new(100, GRACE, seed).first(good)).max().unwrap();
    assert!(latest(good) > LONGEST / 4 && latest(good) <= good, "a good list leaves discovery time");
    assert!(latest(Duration::from_secs(3)) <= Duration::from_secs(3));
}

/// A discovery that can answer every sender once in eight seconds, and pays half as much for a call that it turns
/// away: all senders have a list soon. Without the rest few ever do.
#[test]
fn all_of_many_senders_get_their_list() {
    let served_by = |rests: bool| {
        let mut senders: Vec<_> = (0..48).map(|n| PollSchedule::new(48, GRACE, n)).collect();
        let mut at: Vec<_> = senders.iter_mut().map(|s| Some(s.first(Duration::ZERO))).collect();
        let (mut busy_until, mut last) = (Duration::ZERO, Duration::ZERO);
        while let Some((now, n)) = at.iter().enumerate().filter_map(|(n, at)| Some(((*at)?, n))).min() {
            if now > Duration::from_secs(60) {
                return None;
            }
            busy_until = busy_until.max(now);
            if busy_until - now > Duration::from_secs(2) {
                busy_until += LONGEST / 96;
                let rest = senders[n].backoff(PollFailure::Rejected);
                at[n] = Some(now + if rests { rest } else { BROKEN });
            } else {
                busy_until += LONGEST / 48;
                (at[n], last) = (None, busy_until);
            }
        }
        Some(last)
    };
    assert!(served_by(true).unwrap() < Duration::from_secs(30), "{:?}", served_by(true));
    assert_eq!(served_by(false), None);
}
