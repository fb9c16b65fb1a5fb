//! The same stream through other stores: what was weighed.

use std::path::Path;
use std::time::Instant;

use journal::{Journal, Options, Record};

use crate::stream::{Stream, Times, used};

/// A store that keeps records so that they outlast the process, not the machine.
trait Store {
    /// Its name.
    fn name(&self) -> &'static str;

    /// Keeps the records of a turn; they outlast SIGKILL when it returns.
    fn turn(&mut self, records: &mut Vec<Record>) -> Result<(), String>;
}

struct Own(Journal);

impl Store for Own {
    fn name(&self) -> &'static str {
        "this journal"
    }
    fn turn(&mut self, records: &mut Vec<Record>) -> Result<(), String> {
        self.0.append(1, records).map_err(|e| e.to_string())?;
        self.0.compact_step(1).map_err(|e| e.to_string())
    }
}

/// Prints a line for each store: turns a second, the 99.9th percentile, and the most that its folder ever took.
pub fn compare(folder: &Path, seed: u64, turns: u32) -> Result<(), String> {
    for limit in [3_000_000u64, 10_000_000_000] {
        let live = if limit < 10_000_000 { 200 } else { 1000 };
        let own = folder.join(format!("own{limit}"));
        let (journal, _) =
            Journal::open(&own, Options { limit, ..Options::default() }, 1).map_err(|e| e.to_string())?;
        #[cfg_attr(not(feature = "embedded"), allow(unused_mut))]
        let mut stores: Vec<(std::path::PathBuf, Box<dyn Store>)> = vec![(own, Box::new(Own(journal)))];
        #[cfg(feature = "embedded")]
        embedded::add(&mut stores, folder, limit)?;
        for (path, mut store) in stores {
            let mut stream = Stream::new(seed, live);
            let (mut records, mut times, mut most) = (Vec::new(), Vec::new(), 0);
            for n in 0..turns {
                stream.turn(&mut records);
                let begun = Instant::now();
                store.turn(&mut records)?;
                times.push(begun.elapsed());
                if n % 64 == 0 {
                    most = most.max(used(&path));
                }
            }
            let times = Times::new(times);
            println!(
                "{:<14} at {:>5} MB, {live} live: {:>8.0} turns/s, 99.9th percentile {:>10?}, longest {:>10?}, \
                 {:>9} bytes on the disk at most{}",
                store.name(),
                limit / 1_000_000,
                f64::from(turns) / times.sum().as_secs_f64(),
                times.at(0.999),
                times.at(1.0),
                most,
                if most > limit { " (OVER)" } else { "" },
            );
            drop(store);
            let _ = std::fs::remove_dir_all(path);
        }
    }
    Ok(())
}

/// Embedded databases, each set so that what is committed outlasts SIGKILL, without syncs where it has such a mode.
#[cfg(feature = "embedded")]
mod embedded {
    use std::path::{Path, PathBuf};

    use journal::{Record, Taken};

    use super::Store;

    /// A message's own row, and one for each attempt behind it.
    fn key(message: u32, attempt: Option<u16>) -> u64 {
        u64::from(message) << 17 | attempt.map_or(0, |attempt| u64::from(attempt) + 1)
    }

    /// What is put into a row; none removes it.
    fn rows(record: &Record) -> Vec<(u64, Option<Vec<u8>>)> {
        match record {
            Record::Taken(message, taken) => {
                let Taken { id, key: idempotency, class, destination, deadline, body } = &**taken;
                let head = format!("{id}\n{}\n{class}\n", idempotency.as_deref().unwrap_or_default());
                let rest = [&destination.to_le_bytes()[..], &deadline.to_le_bytes()[..], body];
                vec![(key(*message, None), Some([&[head.as_bytes()][..], &rest[..]].concat().concat()))]
            }
            Record::Begun { message, attempt, endpoint, at } => {
                let row = [endpoint.as_bytes(), &at.to_le_bytes()].concat();
                vec![(key(*message, Some(*attempt)), Some(row))]
            }
            Record::Over(message) => vec![(key(*message, None), None), (key(*message, Some(0)), None)],
            Record::Ended { .. } | Record::GivenUp(..) | Record::Remembered(_) => vec![],
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
        fn turn(&mut self, records: &mut Vec<Record>) -> Result<(), String> {
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

    /// It has no mode that outlasts SIGKILL without a sync.
    struct Redb(redb::Database);

    impl Store for Redb {
        fn name(&self) -> &'static str {
            "redb (syncs)"
        }
        fn turn(&mut self, records: &mut Vec<Record>) -> Result<(), String> {
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
        fn turn(&mut self, records: &mut Vec<Record>) -> Result<(), String> {
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

    /// Opens each in a folder of its own.
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
