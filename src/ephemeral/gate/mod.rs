//! The gate of a worker: the only way to it, and the only guard of its room.
//!
//! Entries open sessions and order runs. A run waits here for room, in the order
//! of the latest time at which it must begin, is ordered from the worker, and
//! ends when the worker lists its end. An order without an answer keeps its room
//! until the run is barred and a list shows that it is not there. The runs of an
//! entry that falls silent are stopped.
//!
//! A gate that starts anew finds the runs of its predecessor in the worker's
//! list and takes nothing before each was claimed by its entry or is over.

mod answers;
mod health;
mod life;
mod pace;
mod progress;
mod sessions;

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use slog::{Logger, debug, info};

use crate::ephemeral::directory::WorkerRecord;
use crate::ephemeral::job::{Resources, RunId};
use crate::ephemeral::limits::Limits;
use crate::ephemeral::message::{
    ConfigDocument, GateLoad, NotRunReason, ProcessId, RunEnd, StartOrder, ToEntry, WorkerTraits,
};
use crate::ephemeral::room::Room;
use crate::ephemeral::session::SessionId;
use crate::ephemeral::worker::{HoldCall, StartCall, StopCall, WorkerReport};
use crate::time::{Moment, micros};
use answers::AnswerTimes;
use health::Health;
use life::Life;
use pace::Mark;
use sessions::Owner;

/// How long ends are kept for entries that reconnect.
const KEEP_ENDS: Duration = Duration::from_secs(3);
/// Part of its time so far that an overdue run is expected to take on.
const OVERDUE_SHARE: u64 = 4;
/// Unanswered orders in a row from which the worker counts as mute, if it has
/// been silent for [`MUTE_AFTER`] too; single ones get lost.
const MUTE_FROM: u32 = 3;
/// Silence after which a worker counts as mute: three lost orders one after the
/// other take this long.
const MUTE_AFTER: Duration = Duration::from_millis(120);
/// Pause before an order to stop is sent again whose answer got lost with an
/// earlier life of the worker's connection.
const STOP_AGAIN: Duration = Duration::from_millis(160);

/// What a gate asks of the process around it.
#[derive(Clone, Debug)]
pub enum GateAction {
    /// Send a message to an entry.
    Send {
        /// Its session.
        session: SessionId,
        /// What.
        message: ToEntry,
    },
    /// Close a session.
    Close(SessionId),
    /// Order a run from the worker.
    Start(StartCall),
    /// Bar or stop a run on the worker.
    Stop(StopCall),
    /// Ask the worker for its lists.
    Hold(HoldCall),
    /// Orders go to this address from now on.
    Aim(String),
}

/// Why a run is being stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StopCause {
    /// The order to start it was not answered.
    Unanswered,
    /// Its entry does not want it, or is gone.
    Unwanted,
    /// It does not get on.
    Stalled,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RunState {
    /// Waits for room until `until_us`; should begin by `due_us`.
    Queued { due_us: u64, until_us: u64 },
    /// Claimed by its entry before the worker's lists came.
    Claimed,
    /// Ordered; no answer yet.
    Starting,
    /// On the worker.
    Running,
    /// Being barred or stopped.
    Stopping {
        cause: StopCause,
        /// Whether the worker was seen to run it.
        began: bool,
        /// When the order was last sent.
        asked_us: u64,
        /// When the worker took note.
        acked_us: Option<u64>,
    },
}

#[derive(Debug)]
struct Run {
    owner: ProcessId,
    needs: Resources,
    payload: Arc<str>,
    expected_us: u64,
    since_us: u64,
    state: RunState,
    /// How far it was at the last look.
    mark: Option<Mark>,
}

impl Run {
    /// Whether the worker may have it.
    fn is_out(&self) -> bool {
        !matches!(self.state, RunState::Queued { .. })
    }
}

#[derive(Clone, Debug)]
struct PastRun {
    owner: ProcessId,
    end: RunEnd,
    run_us: u64,
    at_us: u64,
}

