//! Optional log of a fleet in virtual time, on standard error.

use std::io;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use slog::{Drain, FnValue, Logger, o};
use winghold::logging;

/// Environment variable that turns the log on.
const TRACE_VARIABLE: &str = "EPHEMERAL_TRACE";

/// Virtual time shared by the loggers of a fleet.
#[derive(Clone, Debug, Default)]
pub(super) struct TraceClock(Arc<AtomicU64>);

impl TraceClock {
    pub(super) fn set(&self, now_us: u64) {
        self.0.store(now_us, Ordering::Relaxed);
    }

    /// A logger for the process `name`; discards all lines unless the log is on.
    pub(super) fn logger(&self, name: &str) -> Logger {
        if std::env::var_os(TRACE_VARIABLE).is_none() {
            return logging::discard();
        }
        let clock = self.0.clone();
        let at_us = FnValue(move |_| clock.load(Ordering::Relaxed));
        let format = slog_logfmt::Logfmt::new(io::stderr());
        let drain = Mutex::new(format.print_msg(true).build()).fuse();
        Logger::root(drain, o!("at_us" => at_us, "process" => name.to_string()))
    }
}
