//! Dispatcher of an entry: admits jobs, places their tasks on gates and answers their
//! callers.
//!
//! A job is admitted if its tasks are expected to begin in time for its latency objective,
//! and refused at once otherwise. A task that fails or does not begin is sent to another
//! gate while time is left. A job is answered once all its tasks are done or once it is
//! given up, and its remaining runs are stopped. A job that is given up is refused if none
//! of it can have run; otherwise it fails or its outcome is unknown.

mod admission;
mod caller_waits;
mod cancellation;
mod config;
mod congestion;
mod deferral;
mod fair_shares;
mod gates;
mod job;
mod lag;
mod losses;
mod progress;
mod registration;
mod typical_run;

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;
use slog::{Logger, info};

use crate::code::{Effect, ResultCode};
use crate::ephemeral::job::{JobId, RunId};
use crate::ephemeral::limits::Limits;
use crate::ephemeral::losses::{LossLog, OrphanedTasks};
use crate::ephemeral::message::{ConfigDocument, ProcessId, StartOrder, ToGate};
use crate::ephemeral::placement::{Choice, GateView, ObjectiveModel, PlacementRequest, Placer};
use crate::ephemeral::run_spread::RunSpreads;
use crate::ephemeral::scheduling::Scheduling;
use crate::ephemeral::session::SessionId;
use crate::ephemeral::subset::Subset;
use crate::message::Answer;
use crate::run_times::RunTimes;
use crate::time::{Moment, micros};
use caller_waits::CallerWaits;
use cancellation::Cancellations;
pub use cancellation::JobState;
use config::Configs;
use congestion::CongestionByPriority;
use deferral::Deferral;
use fair_shares::FairShares;
use job::{Job, TaskState};
use lag::Lag;
use losses::may_wait_apart;
use registration::Registrations;
use typical_run::TypicalRun;

/// How long the answers of finished jobs are kept for callers that submit again.
const ANSWER_RETENTION: Duration = Duration::from_secs(10);
/// Base delay after which a refused caller should retry; a full worker usually has room by
/// then.
const RETRY_AFTER_MS: u64 = 500;
/// Starts of a task that may be rejected for lack of room before the task waits at a gate.
const MAX_CAPACITY_REJECTIONS: u32 = 3;
/// Times that a slow task is stopped and moved to another gate. Estimates may be far off, and a
/// long task must end somewhere.
const MAX_MOVES: u32 = 1;
/// How long a task may wait at a gate, as a multiple of the expected wait.
const WAIT_LIMIT_FACTOR: f64 = 1.5;
/// Added to the wait that a gate allows, in microseconds; several round trips.
const MIN_WAIT_LIMIT_US: u64 = 10_000;
/// Minimum increase of the run number after a worker rejected it as too low.
const MIN_RUN_NUMBER_STEP: u32 = 16;

/// Identifies a caller that waits for an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WaiterId(pub u64);

/// Action that the dispatcher asks its process to carry out.
#[derive(Clone, Debug)]
pub enum DispatchAction {
    /// Sends a message to a gate.
    Send {
        /// Session to send on.
        session: SessionId,
        /// Message to send.
        message: ToGate,
    },
    /// Closes a session.
    Close(SessionId),
    /// Closes a session that is no longer needed.
    CloseSurplus(SessionId),
    /// Opens another connection to a gate, as the present one may be dead.
    Redial(Arc<str>),
    /// Answers a caller.
    Reply {
        /// Caller to answer.
        waiter: WaiterId,
        /// Answer to the caller.
        answer: Answer,
    },
    /// A newer configuration was received from another entry.
    ConfigReceived(ConfigDocument),
}

/// Session with a gate, from the hello on.
#[derive(Debug)]
struct GateSession {
    /// Name of the gate.
    gate: Arc<str>,
    /// When a message was last sent, in monotonic microseconds.
    sent_us: u64,
}

#[derive(Debug)]
struct FinishedJob {
    /// Answer to repeat; `None` if the job may be submitted anew.
    answer: Option<Answer>,
    /// Number after which the run numbers continue if the job is submitted anew.
    next_run: u32,
}

