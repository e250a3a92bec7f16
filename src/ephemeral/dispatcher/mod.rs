//! The entry's decisions about the jobs that it took.
//!
//! A job is admitted if its tasks are expected to begin in time for its
//! objective, and refused at once otherwise. Its tasks go to gates; what fails
//! or does not begin there goes to another gate while that still helps. A job
//! is answered when all its tasks are done, or when it is given up: with a
//! refusal if nothing of it can have run, with a failure or an unknown outcome
//! otherwise. Whatever of it is still out is stopped then.

mod admission;
mod caller_waits;
mod config;
mod congestion;
mod deferral;
mod fair_shares;
mod gates;
mod job;
mod lag;
mod losses;
mod progress;
mod typical_run;

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
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
use crate::ephemeral::placement::{Choice, GateView, OnTime, Placer, Want};
use crate::ephemeral::run_spread::RunSpreads;
use crate::ephemeral::scheduling::Scheduling;
use crate::ephemeral::session::SessionId;
use crate::ephemeral::subset::Subset;
use crate::message::Answer;
use crate::run_times::RunTimes;
use crate::time::{Moment, micros};
use caller_waits::CallerWaits;
use config::Configs;
use congestion::CongestionByPriority;
use deferral::Deferral;
use fair_shares::FairShares;
use job::{Job, TaskState};
use lag::Lag;
use typical_run::TypicalRun;

/// How long answers are kept for callers that ask again.
const KEEP_ANSWERS: Duration = Duration::from_secs(10);
/// When a refused caller should come back: about the time in which a full
/// worker frees its room.
const COME_BACK_MS: u64 = 500;
/// Gates with less room than they said that a task is turned away from before
/// it waits at one.
const MOST_BOUNCES: u32 = 3;
/// Times that a task is moved for being slow; estimates may be far off, and a long
/// task must end somewhere.
const MOST_MOVES: u32 = 1;
/// Times the expected wait for room after which a task looks for another gate. With 3.0 a
/// fiftieth more work is done in time beyond the room, and 1% of the jobs end as unknown.
const WAIT_MARGIN: f64 = 1.5;
/// Shortest wait at a gate, in microseconds; several round trips.
const LEAST_WAIT_US: u64 = 10_000;
/// Least step of the run number after a worker rejected it as too low.
const RUN_STEP: u32 = 16;

/// Names one caller that waits for an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WaiterId(pub u64);

/// What a dispatcher asks of the process around it.
#[derive(Clone, Debug)]
pub enum DispatchAction {
    /// Send a message to a gate.
    Send {
        /// The session.
        session: SessionId,
        /// What.
        message: ToGate,
    },
    /// Close a session.
    Close(SessionId),
    /// Close a session that is not needed any more.
    Part(SessionId),
    /// Open another connection to this gate: the present one may be dead.
    Redial(Arc<str>),
    /// Answer a caller.
    Reply {
        /// The caller.
        waiter: WaiterId,
        /// Its answer.
        answer: Answer,
    },
    /// A newer configuration came from another entry.
    Learned(ConfigDocument),
}

/// A session from its hello on.
#[derive(Debug)]
struct Link {
    gate: Arc<str>,
    /// When something was last sent on it.
    sent_us: u64,
}

#[derive(Debug)]
struct Past {
    answer: Option<Answer>,
    next_run: u32,
}

/// The jobs of one entry.
#[derive(Debug)]
pub struct Dispatcher {
    me: ProcessId,
    limits: Limits,
    log: Logger,
    gates: BTreeMap<Arc<str>, GateView>,
    /// Since when there has been a gate that takes work, if there is one.
    served_since_us: Option<u64>,
    sessions: HashMap<SessionId, Link>,
    subset: Subset,
    /// When time last passed here.
    turned_us: u64,
    /// Since when this process reads without a break.
    listening_us: u64,
    jobs: HashMap<JobId, Job>,
    backlog: BTreeSet<(u64, JobId)>,
    deadlines: BTreeSet<(u64, JobId)>,
    past: HashMap<JobId, Past>,
    past_order: VecDeque<(u64, JobId)>,
    losses: LossLog,
    /// By the names of gates that are gone.
    left_behind: HashMap<Arc<str>, OrphanedTasks>,
    probes: HashMap<Arc<str>, u64>,
    congestion: CongestionByPriority,
    deferral: Deferral,
    fair_shares: FairShares,
    caller_waits: CallerWaits,
    placer: Placer,
    rng: StdRng,
    run_times: RunTimes,
    run_spreads: RunSpreads,
    typical_run: TypicalRun,
    configs: Configs,
    scheduling: Scheduling,
    lag: Lag,
    actions: Vec<DispatchAction>,
    dirty: bool,
}

