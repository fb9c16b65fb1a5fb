//! Writes the same stream of records to the journal and to embedded databases, for comparison.

use std::path::Path;
use std::time::Instant;

use journal::{Journal, Options, Record};

use crate::stream::{Durations, Stream, disk_usage};

/// A store of records that survive a crash of the process, though not one of the machine.
trait Store {
    /// Name in the output.
    fn name(&self) -> &'static str;

    /// Stores the records of one iteration; once this returns, they survive SIGKILL.
    fn store_records(&mut self, records: &mut Vec<Record>) -> Result<(), String>;
}

/// The sender's journal.
struct SenderJournal(Journal);

impl Store for SenderJournal {
    fn name(&self) -> &'static str {
        "this journal"
    }
    fn store_records(&mut self, records: &mut Vec<Record>) -> Result<(), String> {
        self.0.append(1, records).map_err(|e| e.to_string())?;
        self.0.compact_step(1).map_err(|e| e.to_string())
    }
}

/// Prints a line for each store: iterations per second, the 99.9th percentile, and the highest disk usage of its folder.
pub fn compare(folder: &Path, seed: u64, iterations: u32) -> Result<(), String> {
    for limit in [3_000_000u64, 10_000_000_000] {
        let live = if limit < 10_000_000 { 200 } else { 1000 };
        let journal_folder = folder.join(format!("own{limit}"));
        let (journal, _) = Journal::open(&journal_folder, Options { limit, ..Options::default() }, 1)
            .map_err(|e| e.to_string())?;
        #[cfg_attr(not(feature = "embedded"), allow(unused_mut))]
        let mut stores: Vec<(std::path::PathBuf, Box<dyn Store>)> =
            vec![(journal_folder, Box::new(SenderJournal(journal)))];
        #[cfg(feature = "embedded")]
        embedded::add(&mut stores, folder, limit)?;
        for (path, mut store) in stores {
            let mut stream = Stream::new(seed, live);
            let (mut records, mut durations, mut max_disk_usage) = (Vec::new(), Vec::new(), 0);
            for n in 0..iterations {
                stream.next_records(&mut records);
                let started = Instant::now();
                store.store_records(&mut records)?;
                durations.push(started.elapsed());
                if n % 64 == 0 {
                    max_disk_usage = max_disk_usage.max(disk_usage(&path));
                }
            }
            let durations = Durations::new(durations);
            println!(
                "{:<14} at {:>5} MB, {live} live: {:>8.0} iterations/s, 99.9th percentile {:>10?}, longest {:>10?}, \
                 {:>9} bytes on disk at most{}",
                store.name(),
                limit / 1_000_000,
                f64::from(iterations) / durations.sum().as_secs_f64(),
                durations.quantile(0.999),
                durations.quantile(1.0),
                max_disk_usage,
                if max_disk_usage > limit { " (over the limit)" } else { "" },
            );
            drop(store);
            let _ = std::fs::remove_dir_all(path);
        }
    }
    Ok(())
}

/// Embedded databases, each configured so that commits survive SIGKILL, and without syncs where it has such a mode.
#[cfg(feature = "embedded")]
mod embedded {
    use std::path::{Path, PathBuf};

    use journal::{AcceptedMessage, Record};

    use super::Store;

    /// Returns the key of a message's row, or of the row of one of its attempts, which follow it.
    fn key(message: u32, attempt: Option<u16>) -> u64 {
        u64::from(message) << 17 | attempt.map_or(0, |attempt| u64::from(attempt) + 1)
    }

    /// Returns the rows that a record writes, with their content; `None` deletes the row.
    fn rows(record: &Record) -> Vec<(u64, Option<Vec<u8>>)> {
        match record {
            Record::Accepted(message, accepted) => {
                let AcceptedMessage { id, key: idempotency_key, class, destination, deadline, body } =
                    &**accepted;
                let head = format!("{id}\n{}\n{class}\n", idempotency_key.as_deref().unwrap_or_default());
                let rest = [&destination.to_le_bytes()[..], &deadline.to_le_bytes()[..], body];
                vec![(key(*message, None), Some([&[head.as_bytes()][..], &rest[..]].concat().concat()))]
            }
            Record::AttemptStarted { message, attempt, endpoint, at } => {
                let row = [endpoint.as_bytes(), &at.to_le_bytes()].concat();
                vec![(key(*message, Some(*attempt)), Some(row))]
            }
            Record::Completed(message) => vec![(key(*message, None), None), (key(*message, Some(0)), None)],
            Record::AttemptEnded { .. } | Record::Abandoned(..) | Record::LedgerEntry(_) => vec![],
        }
    }

