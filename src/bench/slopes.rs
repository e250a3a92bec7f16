//! Measures the cost of each mechanism as a function of size.
//!
//! Every series is measured in this process at several sizes and fitted with a line. The error
//! of the fit is the maximum deviation from the line relative to the maximum value.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::bench::slope_fleet::{self, SlopeFleet};
use crate::bench::throughput;
use crate::config::Config;
use crate::error::{Error, Result};
use crate::fleet::{Change, ConfigRecord, Table};
use crate::id::{MemberId, SubmissionId, TaskId};
use crate::link::{Links, NoDelay};
use crate::load::LoadSample;
use crate::message::{Answer, Frame, Header, Message, Operation, Submission, TaskOutcome};
use crate::ownership::Plan;
use crate::placement::{PlacementRequest, Placer};
use crate::time::{Moment, Timer};

/// Measured series and its fitted line.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Series {
    /// Unit of the sizes.
    pub per: String,
    /// Unit of the values.
    pub unit: String,
    /// Measured sizes.
    pub sizes: Vec<f64>,
    /// Values at the measured sizes.
    pub values: Vec<f64>,
    /// Value of the line at size zero.
    pub intercept: f64,
    /// Slope of the line.
    pub slope: f64,
    /// Maximum deviation from the line relative to the maximum value.
    pub error: f64,
}

impl Series {
    fn fit(per: &str, unit: &str, points: &[(f64, f64)]) -> Series {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
        let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
        let covariance: f64 = points
            .iter()
            .map(|(x, y)| (x - mean_x) * (y - mean_y))
            .sum();
        let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let slope = if variance > 0.0 {
            covariance / variance
        } else {
            0.0
        };
        let intercept = mean_y - slope * mean_x;
        let largest = points
            .iter()
            .map(|point| point.1.abs())
            .fold(f64::MIN_POSITIVE, f64::max);
        let deviations = points
            .iter()
            .map(|(x, y)| (y - intercept - slope * x).abs());
        Series {
            per: per.to_string(),
            unit: unit.to_string(),
            sizes: points.iter().map(|point| point.0).collect(),
            values: points.iter().map(|point| point.1).collect(),
            intercept,
            slope,
            error: deviations.fold(0.0, f64::max) / largest,
        }
    }

    /// Value of the line at `size`.
    pub fn at(&self, size: f64) -> f64 {
        self.intercept + self.slope * size
    }

    /// Largest measured size.
    pub fn largest(&self) -> f64 {
        self.sizes.iter().copied().fold(0.0, f64::max)
    }
}

/// All measured series by name.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Slopes {
    /// Series by name.
    pub series: BTreeMap<String, Series>,
}

impl Slopes {
    /// Serializes to YAML.
    pub fn to_yaml(&self) -> Result<String> {
        serde_yaml_ng::to_string(self).map_err(|err| Error::Other(err.to_string()))
    }

    /// Parses YAML.
    pub fn from_yaml(text: &str) -> Result<Slopes> {
        serde_yaml_ng::from_str(text).map_err(|err| Error::Invalid(vec![err.to_string()]))
    }

    /// Returns the series `name`.
    ///
    /// # Panics
    /// If the series does not exist.
    pub fn get(&self, name: &str) -> &Series {
        self.series
            .get(name)
            .unwrap_or_else(|| panic!("series {name} is missing from the file"))
    }

    fn add(&mut self, name: &str, per: &str, unit: &str, points: &[(f64, f64)]) {
        self.series
            .insert(name.to_string(), Series::fit(per, unit, points));
    }
}

