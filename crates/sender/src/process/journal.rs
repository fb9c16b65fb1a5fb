//! Opens the journal or takes it over from a running process, and restores the state that belongs to it.

use std::time::Duration;

use decision::interface::{Idempotency, Micros};
use decision::policy::Policy;
use handover::HandoverState;
use handover::step::{self, JournalOwner, StartupStep};
use journal::{Journal, LedgerOptions, OpenError};
use operator_config::Operators;

use crate::config::Config;
use crate::hand_over;
use crate::hand_over::socket::HandoverLink;
use crate::persistence::class_idempotency::{self, ClassIdempotency};
use crate::persistence::ejections;
use crate::ports::Clock;

/// Interval between attempts to open a journal that another process has.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// How long the outcome of a message is kept, at least, if the operators' file sets no other time. A submission with the
/// same id may lie unread on its connection, behind others, for some seconds after the message has completed.
const OUTCOME_SPAN: Micros = 30_000_000;

/// Returns the ledger by which a repeated submission is recognised after its message has completed: as the operators' file
/// says, else one of all classes for [`OUTCOME_SPAN`] or the longest deadline. `limit` is the journal's.
fn ledger_options(config: &Config, operators: &Operators, limit: u64) -> LedgerOptions {
    let table = &operators.journal;
    if let Some((span, size)) = table.retain.zip(table.ledger) {
        let classes = config.names.classes.iter().zip(&config.settings.classes);
        let non_idempotent = classes.filter(|(_, class)| class.idempotency == Idempotency::NonIdempotent);
        return LedgerOptions {
            span: span.micros,
            bytes: size.bytes,
            classes: non_idempotent.map(|(name, _)| name.clone()).collect(),
        };
    }
    let longest_deadline = config.settings.classes.iter().map(|class| class.deadline).max();
    LedgerOptions {
        span: longest_deadline.unwrap_or(0).max(OUTCOME_SPAN),
        bytes: journal::Options::max_ledger_bytes(limit),
        classes: config.names.classes.clone(),
    }
}

/// Returns the journal's options. Its size limit is the disk quota without the space reserved for other files.
fn journal_options(config: &Config, operators: &Operators) -> journal::Options {
    let table = &operators.journal;
    let damage = match table.damage {
        operator_config::Damage::Refuse => journal::Damage::Refuse,
        operator_config::Damage::Suspect => journal::Damage::Suspect,
    };
    let limit = config
        .disk
        .saturating_sub(if config.ops.is_some() { ejections::RESERVED_BYTES } else { 0 })
        .saturating_sub(class_idempotency::reserved(config.names.classes.iter().map(String::as_str)));
    journal::Options {
        limit,
        sync: table.sync == operator_config::Sync::Group,
        damage,
        retain: Some(ledger_options(config, operators, limit)),
        segment: None,
    }
}

/// Opens the journal. Returns none if another process has it.
///
/// # Errors
/// Fails when the journal cannot be opened for another reason.
pub(super) fn open_journal(config: &Config, operators: &Operators) -> Result<Option<Journal>, String> {
    let options = journal_options(config, operators);
    match Journal::open(&config.state, options, Clock::new().now()) {
        Ok((journal, report)) => {
            eprint!("{report}");
            Ok(Some(journal))
        }
        Err(OpenError::Locked) => Ok(None),
        Err(error) => Err(format!("journal in {}: {error}", config.state.display())),
    }
}

/// Opens the journal again after a hand-over that failed. Returns none if another process has it.
///
/// # Errors
/// Fails when the journal cannot be opened for another reason.
pub(super) async fn reopen_journal(
    config: &Config,
    operators: &Operators,
) -> Result<Option<Journal>, String> {
    let clock = Clock::new();
    let start = clock.now();
    loop {
        let journal = open_journal(config, operators)?;
        if journal.is_some() || clock.now() >= start + step::JOURNAL_RELEASE_TIMEOUT {
            return Ok(journal);
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
}

/// Opens the journal, or takes over from the process that has it.
///
/// # Errors
/// Fails when the journal cannot be opened, or its owner neither exits nor hands over in time.
pub(super) async fn open_or_take_over(
    config: &Config,
    operators: &Operators,
    accepts_successor: bool,
) -> Result<(Journal, Option<(HandoverLink, HandoverState)>), String> {
    let locked = || format!("journal in {}: {}", config.state.display(), OpenError::Locked);
    let clock = Clock::new();
    let start = clock.now();
    loop {
        if let Some(journal) = open_journal(config, operators)? {
            return Ok((journal, None));
        }
        let link = if accepts_successor { hand_over::connect(&config.state).await } else { None };
        let owner = if link.is_some() { JournalOwner::Responsive } else { JournalOwner::Unresponsive };
        match (step::startup_step(owner, accepts_successor, clock.now() - start), link) {
            (StartupStep::RequestTakeover, Some(link)) => match hand_over::request_takeover(link).await {
                // The predecessor releases the journal before it sends its state. If another process has it, either the
                // predecessor has resumed, because this process was too slow, or there is a further successor.
                Ok(predecessor) => match open_journal(config, operators)? {
                    Some(journal) => return Ok((journal, Some(predecessor))),
                    None => eprintln!("hand-over: another process has the journal, retrying"),
                },
                Err(error) => eprintln!("hand-over request failed, retrying: {error}"),
            },
            (StartupStep::Fail, _) => return Err(locked()),
            _ => {}
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
}

/// Returns the idempotency that applies to pending messages, by class: the stricter of the one in the settings and the
/// one that was recorded when the messages were accepted. The result is recorded for the next process before this one
/// accepts any message.
pub(super) fn record_class_idempotency(config: &Config, journal: &Journal) -> ClassIdempotency {
    let idempotency = config.settings.classes.iter().map(|class| class.idempotency);
    let configured: ClassIdempotency = config.names.classes.iter().cloned().zip(idempotency).collect();
    let recorded = class_idempotency::read(&config.state).unwrap_or_else(|error| {
        eprintln!("{error}");
        configured.keys().map(|name| (name.clone(), Idempotency::NonIdempotent)).collect()
    });
    let pending_classes = journal.live().values().map(|live| live.message.class.to_string()).collect();
    let merged = class_idempotency::merged(&recorded, &configured, &pending_classes);
    if merged != recorded
        && let Err(error) = class_idempotency::write(&config.state, &merged)
    {
        eprintln!(
            "the idempotency of the classes can't be recorded for the next process, \
             continuing without: {error}"
        );
    }
    merged
}

/// Restores the decision module from a predecessor's state, if this version and these settings can read it.
pub(super) fn restore_policy(config: &Config, state: &HandoverState, now: Micros) -> Option<Policy> {
    let names = &config.names;
    if state.names != [names.classes.clone(), names.kinds.clone(), names.zones.clone()].into() {
        eprintln!(
            "the predecessor's state can't be used, continuing from the journal: \
             the settings name other classes, kinds or zones"
        );
        return None;
    }
    match Policy::from_state(&state.policy, config.settings.clone(), config.seed, now) {
        Ok(policy) => Some(policy),
        Err(error) => {
            eprintln!("{error}");
            None
        }
    }
}
