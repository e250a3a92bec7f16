//! Scheduling state machine of the gate, which is the only client of a worker and enforces
//! its capacity.
//!
//! Its inputs are messages from entries, replies and reports from the worker, and the
//! clock; its outputs are [`GateAction`]s. Runs queue until the worker has room, are then
//! started on it, and end when the worker reports their end. Answers to polls list the
//! running and the ended runs. A run whose start was not answered keeps its reservation
//! until the worker has acknowledged a stop and a later list omits it. The runs of an entry
//! that has been silent for too long are stopped. A restarted gate starts nothing until each
//! listed run has been claimed by its entry or has ended. Apart from its runs, a gate holds
//! registrations of jobs that may run anywhere.

mod announcement;
mod answers;
mod config;
mod evacuation;
mod forecast;
mod headroom;
mod health;
mod incarnation;
mod losses;
mod pace;
mod patience;
mod pause;
mod queue;
mod registrations;
mod restart;
mod sessions;
mod speed;
mod worker_incarnations;

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use slog::{Logger, debug, info};

use crate::ephemeral::answer_times::AnswerTimes;
use crate::ephemeral::directory::WorkerRecord;
use crate::ephemeral::job::{Resources, RunId};
use crate::ephemeral::limits::Limits;
use crate::ephemeral::losses::WorkerLoss;
use crate::ephemeral::message::{GateLoad, NotRunReason, ProcessId, RunEnd, ToEntry};
use crate::ephemeral::room::Room;
use crate::ephemeral::session::SessionId;
use crate::ephemeral::worker::{PollCall, StartCall, StopCall};
use crate::ephemeral::worker_id::WorkerId;
use crate::time::{Moment, micros};
use announcement::Announcement;
use evacuation::Evacuation;
use headroom::HeadroomEstimator;
use health::Health;
use incarnation::Incarnation;
use losses::LostRun;
use pace::ProgressSample;
use patience::PatienceCounts;
use queue::QueuePosition;
use registrations::Registrations;
use restart::CarryOver;
use sessions::EntryState;
use worker_incarnations::Successor;

/// Retention of ended runs, for entries that reconnect.
const ENDED_RUN_RETENTION: Duration = Duration::from_secs(3);
/// Delay before an unacknowledged stop is sent again.
const STOP_RETRY_DELAY: Duration = Duration::from_millis(160);

/// A side effect requested from the process that hosts the gate.
#[derive(Clone, Debug)]
pub enum GateAction {
    /// Send a message to an entry.
    Send {
        /// Session of the entry.
        session: SessionId,
        /// The message.
        message: ToEntry,
    },
    /// Close a session.
    Close(SessionId),
    /// Start a run on the worker.
    Start(StartCall),
    /// Stop a run on the worker, or prevent its start.
    Stop(StopCall),
    /// Poll the worker for its running and ended runs.
    Poll(PollCall),
    /// Direct all further calls to this worker.
    SetWorker(WorkerRecord),
    /// Store these worker losses in the gate's record.
    StoreLosses(Vec<WorkerLoss>),
}

/// Reason for stopping a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StopCause {
    /// The start was not answered.
    Unanswered,
    /// The entry asked for it.
    Withdrawn,
    /// The entry connected again and did not claim the run.
    NotClaimed,
    /// The entry was silent for too long, or another incarnation of it connected.
    EntryExpired {
        /// Time since its last frame.
        silent_us: u64,
    },
    /// The run is slow or makes no progress.
    Stalled,
}