/// Open jobs of an entry, and the gates that it sends their tasks to.
#[derive(Debug)]
pub struct Dispatcher {
    process_id: ProcessId,
    limits: Limits,
    log: Logger,
    gates: BTreeMap<Arc<str>, GateView>,
    /// Time since which at least one gate has taken work, in monotonic microseconds.
    open_gate_since_us: Option<u64>,
    sessions: HashMap<SessionId, GateSession>,
    subset: Subset,
    /// Time of the last tick, in monotonic microseconds.
    last_tick_us: u64,
    /// Time since which frames have been read without interruption, in monotonic
    /// microseconds.
    reading_since_us: u64,
    /// Open jobs.
    jobs: HashMap<JobId, Job>,
    /// Jobs with tasks to place, by the latest begin for their objective.
    backlog: BTreeSet<(u64, JobId)>,
    /// Open jobs by deadline.
    deadlines: BTreeSet<(u64, JobId)>,
    /// Recently finished jobs.
    finished: HashMap<JobId, FinishedJob>,
    /// Finished jobs with the time of their end, oldest first.
    finished_order: VecDeque<(u64, JobId)>,
    losses: LossLog,
    /// Tasks at lost gates, by the name of the gate.
    orphaned_tasks: HashMap<Arc<str>, OrphanedTasks>,
    /// When each suspect gate may be probed again, in monotonic microseconds.
    probes: HashMap<Arc<str>, u64>,
    congestion: CongestionByPriority,
    deferral: Deferral,
    fair_shares: FairShares,
    caller_waits: CallerWaits,
    cancellations: Cancellations,
    registrations: Registrations,
    placer: Placer,
    rng: StdRng,
    run_times: RunTimes,
    run_spreads: RunSpreads,
    typical_run: TypicalRun,
    configs: Configs,
    scheduling: Scheduling,
    lag: Lag,
    actions: Vec<DispatchAction>,
    /// Whether waiting tasks are to be placed before the next actions are returned.
    placement_due: bool,
}

impl Dispatcher {
    /// Creates a dispatcher without gates; the incarnation in `process_id` seeds the
    /// placement noise.
    pub fn new(process_id: ProcessId, limits: Limits, log: Logger) -> Dispatcher {
        Dispatcher {
            placer: Placer::new(process_id.incarnation),
            rng: StdRng::seed_from_u64(process_id.incarnation),
            subset: Subset::new(process_id.name.clone()),
            process_id,
            limits,
            log,
            gates: BTreeMap::new(),
            open_gate_since_us: None,
            sessions: HashMap::new(),
            last_tick_us: 0,
            reading_since_us: 0,
            jobs: HashMap::new(),
            backlog: BTreeSet::new(),
            deadlines: BTreeSet::new(),
            finished: HashMap::new(),
            finished_order: VecDeque::new(),
            losses: LossLog::default(),
            orphaned_tasks: HashMap::new(),
            probes: HashMap::new(),
            congestion: CongestionByPriority::default(),
            deferral: Deferral::default(),
            fair_shares: FairShares::default(),
            caller_waits: CallerWaits::default(),
            cancellations: Cancellations::default(),
            registrations: Registrations::default(),
            run_times: RunTimes::default(),
            run_spreads: RunSpreads::default(),
            typical_run: TypicalRun::default(),
            configs: Configs::default(),
            scheduling: Scheduling::default(),
            lag: Lag::default(),
            actions: Vec::new(),
            placement_due: false,
        }
    }

    /// Sets which scheduling features are on.
    pub fn set_scheduling(&mut self, scheduling: Scheduling) {
        self.scheduling = scheduling;
    }

    /// Places waiting tasks and returns the actions since the last call.
    pub fn take_actions(&mut self, now: Moment) -> Vec<DispatchAction> {
        if self.placement_due {
            self.placement_due = false;
            self.place_backlog(now);
            self.place_deferred(now);
        }
        self.add_heartbeats(now);
        std::mem::take(&mut self.actions)
    }