/// The gate of one worker.
#[derive(Debug)]
pub struct Gate {
    me: ProcessId,
    limits: Limits,
    log: Logger,
    life: Option<Life>,
    room: Room,
    health: Health,
    answers: AnswerTimes,
    owners: BTreeMap<ProcessId, Owner>,
    sessions: HashMap<SessionId, ProcessId>,
    runs: BTreeMap<RunId, Run>,
    queue: BTreeSet<(u64, RunId)>,
    past: HashMap<RunId, PastRun>,
    past_order: VecDeque<(u64, RunId)>,
    /// Runs of an earlier gate on this worker that no entry has claimed.
    unclaimed: BTreeMap<RunId, u64>,
    config: Option<ConfigDocument>,
    hold_pending: bool,
    check_pending: bool,
    check_wanted: bool,
    /// Orders in a row that the worker did not answer.
    misses: u32,
    /// When it last answered one.
    answered_us: u64,
    leaving: bool,
    load_changed: bool,
    load_sent_us: u64,
    actions: Vec<GateAction>,
}

impl Gate {
    /// A gate without a worker.
    pub fn new(me: ProcessId, limits: Limits, log: Logger) -> Gate {
        Gate {
            me,
            limits,
            log,
            life: None,
            room: Room::default(),
            health: Health::default(),
            answers: AnswerTimes::default(),
            owners: BTreeMap::new(),
            sessions: HashMap::new(),
            runs: BTreeMap::new(),
            queue: BTreeSet::new(),
            past: HashMap::new(),
            past_order: VecDeque::new(),
            unclaimed: BTreeMap::new(),
            config: None,
            hold_pending: false,
            check_pending: false,
            check_wanted: false,
            misses: 0,
            answered_us: 0,
            leaving: false,
            load_changed: false,
            load_sent_us: 0,
            actions: Vec::new(),
        }
    }

    /// What is to be done since the last call.
    pub fn take_actions(&mut self, now: Moment) -> Vec<GateAction> {
        self.fill(now);
        self.ask_for_lists(now);
        self.share_load(now);
        std::mem::take(&mut self.actions)
    }

    /// Whether nothing waits or runs.
    pub fn idle(&self) -> bool {
        self.runs.is_empty()
    }

    /// Takes no more work from now on; what runs goes on.
    pub fn leave(&mut self, now: Moment) {
        self.leaving = true;
        self.load_changed = true;
        self.refuse_queued(now, NotRunReason::Leaving);
    }

    /// The worker reports itself.
    pub fn worker_report(&mut self, now: Moment, report: WorkerReport) {
        let same = self
            .life
            .as_ref()
            .is_some_and(|life| life.traits.id == report.id);
        if !same && !self.follow_new_life(now, &report) {
            return;
        }
        let Some(life) = &mut self.life else {
            return;
        };
        if report.sequence < life.sequence {
            debug!(self.log, "report older than one before"; "sequence" => report.sequence);
            return;
        }
        life.sequence = report.sequence;
        life.heard_clock(now, report.clock_ms);
        if life.traits.capacity != report.capacity {
            life.traits = Arc::new(report.traits());
            self.room.resize(report.capacity);
            self.load_changed = true;
        }
        if report.leaving && !life.leaving {
            info!(self.log, "worker is leaving"; "worker" => &report.id,
                "leaves_in_ms" => report.leaves_in_ms);
            life.leaving = true;
            self.load_changed = true;
            self.refuse_queued(now, NotRunReason::Leaving);
        }
    }

    /// Turns to another life of the worker; `false` if the present one stays.
    fn follow_new_life(&mut self, now: Moment, report: &WorkerReport) -> bool {
        let stays = self.life.as_ref().is_some_and(|life| !life.leaving);
        if stays && report.leaving {
            debug!(self.log, "report of another life"; "worker" => &report.id);
            return false;
        }
        info!(self.log, "worker found"; "worker" => &report.id, "addr" => &report.addr,
            "cpu_milli" => report.capacity.cpu_milli, "leaving" => report.leaving);
        self.life_is_over(now, "another life reported");
        self.adopt_life(now, report.traits(), &report.addr);
        true
    }

    /// The worker that an earlier gate on this machine had, if none is known
    /// yet; should it be another life by now, its answers will say so.
    pub fn recall_worker(&mut self, now: Moment, worker: &WorkerRecord) {
        if self.life.is_some() {
            return;
        }
        info!(self.log, "worker recalled"; "worker" => &worker.traits.id, "addr" => &worker.addr);
        self.adopt_life(now, worker.traits.clone(), &worker.addr);
    }

    fn adopt_life(&mut self, now: Moment, traits: WorkerTraits, addr: &str) {
        self.misses = 0;
        self.answered_us = now.mono_us;
        self.room.resize(traits.capacity);
        self.life = Some(Life::new(traits, now));
        self.health = Health::default();
        self.actions.push(GateAction::Aim(addr.to_string()));
        self.load_changed = true;
    }

