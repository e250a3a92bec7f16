//! Report of a bench, as a table and as JSON.

use std::collections::{BTreeMap, HashMap};

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::bench::CALLER_DELAY;
use crate::bench::checker::Violation;
use crate::bench::history::SubmissionRecord;
use crate::bench::usage::Usage;
use crate::config::Placement;
use crate::node::MessageCounts;
use crate::standin::store::StoreCalls;
use crate::standin::target::StartRecord;

/// Scale of ratios in the histogram.
const RATIO_SCALE: f64 = 1_000.0;
/// Maximum scaled ratio in the histogram.
const MAX_SCALED_RATIO: u64 = 10_000_000;
/// Maximum number of violations in a report.
const MAX_BROKEN_EXAMPLES: usize = 12;

/// Distribution of the ratio of response time to ideal time.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Ratios {
    /// Number of values.
    pub count: u64,
    /// Median.
    pub p50: f64,
    /// 99th percentile.
    pub p99: f64,
    /// 99.9th percentile.
    pub p999: f64,
    /// Maximum.
    pub max: f64,
}

/// Resource usage of a run.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Costs {
    /// Messages between processes.
    pub messages: MessageCounts,
    /// Calls to the store.
    pub store: StoreCalls,
    /// Number of finished tasks.
    pub finished_tasks: u64,
    /// Control messages, void messages and store calls per finished task.
    pub wasted_per_task: f64,
    /// Void messages per finished task.
    pub void_per_task: f64,
    /// All messages per finished task.
    pub messages_per_task: f64,
    /// Store calls per second.
    pub store_calls_per_second: f64,
    /// CPU usage of an entry in percent of a core.
    pub entry_cpu_percent: f64,
    /// CPU usage of an agent in percent of a core.
    pub agent_cpu_percent: f64,
    /// Resident memory of the bench process in megabytes.
    pub memory_mb: f64,
}

/// Report of a policy's run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RunReport {
    /// Placement policy.
    pub policy: Placement,
    /// Number of submissions.
    pub submissions: u64,
    /// Number of submissions by final result code.
    pub codes: BTreeMap<String, u64>,
    /// Ratios of requests with a run time of at least 50 ms.
    pub requests: Ratios,
    /// Ratios of jobs.
    pub jobs: Ratios,
    /// Ratios by kind.
    pub kinds: BTreeMap<String, Ratios>,
    /// Time from sending a request to its start, in milliseconds.
    pub start_delay_ms: Ratios,
    /// Number of violated guarantees.
    pub broken: u64,
    /// Descriptions of the first violations.
    pub broken_examples: Vec<String>,
    /// Resource usage.
    pub costs: Costs,
}

/// Report of a bench.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Report {
    /// Fraction of the slots that the load occupies.
    pub load: f64,
    /// Duration of the load in seconds.
    pub seconds: f64,
    /// Seed of the load.
    pub seed: u64,
    /// Number of targets.
    pub targets: usize,
    /// Names of the faults.
    pub faults: Vec<String>,
    /// One report per policy.
    pub runs: Vec<RunReport>,
}

struct RatioHistogram {
    histogram: Histogram<u64>,
}

impl RatioHistogram {
    fn new() -> RatioHistogram {
        let histogram = Histogram::new_with_bounds(1, MAX_SCALED_RATIO, 3);
        RatioHistogram {
            histogram: histogram.expect("the constant bounds are valid"),
        }
    }

    fn record(&mut self, ratio: f64) {
        self.histogram
            .saturating_record((ratio * RATIO_SCALE) as u64);
    }

    fn ratios(&self) -> Ratios {
        let at = |quantile: f64| self.histogram.value_at_quantile(quantile) as f64 / RATIO_SCALE;
        if self.histogram.is_empty() {
            return Ratios::default();
        }
        Ratios {
            count: self.histogram.len(),
            p50: at(0.5),
            p99: at(0.99),
            p999: at(0.999),
            max: self.histogram.max() as f64 / RATIO_SCALE,
        }
    }
}