impl Dispatcher {
    /// A dispatcher without gates; placement noise comes from `me`'s incarnation.
    pub fn new(me: ProcessId, limits: Limits, log: Logger) -> Dispatcher {
        Dispatcher {
            placer: Placer::new(me.incarnation),
            rng: StdRng::seed_from_u64(me.incarnation),
            subset: Subset::new(me.name.clone()),
            me,
            limits,
            log,
            gates: BTreeMap::new(),
            served_since_us: None,
            sessions: HashMap::new(),
            turned_us: 0,
            listening_us: 0,
            jobs: HashMap::new(),
            backlog: BTreeSet::new(),
            deadlines: BTreeSet::new(),
            past: HashMap::new(),
            past_order: VecDeque::new(),
            losses: LossLog::default(),
            left_behind: HashMap::new(),
            probes: HashMap::new(),
            congestion: CongestionByPriority::default(),
            deferral: Deferral::default(),
            fair_shares: FairShares::default(),
            caller_waits: CallerWaits::default(),
            run_times: RunTimes::default(),
            run_spreads: RunSpreads::default(),
            typical_run: TypicalRun::default(),
            configs: Configs::default(),
            scheduling: Scheduling::default(),
            lag: Lag::default(),
            actions: Vec::new(),
            dirty: false,
        }
    }

    /// The configuration in force asks for this.
    pub fn schedule(&mut self, scheduling: Scheduling) {
        self.scheduling = scheduling;
    }

    /// What is to be done since the last call.
    pub fn take_actions(&mut self, now: Moment) -> Vec<DispatchAction> {
        if self.dirty {
            self.dirty = false;
            self.place_backlog(now);
            self.place_deferred(now);
        }
        self.add_heartbeats(now);
        std::mem::take(&mut self.actions)
    }

    /// Whether no job is open.
    pub fn idle(&self) -> bool {
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

    /// Sends the tasks of a job that are at no gate.
    fn place(&mut self, now: Moment, id: JobId) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        if job.parked_until_us.is_some() && !self.unpark(now, id) {
            return;
        }
        let Some(job) = self.jobs.get(&id).filter(|job| !job.is_deferred()) else {
            return;
        };
        let waiting: Vec<u32> = job.waiting().collect();
        let mut left = false;
        for index in waiting {
            left |= !self.place_task(now, id, index);
        }
        if let Some(job) = self.jobs.get(&id) {
            let key = (job.latest_begin_us(), id);
            match left {
                true => self.backlog.insert(key),
                false => self.backlog.remove(&key),
            };
        }
    }