    /// The worker says that it ends.
    pub fn worker_left(&mut self, now: Moment, id: &str) {
        let ours = self.life.as_ref().is_some_and(|life| life.traits.id == id);
        if ours {
            self.life_is_over(now, "worker left");
        }
    }

    /// Nothing that ran on the present life of the worker runs any more.
    fn life_is_over(&mut self, now: Moment, why: &str) {
        let Some(life) = self.life.take() else {
            return;
        };
        info!(self.log, "worker gone"; "worker" => &life.traits.id, "why" => why);
        self.unclaimed.clear();
        self.load_changed = true;
        self.refuse_queued(now, NotRunReason::NoWorker);
        let out: Vec<RunId> = self.runs.keys().copied().collect();
        for run in out {
            self.end(now, run, RunEnd::Stopped);
        }
    }

    fn refuse_queued(&mut self, now: Moment, reason: NotRunReason) {
        let waiting: Vec<RunId> = self.queue.iter().map(|(_, run)| *run).collect();
        for run in waiting {
            self.end(now, run, RunEnd::NotRun(reason));
        }
    }

    /// Whether the worker lets orders go unanswered, one after the other.
    fn is_mute(&self, now: Moment) -> bool {
        self.misses >= MUTE_FROM && now.mono_us > self.answered_us + micros(MUTE_AFTER)
    }

    /// The worker answered, or let one more order go unanswered.
    fn note_answer(&mut self, now: Moment, answered: bool) {
        let before = self.is_mute(now);
        match answered {
            true => {
                self.misses = 0;
                self.answered_us = now.mono_us;
            }
            false => {
                self.misses += 1;
                self.check_wanted = true;
            }
        }
        let mute = self.is_mute(now);
        if mute != before {
            info!(self.log, "worker answers"; "answers" => !mute);
            self.load_changed = true;
        }
        if mute {
            self.refuse_queued(now, NotRunReason::NoWorker);
        }
    }

    /// Why no run can begin here now.
    fn closed(&self, now: Moment) -> Option<NotRunReason> {
        if self.leaving {
            return Some(NotRunReason::Leaving);
        }
        match &self.life {
            None => Some(NotRunReason::NoWorker),
            Some(life) if life.leaving => Some(NotRunReason::Leaving),
            Some(_) if self.is_mute(now) => Some(NotRunReason::NoWorker),
            Some(_) => None,
        }
    }

    fn admit(&mut self, now: Moment, owner: ProcessId, order: StartOrder) {
        let run = order.run;
        if let Some(past) = self.past_of(&owner, run) {
            let message = past.report(run);
            self.tell(&owner, message);
            return;
        }
        if let Some(other) = self.other_run(run) {
            info!(self.log, "task is here already"; "run" => %run, "other" => %other);
            let reason = NotRunReason::Rejected;
            let end = RunEnd::NotRun(reason);
            self.tell(
                &owner,
                ToEntry::Ended {
                    run,
                    end,
                    run_us: 0,
                },
            );
            return;
        }
        let due_us = now.mono_us + order.due_us;
        let until_us = now.mono_us + order.patience_us;
        let record = Run {
            owner,
            needs: order.needs,
            payload: order.payload,
            expected_us: order.expected_us,
            since_us: now.mono_us,
            state: RunState::Queued { due_us, until_us },
            mark: None,
        };
        self.runs.insert(run, record);
        if let Some(reason) = self.closed(now) {
            self.end(now, run, RunEnd::NotRun(reason));
            return;
        }
        self.queue.insert((due_us, run));
        self.load_changed = true;
        if order.patience_us == 0 {
            self.fill(now);
            self.refuse_late(now);
        }
    }

    /// A run of the same task that is not over yet.
    fn other_run(&self, run: RunId) -> Option<RunId> {
        let first = RunId { run: 0, ..run };
        let last = RunId {
            run: u32::MAX,
            ..run
        };
        let mut same = self.runs.range(first..=last);
        same.next().map(|(other, _)| *other)
    }

    fn past_of(&self, owner: &ProcessId, run: RunId) -> Option<&PastRun> {
        self.past.get(&run).filter(|past| past.owner == *owner)
    }

