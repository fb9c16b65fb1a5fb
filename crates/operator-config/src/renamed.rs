//! Tables and keys of the file that were renamed. Their old names are still accepted, with a warning for each.

use std::borrow::Cow;

use toml::Spanned;
use toml::de::{DeTable, DeValue};

use crate::Lines;
use crate::error::{ConfigError, Reason, Warning};

/// An old name and the name that replaced it.
struct Renamed {
    old: &'static str,
    new: &'static str,
}

const TABLES: &[Renamed] = &[
    Renamed { old: "known", new: "health_snapshot" },
    Renamed { old: "dormant", new: "idle_destinations" },
    Renamed { old: "shared", new: "gossip" },
];

/// Renamed keys by the new name of their table.
const KEYS: &[(&str, &[Renamed])] = &[
    (
        "idle_destinations",
        &[
            Renamed { old: "remember", new: "retain" },
            Renamed { old: "awake", new: "active" },
            Renamed { old: "wakes", new: "activations" },
        ],
    ),
    ("gossip", &[Renamed { old: "lends", new: "transfers" }]),
];

/// Replaces old names by the new ones throughout the file, and returns a warning for each.
///
/// # Errors
/// Fails when a table or key is given under both names.
pub(crate) fn replace_old_names(
    document: &mut DeTable<'_>,
    lines: Lines<'_>,
) -> Result<Vec<Warning>, ConfigError> {
    let mut warnings = Vec::new();
    for renamed in TABLES {
        warnings.extend(replace(document, renamed, lines, |name| format!("[{name}]"))?);
    }
    for (table, keys) in KEYS {
        let Some(DeValue::Table(entries)) = value_mut(document, table) else { continue };
        for renamed in *keys {
            warnings.extend(replace(entries, renamed, lines, |name| format!("[{table}] {name}"))?);
        }
    }
    warnings.sort_by_key(|warning| warning.line);
    Ok(warnings)
}

/// Replaces one old name, if the file has it. `display` formats a name for the operator.
fn replace(
    entries: &mut DeTable<'_>,
    renamed: &Renamed,
    lines: Lines<'_>,
    display: impl Fn(&str) -> String,
) -> Result<Option<Warning>, ConfigError> {
    let Some(old) = key(entries, renamed.old) else { return Ok(None) };
    let line = lines.at(old.span().start);
    let (old_name, new_name) = (display(renamed.old), display(renamed.new));
    if key(entries, renamed.new).is_some() {
        let reason = Reason::GivenTwice { old: old_name, new: new_name };
        return Err(ConfigError { line, reason });
    }
    if let Some(value) = entries.remove(&old) {
        entries.insert(Spanned::new(old.span(), Cow::Borrowed(renamed.new)), value);
    }
    Ok(Some(Warning { line, old: old_name, new: new_name }))
}

/// Returns the key with this name, with its position.
fn key<'i>(entries: &DeTable<'i>, name: &str) -> Option<Spanned<Cow<'i, str>>> {
    entries.keys().find(|key| key.get_ref().as_ref() == name).cloned()
}

fn value_mut<'a, 'i>(entries: &'a mut DeTable<'i>, name: &str) -> Option<&'a mut DeValue<'i>> {
    let (_, value) = entries.iter_mut().find(|(key, _)| key.get_ref().as_ref() == name)?;
    Some(value.get_mut())
}