/// Measures all series.
pub fn measure() -> Result<Slopes> {
    let mut slopes = Slopes::default();
    slopes.add(
        "submission_memory",
        "kept request",
        "bytes resident",
        &submission_memory(),
    );
    slopes.add(
        "record_memory",
        "remembered task",
        "bytes resident",
        &record_memory(),
    );
    slopes.add(
        "link_memory",
        "link",
        "bytes resident, both ends",
        &link_memory()?,
    );
    slopes.add(
        "member_bytes",
        "member",
        "bytes in the store",
        &member_bytes(),
    );
    slopes.add(
        "member_news_us",
        "member",
        "us for a list of members",
        &member_update(),
    );
    slopes.add("choose_us", "candidate gate", "us for a choice", &choose());
    slopes.add("table_bytes", "range", "bytes in the store", &table_bytes());
    slopes.add("plan_us", "range", "us for a plan", &plan());
    slopes.add(
        "config_bytes",
        "team",
        "bytes of the document",
        &config_bytes(),
    );
    slopes.add("config_us", "team", "us to read and check", &config_read());
    slopes.add(
        "change_bytes",
        "change kept",
        "bytes of the record",
        &change_bytes(),
    );
    slopes.add("load_bytes", "sample", "bytes of a frame", &load_bytes());
    slopes.add(
        "start_bytes",
        "task",
        "bytes of a frame of starts",
        &start_bytes(),
    );
    slopes.add(
        "finish_bytes",
        "task",
        "bytes of a frame of ends",
        &finish_bytes(),
    );
    slopes.add(
        "open_tick_us",
        "open request",
        "us for a tick",
        &open_tick(),
    );
    add_throughput(&mut slopes)?;
    Ok(slopes)
}

fn add_throughput(slopes: &mut Slopes) -> Result<()> {
    let length = Duration::from_secs(3);
    let mut entry = Vec::new();
    let mut agent = Vec::new();
    for tasks in [1, 10, 40, 120] {
        let measured = throughput::run(tasks, 16, length)?;
        let per_job = tasks as f64;
        entry.push((per_job, measured.entry_us_per_task() * per_job));
        agent.push((per_job, measured.agent_us_per_task() * per_job));
    }
    slopes.add(
        "entry_job_us",
        "task of a job",
        "us of the entry for a job",
        &entry,
    );
    slopes.add(
        "agent_job_us",
        "task of a job",
        "us of owner and gate for a job",
        &agent,
    );
    Ok(())
}

const MEMBER_SIZES: [usize; 4] = [11, 100, 400, 1_400];

/// Median duration of `rounds` calls in microseconds.
fn time_us(rounds: usize, mut call: impl FnMut()) -> f64 {
    let mut spans: Vec<f64> = (0..rounds)
        .map(|_| {
            let start = Instant::now();
            call();
            start.elapsed().as_secs_f64() * 1e6
        })
        .collect();
    spans.sort_by(f64::total_cmp);
    spans[rounds / 2]
}

fn json_bytes(value: &impl Serialize) -> f64 {
    serde_json::to_vec(value).map_or(0.0, |bytes| bytes.len() as f64)
}

fn frame_bytes(messages: Vec<Message>, loads: Vec<LoadSample>) -> f64 {
    let frame = Frame {
        from: MemberId::new("logger-intake-07", 7),
        header: Header {
            config: 1,
            table: 1,
            wall_ms: 1_800_000_000_000,
            loads,
        },
        messages,
    };
    rmp_serde::to_vec_named(&frame).map_or(0.0, |bytes| bytes.len() as f64)
}

fn member_bytes() -> Vec<(f64, f64)> {
    let total = |count: usize| {
        (0..count)
            .map(|i| json_bytes(&slope_fleet::record(i)))
            .sum()
    };
    MEMBER_SIZES
        .iter()
        .map(|count| (*count as f64, total(*count)))
        .collect()
}

fn member_update() -> Vec<(f64, f64)> {
    let measure = |count: usize| {
        let mut fleet = SlopeFleet::new(count, 64);
        let values: Vec<Vec<u8>> = (0..count)
            .map(|i| serde_json::to_vec(&slope_fleet::record(i)).unwrap_or_default())
            .collect();
        let mut revision = 100;
        time_us(15, || {
            revision += 1;
            let records = values
                .iter()
                .filter_map(|value| serde_json::from_slice(value).ok());
            fleet.fleet.apply_members(revision, records.collect());
        })
    };
    MEMBER_SIZES
        .iter()
        .map(|count| (*count as f64, measure(*count)))
        .collect()
}