    struct Fjall {
        database: fjall::Database,
        rows: fjall::Keyspace,
    }

    impl Store for Fjall {
        fn name(&self) -> &'static str {
            "fjall"
        }
        fn store_records(&mut self, records: &mut Vec<Record>) -> Result<(), String> {
            let mut batch = self.database.batch();
            for (key, value) in records.drain(..).flat_map(|record| rows(&record)) {
                match value {
                    Some(value) => batch.insert(&self.rows, key.to_be_bytes(), value),
                    None => batch.remove(&self.rows, key.to_be_bytes()),
                }
            }
            batch.commit().map_err(|e| e.to_string())
        }
    }

    const ROWS: redb::TableDefinition<u64, &[u8]> = redb::TableDefinition::new("rows");

    /// Syncs on each commit: it has no mode without syncs in which commits survive SIGKILL.
    struct Redb(redb::Database);

    impl Store for Redb {
        fn name(&self) -> &'static str {
            "redb (syncs)"
        }
        fn store_records(&mut self, records: &mut Vec<Record>) -> Result<(), String> {
            let write = self.0.begin_write().map_err(|e| e.to_string())?;
            {
                let mut table = write.open_table(ROWS).map_err(|e| e.to_string())?;
                for (key, value) in records.drain(..).flat_map(|record| rows(&record)) {
                    match value {
                        Some(value) => table.insert(key, value.as_slice()).map(drop),
                        None => table.remove(key).map(drop),
                    }
                    .map_err(|e| e.to_string())?;
                }
            }
            write.commit().map_err(|e| e.to_string())
        }
    }

    struct Sqlite(rusqlite::Connection);

    impl Store for Sqlite {
        fn name(&self) -> &'static str {
            "SQLite"
        }
        fn store_records(&mut self, records: &mut Vec<Record>) -> Result<(), String> {
            let write = self.0.transaction().map_err(|e| e.to_string())?;
            for (key, value) in records.drain(..).flat_map(|record| rows(&record)) {
                let key = key as i64;
                match value {
                    Some(value) => write
                        .prepare_cached("INSERT INTO rows VALUES (?, ?)")
                        .and_then(|mut row| row.execute((key, value))),
                    None => write
                        .prepare_cached("DELETE FROM rows WHERE key = ?")
                        .and_then(|mut row| row.execute((key,))),
                }
                .map_err(|e| e.to_string())?;
            }
            write.commit().map_err(|e| e.to_string())
        }
    }

    /// Opens each database in a folder of its own.
    pub fn add(stores: &mut Vec<(PathBuf, Box<dyn Store>)>, folder: &Path, limit: u64) -> Result<(), String> {
        let path = folder.join(format!("fjall{limit}"));
        let database = fjall::Database::builder(&path).open().map_err(|e| e.to_string())?;
        let rows =
            database.keyspace("rows", fjall::KeyspaceCreateOptions::default).map_err(|e| e.to_string())?;
        stores.push((path, Box::new(Fjall { database, rows })));

        let path = folder.join(format!("redb{limit}"));
        std::fs::create_dir_all(&path).map_err(|e| e.to_string())?;
        let database = redb::Database::create(path.join("rows")).map_err(|e| e.to_string())?;
        stores.push((path, Box::new(Redb(database))));

        let path = folder.join(format!("sqlite{limit}"));
        std::fs::create_dir_all(&path).map_err(|e| e.to_string())?;
        let database = rusqlite::Connection::open(path.join("rows")).map_err(|e| e.to_string())?;
        let mode = "PRAGMA journal_mode = WAL; PRAGMA synchronous = OFF; PRAGMA journal_size_limit = 500000;
                    CREATE TABLE rows (key INTEGER PRIMARY KEY, value BLOB);";
        database.execute_batch(mode).map_err(|e| e.to_string())?;
        stores.push((path, Box::new(Sqlite(database))));
        Ok(())
    }
}
