//! Logs: one line of key=value pairs for each event.

use std::io::{self, Write};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

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

/// Most bytes of lines that wait for the output; what comes beyond is counted
/// and dropped, so that a reader that stands still never blocks the process.
const WAITING_BYTES: usize = 512 << 10;
/// How often waiting lines are written; one write for many lines costs a small
/// share of a core far less.
const WRITE_PAUSE: Duration = Duration::from_millis(100);

/// Lines on their way to standard output.
#[derive(Clone, Default)]
pub struct LogOutput {
    waiting: Arc<Mutex<Waiting>>,
}

#[derive(Default)]
struct Waiting {
    lines: Vec<u8>,
    dropped: u64,
}

impl LogOutput {
    fn lock(&self) -> MutexGuard<'_, Waiting> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes what waits; for the end of the process.
    pub fn flush(&self) {
        let mut waiting = std::mem::take(&mut *self.lock());
        if waiting.dropped > 0 {
            let line = format!(
                "level=WARN msg=\"lines dropped\" count={}\n",
                waiting.dropped
            );
            waiting.lines.extend(line.into_bytes());
        }
        let mut out = io::stdout().lock();
        // Nobody is left to be told that the output is closed.
        let _ = out.write_all(&waiting.lines);
        let _ = out.flush();
    }

    fn write_always(&self) {
        loop {
            std::thread::sleep(WRITE_PAUSE);
            if !self.lock().lines.is_empty() {
                self.flush();
            }
        }
    }
}

impl io::Write for LogOutput {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let mut waiting = self.lock();
        match waiting.lines.len() + buf.len() > WAITING_BYTES {
            true => waiting.dropped += 1,
            false => waiting.lines.extend_from_slice(buf),
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// A logger to standard output for the process `name`: bounded, and never
/// blocking whoever logs.
pub fn to_stdout(name: &str, level: LogLevel) -> (Logger, LogOutput) {
    let output = LogOutput::default();
    let format = slog_logfmt::Logfmt::new(output.clone()).set_prefix(write_time);
    let drain = format.print_level(true).print_msg(true).build();
    let drain = Mutex::new(drain).fuse();
    let drain = drain.filter_level(level.level()).fuse();
    let writer = output.clone();
    std::thread::spawn(move || writer.write_always());
    let log = Logger::root(drain, o!("process" => name.to_string()));
    (log, output)
}
