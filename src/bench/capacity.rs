//! Computes the tables of docs/CAPACITY.md from measured slopes and the expected sizes of a
//! deployment.

use crate::bench::slopes::{Series, Slopes, job_bytes};

const WORKERS: f64 = 1_400.0;
const OWNERS: f64 = 128.0;
const RANGES: f64 = 512.0;
const ENTRIES: f64 = 16.0;
const STARTS_PER_SECOND: f64 = 120_000.0;
const TASKS_PER_JOB: f64 = 120.0;
const TEAMS: f64 = 220.0;
const CANDIDATES: f64 = 64.0;
const RETENTION_S: f64 = 300.0;
const LEASE_S: f64 = 2.0;
const WATCH_WAIT_S: f64 = 20.0;
const MEMBER_CHANGES_PER_DAY: f64 = 2.0 * (340.0 + 10.0);
const CONFIG_CHANGES_PER_DAY: f64 = 1_300.0;
const RETAINED_CHANGES: f64 = 1_000.0;
const DAY_S: f64 = 86_400.0;
const TICKS_PER_SECOND: f64 = 50.0;
/// Assumed mean run time in seconds.
const MEAN_RUN_S: f64 = 0.25;

const CPU_LIMIT_PERCENT: f64 = 1.6;
const MEMORY_LIMIT_MB: f64 = 128.0;
const BYTES_PER_SECOND_LIMIT: f64 = 12_000.0;
const STORE_WRITES_LIMIT: f64 = 300.0;
const STORE_READS_LIMIT: f64 = 2_000.0;
/// One MiB, which is also the maximum size of a value in the store.
const MIB: f64 = 1_048_576.0;

struct Row {
    label: &'static str,
    value: f64,
    unit: &'static str,
    limit: Option<f64>,
    mechanism: &'static str,
    slope: &'static str,
}

impl Row {
    fn new(
        label: &'static str,
        value: f64,
        unit: &'static str,
        limit: Option<f64>,
        mechanism: &'static str,
        slope: &'static str,
    ) -> Row {
        Row {
            label,
            value,
            unit,
            limit,
            mechanism,
            slope,
        }
    }

    fn to_markdown(&self) -> String {
        let limit = match self.limit {
            None => "none given".to_string(),
            Some(limit) if self.value <= limit => format!("{} kept", format_number(limit)),
            Some(limit) => format!("**{} broken**", format_number(limit)),
        };
        format!(
            "| {} | {} {} | {limit} | {} | {} |\n",
            self.label,
            format_number(self.value),
            self.unit,
            self.mechanism,
            self.slope
        )
    }
}

fn format_number(value: f64) -> String {
    match value {
        value if value >= 100.0 => format!("{value:.0}"),
        value if value >= 1.0 => format!("{value:.1}"),
        value => format!("{value:.3}"),
    }
}

/// Formats all tables as Markdown.
pub fn render(slopes: &Slopes) -> String {
    let mut text = table("Entry (one of 16)", &entry(slopes));
    text.push_str(&table("Agent as gate of its target", &gate(slopes)));
    text.push_str(&table(
        "Agent as owner of key ranges (one of 128)",
        &owner(slopes),
    ));
    let title = "An owner as aggregator of heartbeats (one of 128)";
    text.push_str(&table(title, &aggregator(slopes)));
    text.push_str(&table("Any daemon, for control", &control(slopes)));
    text.push_str(&table("The platform's store, as we use it", &store(slopes)));
    text.push_str(&fit_table(slopes));
    text
}

fn table(title: &str, rows: &[Row]) -> String {
    let head = "| what | at the full size | limit | mechanism | slope |\n|---|---|---|---|---|\n";
    let lines: String = rows.iter().map(Row::to_markdown).collect();
    format!("### {title}\n\n{head}{lines}\n")
}

fn entry(slopes: &Slopes) -> Vec<Row> {
    let jobs = STARTS_PER_SECOND / TASKS_PER_JOB / ENTRIES;
    let requests = STARTS_PER_SECOND / ENTRIES;
    let series = slopes.get("entry_job_us");
    let links = WORKERS * slopes.get("link_memory").slope / 2.0;
    vec![
        Row::new(
            "processor, all work in jobs of 120",
            jobs * series.at(TASKS_PER_JOB) / 1e4,
            "% of a core",
            None,
            "router, HTTP",
            "entry_job_us",
        ),
        Row::new(
            "processor, all work in single requests",
            requests * series.at(1.0) / 1e4,
            "% of a core",
            Some(100.0),
            "router, HTTP",
            "entry_job_us",
        ),
        Row::new(
            "bytes to and from owners, jobs of 120",
            jobs * job_bytes(TASKS_PER_JOB as usize) / 1e6,
            "MB/s",
            None,
            "frames",
            "measured frame",
        ),
        Row::new(
            "messages, jobs of 120",
            2.0 * jobs,
            "a second",
            None,
            "Submit, Answer",
            "counted",
        ),
        Row::new(
            "memory of links to all agents",
            links / MIB,
            "MB",
            Some(MEMORY_LIMIT_MB),
            "one stream an agent",
            "link_memory",
        ),
    ]
}