fn choose() -> Vec<(f64, f64)> {
    let measure = |count: usize| {
        let fleet = SlopeFleet::new(count, 64);
        let me = MemberId::new("owner", 1);
        let mut placer = Placer::new(me, "a", fleet.fleet.config().clone(), 1);
        let samples: Vec<LoadSample> = (0..count).map(slope_fleet::sample).collect();
        placer.merge_samples(Moment::default(), &samples);
        let req = PlacementRequest {
            service: "s",
            accelerators: 0,
            urgent: true,
            avoid: &[],
        };
        time_us(201, || {
            placer.choose(Moment::default(), &fleet.fleet, &req);
        })
    };
    MEMBER_SIZES
        .iter()
        .map(|count| (*count as f64, measure(*count)))
        .collect()
}

const RANGE_SIZES: [u32; 4] = [64, 256, 512, 1_024];

fn table_bytes() -> Vec<(f64, f64)> {
    let bytes = |ranges: u32| json_bytes(&slope_fleet::table(ranges, 0));
    RANGE_SIZES
        .iter()
        .map(|ranges| (f64::from(*ranges), bytes(*ranges)))
        .collect()
}

fn plan() -> Vec<(f64, f64)> {
    let measure = |ranges: u32| {
        let fleet = SlopeFleet::new(128, ranges);
        let table: &Table = fleet.fleet.table();
        let handed = BTreeMap::new();
        let plan = Plan {
            table,
            ranges,
            members: fleet.fleet.members(),
            max_owners: 128,
            handed_over: &handed,
            can_take_over: true,
            self_placement: false,
            departure_ms: 1,
        };
        time_us(51, || {
            plan.next_table();
        })
    };
    RANGE_SIZES
        .iter()
        .map(|ranges| (f64::from(*ranges), measure(*ranges)))
        .collect()
}

const TEAM_SIZES: [usize; 4] = [2, 55, 110, 220];

fn config_bytes() -> Vec<(f64, f64)> {
    let bytes = |teams: usize| slope_fleet::document(teams).len() as f64;
    TEAM_SIZES
        .iter()
        .map(|teams| (*teams as f64, bytes(*teams)))
        .collect()
}

fn config_read() -> Vec<(f64, f64)> {
    let measure = |teams: usize| {
        let document = slope_fleet::document(teams);
        time_us(15, || {
            let _ = Config::from_yaml(&document);
        })
    };
    TEAM_SIZES
        .iter()
        .map(|teams| (*teams as f64, measure(*teams)))
        .collect()
}

fn change_bytes() -> Vec<(f64, f64)> {
    let measure = |count: usize| {
        let change = |revision: usize| Change {
            revision: revision as u64,
            change_id: "01a236d9-944e-7564-b81b-a7541f09222c".to_string(),
            who: "operator".to_string(),
            at_ms: 1_796_216_558_674,
            note: "pump test at the upper station".to_string(),
            difference:
                "-  - { name: engineering, share: 1 }\n+  - { name: engineering, share: 2 }"
                    .to_string(),
        };
        json_bytes(&ConfigRecord {
            revision: count as u64,
            document: String::new(),
            drained: Vec::new(),
            evacuated: Vec::new(),
            changes: (0..count).map(change).collect(),
        })
    };
    [10, 100, 500, 1_000]
        .iter()
        .map(|count| (*count as f64, measure(*count)))
        .collect()
}

fn load_bytes() -> Vec<(f64, f64)> {
    let bytes = |count: usize| frame_bytes(vec![], (0..count).map(slope_fleet::sample).collect());
    [1, 4, 8, 16]
        .iter()
        .map(|count| (*count as f64, bytes(*count)))
        .collect()
}

const TASK_SIZES: [u32; 4] = [1, 12, 40, 120];

fn start_bytes() -> Vec<(f64, f64)> {
    let start = |index: u32| {
        let task = TaskId {
            submission: SubmissionId::from_parts(1, 1),
            index,
        };
        Message::Start(Box::new(slope_fleet::start(task)))
    };
    let bytes = |count: u32| frame_bytes((0..count).map(start).collect(), vec![]);
    TASK_SIZES
        .iter()
        .map(|count| (f64::from(*count), bytes(*count)))
        .collect()
}