    /// Begins what fits, in the order of the latest begin.
    fn fill(&mut self, now: Moment) {
        let open = self.closed(now).is_none() && self.unclaimed.is_empty();
        if !open || !self.life.as_ref().is_some_and(Life::ready) {
            return;
        }
        let waiting: Vec<(u64, RunId)> = self.queue.iter().copied().collect();
        for (due_us, run) in waiting {
            let busy = self.health.suspect() && self.runs.values().any(Run::is_out);
            let needs = self.runs[&run].needs;
            if busy || !self.room.take(run, needs) {
                continue;
            }
            self.queue.remove(&(due_us, run));
            self.order(now, run);
        }
    }

    fn order(&mut self, now: Moment, run: RunId) {
        let lease = self.limits.lease;
        let (Some(life), Some(record)) = (&mut self.life, self.runs.get_mut(&run)) else {
            return;
        };
        let waited_us = now.mono_us.saturating_sub(record.since_us);
        debug!(self.log, "run ordered"; "run" => %run, "waited_us" => waited_us,
            "free_cpu_milli" => self.room.free().cpu_milli);
        record.state = RunState::Starting;
        record.since_us = now.mono_us;
        record.mark = Some(Mark::new(now.mono_us, 0));
        self.load_changed = true;
        self.actions.push(GateAction::Start(StartCall {
            worker: life.id(),
            run,
            payload: record.payload.clone(),
            lease_until_ms: life.lease_until(now, lease),
            limit: self.answers.limit(),
        }));
    }

    /// Bars or stops a run; a queued one just goes.
    fn stop(&mut self, now: Moment, run: RunId, cause: StopCause) {
        let Some(record) = self.runs.get_mut(&run) else {
            return;
        };
        let began = match record.state {
            RunState::Queued { .. } => {
                self.end(now, run, RunEnd::NotRun(NotRunReason::Withdrawn));
                return;
            }
            RunState::Stopping { .. } => return,
            RunState::Starting | RunState::Claimed => false,
            RunState::Running => true,
        };
        record.state = RunState::Stopping {
            cause,
            began,
            asked_us: now.mono_us,
            acked_us: None,
        };
        debug!(self.log, "run stopped"; "run" => %run, "cause" => ?cause, "began" => began);
        self.send_stop(run);
    }

    fn send_stop(&mut self, run: RunId) {
        if let Some(life) = &self.life {
            self.actions.push(GateAction::Stop(StopCall {
                worker: life.id(),
                run,
                limit: self.answers.limit(),
            }));
        }
    }

    /// A run is over, or never began: tells its owner and gives its room back.
    fn end(&mut self, now: Moment, run: RunId, end: RunEnd) {
        let Some(record) = self.runs.remove(&run) else {
            return;
        };
        if let RunState::Queued { due_us, .. } = record.state {
            self.queue.remove(&(due_us, run));
        }
        self.room.give_back(run);
        let run_us = match end {
            RunEnd::NotRun(_) => 0,
            _ => now.mono_us.saturating_sub(record.since_us),
        };
        match end {
            RunEnd::Done => self.health.finished(now, run_us, record.expected_us),
            RunEnd::Failed | RunEnd::Stalled => self.health.went_wrong(),
            _ => {}
        }
        debug!(self.log, "run over"; "run" => %run, "end" => ?end, "run_us" => run_us,
            "expected_us" => record.expected_us);
        let past = PastRun {
            owner: record.owner,
            end,
            run_us,
            at_us: now.mono_us,
        };
        self.load_changed = true;
        self.tell(&past.owner, past.report(run));
        self.past.insert(run, past);
        self.past_order.push_back((now.mono_us, run));
    }

    fn forget_past(&mut self, now: Moment) {
        let oldest_us = now.mono_us.saturating_sub(micros(KEEP_ENDS));
        while let Some((at_us, run)) = self.past_order.front().copied() {
            if at_us >= oldest_us {
                break;
            }
            self.past_order.pop_front();
            if self.past.get(&run).is_some_and(|past| past.at_us == at_us) {
                self.past.remove(&run);
            }
        }
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Moment) {
        self.expire_owners(now);
        self.refuse_late(now);
        self.drop_unclaimed(now);
        self.stop_again(now);
        self.end_lapsed(now);
        self.forget_past(now);
        self.health.forget_old(now);
    }

    fn refuse_late(&mut self, now: Moment) {
        let late = |run: &RunId| {
            let state = self.runs.get(run).map(|record| record.state);
            matches!(state, Some(RunState::Queued { until_us, .. }) if until_us <= now.mono_us)
        };
        let waiting = self.queue.iter().map(|(_, run)| *run);
        let late: Vec<RunId> = waiting.filter(late).collect();
        for run in late {
            self.end(now, run, RunEnd::NotRun(NotRunReason::NoRoom));
        }
    }

