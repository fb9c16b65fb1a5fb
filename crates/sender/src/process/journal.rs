//! Opening the journal, or taking it over from a running process, and what is recorded beside it.

use std::time::Duration;

use decision::interface::{Idempotency, Micros};
use decision::policy::Policy;
use handover::HandoverState;
use handover::step::{self, JournalOwner, StartupStep};
use journal::{Journal, OpenError};
use operator_config::Operators;

use crate::config::Config;
use crate::hand_over;
use crate::hand_over::socket::HandoverLink;
use crate::persistence::class_idempotency::{self, ClassIdempotency};
use crate::persistence::ejections;
use crate::ports::Clock;

/// Between two attempts to open a journal that another process has.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// The journal's options: the rest of the disk quota after the files beside it.
fn journal_options(config: &Config, operators: &Operators) -> journal::Options {
    let table = &operators.journal;
    let retain = table.retain.zip(table.ledger).map(|(span, size)| {
        let classes = config.names.classes.iter().zip(&config.settings.classes);
        let once = classes.filter(|(_, class)| class.idempotency == Idempotency::NonIdempotent);
        journal::LedgerOptions {
            span: span.micros,
            bytes: size.bytes,
            classes: once.map(|(name, _)| name.clone()).collect(),
        }
    });
    let damage = match table.damage {
        operator_config::Damage::Refuse => journal::Damage::Refuse,
        operator_config::Damage::Suspect => journal::Damage::Suspect,
    };
    journal::Options {
        limit: config
            .disk
            .saturating_sub(if config.ops.is_some() { ejections::RESERVED } else { 0 })
            .saturating_sub(class_idempotency::reserved(config.names.classes.iter().map(String::as_str))),
        sync: table.sync == operator_config::Sync::Group,
        damage,
        retain,
        segment: None,
    }
}

/// Opens the journal; none if another process has it.
///
/// # Errors
/// Fails when it cannot be opened for another reason.
pub(super) fn open_journal(config: &Config, operators: &Operators) -> Result<Option<Journal>, String> {
    let options = journal_options(config, operators);
    match Journal::open(&config.state, options, Clock::new().now()) {
        Ok((journal, report)) => {
            eprint!("{report}");
            Ok(Some(journal))
        }
        Err(OpenError::Locked) => Ok(None),
        Err(e) => Err(format!("journal in {}: {e}", config.state.display())),
    }
}

/// Opens the journal, or takes over from the process that has it.
///
/// # Errors
/// Fails when the journal cannot be opened, or its owner neither ends nor hands over in time.
pub(super) async fn open_or_take_over(
    config: &Config,
    operators: &Operators,
    accepts_successor: bool,
) -> Result<(Journal, Option<(HandoverLink, HandoverState)>), String> {
    let locked = || format!("journal in {}: {}", config.state.display(), OpenError::Locked);
    let began = Clock::new();
    let start = began.now();
    loop {
        if let Some(journal) = open_journal(config, operators)? {
            return Ok((journal, None));
        }
        let other = if accepts_successor { hand_over::connect(&config.state).await } else { None };
        let found = if other.is_some() { JournalOwner::Responsive } else { JournalOwner::Unresponsive };
        match (step::startup_step(found, accepts_successor, began.now() - start), other) {
            (StartupStep::RequestTakeover, Some(other)) => match hand_over::request_takeover(other).await {
                // It gave the journal up before it said so.
                Ok(predecessor) => {
                    let journal = open_journal(config, operators)?.ok_or_else(locked)?;
                    return Ok((journal, Some(predecessor)));
                }
                Err(e) => eprintln!("the process before does not hand over: {e}"),
            },
            (StartupStep::Fail, _) => return Err(locked()),
            _ => {}
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
}

/// The idempotency that binds pending messages, by class: the stricter of what the settings say and what was recorded when
/// they were accepted. It is recorded for the next process before this one accepts anything.
pub(super) fn record_class_idempotency(config: &Config, journal: &Journal) -> ClassIdempotency {
    let idempotency = config.settings.classes.iter().map(|class| class.idempotency);
    let now: ClassIdempotency = config.names.classes.iter().cloned().zip(idempotency).collect();
    let before = class_idempotency::read(&config.state).unwrap_or_else(|e| {
        eprintln!("{e}");
        now.keys().map(|name| (name.clone(), Idempotency::NonIdempotent)).collect()
    });
    let pending_classes = journal.live().values().map(|live| live.message.class.to_string()).collect();
    let merged = class_idempotency::merged(&before, &now, &pending_classes);
    if merged != before
        && let Err(e) = class_idempotency::write(&config.state, &merged)
    {
        eprintln!("what the classes mean can't be written down for the next process: {e}");
    }
    merged
}

/// The decision module that another process handed over, if this version and these settings can read it.
pub(super) fn restore_policy(config: &Config, state: &HandoverState, now: Micros) -> Option<Policy> {
    let names = &config.names;
    if state.names != [names.classes.clone(), names.kinds.clone(), names.zones.clone()].into() {
        eprintln!("the settings name other classes, kinds or zones than the process before knows");
        return None;
    }
    match Policy::from_state(&state.policy, config.settings.clone(), config.seed, now) {
        Ok(policy) => Some(policy),
        Err(e) => {
            eprintln!("{e}");
            None
        }
    }
}
