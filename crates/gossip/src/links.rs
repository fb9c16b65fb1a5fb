//! How long notes were on their way beyond what is usual, with no clocks compared: a note says when it was sent by its sender's
//! clock, and the least difference to the clock here stands for the way itself. What was held up is told by it: by the network,
//! by a sender that stood still with a note in hand, or because this one stood still.

use std::collections::BTreeMap;

use crate::{MemberIndex, Micros};

/// A note that was held up for longer counts for nothing.
pub const STALE: Micros = 1_000_000;
/// Clocks drift apart by a part in so many.
const DRIFT: i64 = 5_000;

#[derive(Clone, Copy, Debug)]
struct Link {
    run: u32,
    /// Least difference between the clocks as notes showed it, in microseconds, and when that was.
    least: i64,
    at: Micros,
}

/// The ways from other senders.
#[derive(Clone, Debug, Default)]
pub struct Links(BTreeMap<MemberIndex, Link>);

/// What a note's time on the way came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// The first of that sender's process: nothing can be said.
    Unknown,
    /// So much longer than the shortest.
    Longer(Micros),
    /// It was held up.
    Stale,
}

impl Links {
    /// A note came that was sent at that time by its sender's clock, in milliseconds, which run over.
    pub fn came(&mut self, from: MemberIndex, run: u32, sent_ms: u32, now: Micros) -> Way {
        let now_ms = (now / 1_000) as u32;
        let difference = i64::from(now_ms.wrapping_sub(sent_ms) as i32) * 1_000;
        let link = self.0.get(&from).copied().filter(|link| link.run == run);
        let Some(link) = link else {
            self.0.insert(from, Link { run, least: difference, at: now });
            return Way::Unknown;
        };
        let drifted = link.least + now.saturating_sub(link.at) as i64 / DRIFT;
        let longer = (difference - drifted).max(0) as Micros;
        if difference < drifted {
            self.0.insert(from, Link { run, least: difference, at: now });
        }
        if longer > STALE { Way::Stale } else { Way::Longer(longer) }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SECOND: Micros = 1_000_000;

    #[test]
    fn a_note_that_was_held_up_is_told_whatever_the_clocks_say() {
        for ahead in [0u32, 500_000, u32::MAX - 3_000] {
            let mut links = Links::default();
            let sent = |ms: u32| ms.wrapping_add(ahead);
            assert_eq!(links.came(7, 1, sent(10_000), 10 * SECOND + 20_000), Way::Unknown);
            assert_eq!(links.came(7, 1, sent(11_000), 11 * SECOND + 5_000), Way::Longer(0));
            let Way::Longer(longer) = links.came(7, 1, sent(12_000), 12 * SECOND + 205_000) else { panic!() };
            assert!((199_000..=200_000).contains(&longer), "{longer}");
            assert_eq!(links.came(7, 1, sent(13_000), 15 * SECOND), Way::Stale);
            assert_eq!(
                links.came(7, 2, sent(13_000), 15 * SECOND),
                Way::Unknown,
                "another process, another clock"
            );
        }
    }
}