    /// Sends one task to the gate where it would end first; `false` if no gate
    /// would begin it in time.
    fn place_task(&mut self, now: Moment, id: JobId, index: u32) -> bool {
        let Some(job) = self.jobs.remove(&id) else {
            return true;
        };
        let choice = self.choose(now, &job, index);
        self.jobs.insert(id, job);
        let Some(choice) = choice else {
            return false;
        };
        if self.gates[&choice.gate].load.suspect {
            let next_us = now.mono_us + micros(gates::PROBE_PAUSE);
            self.probes.insert(choice.gate.clone(), next_us);
        }
        let Some(job) = self.jobs.get_mut(&id) else {
            return true;
        };
        let patience_us = job.patience_us(now.mono_us);
        let most_us = match job.is_deferred() {
            true => 0,
            false => patience_us,
        };
        if choice.wait_us > most_us {
            return false;
        }
        let task = &mut job.tasks[index as usize];
        // Kept apart where it can be: a gate that turned it away once is tried again only
        // if there is no other, and the two would go on and on.
        let implicated = self.losses.count(id, index) > 0 && !task.avoid.contains(&choice.gate);
        task.runs += 1;
        let bounces = task.bounces;
        let movable = task.moves < MOST_MOVES;
        let run = RunId {
            job: id,
            index,
            run: task.runs,
        };
        task.state = TaskState::At {
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
            patience_us: wait_at_gate_us(&choice, bounces).min(most_us),
            priority: job.priority(&self.scheduling, now.mono_us),
            leaves_headroom: self.scheduling.headroom,
            by_median: self.scheduling.worker_speeds,
            due_us: job.latest_begin_us().saturating_sub(now.mono_us),
            expected_us: job.expected_us,
            movable,
            implicated,
            number: gate.count(now, run, job.spec.needs),
        };
        slog::debug!(self.log, "task sent"; "run" => %run, "gate" => &*choice.gate,
            "wait_us" => choice.wait_us, "run_us" => choice.run_us,
            "miss_percent" => choice.miss_percent,
            "load_age_us" => now.mono_us.saturating_sub(gate.heard_us),
            "patience_us" => patience_us);
        let message = ToGate::Start(Box::new(order));
        self.actions.push(DispatchAction::Send { session, message });
        true
    }

    fn choose(&mut self, now: Moment, job: &Job, index: u32) -> Option<Choice> {
        let task = job.tasks.get(index as usize)?;
        let most = job.spec.constraints.max_per_worker as usize;
        let crowded = |name: &Arc<str>| {
            most > 0 && job.out().filter(|(gate, _)| *gate == name).count() >= most
        };
        let suspects = self.gates.values().filter(|gate| gate.load.suspect).count();
        // Where most workers fail, the tasks are to blame.
        let judges = suspects * 2 <= self.gates.len();
        let probes = &self.probes;
        let due = |name: &Arc<str>| probes.get(name).is_none_or(|at_us| *at_us <= now.mono_us);
        let allowed = |(name, gate): &(&Arc<str>, &GateView)| {
            gate.is_open()
                && !gate.quiet
                && (!gate.load.suspect || !judges || due(name))
                && !crowded(name)
        };
        let want = self.want(now, job);
        let implicated = self.gates_with_implicated(job, index);
        let fresh = |(name, _): &(&Arc<str>, &GateView)| {
            !task.avoid.contains(name) && !implicated.contains(*name)
        };
        let others = self.gates.iter().filter(allowed).filter(fresh);
        let choice = self.placer.choose(others, &want);
        // Where every gate was tried, one that was tried is better than none.
        choice.or_else(|| self.placer.choose(self.gates.iter().filter(allowed), &want))
    }

