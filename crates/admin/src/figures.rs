//! What the sender has counted, and the text that shows it.

use std::fmt::Write;

/// How a message ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FinalOutcome {
    /// Delivered.
    Fulfilled,
    /// Refused or handed back: it may be handed in again.
    Throttled,
    /// Failed.
    Faulted,
}

/// Ends by class, counted from the start of the process.
#[derive(Debug, Clone, Default)]
pub struct OutcomeCounts {
    classes: Vec<(String, [u64; 3])>,
}

/// What is so at the moment.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Gauges {
    /// Messages written whole to endpoints, since the start of the process.
    pub relayed: u64,
    /// Messages taken on and not ended.
    pub open: usize,
    /// Endpoints in the list.
    pub listed: usize,
    /// Those of them that are avoided, by hand or by the sender's own choice.
    pub out_of_rotation: usize,
}

impl OutcomeCounts {
    /// Nothing has ended yet. The classes' names, in the settings' order.
    pub fn new(classes: impl IntoIterator<Item = String>) -> Self {
        Self { classes: classes.into_iter().map(|name| (name, [0; 3])).collect() }
    }

    /// Counts a message of that class. One of a class that the settings don't have is not counted.
    pub fn count(&mut self, class: &str, end: FinalOutcome) {
        if let Some((_, counts)) = self.classes.iter_mut().find(|(name, _)| name == class) {
            counts[end as usize] += 1;
        }
    }

    /// Counts what was counted elsewhere too.
    pub fn add(&mut self, other: &Self) {
        for (class, counts) in &other.classes {
            if let Some((_, ours)) = self.classes.iter_mut().find(|(name, _)| name == class) {
                ours.iter_mut().zip(counts).for_each(|(ours, theirs)| *ours += theirs);
            }
        }
    }

    /// The figures in the Prometheus text format.
    pub fn text(&self, now: Gauges) -> String {
        let mut text = String::new();
        for (class, counts) in &self.classes {
            for (status, count) in ["fulfilled", "throttled", "faulted"].into_iter().zip(counts) {
                let class = escaped(class);
                let _ = writeln!(text, "svc_operations{{priority=\"{class}\",status=\"{status}\"}} {count}");
            }
        }
        let Gauges { relayed, open, listed, out_of_rotation } = now;
        let _ = writeln!(text, "svc_relayed {relayed}\nsvc_open_requests {open}");
        let _ = writeln!(text, "svc_registry_entries {listed}\nsvc_out_of_rotation {out_of_rotation}");
        text
    }
}

/// A label's value: the format gives a meaning to these three.
fn escaped(value: &str) -> String {
    value.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n")
}
