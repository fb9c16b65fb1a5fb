//! What on-call staff ask of the driver.

use decision::interface::Event;
use ops::call::Call;
use ops::door::Door;
use ops::figures::Now;

use super::Driver;
use crate::kept;
use crate::ports::Told;

impl Driver {
    /// What on-call staff ask for. A no changes nothing.
    pub(super) fn asked(&mut self, call: Call, said: &mut Vec<Event>) -> Told {
        let told = |status, text: &str| Told { status, text: text.to_owned() };
        let done = || told(200, "done\n");
        let door = *self.door.borrow();
        if !matches!(call, Call::Status | Call::Metrics) {
            eprintln!("on-call staff ask for {call:?}");
        }
        match call {
            Call::Status if door == Door::Closing => told(503, "ending\n"),
            Call::Status => told(200, "taking clients\n"),
            Call::Metrics => {
                let (ends, now) = self.figures_of_all();
                told(200, &(ends.text(now) + &self.figures_by_core()))
            }
            Call::Standby | Call::Active if door == Door::Closing => told(409, "ending\n"),
            Call::Standby => {
                self.door.send_replace(door.standby(self.clock.now()));
                done()
            }
            Call::Active => {
                self.door.send_replace(door.active());
                done()
            }
            Call::Move { destination, core } => self.asked_to_move(destination, core),
            Call::HoldOut(ref name) | Call::PutBack(ref name) => {
                let out = matches!(call, Call::HoldOut(_));
                let held_out = match self.directory.would_hold_out(name, out) {
                    Ok(held_out) => held_out,
                    Err(refused) => return told(refused.status(), refused.text()),
                };
                // Before the yes: it holds for the next process too.
                if held_out != *self.directory.held_out()
                    && let Err(e) = kept::write(&self.state, &held_out)
                {
                    return told(500, &format!("it can't be kept, and nothing changes: {e}\n"));
                }
                said.push(self.directory.hold_out(held_out));
                done()
            }
        }
    }

    pub(super) fn figures(&self) -> Now {
        Now {
            relayed: self.directory.carriers().iter().map(|carrier| carrier.written()).sum(),
            open: self.policy.held(),
            listed: self.directory.listed_endpoints(),
            out_of_rotation: self.policy.avoided(),
        }
    }
}
