//! The metrics of a sender, and their text format.

use std::fmt::Write;

/// The final outcome of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FinalOutcome {
    /// The message was delivered.
    Fulfilled,
    /// The message was rejected or deferred: it may be submitted again.
    Throttled,
    /// The message failed.
    Faulted,
}

/// Numbers of messages of one class by final outcome.
#[derive(Debug, Clone, Default)]
struct ClassCounts {
    class: String,
    fulfilled: u64,
    throttled: u64,
    faulted: u64,
}

/// Numbers of final outcomes by class since the start of the process.
#[derive(Debug, Clone, Default)]
pub struct OutcomeCounts {
    classes: Vec<ClassCounts>,
}

/// Metrics that are not divided by class.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Gauges {
    /// Messages that were written completely to endpoints since the start of the process.
    pub relayed: u64,
    /// Pending messages.
    pub open: usize,
    /// Endpoints in the endpoint list.
    pub listed: usize,
    /// Listed endpoints that receive no messages: ejected by an operator, or avoided by the sender's own decision.
    pub out_of_rotation: usize,
}

impl OutcomeCounts {
    /// Creates counts of zero for the classes with these names, in this order.
    pub fn new(classes: impl IntoIterator<Item = String>) -> Self {
        Self {
            classes: classes.into_iter().map(|class| ClassCounts { class, ..Default::default() }).collect(),
        }
    }

    /// Counts the outcome of a message. Messages of unknown classes are not counted.
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
        for added in &other.classes {
            let Some(counts) = self.class_mut(&added.class) else { continue };
            counts.fulfilled += added.fulfilled;
            counts.throttled += added.throttled;
            counts.faulted += added.faulted;
        }
    }

    /// Returns the metrics in the Prometheus text format.
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

/// Escapes the special characters of a label value.
fn escape_label(value: &str) -> String {
    value.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n")
}