/// Response time in milliseconds on an idle fleet, with tasks packed perfectly on all slots and
/// the network delay to and from the caller.
fn ideal_ms(record: &SubmissionRecord, slots: u32) -> f64 {
    let run_ms = &record.planned.run_ms;
    let longest_ms = run_ms.iter().copied().fold(0.0, f64::max);
    let packed_ms = run_ms.iter().sum::<f64>() / f64::from(slots);
    longest_ms.max(packed_ms) + 2.0 * CALLER_DELAY.as_secs_f64() * 1_000.0
}

fn ratio(record: &SubmissionRecord, slots: u32) -> f64 {
    let elapsed_ms = record.ended_us.saturating_sub(record.sent_us) as f64 / 1_000.0;
    elapsed_ms / ideal_ms(record, slots)
}

impl RunReport {
    /// Creates a report from the callers' submissions.
    pub fn new(
        policy: Placement,
        submissions: &[SubmissionRecord],
        slots: u32,
        violations: &[Violation],
    ) -> RunReport {
        let mut codes: BTreeMap<String, u64> = BTreeMap::new();
        let (mut requests, mut jobs) = (RatioHistogram::new(), RatioHistogram::new());
        let mut kinds: BTreeMap<String, RatioHistogram> = BTreeMap::new();
        for record in submissions {
            let code = match record.last_code() {
                "" => "NO_ANSWER",
                code => code,
            };
            *codes.entry(code.to_string()).or_default() += 1;
            if !record.is_complete() {
                continue;
            }
            let ratio = ratio(record, slots);
            let kind = record.planned.kind.to_string();
            kinds
                .entry(kind)
                .or_insert_with(RatioHistogram::new)
                .record(ratio);
            match record.planned.is_job {
                true => jobs.record(ratio),
                false if record.planned.run_ms[0] >= 50.0 => requests.record(ratio),
                false => {}
            }
        }
        let example =
            |violation: &Violation| format!("{:?}: {}", violation.guarantee, violation.text);
        RunReport {
            policy,
            submissions: submissions.len() as u64,
            codes,
            requests: requests.ratios(),
            jobs: jobs.ratios(),
            kinds: kinds
                .iter()
                .map(|(kind, histogram)| (kind.clone(), histogram.ratios()))
                .collect(),
            start_delay_ms: Ratios::default(),
            broken: violations.len() as u64,
            broken_examples: violations
                .iter()
                .take(MAX_BROKEN_EXAMPLES)
                .map(example)
                .collect(),
            costs: Costs::default(),
        }
    }

    /// Adds the start delays of requests.
    pub fn with_starts(
        mut self,
        submissions: &[SubmissionRecord],
        starts: &[StartRecord],
    ) -> RunReport {
        let by_task: HashMap<&str, u64> = starts
            .iter()
            .map(|start| (start.task.as_str(), start.at_us))
            .collect();
        let mut delays = RatioHistogram::new();
        for record in submissions.iter().filter(|record| !record.planned.is_job) {
            if let Some(at_us) = by_task.get(format!("{}/0", record.id).as_str()) {
                delays.record(at_us.saturating_sub(record.sent_us) as f64 / 1_000.0);
            }
        }
        self.start_delay_ms = delays.ratios();
        self
    }