fn finish_bytes() -> Vec<(f64, f64)> {
    let finish = |index: u32| Message::Finished {
        task: TaskId {
            submission: SubmissionId::from_parts(1, 1),
            index,
        },
        outcome: TaskOutcome::Done(slope_fleet::result()),
        run_us: 180_000,
    };
    let bytes = |count: u32| frame_bytes((0..count).map(finish).collect(), vec![]);
    TASK_SIZES
        .iter()
        .map(|count| (f64::from(*count), bytes(*count)))
        .collect()
}

const KEPT_SIZES: [usize; 4] = [20_000, 40_000, 80_000, 160_000];

/// Growth of resident memory in bytes as a fleet grows. The fleet is leaked so that later series
/// do not reuse its memory.
fn growing_memory(mut grow: impl FnMut(&mut SlopeFleet, usize)) -> Vec<(f64, f64)> {
    let mut fleet = SlopeFleet::new(4, 64);
    let before = resident_bytes();
    let mut grown = 0;
    let mut points = Vec::new();
    for size in KEPT_SIZES {
        (grown..size).for_each(|number| grow(&mut fleet, number));
        grown = size;
        points.push((size as f64, resident_bytes() - before));
    }
    std::mem::forget(fleet);
    points
}

fn resident_bytes() -> f64 {
    super::usage::Usage::read().memory_mb * 1_048_576.0
}

fn submission_memory() -> Vec<(f64, f64)> {
    growing_memory(|fleet, number| fleet.run_request(number))
}

fn record_memory() -> Vec<(f64, f64)> {
    growing_memory(|fleet, number| fleet.run_at_gate(number))
}

fn open_tick() -> Vec<(f64, f64)> {
    let measure = |count: usize| {
        let mut fleet = SlopeFleet::new(4, 64);
        (0..count).for_each(|number| fleet.open_request(number));
        time_us(51, || fleet.tick())
    };
    [100, 400, 1_600, 6_400]
        .iter()
        .map(|count| (*count as f64, measure(*count)))
        .collect()
}

/// Memory of links between one hub and many peers, including both ends.
fn link_memory() -> Result<Vec<(f64, f64)>> {
    let sizes = [50, 100, 200, 400];
    sizes
        .iter()
        .map(|count| Ok((*count as f64, memory_of_links(*count)?)))
        .collect()
}

fn memory_of_links(count: usize) -> Result<f64> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let before = resident_bytes();
    let links = runtime.block_on(open_links(count))?;
    let used = resident_bytes() - before;
    std::mem::forget(links);
    std::mem::forget(runtime);
    Ok(used)
}

async fn open_links(count: usize) -> Result<Vec<Links>> {
    let timer = Timer::start();
    let delay = Arc::new(NoDelay);
    let hub_id = MemberId::new("hub", 1);
    let (tx, mut events) = tokio::sync::mpsc::unbounded_channel();
    let hub = Links::new(hub_id.clone(), timer.clone(), delay.clone(), tx);
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
    let addr = listener.local_addr()?;
    let listening_hub = hub.clone();
    tokio::spawn(async move { listening_hub.serve(listener, std::future::pending()).await });
    let mut links = vec![hub];
    for number in 0..count {
        let (tx, _) = tokio::sync::mpsc::unbounded_channel();
        let me = MemberId::new(&format!("spoke-{number}"), 1);
        let spoke = Links::new(me, timer.clone(), delay.clone(), tx);
        spoke.dial(&hub_id, addr);
        links.push(spoke);
    }
    for _ in 0..count {
        events.recv().await;
    }
    Ok(links)
}

/// Creates an owner's answer to an entry.
pub(crate) fn answer_message(id: SubmissionId, results: Vec<Bytes>) -> Message {
    Message::Answer {
        id,
        about: Operation::Submit,
        answer: Answer::complete(results),
    }
}

/// Size in bytes of a job's submission and answer between entry and owner.
pub fn job_bytes(tasks: usize) -> f64 {
    let id = SubmissionId::from_parts(1, 1);
    let mut submission = Submission::id_only(id, 10_000);
    submission.tasks = vec![slope_fleet::payload(); tasks];
    let submit_bytes = frame_bytes(vec![Message::Submit(Box::new(submission))], vec![]);
    let answer_bytes = frame_bytes(
        vec![answer_message(id, vec![slope_fleet::result(); tasks])],
        vec![],
    );
    submit_bytes + answer_bytes
}