    fn want<'a>(&self, now: Moment, job: &'a Job) -> Want<'a> {
        Want {
            service: &job.route.service,
            needs: &job.spec.needs,
            constraints: &job.spec.constraints,
            priority: job.priority(&self.scheduling, now.mono_us),
            expected_us: job.expected_us,
            left_us: job.deadline_us.saturating_sub(now.mono_us),
            objective_us: job.objective_left_us(now.mono_us),
            typical_us: self.typical_run.us(),
            on_time: job.spread.as_deref().map(|spread| OnTime {
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

    /// Time has passed: gives up what can no longer be helped.
    pub fn tick(&mut self, now: Moment) {
        self.end_overdue(now);
        self.end_hopeless(now);
        self.end_unserved(now);
        self.drop_silent_gates(now);
        self.part_from_surplus(now);
        self.doubt_quiet_gates(now);
        self.fetch_config(now);
        self.forget_past(now);
        self.losses.evict_expired(now);
        self.forget_left_behind(now);
        self.dirty |= !self.backlog.is_empty() || !self.deferral.is_empty();
    }

    fn end_overdue(&mut self, now: Moment) {
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
                false => self.overdue_answer(id),
            };
            self.finish(now, id, answer);
            self.deadlines.remove(&(deadline_us, id));
        }
    }

    /// Ends jobs whose waiting tasks cannot begin in time any more.
    fn end_hopeless(&mut self, now: Moment) {
        let waiting: Vec<JobId> = self.backlog.iter().map(|(_, id)| *id).collect();
        for id in waiting {
            let late = self.jobs.get(&id).is_some_and(|job| {
                job.patience_us(now.mono_us) == 0 && job.waiting().next().is_some()
            });
            if late {
                self.give_up(now, id, "no room in time");
            }
        }
    }

    fn overdue_answer(&self, id: JobId) -> Answer {
        let job = self.jobs.get(&id);
        if job.is_none_or(|job| job.is_untouched()) {
            return refused("its deadline passed before it began", COME_BACK_MS);
        }
        let why = "its deadline passed";
        Answer::failure(ResultCode::DeadlinePassed, Effect::Unknown, why)
    }

    /// Ends a job that cannot be served in time. A refusal must be true, so
    /// what is out is withdrawn first unless something has run already.
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
        if job.withdrawn.replace(why).is_none() {
            self.backlog.remove(&(job.latest_begin_us(), id));
            self.deferral.release(now, id);
            self.stop_runs(id);
        }
    }

    fn stop_runs(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        for (gate, run) in job.out() {
            let session = self.gates.get(gate).and_then(|gate| gate.session);
            if let Some(session) = session {
                let message = ToGate::Stop { run };
                self.actions.push(DispatchAction::Send { session, message });
            }
        }
    }

    /// Answers a job, stops what is out, and forgets it.
    fn finish(&mut self, now: Moment, id: JobId, answer: Answer) {
        self.stop_runs(id);
        let Some(job) = self.jobs.remove(&id) else {
            return;
        };
        for (gate, run) in job.out() {
            if let Some(gate) = self.gates.get_mut(gate) {
                gate.over(now, run);
            }
        }
        self.backlog.remove(&(job.latest_begin_us(), id));
        self.deferral.release(now, id);
        self.deadlines.remove(&(job.deadline_us, id));
        self.log_end(now, &job, &answer);
        let runs = job.tasks.iter().map(|task| task.runs).max();
        for waiter in job.waiters {
            let answer = answer.clone();
            self.actions.push(DispatchAction::Reply { waiter, answer });
        }
        let keep = matches!(answer.code, ResultCode::Complete | ResultCode::TaskFailed);
        let past = Past {
            answer: keep.then_some(answer),
            next_run: runs.unwrap_or(0) + RUN_STEP,
        };
        self.past.insert(id, past);
        self.past_order.push_back((now.mono_us, id));
    }

    fn log_end(&self, now: Moment, job: &Job, answer: &Answer) {
        info!(self.log, "job over"; "job" => %job.spec.id, "route" => &*job.route.name,
            "code" => answer.code.name(), "effect" => ?answer.effect, "why" => &answer.message,
            "took_us" => now.mono_us.saturating_sub(job.arrived_us),
            "caller_waits_us" => job.deadline_us - job.arrived_us,
            "sent_before" => job.sent_before, "deferred" => job.is_deferred(),
            "expected_us" => job.expected_us, "tasks" => job.spec.count,
            "runs" => job.tasks.iter().map(|task| task.runs).max(),
            "begin_within_us" => job.latest_begin_us().saturating_sub(job.arrived_us));
    }

    fn forget_past(&mut self, now: Moment) {
        let oldest_us = now.mono_us.saturating_sub(micros(KEEP_ANSWERS));
        while let Some((at_us, id)) = self.past_order.front().copied() {
            if at_us >= oldest_us {
                break;
            }
            self.past_order.pop_front();
            self.past.remove(&id);
        }
    }
}

/// How long a task may wait at a gate. Where room was expected, another gate is
/// better than a wait; and where a wait turns out longer than expected, it is
/// better to look again.
fn wait_at_gate_us(choice: &Choice, bounces: u32) -> u64 {
    match choice.wait_us == 0 && bounces < MOST_BOUNCES {
        true => 0,
        false => (choice.wait_us as f64 * WAIT_MARGIN) as u64 + LEAST_WAIT_US,
    }
}

fn refused(why: &str, come_back_ms: u64) -> Answer {
    Answer::not_run(ResultCode::Overloaded, why).retry_after(come_back_ms)
}

fn failed(code: ResultCode, why: &str) -> Answer {
    let effect = match code {
        ResultCode::CannotRun => Effect::NotRun,
        _ => Effect::Ran,
    };
    Answer::failure(code, effect, why)
}