    /// Adds the resource usage.
    pub fn with_costs(
        mut self,
        messages: MessageCounts,
        store: StoreCalls,
        usage: Usage,
        seconds: f64,
        targets: usize,
        starts: &[StartRecord],
    ) -> RunReport {
        let finished = starts.iter().filter(|start| start.finished).count() as u64;
        let calls = store.writes + store.reads + store.watches;
        let per_task = |count: u64| count as f64 / finished.max(1) as f64;
        let percent = |prefix: &str, processes: f64| {
            usage.cpu_seconds_of(prefix) / seconds / processes * 100.0
        };
        let agent_seconds: f64 = usage
            .cpu_seconds
            .iter()
            .filter(|(name, _)| is_agent_thread(name))
            .map(|(_, seconds)| seconds)
            .sum();
        self.costs = Costs {
            messages,
            store,
            finished_tasks: finished,
            wasted_per_task: per_task(messages.control + messages.void + calls),
            void_per_task: per_task(messages.void),
            messages_per_task: per_task(messages.work + messages.control + messages.void),
            store_calls_per_second: calls as f64 / seconds,
            entry_cpu_percent: percent("entry-", 3.0),
            agent_cpu_percent: agent_seconds / seconds / targets as f64 * 100.0,
            memory_mb: usage.memory_mb,
        };
        self
    }
}

/// Whether a thread belongs to an agent. Names are truncated to 15 bytes, so the names of other
/// threads are excluded instead.
fn is_agent_thread(name: &str) -> bool {
    let other_prefixes = [
        "callers",
        "entry-",
        "stand-ins",
        "timer",
        "winghold",
        "slog",
        "tokio",
    ];
    !other_prefixes.iter().any(|prefix| name.starts_with(prefix))
}

impl Report {
    /// Formats the report as text.
    pub fn table(&self) -> String {
        let faults = match self.faults.is_empty() {
            true => "none".to_string(),
            false => self.faults.join(", "),
        };
        let mut text = format!(
            "load {:.2}, {:.0} s, {} targets, seed {}, faults: {faults}\n",
            self.load, self.seconds, self.targets, self.seed
        );
        for run in &self.runs {
            text.push_str(&run.table());
        }
        text
    }
}

impl RunReport {
    fn table(&self) -> String {
        let mut text = format!(
            "\npolicy {:?}: {} submissions",
            self.policy, self.submissions
        );
        for (code, count) in &self.codes {
            text.push_str(&format!(", {code} {count}"));
        }
        text.push_str("\n  response / ideal        count     p50     p99   p99.9     max\n");
        let all = [("requests >= 50 ms", &self.requests), ("jobs", &self.jobs)];
        let kinds = self
            .kinds
            .iter()
            .map(|(kind, ratios)| (kind.as_str(), ratios));
        for (name, ratios) in all.into_iter().chain(kinds) {
            text.push_str(&format!(
                "  {name:<20} {:>8} {:>7.3} {:>7.3} {:>7.3} {:>7.3}\n",
                ratios.count, ratios.p50, ratios.p99, ratios.p999, ratios.max
            ));
        }
        let delay = &self.start_delay_ms;
        text.push_str(&format!(
            "  sent to start (ms)   {:>8} {:>7.3} {:>7.3} {:>7.3} {:>7.3}\n",
            delay.count, delay.p50, delay.p99, delay.p999, delay.max
        ));
        let costs = &self.costs;
        text.push_str(&format!(
            "  messages: work {}, control {}, void {}; {:.2} per task, wasted {:.3} per task\n",
            costs.messages.work,
            costs.messages.control,
            costs.messages.void,
            costs.messages_per_task,
            costs.wasted_per_task
        ));
        text.push_str(&format!(
            "  store: {:.1} calls/s, peak {} writes/s and {} reads/s, {} rate-limited\n",
            costs.store_calls_per_second,
            costs.store.peak_writes,
            costs.store.peak_reads,
            costs.store.limited
        ));
        text.push_str(&format!(
            "  cpu: entry {:.1}%, agent {:.1}% of a core; memory {:.0} MB in total\n",
            costs.entry_cpu_percent, costs.agent_cpu_percent, costs.memory_mb
        ));
        text.push_str(&format!("  violated guarantees: {}\n", self.broken));
        for example in &self.broken_examples {
            text.push_str(&format!("    {example}\n"));
        }
        text
    }
}