fn gate(slopes: &Slopes) -> Vec<Row> {
    let starts = STARTS_PER_SECOND / WORKERS;
    let agent = slopes.get("agent_job_us");
    let bytes = slopes.get("start_bytes").slope + slopes.get("finish_bytes").slope;
    let retained = starts * RETENTION_S;
    vec![
        Row::new(
            "starts",
            starts,
            "a second",
            None,
            "Start, Finished",
            "given",
        ),
        Row::new(
            "processor for tasks (owner's part included)",
            starts * agent.slope / 1e4,
            "% of a core",
            None,
            "gate",
            "agent_job_us",
        ),
        Row::new(
            "bytes for tasks",
            starts * bytes / 1e3,
            "kB/s",
            None,
            "frames",
            "start_bytes",
        ),
        Row::new(
            "messages for tasks, in and out",
            2.0 * starts,
            "a second",
            None,
            "Start in, Finished out",
            "counted",
        ),
        Row::new(
            "memory of remembered tasks",
            retained * slopes.get("record_memory").slope / MIB,
            "MB",
            Some(MEMORY_LIMIT_MB),
            "records for 300 s",
            "record_memory",
        ),
    ]
}

fn owner(slopes: &Slopes) -> Vec<Row> {
    let tasks = STARTS_PER_SECOND / OWNERS;
    let agent = slopes.get("agent_job_us");
    let choose = slopes.get("choose_us");
    let retained = slopes.get("submission_memory").slope;
    let open = tasks * MEAN_RUN_S;
    vec![
        Row::new("tasks placed", tasks, "a second", None, "dispatch", "given"),
        Row::new(
            "messages for jobs of 120, in and out",
            2.0 * tasks + 2.0 * tasks / TASKS_PER_JOB,
            "a second",
            None,
            "Submit, Start, Finished, Answer",
            "counted",
        ),
        Row::new(
            "bytes for tasks, in and out",
            tasks * (slopes.get("start_bytes").slope + slopes.get("finish_bytes").slope) / 1e3,
            "kB/s",
            None,
            "frames",
            "start_bytes, finish_bytes",
        ),
        Row::new(
            "requests under way",
            open,
            "entries",
            None,
            "table of submissions",
            "given",
        ),
        Row::new(
            "processor to choose among 64 gates",
            tasks * choose.at(CANDIDATES) / 1e4,
            "% of a core",
            None,
            "a subset of 64 gates (to be built)",
            "choose_us",
        ),
        Row::new(
            "processor to choose among all gates",
            tasks * choose.at(WORKERS) / 1e4,
            "% of a core",
            Some(100.0),
            "placement as it runs today",
            "choose_us",
        ),
        Row::new(
            "processor for the rest of a task's way",
            tasks * agent.slope / 1e4,
            "% of a core",
            None,
            "owner, frames",
            "agent_job_us",
        ),
        Row::new(
            "processor of ticks, requests only",
            TICKS_PER_SECOND * slopes.get("open_tick_us").at(open) / 1e4,
            "% of a core",
            None,
            "inquiries, deadlines",
            "open_tick_us",
        ),
        Row::new(
            "memory of kept answers, requests only",
            tasks * RETENTION_S * retained / MIB,
            "MB",
            Some(MEMORY_LIMIT_MB),
            "table kept for 300 s",
            "submission_memory",
        ),
        Row::new(
            "memory of kept answers, requests only, 60 s",
            tasks * 60.0 * retained / MIB,
            "MB",
            Some(MEMORY_LIMIT_MB),
            "`retention_ms: 60000`",
            "submission_memory",
        ),
    ]
}

/// Costs of heartbeats at an owner; each gate sends one per second to three owners.
fn aggregator(slopes: &Slopes) -> Vec<Row> {
    let heartbeats = WORKERS * 3.0 / OWNERS;
    let mechanism = "gates beat to three owners, on work frames where there are any (to be built)";
    vec![
        Row::new(
            "gates heard",
            heartbeats,
            "gates",
            None,
            mechanism,
            "counted",
        ),
        Row::new(
            "beats in", heartbeats, "a second", None, mechanism, "counted",
        ),
        Row::new(
            "bytes of beats in",
            heartbeats * slopes.get("load_bytes").at(1.0),
            "bytes/s",
            Some(BYTES_PER_SECOND_LIMIT),
            mechanism,
            "load_bytes",
        ),
        Row::new(
            "processor for beats, as for a message of a task",
            heartbeats * slopes.get("agent_job_us").slope / 2.0 / 1e4,
            "% of a core",
            Some(CPU_LIMIT_PERCENT),
            mechanism,
            "agent_job_us, half of a task's",
        ),
    ]
}