    /// Stops runs of an earlier gate whose entries did not come back.
    fn drop_unclaimed(&mut self, now: Moment) {
        let silence_us = micros(self.limits.silence);
        let mut sent = Vec::new();
        for (run, due_us) in &mut self.unclaimed {
            if *due_us <= now.mono_us {
                *due_us = now.mono_us + micros(STOP_AGAIN).max(silence_us / 4);
                sent.push(*run);
            }
        }
        for run in sent {
            info!(self.log, "run without owner stopped"; "run" => %run);
            self.send_stop(run);
            self.check_wanted = true;
        }
    }

    fn stop_again(&mut self, now: Moment) {
        let mut sent = Vec::new();
        for (run, record) in &mut self.runs {
            if let RunState::Stopping {
                asked_us,
                acked_us: None,
                ..
            } = &mut record.state
                && now.mono_us > *asked_us + micros(STOP_AGAIN)
            {
                *asked_us = now.mono_us;
                sent.push(*run);
            }
        }
        for run in sent {
            self.send_stop(run);
        }
    }

    /// Once no lease can be in force any more, nothing runs, whatever the
    /// worker does not say.
    fn end_lapsed(&mut self, now: Moment) {
        let Some(life) = &self.life else {
            return;
        };
        if !life.lease_is_over(now, self.limits.lease) {
            return;
        }
        let out: Vec<RunId> = self
            .runs
            .iter()
            .filter(|(_, record)| record.is_out())
            .map(|(run, _)| *run)
            .collect();
        for run in out {
            info!(self.log, "lease ran out"; "run" => %run);
            self.health.went_wrong();
            self.end(now, run, RunEnd::Stopped);
        }
        self.unclaimed.clear();
    }

    /// Time until a run of the usual size would find room: when enough of the
    /// present runs should have ended for all that waits and one more.
    fn wait_us(&self, now: Moment) -> u64 {
        let cpu = |run: &Run| run.needs.cpu_milli;
        let out = self.runs.values().filter(|run| run.is_out());
        let mut ends: Vec<(u64, u64)> = out.map(|run| (self.left_us(now, run), cpu(run))).collect();
        let usual = ends.iter().map(|(_, cpu)| cpu).sum::<u64>() / ends.len().max(1) as u64;
        let queued: u64 = self.queue.iter().map(|(_, run)| cpu(&self.runs[run])).sum();
        let wanted = queued + usual;
        let mut free = self.room.free().cpu_milli;
        if free >= wanted {
            return 0;
        }
        ends.sort_unstable();
        for (left_us, cpu) in &ends {
            free += cpu;
            if free >= wanted {
                return *left_us;
            }
        }
        ends.last().map_or(0, |(left_us, _)| left_us * 2)
    }

    /// Time that a run is expected to go on; one that is overdue, for a share
    /// of what it took so far.
    fn left_us(&self, now: Moment, run: &Run) -> u64 {
        let elapsed_us = now.mono_us.saturating_sub(run.since_us);
        let expected_us = run.expected_us * u64::from(self.health.slowness_percent()) / 100;
        expected_us
            .saturating_sub(elapsed_us)
            .max(elapsed_us / OVERDUE_SHARE)
    }

    fn load(&self, now: Moment, seen: u64) -> GateLoad {
        let queued = self.queue.iter().map(|(_, run)| self.runs[run].needs);
        let usable = self.closed(now).is_none()
            && self.unclaimed.is_empty()
            && self.life.as_ref().is_some_and(Life::ready);
        GateLoad {
            worker: self.life.as_ref().map(|life| life.traits.clone()),
            free: match usable {
                true => self.room.free(),
                false => Resources::default(),
            },
            queued_cpu_milli: queued.map(|needs| needs.cpu_milli).sum(),
            wait_us: self.wait_us(now),
            mean_run_us: self.health.mean_run_us(),
            slowness_percent: self.health.slowness_percent(),
            suspect: self.health.suspect(),
            leaving: self.closed(now).is_some(),
            seen,
        }
    }
}

impl PastRun {
    fn report(&self, run: RunId) -> ToEntry {
        ToEntry::Ended {
            run,
            end: self.end,
            run_us: self.run_us,
        }
    }
}

impl Life {
    /// Whether orders can be sent.
    fn ready(&self) -> bool {
        self.listed && self.has_clock()
    }
}