impl StopCause {
    /// Name for log lines.
    fn name(self) -> &'static str {
        match self {
            StopCause::Unanswered => "Unanswered",
            StopCause::Withdrawn => "Withdrawn",
            StopCause::NotClaimed => "NotClaimed",
            StopCause::EntryExpired { .. } => "EntryExpired",
            StopCause::Stalled => "Stalled",
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RunState {
    /// Waits for room until `until_us`.
    Queued {
        position: QueuePosition,
        until_us: u64,
    },
    /// Claimed by its entry before the worker has listed its runs.
    Claimed {
        /// Whether a previous incarnation of the gate may have started it.
        began: bool,
    },
    /// Start sent, not yet answered.
    Starting {
        /// Time of the last attempt.
        sent_us: u64,
        /// Number of repeated attempts.
        resent: u32,
    },
    /// Running on the worker.
    Running,
    /// Stop sent, end not yet confirmed.
    Stopping {
        cause: StopCause,
        /// Whether the worker reported it as running.
        began: bool,
        /// Time of the first stop.
        since_us: u64,
        /// Time of the last stop.
        sent_us: u64,
        /// Time at which the worker acknowledged the stop.
        acked_us: Option<u64>,
    },
}

#[derive(Debug)]
struct Run {
    owner: ProcessId,
    needs: Resources,
    payload: Arc<str>,
    /// Run time that the entry expects on a worker of normal speed, in microseconds.
    expected_us: u64,
    /// Whether it may be stopped for being slow and moved to another gate.
    movable: bool,
    /// Whether the worker of an earlier run of its task was lost.
    implicated: bool,
    /// Whether it must leave headroom for more urgent runs.
    leaves_headroom: bool,
    /// Time of arrival, then of the last attempt to start it.
    queued_or_started_us: u64,
    /// Time of the first attempt to start it; the time of arrival before, 0 if unknown.
    first_start_us: u64,
    state: RunState,
    /// When its owner last wanted it, in monotonic microseconds, if the owner has withdrawn it or
    /// is gone.
    last_wanted_us: Option<u64>,
    /// Whether the worker has listed it as running.
    listed: bool,
    /// Progress at the last sample.
    last_sample: Option<ProgressSample>,
}

impl Run {
    /// Whether it has been queued for longer than it may.
    fn is_overdue(&self, now: Moment) -> bool {
        matches!(self.state, RunState::Queued { until_us, .. } if until_us <= now.mono_us)
    }

    /// Whether a start may have reached the worker.
    fn is_dispatched(&self) -> bool {
        !matches!(self.state, RunState::Queued { .. })
    }

    /// Whether the first attempt to start it is still unanswered.
    fn is_first_start_unanswered(&self) -> bool {
        matches!(self.state, RunState::Starting { resent: 0, .. })
    }

    /// Whether it counts as being on the worker. A run whose first start is unanswered is
    /// judged by the outcome of that start instead.
    fn may_have_begun(&self) -> bool {
        self.is_dispatched() && !self.is_first_start_unanswered()
    }

    /// Whether the worker is known to have begun the run.
    fn has_begun(&self) -> bool {
        matches!(
            self.state,
            RunState::Running | RunState::Stopping { began: true, .. }
        )
    }
}

#[derive(Clone, Debug)]
struct EndedRun {
    owner: ProcessId,
    end: RunEnd,
    /// Time to its end since the last attempt to start it or since its claim, in microseconds;
    /// 0 if it was not run.
    run_us: u64,
    /// Time at which this gate ended it, in monotonic microseconds.
    at_us: u64,
}

/// The gate of one worker.
#[derive(Debug)]
pub struct Gate {
    me: ProcessId,
    limits: Limits,
    log: Logger,
    incarnation: Option<Incarnation>,
    /// Another incarnation, reported while the current one exists.
    successor: Option<Successor>,
    /// Incarnations of the worker that are known to have ended.
    past_incarnations: VecDeque<WorkerId>,
    /// Whether an answer of the worker has contained its start time.
    reports_start_time: bool,
    /// Highest fencing token used so far.
    fence_used: u64,
    /// Set between the end of an incarnation that restarts under the same name and the
    /// adoption of the next one.
    carry_over: Option<CarryOver>,
    /// Worker losses, oldest first.
    losses: VecDeque<WorkerLoss>,
    /// Runs that were on the current incarnation when its lease expired; cleared when it
    /// answers a poll.
    suspected_losses: Vec<LostRun>,
    /// Starts that were unanswered when the last worker was lost.
    unanswered_starts: HashMap<RunId, WorkerLoss>,
    room: Room,
    headroom: HeadroomEstimator,
    patience_counts: PatienceCounts,
    health: Health,
    answer_times: AnswerTimes,
    entries: BTreeMap<ProcessId, EntryState>,
    sessions: HashMap<SessionId, ProcessId>,
    registrations: Registrations,
    runs: BTreeMap<RunId, Run>,
    queue: BTreeSet<QueuePosition>,
    /// Runs that ended within [`ENDED_RUN_RETENTION`], except those that never reached the worker.
    ended_runs: HashMap<RunId, EndedRun>,
    /// End times of these runs, in monotonic microseconds, oldest first.
    ended_order: VecDeque<(u64, RunId)>,
    /// Listed runs that are not in `runs` and that no entry has claimed, and the time at which
    /// each is to be stopped, in monotonic microseconds.
    unclaimed: BTreeMap<RunId, u64>,
    /// Whether the regular poll is in flight.
    poll_pending: bool,
    /// Whether a check, an immediate poll beside the regular one, is in flight.
    check_pending: bool,
    /// Whether another check is to be sent.
    check_wanted: bool,
    /// Consecutive calls without an answer.
    missed_answers: u32,
    /// Consecutive polls without an answer.
    missed_polls: u32,
    /// Time of the last answer, or of the adoption of the incarnation, in monotonic
    /// microseconds.
    answered_us: u64,
    /// Time of the first failed poll since the last answer, in monotonic microseconds.
    poll_failed_us: Option<u64>,
    /// Time at which a poll first failed before its timeout since the last answer, in monotonic
    /// microseconds.
    poll_disconnected_us: Option<u64>,
    /// Whether this gate refuses new runs, as set by [`Gate::leave`].
    leaving: bool,
    evacuation: Evacuation,
    announcement: Announcement,
    /// Whether the load has changed since the entries' reports were last marked as outdated.
    load_changed: bool,
    /// Time of the last load report that was sent without another reason than a changed load,
    /// in monotonic microseconds.
    load_sent_us: u64,
    actions: Vec<GateAction>,
}

impl Gate {
    /// Creates a gate without a worker.
    pub fn new(me: ProcessId, limits: Limits, log: Logger) -> Gate {
        Gate {
            me,
            limits,
            log,
            incarnation: None,
            successor: None,
            past_incarnations: VecDeque::new(),
            reports_start_time: false,
            fence_used: 0,
            carry_over: None,
            losses: VecDeque::new(),
            suspected_losses: Vec::new(),
            unanswered_starts: HashMap::new(),
            room: Room::default(),
            headroom: HeadroomEstimator::default(),
            patience_counts: PatienceCounts::default(),
            health: Health::default(),
            answer_times: AnswerTimes::default(),
            entries: BTreeMap::new(),
            sessions: HashMap::new(),
            registrations: Registrations::default(),
            runs: BTreeMap::new(),
            queue: BTreeSet::new(),
            ended_runs: HashMap::new(),
            ended_order: VecDeque::new(),
            unclaimed: BTreeMap::new(),
            poll_pending: false,
            check_pending: false,
            check_wanted: false,
            missed_answers: 0,
            missed_polls: 0,
            answered_us: 0,
            poll_failed_us: None,
            poll_disconnected_us: None,
            leaving: false,
            evacuation: Evacuation::default(),
            announcement: Announcement::default(),
            load_changed: false,
            load_sent_us: 0,
            actions: Vec::new(),
        }
    }

    /// Starts queued runs, polls the worker and returns the accumulated actions.
    pub fn take_actions(&mut self, now: Moment) -> Vec<GateAction> {
        self.start_queued(now);
        self.poll_worker(now);
        self.send_loads(now);
        std::mem::take(&mut self.actions)
    }

    /// Ratio of actual to expected run times on the worker, in percent.
    pub fn slowness_percent(&self) -> u32 {
        self.health.slowness_percent()
    }

    /// Whether the gate has no runs.
    pub fn is_idle(&self) -> bool {
        self.runs.is_empty()
    }

    /// Refuses new runs from now on; runs on the worker continue.
    pub fn leave(&mut self, now: Moment) {
        self.leaving = true;
        self.load_changed = true;
        self.refuse_queued(now, NotRunReason::Leaving);
    }

    /// Reason why no run can start now, if there is one.
    fn refusal(&self, now: Moment) -> Option<NotRunReason> {
        if self.leaving {
            return Some(NotRunReason::Leaving);
        }
        if self.evacuation.blocks_starts(now) {
            return Some(NotRunReason::Evacuated);
        }
        match &self.incarnation {
            None => Some(NotRunReason::NoWorker),
            Some(incarnation) if incarnation.leaving => Some(NotRunReason::Leaving),
            Some(incarnation) if incarnation.has_inherited_lease(now) => {
                Some(NotRunReason::NoWorker)
            }
            Some(_) if self.is_unresponsive(now) => Some(NotRunReason::NoWorker),
            Some(_) => None,
        }
    }

    /// Stops a run, or removes it from the queue.
    fn stop(&mut self, now: Moment, run: RunId, cause: StopCause) {
        let last_wanted_us = self.last_wanted_us(now, cause);
        let Some(record) = self.runs.get_mut(&run) else {
            return;
        };
        record.last_wanted_us = record.last_wanted_us.or(last_wanted_us);
        let began = match record.state {
            RunState::Queued { .. } => {
                self.end(now, run, RunEnd::NotRun(NotRunReason::Withdrawn));
                return;
            }
            RunState::Stopping { .. } => return,
            RunState::Starting { .. } => false,
            RunState::Claimed { began } => began,
            RunState::Running => true,
        };
        record.state = RunState::Stopping {
            cause,
            began,
            since_us: now.mono_us,
            sent_us: now.mono_us,
            acked_us: None,
        };
        let entry = record.owner.clone();
        let silent_us = match cause {
            // Its state is gone.
            StopCause::EntryExpired { silent_us } => Some(silent_us),
            _ => self.entry_silence_us(now, &entry),
        };
        debug!(self.log, "stopping run"; "run" => %run, "cause" => cause.name(),
            "began" => began, "entry" => &*entry.name, "silent_us" => silent_us);
        self.send_stop(run);
    }

    /// Earliest time at which the owner of a run may have sent what led to this stop, in monotonic
    /// microseconds; `None` if the owner still wants the run.
    fn last_wanted_us(&self, now: Moment, cause: StopCause) -> Option<u64> {
        let age_us = match cause {
            StopCause::Withdrawn | StopCause::NotClaimed => micros(self.limits.max_frame_age),
            StopCause::EntryExpired { silent_us } => silent_us,
            StopCause::Unanswered | StopCause::Stalled => return None,
        };
        Some(now.mono_us.saturating_sub(age_us))
    }

    /// Whether the worker may still have a run that its owner has not wanted for the peer timeout.
    /// All runs share the lease, so renewing it would extend that run as well.
    fn has_overdue_stop(&self, now: Moment) -> bool {
        let peer_timeout_us = micros(self.limits.peer_timeout);
        let mut last_wanted = self.runs.values().filter_map(|run| run.last_wanted_us);
        last_wanted.any(|last_us| now.mono_us > last_us + peer_timeout_us)
    }

    fn send_stop(&mut self, run: RunId) {
        if let Some(incarnation) = &self.incarnation {
            self.actions.push(GateAction::Stop(StopCall {
                worker: incarnation.id(),
                run,
                fence: incarnation.fence.unwrap_or(0),
                timeout: self.answer_times.timeout(),
            }));
        }
    }

    /// Ends a run: releases its room and reports the end to its owner.
    fn end(&mut self, now: Moment, run: RunId, end: RunEnd) {
        let Some(record) = self.runs.remove(&run) else {
            return;
        };
        if let RunState::Queued { position, .. } = record.state {
            self.queue.remove(&position);
        }
        self.room.release(run);
        let run_us = match end {
            RunEnd::NotRun(_) => 0,
            _ => now.mono_us.saturating_sub(record.queued_or_started_us),
        };
        match end {
            RunEnd::Done => self.health.record_finished(now, run_us, record.expected_us),
            RunEnd::Failed | RunEnd::Stalled => self.health.record_failure(),
            _ => {}
        }
        debug!(self.log, "run ended"; "run" => %run, "end" => ?end, "run_us" => run_us,
            "expected_us" => record.expected_us, "entry" => &*record.owner.name);
        let ended = EndedRun {
            owner: record.owner,
            end,
            run_us,
            at_us: now.mono_us,
        };
        self.load_changed = true;
        self.send(&ended.owner, ended.report(run));
        // A run that never reached the worker may be submitted again under the same number.
        if !matches!(end, RunEnd::NotRun(reason) if !reason.may_have_reached_worker()) {
            self.ended_runs.insert(run, ended);
            self.ended_order.push_back((now.mono_us, run));
        }
    }

    fn expire_ended_runs(&mut self, now: Moment) {
        let oldest_us = now.mono_us.saturating_sub(micros(ENDED_RUN_RETENTION));
        while let Some((at_us, run)) = self.ended_order.front().copied() {
            if at_us >= oldest_us {
                break;
            }
            self.ended_order.pop_front();
            if self
                .ended_runs
                .get(&run)
                .is_some_and(|ended| ended.at_us == at_us)
            {
                self.ended_runs.remove(&run);
            }
        }
    }

    /// Handles timeouts.
    pub fn tick(&mut self, now: Moment) {
        self.registrations.record_turn(now);
        self.expire_entries(now);
        self.end_registrations(now);
        self.expire_queued(now);
        self.stop_unclaimed(now);
        self.resend_stops(now);
        self.end_expired_lease(now);
        self.expire_carry_over(now);
        self.replace_unresponsive(now);
        self.expire_ended_runs(now);
        self.health.expire_samples(now);
        if let Some(slow) = self.health.take_slow_change() {
            info!(self.log, "worker speed changed"; "slow" => slow,
                "baseline" => self.health.baseline(), "slowness" => self.health.slowness());
        }
    }

    fn resend_stops(&mut self, now: Moment) {
        let mut sent = Vec::new();
        for (run, record) in &mut self.runs {
            if let RunState::Stopping {
                sent_us,
                acked_us: None,
                ..
            } = &mut record.state
                && now.mono_us > *sent_us + micros(STOP_RETRY_DELAY)
            {
                *sent_us = now.mono_us;
                sent.push(*run);
            }
        }
        for run in sent {
            self.send_stop(run);
        }
    }

    /// Whether runs can start now.
    fn takes_work(&self, now: Moment) -> bool {
        self.refusal(now).is_none()
            && self.unclaimed.is_empty()
            && !self.has_overdue_stop(now)
            && self.incarnation.as_ref().is_some_and(Incarnation::is_ready)
    }

    fn load(&self, now: Moment) -> GateLoad {
        GateLoad {
            worker: self
                .incarnation
                .as_ref()
                .map(|incarnation| incarnation.traits.clone()),
            free: match self.takes_work(now) {
                true => self.room.free(),
                false => Resources::default(),
            },
            queues: self.queues(now),
            mean_run_us: self.health.mean_run_us(),
            slowness_percent: self.health.slowness_percent(),
            suspect: self.health.is_suspect(),
            leaving: self.refusal(now).is_some(),
            evacuated: self.evacuation.blocks_starts(now),
            seen: 0,
        }
    }
}

impl EndedRun {
    fn report(&self, run: RunId) -> ToEntry {
        ToEntry::Ended {
            run,
            end: self.end,
            run_us: self.run_us,
        }
    }
}

impl Incarnation {
    /// Whether runs can be started.
    fn is_ready(&self) -> bool {
        self.listed && self.has_clock()
    }
}