    /// Whether no job is open.
    pub fn is_idle(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Number of open jobs.
    pub fn open_jobs(&self) -> usize {
        self.jobs.len()
    }

    /// Number of gates that take work.
    pub fn open_gates(&self) -> usize {
        self.gates.values().filter(|gate| gate.is_open()).count()
    }

    /// Sends the tasks of a job that are not at a gate.
    fn place(&mut self, now: Moment, id: JobId) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        if job.parked_until_us.is_some() && !self.retry_parked(now, id) {
            return;
        }
        let Some(job) = self.jobs.get(&id).filter(|job| !job.is_deferred()) else {
            return;
        };
        let key = (job.latest_begin_us(), id);
        let waiting: Vec<u32> = job.waiting_tasks().collect();
        if !waiting.is_empty() && !self.may_start(now, id) {
            self.backlog.insert(key);
            return;
        }
        let mut any_unplaced = false;
        for index in waiting {
            any_unplaced |= !self.place_task(now, id, index);
        }
        if self.jobs.contains_key(&id) {
            match any_unplaced {
                true => self.backlog.insert(key),
                false => self.backlog.remove(&key),
            };
        }
    }

    /// Sends one task to the best gate; `false` if no gate can begin it in time.
    fn place_task(&mut self, now: Moment, id: JobId, index: u32) -> bool {
        let Some(job) = self.jobs.remove(&id) else {
            return true;
        };
        let choice = self.choose_gate(now, &job, index, may_wait_apart(now, &job));
        let runs_apart = self.must_run_apart(now, &job, index);
        self.jobs.insert(id, job);
        let Some(choice) = choice else {
            return false;
        };
        if self.gates[&choice.gate].load.suspect {
            let next_us = now.mono_us + micros(gates::PROBE_INTERVAL);
            self.probes.insert(choice.gate.clone(), next_us);
        }
        let Some(job) = self.jobs.get_mut(&id) else {
            return true;
        };
        let patience_us = job.patience_us(now.mono_us);
        let max_wait_us = match job.is_deferred() {
            true => 0,
            false => patience_us,
        };
        if choice.wait_us > max_wait_us {
            return false;
        }
        let task = &mut job.tasks[index as usize];
        task.runs += 1;
        let capacity_rejections = task.capacity_rejections;
        let movable = task.moves < MAX_MOVES;
        let run = RunId {
            job: id,
            index,
            run: task.runs,
        };
        task.state = TaskState::Placed {
            gate: choice.gate.clone(),
            run: task.runs,
        };
        let Some(gate) = self.gates.get_mut(&choice.gate) else {
            return false;
        };
        let Some(session) = gate.session else {
            return false;
        };
        let order = StartOrder {
            run,
            payload: job.spec.payload.clone(),
            needs: job.spec.needs,
            patience_us: gate_wait_limit_us(&choice, capacity_rejections).min(max_wait_us),
            priority: job.priority(&self.scheduling, now.mono_us),
            leaves_headroom: self.scheduling.headroom,
            by_median: self.scheduling.worker_speeds,
            due_us: job.latest_begin_us().saturating_sub(now.mono_us),
            expected_us: job.expected_us,
            movable,
            implicated: runs_apart,
            number: gate.record_start(now, run, job.spec.needs),
            label: job.spec.constraints.label.clone(),
        };
        slog::debug!(self.log, "task sent"; "run" => %run, "gate" => &*choice.gate,
            "wait_us" => choice.wait_us, "run_us" => choice.run_us,
            "miss_percent" => choice.miss_percent,
            "load_age_us" => now.mono_us.saturating_sub(gate.last_frame_us),
            "patience_us" => patience_us);
        let message = ToGate::Start(Box::new(order));
        self.actions.push(DispatchAction::Send { session, message });
        true
    }

