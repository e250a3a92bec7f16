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

mod config;
mod evacuation;
mod forecast;
mod headroom;
mod health;
mod life;
mod losses;
mod pace;
mod patience;
mod progress;
mod queue;
mod restart;
mod sessions;
mod speed;
mod turns;
mod worker_life;

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
use crate::ephemeral::worker::{HoldCall, StartCall, StopCall};
use crate::ephemeral::worker_id::WorkerId;
use crate::time::{Moment, micros};
use evacuation::Evacuation;
use headroom::Headroom;
use health::Health;
use life::Life;
use losses::Lost;
use pace::Mark;
use patience::PatienceCounts;
use queue::Place;
use restart::Kept;
use sessions::Owner;
use worker_life::Successor;

/// How long ends are kept for entries that reconnect.
const KEEP_ENDS: Duration = Duration::from_secs(3);
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
    /// This is the worker from now on; orders go to it.
    Aim(WorkerRecord),
    /// Keep these losses of workers in the gate's record.
    Record(Vec<WorkerLoss>),
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
    /// Waits for room until `until_us`.
    Queued { place: Place, until_us: u64 },
    /// Claimed by its entry before the worker's lists came.
    Claimed {
        /// Whether an earlier life of the gate may have begun it.
        began: bool,
    },
    /// Ordered; no answer yet.
    Starting {
        /// When the order was last sent.
        asked_us: u64,
        /// Times that it was sent again for want of an answer.
        resent: u32,
    },
    /// On the worker.
    Running,
    /// Being barred or stopped.
    Stopping {
        cause: StopCause,
        /// Whether the worker was seen to run it.
        began: bool,
        /// When the order was first sent.
        since_us: u64,
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
    movable: bool,
    /// Whether a worker was lost under its task before.
    implicated: bool,
    /// Whether it leaves room free for more urgent ones.
    leaves_headroom: bool,
    since_us: u64,
    /// When its order was first sent.
    ordered_us: u64,
    state: RunState,
    /// Whether the worker was seen to run it.
    listed: bool,
    /// How far it was at the last look.
    mark: Option<Mark>,
}

impl Run {
    /// Whether the worker may have it.
    fn is_out(&self) -> bool {
        !matches!(self.state, RunState::Queued { .. })
    }

    /// Whether the first copy of its order has no answer yet.
    fn is_unanswered(&self) -> bool {
        matches!(self.state, RunState::Starting { resent: 0, .. })
    }

    /// Whether the worker may have begun it, as far as is known by now.
    fn may_have_begun(&self) -> bool {
        self.is_out() && !self.is_unanswered()
    }

