//! CPU time by thread, and memory, of this process.

use std::collections::BTreeMap;
use std::fs;

/// Clock ticks per second in `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;

/// CPU time by thread name, and resident memory.
#[derive(Clone, Debug, Default)]
pub struct Usage {
    /// CPU seconds by thread name.
    pub cpu_seconds: BTreeMap<String, f64>,
    /// Resident memory in megabytes.
    pub memory_mb: f64,
}

impl Usage {
    /// Reads the current usage from `/proc`.
    pub fn read() -> Usage {
        let mut usage = Usage {
            memory_mb: memory_mb(),
            ..Usage::default()
        };
        let Ok(tasks) = fs::read_dir("/proc/self/task") else {
            return usage;
        };
        for task in tasks.flatten() {
            let stat = fs::read_to_string(task.path().join("stat")).unwrap_or_default();
            if let Some((name, seconds)) = parse(&stat) {
                *usage.cpu_seconds.entry(name).or_default() += seconds;
            }
        }
        usage
    }

    /// CPU time used since `before`.
    pub fn since(mut self, before: &Usage) -> Usage {
        for (name, seconds) in &mut self.cpu_seconds {
            *seconds -= before.cpu_seconds.get(name).copied().unwrap_or(0.0);
        }
        self
    }

    /// CPU seconds of all threads whose name starts with `prefix`.
    pub fn cpu_seconds_of(&self, prefix: &str) -> f64 {
        let named = self
            .cpu_seconds
            .iter()
            .filter(|(name, _)| name.starts_with(prefix));
        named.map(|(_, seconds)| seconds).sum()
    }
}

fn parse(stat: &str) -> Option<(String, f64)> {
    let (before, after) = stat.rsplit_once(')')?;
    let name = before.split_once('(')?.1.to_string();
    let fields: Vec<&str> = after.split_whitespace().collect();
    let user: f64 = fields.get(11)?.parse().ok()?;
    let system: f64 = fields.get(12)?.parse().ok()?;
    Some((name, (user + system) / TICKS_PER_SECOND))
}

fn memory_mb() -> f64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<f64>().ok());
    kilobytes.unwrap_or(0.0) / 1_024.0
}