    /// Chooses the gate for a task. `waits_apart` is whether an implicated task is to wait if all
    /// gates have another one.
    fn choose_gate(
        &mut self,
        now: Moment,
        job: &Job,
        index: u32,
        waits_apart: bool,
    ) -> Option<Choice> {
        let task = job.tasks.get(index as usize)?;
        let max_on_worker = job.spec.constraints.max_per_worker as usize;
        let at_task_limit = |name: &Arc<str>| {
            max_on_worker > 0
                && job.placed_runs().filter(|(gate, _)| *gate == name).count() >= max_on_worker
        };
        let suspect_count = self.gates.values().filter(|gate| gate.load.suspect).count();
        // If most workers fail, the cause is the tasks and not the workers.
        let exclude_suspects = suspect_count * 2 <= self.gates.len();
        let probes = &self.probes;
        let probe_due =
            |name: &Arc<str>| probes.get(name).is_none_or(|at_us| *at_us <= now.mono_us);
        let allowed = |(name, gate): &(&Arc<str>, &GateView)| {
            gate.is_open()
                && !gate.overdue
                && (!gate.load.suspect || !exclude_suspects || probe_due(name))
                && !at_task_limit(name)
        };
        let request = self.placement_request(now, job);
        let implicated = self.is_implicated(job, index);
        let occupied = match implicated {
            true => self.gates_with_implicated(now, job),
            false => HashSet::new(),
        };
        let apart = |gate: &(&Arc<str>, &GateView)| allowed(gate) && !occupied.contains(gate.0);
        let untried = |(name, _): &(&Arc<str>, &GateView)| !task.avoided_gates.contains(*name);
        let (placer, gates) = (&mut self.placer, &self.gates);
        let choice = placer.choose(gates.iter().filter(apart).filter(untried), &request);
        // If every gate has been tried, fall back to one that was tried.
        let choice = choice.or_else(|| placer.choose(gates.iter().filter(apart), &request));
        if choice.is_some() || !implicated || waits_apart {
            return choice;
        }
        placer.choose(gates.iter().filter(allowed), &request)
    }

