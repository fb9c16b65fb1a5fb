//! Tests of the elapsed time, by two clocks of which one or both may be wrong.

use super::*;

const HOUR: Micros = 3_600_000_000;

fn timestamp(wall: Micros, id: u128, at: Micros) -> Timestamp {
    Timestamp { wall, boot: Some(Boot { id, at }) }
}

#[test]
fn the_monotonic_clock_detects_a_wall_clock_that_was_set() {
    let then = timestamp(100 * HOUR, 1, HOUR);
    for (wall, real, expected) in [
        (HOUR, HOUR, WallClock::Steady),
        (HOUR + 200_000, HOUR, WallClock::Steady),
        (3 * HOUR, HOUR, WallClock::SetForward(2 * HOUR)),
        (0, HOUR, WallClock::SetBack(HOUR)),
    ] {
        let elapsed = super::elapsed(&then, &timestamp(100 * HOUR + wall, 1, HOUR + real));
        assert_eq!(elapsed, Elapsed { least: real, most: Some(real), wall: expected });
    }
    let back = elapsed(&then, &timestamp(90 * HOUR, 1, 2 * HOUR));
    assert_eq!((back.least, back.wall), (HOUR, WallClock::SetBack(11 * HOUR)));
    assert_eq!(elapsed(&then, &timestamp(101 * HOUR, 1, 0)).wall, WallClock::Impossible);
}

#[test]
fn after_a_restart_of_the_machine_only_the_time_since_is_certain() {
    let then = timestamp(100 * HOUR, 1, 50 * HOUR);
    let overnight = elapsed(&then, &timestamp(108 * HOUR, 2, 1_000_000));
    assert_eq!(overnight, Elapsed { least: 1_000_000, most: Some(8 * HOUR), wall: WallClock::Restarted });
    let back = elapsed(&then, &timestamp(99 * HOUR, 2, 1_000_000));
    assert_eq!((back.least, back.most), (1_000_000, None));
}

#[test]
fn without_the_monotonic_clock_only_a_wall_clock_that_was_set_back_is_detected() {
    let wall = |wall| Timestamp { wall, boot: None };
    let forward = elapsed(&wall(5), &wall(HOUR + 5));
    assert_eq!(forward, Elapsed { least: HOUR, most: Some(HOUR), wall: WallClock::Unchecked });
    let back = elapsed(&wall(HOUR), &wall(5));
    assert_eq!(back, Elapsed { least: 0, most: None, wall: WallClock::SetBack(HOUR - 5) });
}
