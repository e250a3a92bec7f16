//! Logs: one line of key=value pairs for each event.

use std::io;
use std::time::{SystemTime, UNIX_EPOCH};

use slog::{Drain, Level, Logger, Record, o};

use crate::settings::LogLevel;

impl LogLevel {
    fn level(self) -> Level {
        match self {
            LogLevel::Debug => Level::Debug,
            LogLevel::Info => Level::Info,
            LogLevel::Warning => Level::Warning,
            LogLevel::Error => Level::Error,
        }
    }
}

/// A logger to standard error for the process `name`.
pub fn logger(name: &str, level: LogLevel) -> Logger {
    let format = slog_logfmt::Logfmt::new(std::io::stderr()).set_prefix(write_time);
    let drain = format.print_level(true).print_msg(true).build().fuse();
    let drain = slog_async::Async::new(drain).build().fuse();
    let drain = drain.filter_level(level.level()).fuse();
    Logger::root(drain, o!("process" => name.to_string()))
}

fn write_time(out: &mut dyn io::Write, _record: &Record<'_>) -> slog::Result {
    let wall = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    write!(out, "time_ms={} ", wall.as_millis())?;
    Ok(())
}

/// A logger that keeps nothing.
pub fn discard() -> Logger {
    Logger::root(slog::Discard, o!())
}