    fn placement_request<'a>(&self, now: Moment, job: &'a Job) -> PlacementRequest<'a> {
        PlacementRequest {
            service: &job.route.service,
            needs: &job.spec.needs,
            constraints: &job.spec.constraints,
            priority: job.priority(&self.scheduling, now.mono_us),
            expected_us: job.expected_us,
            deadline_left_us: job.deadline_us.saturating_sub(now.mono_us),
            objective_left_us: job.objective_left_us(now.mono_us),
            typical_run_us: self.typical_run.us(),
            objective_model: job.spread.as_deref().map(|spread| ObjectiveModel {
                spread,
                tasks: job.spec.count,
                stretch: job.route.stretch,
                slack_us: job.slack_left_us(now.mono_us),
            }),
        }
    }

    fn place_backlog(&mut self, now: Moment) {
        let waiting: Vec<JobId> = self.backlog.iter().map(|(_, id)| *id).collect();
        for id in waiting {
            self.place(now, id);
        }
    }

    /// Handles the passage of time: ends expired jobs and drops silent gates.
    pub fn tick(&mut self, now: Moment) {
        self.end_expired(now);
        self.give_up_late_jobs(now);
        self.end_unserved_deferred(now);
        self.drop_silent_gates(now);
        self.expire_ending_runs(now);
        self.close_surplus_sessions(now);
        self.redial_overdue_gates(now);
        self.fetch_config(now);
        self.evict_finished(now);
        self.cancellations.evict_expired(now);
        self.losses.evict_expired(now);
        self.evict_orphaned_tasks(now);
        self.placement_due |= !self.backlog.is_empty() || !self.deferral.is_empty();
    }

    fn end_expired(&mut self, now: Moment) {
        while let Some((deadline_us, id)) = self.deadlines.first().copied() {
            if deadline_us > now.mono_us {
                break;
            }
            let answer = match self.jobs.get(&id).is_some_and(|job| job.may_have_run) {
                true => Answer::failure(
                    ResultCode::DeadlinePassed,
                    Effect::Unknown,
                    "its deadline passed",
                ),
                false => self.expired_answer(id),
            };
            self.finish(now, id, answer);
            self.deadlines.remove(&(deadline_us, id));
        }
    }

    /// Gives up jobs with waiting tasks that can no longer begin in time.
    fn give_up_late_jobs(&mut self, now: Moment) {
        let waiting: Vec<JobId> = self.backlog.iter().map(|(_, id)| *id).collect();
        for id in waiting {
            let late = self.jobs.get(&id).is_some_and(|job| {
                job.patience_us(now.mono_us) == 0
                    && job.waiting_tasks().next().is_some()
                    && !job.registration.is_held_elsewhere()
            });
            if late {
                self.give_up(now, id, "no room in time");
            }
        }
    }

    fn expired_answer(&self, id: JobId) -> Answer {
        let job = self.jobs.get(&id);
        if job.is_none_or(|job| job.is_untouched()) {
            return refused("its deadline passed before it began", RETRY_AFTER_MS);
        }
        let why = "its deadline passed";
        Answer::failure(ResultCode::DeadlinePassed, Effect::Unknown, why)
    }

    /// Ends a job that cannot be served in time. A refusal states that nothing has run, so
    /// runs that may still begin are withdrawn first.
    fn give_up(&mut self, now: Moment, id: JobId, why: &'static str) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if job.may_have_run {
            let answer = Answer::failure(ResultCode::OutcomeUnknown, Effect::Ran, why);
            self.finish(now, id, answer);
            return;
        }
        if job.is_untouched() {
            self.defer_or_refuse(now, id, why);
            return;
        }
        if job.withdrawal_reason.replace(why).is_none() {
            self.backlog.remove(&(job.latest_begin_us(), id));
            self.deferral.forget(now, id);
            self.stop_runs(id);
        }
    }

    fn stop_runs(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        for (gate, run) in job.placed_runs() {
            let session = self.gates.get(gate).and_then(|gate| gate.session);
            if let Some(session) = session {
                let message = ToGate::Stop { run };
                self.actions.push(DispatchAction::Send { session, message });
            }
        }
    }

    /// Answers a job, stops its remaining runs and removes it.
    fn finish(&mut self, now: Moment, id: JobId, answer: Answer) {
        self.stop_runs(id);
        let Some(job) = self.jobs.remove(&id) else {
            return;
        };
        for (gate, run) in job.placed_runs() {
            if let Some(gate) = self.gates.get_mut(gate) {
                gate.remove_run(now, run);
            }
        }
        self.backlog.remove(&(job.latest_begin_us(), id));
        self.deferral.forget(now, id);
        self.deadlines.remove(&(job.deadline_us, id));
        self.log_end(now, &job, &answer);
        let runs = job.tasks.iter().map(|task| task.runs).max();
        for waiter in job.waiters.iter().copied() {
            let answer = answer.clone();
            self.actions.push(DispatchAction::Reply { waiter, answer });
        }
        let keep = matches!(answer.code, ResultCode::Complete | ResultCode::TaskFailed);
        let finished = FinishedJob {
            answer: keep.then_some(answer),
            next_run: runs.unwrap_or(0) + MIN_RUN_NUMBER_STEP,
        };
        self.finished.insert(id, finished);
        self.finished_order.push_back((now.mono_us, id));
        self.end_registration(now, &job);
    }

    fn log_end(&self, now: Moment, job: &Job, answer: &Answer) {
        info!(self.log, "job over"; "job" => %job.spec.id, "route" => &*job.route.name,
            "code" => answer.code.name(), "effect" => ?answer.effect, "why" => &answer.message,
            "took_us" => now.mono_us.saturating_sub(job.arrived_us),
            "caller_waits_us" => job.deadline_us - job.arrived_us,
            "sent_before" => job.is_resend, "deferred" => job.is_deferred(),
            "expected_us" => job.expected_us, "tasks" => job.spec.count,
            "runs" => job.tasks.iter().map(|task| task.runs).max(),
            "open_runs" => job.placed_runs().count(),
            "begin_within_us" => job.latest_begin_us().saturating_sub(job.arrived_us));
    }

    fn evict_finished(&mut self, now: Moment) {
        let oldest_us = now.mono_us.saturating_sub(micros(ANSWER_RETENTION));
        while let Some((at_us, id)) = self.finished_order.front().copied() {
            if at_us >= oldest_us {
                break;
            }
            self.finished_order.pop_front();
            self.finished.remove(&id);
        }
    }
}

/// How long a task may wait at a gate, in microseconds. If room was expected, a gate
/// without room returns the task at once, until it has been rejected too often.
fn gate_wait_limit_us(choice: &Choice, capacity_rejections: u32) -> u64 {
    match choice.wait_us == 0 && capacity_rejections < MAX_CAPACITY_REJECTIONS {
        true => 0,
        false => (choice.wait_us as f64 * WAIT_LIMIT_FACTOR) as u64 + MIN_WAIT_LIMIT_US,
    }
}

fn refused(why: &str, retry_after_ms: u64) -> Answer {
    Answer::not_run(ResultCode::Overloaded, why).retry_after(retry_after_ms)
}

fn failed(code: ResultCode, why: &str) -> Answer {
    let effect = match code {
        ResultCode::CannotRun => Effect::NotRun,
        _ => Effect::Ran,
    };
    Answer::failure(code, effect, why)
}
