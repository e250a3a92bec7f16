//! Loggers that write events as lines of `key=value` pairs.

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

/// Creates a logger to standard error for the process `name`.
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

/// Creates a logger that discards all events.
pub fn discard() -> Logger {
    Logger::root(slog::Discard, o!())
}

/// Maximum size of the buffer. Further lines are dropped and counted, so that a stalled
/// reader does not block the process.
const MAX_BUFFER_BYTES: usize = 512 << 10;
/// Interval between writes; batches lines to save CPU time.
const FLUSH_INTERVAL: Duration = Duration::from_millis(100);

/// Buffered log lines for standard output.
#[derive(Clone, Default)]
pub struct LogOutput {
    buffer: Arc<Mutex<Buffer>>,
}

#[derive(Default)]
struct Buffer {
    lines: Vec<u8>,
    dropped: u64,
}

impl LogOutput {
    fn lock(&self) -> MutexGuard<'_, Buffer> {
        self.buffer.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes buffered lines; to be called before the process exits.
    pub fn flush(&self) {
        let mut buffer = std::mem::take(&mut *self.lock());
        if buffer.dropped > 0 {
            let line = format!(
                "level=WARN msg=\"log lines dropped\" count={}\n",
                buffer.dropped
            );
            buffer.lines.extend(line.into_bytes());
        }
        let mut out = io::stdout().lock();
        // A closed standard output cannot be reported anywhere.
        let _ = out.write_all(&buffer.lines);
        let _ = out.flush();
    }

    fn flush_periodically(&self) {
        loop {
            std::thread::sleep(FLUSH_INTERVAL);
            if !self.lock().lines.is_empty() {
                self.flush();
            }
        }
    }
}

impl io::Write for LogOutput {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let mut buffer = self.lock();
        match buffer.lines.len() + buf.len() > MAX_BUFFER_BYTES {
            true => buffer.dropped += 1,
            false => buffer.lines.extend_from_slice(buf),
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Creates a non-blocking logger with a bounded buffer to standard output for the process
/// `name`.
pub fn stdout_logger(name: &str, level: LogLevel) -> (Logger, LogOutput) {
    let output = LogOutput::default();
    let format = slog_logfmt::Logfmt::new(output.clone()).set_prefix(write_time);
    let drain = format.print_level(true).print_msg(true).build();
    let drain = Mutex::new(drain).fuse();
    let drain = drain.filter_level(level.level()).fuse();
    let writer = output.clone();
    std::thread::spawn(move || writer.flush_periodically());
    let log = Logger::root(drain, o!("process" => name.to_string()));
    (log, output)
}