/// Size in bytes of all records that a watch returns.
fn watch_bytes(slopes: &Slopes) -> f64 {
    let members = slopes.get("member_bytes").at(WORKERS);
    let table = slopes.get("table_bytes").at(RANGES) + WORKERS * 40.0;
    members + table + config_bytes(slopes)
}

fn config_bytes(slopes: &Slopes) -> f64 {
    slopes.get("config_bytes").at(TEAMS) + slopes.get("change_bytes").at(RETAINED_CHANGES)
}

fn control(slopes: &Slopes) -> Vec<Row> {
    let changes = (2.0 * MEMBER_CHANGES_PER_DAY + CONFIG_CHANGES_PER_DAY) / DAY_S;
    let update_us = slopes.get("member_news_us").at(WORKERS)
        + slopes.get("plan_us").at(RANGES)
        + slopes.get("config_us").at(TEAMS);
    let deltas = changes
        * slopes
            .get("member_bytes")
            .slope
            .max(slopes.get("change_bytes").slope);
    let documents = CONFIG_CHANGES_PER_DAY / DAY_S * slopes.get("config_bytes").at(TEAMS);
    let links = WORKERS * slopes.get("link_memory").slope / 2.0;
    let owner_links = OWNERS * slopes.get("link_memory").slope / 2.0;
    vec![
        Row::new(
            "processor for news",
            changes * update_us / 1e4,
            "% of a core",
            Some(CPU_LIMIT_PERCENT),
            "members, table, configuration read anew",
            "member_news_us, plan_us, config_us",
        ),
        Row::new(
            "bytes of news, everything at each change",
            changes * watch_bytes(slopes),
            "bytes/s",
            Some(BYTES_PER_SECOND_LIMIT),
            "the watch as it runs today",
            "member_bytes, table_bytes, change_bytes",
        ),
        Row::new(
            "bytes of news, only what changed",
            deltas + documents,
            "bytes/s",
            Some(BYTES_PER_SECOND_LIMIT),
            "deltas of members, document without its trail (to be built)",
            "member_bytes, config_bytes",
        ),
        Row::new(
            "memory of links to all agents",
            links / MIB,
            "MB",
            Some(MEMORY_LIMIT_MB),
            "links as they run today",
            "link_memory",
        ),
        Row::new(
            "memory of links to the owners",
            owner_links / MIB,
            "MB",
            Some(MEMORY_LIMIT_MB),
            "links between owners and their 64 gates (to be built)",
            "link_memory",
        ),
    ]
}

fn store(slopes: &Slopes) -> Vec<Row> {
    let renewals = |leases: f64| leases / (LEASE_S / 2.0);
    let watchers = WORKERS + ENTRIES;
    let changes = (2.0 * MEMBER_CHANGES_PER_DAY + CONFIG_CHANGES_PER_DAY) / DAY_S;
    let owners_and_entries = OWNERS + ENTRIES;
    vec![
        Row::new(
            "renewals, every agent a lease",
            renewals(WORKERS),
            "writes/s",
            Some(STORE_WRITES_LIMIT),
            "leases as they run today",
            "counted: one write a second a lease",
        ),
        Row::new(
            "renewals, owners only",
            renewals(OWNERS),
            "writes/s",
            Some(STORE_WRITES_LIMIT),
            "gates beat to their owners (to be built)",
            "counted",
        ),
        Row::new(
            "watches waiting, every process one",
            watchers,
            "calls at once",
            Some(STORE_READS_LIMIT),
            "watches as they run today",
            "counted",
        ),
        Row::new(
            "watches begun, every process one",
            watchers / WATCH_WAIT_S + watchers * changes,
            "calls/s",
            Some(STORE_READS_LIMIT),
            "watches as they run today",
            "counted",
        ),
        Row::new(
            "watches begun, owners and entries",
            owners_and_entries / WATCH_WAIT_S + owners_and_entries * changes,
            "calls/s",
            Some(STORE_READS_LIMIT),
            "others ask peers (runs today for who is behind)",
            "counted",
        ),
        Row::new(
            "largest value: configuration and trail",
            config_bytes(slopes),
            "bytes",
            Some(MIB),
            "one record",
            "config_bytes, change_bytes",
        ),
        Row::new(
            "largest value: table of ranges and gates",
            slopes.get("table_bytes").at(RANGES) + WORKERS * 40.0,
            "bytes",
            Some(MIB),
            "one record",
            "table_bytes",
        ),
    ]
}

fn fit_table(slopes: &Slopes) -> String {
    let mut text = String::from(
        "### The fits\n\n| series | per | unit | slope | at zero | error | measured up to |\n\
         |---|---|---|---|---|---|---|\n",
    );
    let line = |(name, series): (&String, &Series)| {
        format!(
            "| {name} | {} | {} | {:.4} | {:.1} | {:.1}% | {:.0} |\n",
            series.per,
            series.unit,
            series.slope,
            series.intercept,
            series.error * 100.0,
            series.largest()
        )
    };
    text.extend(slopes.series.iter().map(line));
    text
}
