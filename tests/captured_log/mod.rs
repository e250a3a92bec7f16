//! A logger that keeps its lines, for tests of what lines contain.

use std::io;
use std::sync::{Arc, Mutex};

use slog::{Drain, Logger, o};

/// Lines logged so far.
#[derive(Clone, Default)]
pub struct CapturedLog {
    text: Arc<Mutex<Vec<u8>>>,
}

impl io::Write for CapturedLog {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.text.lock().unwrap().extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl CapturedLog {
    pub fn logger(&self) -> Logger {
        let format = slog_logfmt::Logfmt::new(self.clone());
        let drain = format.print_msg(true).build();
        Logger::root(Mutex::new(drain).fuse(), o!())
    }

    /// Fields of the lines with the message `msg`, with a space before and after each field.
    pub fn lines(&self, msg: &str) -> Vec<String> {
        let text = String::from_utf8(self.text.lock().unwrap().clone()).unwrap();
        let start = format!("msg=\"{msg}\"");
        let lines = text.lines().filter(|line| line.contains(&start));
        lines.map(|line| format!(" {line} ")).collect()
    }

    /// Whether exactly one line has the message `msg`, and it has all these fields.
    #[track_caller]
    pub fn assert_line(&self, msg: &str, fields: &[&str]) {
        let lines = self.lines(msg);
        assert_eq!(lines.len(), 1, "{msg}: {lines:?}");
        for field in fields {
            let field = format!(" {field} ");
            assert!(lines[0].contains(&field), "{field} is not in {}", lines[0]);
        }
    }
}