    /// Whether the worker is known to have begun it.
    fn began(&self) -> bool {
        matches!(
            self.state,
            RunState::Running | RunState::Stopping { began: true, .. }
        )
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
    successor: Option<Successor>,
    /// Lives that are known to be over.
    past_lives: VecDeque<WorkerId>,
    /// Whether workers tell their births here: who does not is none of them.
    births_told: bool,
    /// Highest fencing token that was used.
    fence_used: u64,
    /// Runs of a worker that has started again under its name, kept until the next life's
    /// lists tell what became of their orders.
    kept: Option<Kept>,
    /// Losses of its workers, newest last.
    losses: VecDeque<WorkerLoss>,
    /// What was on the present life when its lease ran out, unless it was heard since.
    in_doubt: Vec<Lost>,
    /// Orders without an answer when the last worker was lost.
    open_starts: HashMap<RunId, WorkerLoss>,
    room: Room,
    headroom: Headroom,
    patience_counts: PatienceCounts,
    health: Health,
    answers: AnswerTimes,
    owners: BTreeMap<ProcessId, Owner>,
    sessions: HashMap<SessionId, ProcessId>,
    runs: BTreeMap<RunId, Run>,
    queue: BTreeSet<Place>,
    past: HashMap<RunId, PastRun>,
    past_order: VecDeque<(u64, RunId)>,
    /// Runs of an earlier gate on this worker that no entry has claimed.
    unclaimed: BTreeMap<RunId, u64>,
    hold_pending: bool,
    check_pending: bool,
    check_wanted: bool,
    /// Orders in a row that the worker did not answer.
    misses: u32,
    /// Holds in a row that it did not answer.
    hold_misses: u32,
    /// When it last answered one.
    answered_us: u64,
    /// When the first hold failed since then.
    hold_failed_us: Option<u64>,
    /// When the first hold broke off since then, sooner than for want of an answer.
    hold_broke_us: Option<u64>,
    leaving: bool,
    evacuation: Evacuation,
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
            successor: None,
            past_lives: VecDeque::new(),
            births_told: false,
            fence_used: 0,
            kept: None,
            losses: VecDeque::new(),
            in_doubt: Vec::new(),
            open_starts: HashMap::new(),
            room: Room::default(),
            headroom: Headroom::default(),
            patience_counts: PatienceCounts::default(),
            health: Health::default(),
            answers: AnswerTimes::default(),
            owners: BTreeMap::new(),
            sessions: HashMap::new(),
            runs: BTreeMap::new(),
            queue: BTreeSet::new(),
            past: HashMap::new(),
            past_order: VecDeque::new(),
            unclaimed: BTreeMap::new(),
            hold_pending: false,
            check_pending: false,
            check_wanted: false,
            misses: 0,
            hold_misses: 0,
            answered_us: 0,
            hold_failed_us: None,
            hold_broke_us: None,
            leaving: false,
            evacuation: Evacuation::default(),
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

    /// Run times on the worker against what was expected, in percent.
    pub fn slowness_percent(&self) -> u32 {
        self.health.slowness_percent()
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

    /// Why no run can begin here now.
    fn closed(&self, now: Moment) -> Option<NotRunReason> {
        if self.leaving {
            return Some(NotRunReason::Leaving);
        }
        if self.evacuation.bars_starts(now) {
            return Some(NotRunReason::Evacuated);
        }
        match &self.life {
            None => Some(NotRunReason::NoWorker),
            Some(life) if life.leaving => Some(NotRunReason::Leaving),
            Some(life) if life.has_foreign_lease(now) => Some(NotRunReason::NoWorker),
            Some(_) if self.is_mute(now) => Some(NotRunReason::NoWorker),
            Some(_) => None,
        }
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
            RunState::Starting { .. } => false,
            RunState::Claimed { began } => began,
            RunState::Running => true,
        };
        record.state = RunState::Stopping {
            cause,
            began,
            since_us: now.mono_us,
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
                fence: life.fence.unwrap_or(0),
                limit: self.answers.limit(),
            }));
        }
    }

    /// A run is over, or never began: tells its owner and gives its room back.
    fn end(&mut self, now: Moment, run: RunId, end: RunEnd) {
        let Some(record) = self.runs.remove(&run) else {
            return;
        };
        if let RunState::Queued { place, .. } = record.state {
            self.queue.remove(&place);
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
        // The number of a run that never left the gate may be used again.
        if !matches!(end, RunEnd::NotRun(reason) if !reason.may_have_reached_worker()) {
            self.past.insert(run, past);
            self.past_order.push_back((now.mono_us, run));
        }
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
        self.end_kept(now);
        self.give_up_mute_life(now);
        self.forget_past(now);
        self.health.forget_old(now);
        if let Some(slow) = self.health.take_turn() {
            info!(self.log, "worker speed"; "slow" => slow, "usual" => self.health.usual(),
                "slowness" => self.health.slowness());
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

    fn load(&self, now: Moment) -> GateLoad {
        let usable = self.closed(now).is_none()
            && self.unclaimed.is_empty()
            && self.life.as_ref().is_some_and(Life::ready);
        GateLoad {
            worker: self.life.as_ref().map(|life| life.traits.clone()),
            free: match usable {
                true => self.room.free(),
                false => Resources::default(),
            },
            queues: self.queues(now),
            mean_run_us: self.health.mean_run_us(),
            slowness_percent: self.health.slowness_percent(),
            suspect: self.health.suspect(),
            leaving: self.closed(now).is_some(),
            evacuated: self.evacuation.bars_starts(now),
            seen: 0,
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
