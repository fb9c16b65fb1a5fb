//! The metrics of a sender, and their text.

use std::fmt::Write;

/// The final outcome of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FinalOutcome {
    /// Delivered.
    Fulfilled,
    /// Rejected or deferred: it may be submitted again.
    Throttled,
    /// Failed.
    Faulted,
}

/// Outcomes of the messages of one class.
#[derive(Debug, Clone, Default)]
struct ClassCounts {
    class: String,
    fulfilled: u64,
    throttled: u64,
    faulted: u64,
}

/// Final outcomes by class since the start of the process.
#[derive(Debug, Clone, Default)]
pub struct OutcomeCounts {
    classes: Vec<ClassCounts>,
}

/// Values as of a moment.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Gauges {
    /// Messages written completely to endpoints since the start of the process.
    pub relayed: u64,
    /// Pending messages.
    pub open: usize,
    /// Endpoints in the endpoint list.
    pub listed: usize,
    /// Those of them that are avoided, whether ejected by an operator or by the sender's own decision.
    pub out_of_rotation: usize,
}

impl OutcomeCounts {
    /// Counts of zero for classes of these names, in this order.
    pub fn new(classes: impl IntoIterator<Item = String>) -> Self {
        Self {
            classes: classes.into_iter().map(|class| ClassCounts { class, ..Default::default() }).collect(),
        }
    }

    /// Counts the outcome of a message. One of an unknown class is not counted.
    pub fn count(&mut self, class: &str, outcome: FinalOutcome) {
        let Some(counts) = self.class_mut(class) else { return };
        match outcome {
            FinalOutcome::Fulfilled => counts.fulfilled += 1,
            FinalOutcome::Throttled => counts.throttled += 1,
            FinalOutcome::Faulted => counts.faulted += 1,
        }
    }

    /// Adds the counts of another shard or process. Those of unknown classes are not counted.
    pub fn add(&mut self, other: &Self) {
        for theirs in &other.classes {
            let Some(ours) = self.class_mut(&theirs.class) else { continue };
            ours.fulfilled += theirs.fulfilled;
            ours.throttled += theirs.throttled;
            ours.faulted += theirs.faulted;
        }
    }

    /// The metrics in the Prometheus text format.
    pub fn text(&self, gauges: Gauges) -> String {
        let mut text = String::new();
        for ClassCounts { class, fulfilled, throttled, faulted } in &self.classes {
            let class = escape_label(class);
            for (status, count) in [("fulfilled", fulfilled), ("throttled", throttled), ("faulted", faulted)]
            {
                let _ = writeln!(text, "svc_operations{{priority=\"{class}\",status=\"{status}\"}} {count}");
            }
        }
        let Gauges { relayed, open, listed, out_of_rotation } = gauges;
        let _ = writeln!(text, "svc_relayed {relayed}\nsvc_open_requests {open}");
        let _ = writeln!(text, "svc_registry_entries {listed}\nsvc_out_of_rotation {out_of_rotation}");
        text
    }

    fn class_mut(&mut self, class: &str) -> Option<&mut ClassCounts> {
        self.classes.iter_mut().find(|counts| counts.class == class)
    }
}

/// Escapes the characters that have a meaning in a label's value.
fn escape_label(value: &str) -> String {
    value.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n")
}
