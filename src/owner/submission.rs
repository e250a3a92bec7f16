//! State of one submission and its tasks at the owner.

use std::collections::BTreeMap;

use crate::code::Effect;
use crate::id::{MemberId, RangeId};
use crate::message::{Answer, RecoveredTask, Refusal, Submission, TaskOutcome};

/// Maximum number of steps recorded for a submission.
const MAX_STEPS: usize = 16;

/// A submission and its progress.
#[derive(Clone, Debug)]
pub struct SubmissionRecord {
    /// The submission; its payloads are dropped when it ends.
    pub submission: Submission,
    /// Key range of its id.
    pub range: RangeId,
    /// Current state.
    pub progress: Progress,
    /// Entries that wait for the answer.
    pub waiters: Vec<MemberId>,
    /// Numbers of the calls that submitted it. A delayed duplicate of a call that was
    /// answered "not run" must not run.
    pub calls: Vec<u64>,
    /// Deadline on the owner's monotonic clock; 0 if it was never open here.
    pub deadline_us: u64,
    /// Wall-clock time at which this owner made the record, in milliseconds.
    pub accepted_ms: u64,
    /// Recorded steps, oldest first.
    pub steps: Vec<Step>,
}

/// State of a submission.
#[derive(Clone, Debug)]
pub enum Progress {
    /// Some tasks have not ended.
    Open {
        /// State of each task.
        tasks: Vec<TaskState>,
        /// Tasks that have not ended.
        unfinished: usize,
    },
    /// It has an answer.
    Ended {
        /// The answer.
        answer: Answer,
        /// First unused attempt number; `u32::MAX` if it must not run again.
        next_attempt: u32,
    },
    /// Known only from gates that report tasks started by a previous owner; its caller
    /// has not resubmitted it yet.
    Recovered {
        /// Reported tasks by index.
        tasks: BTreeMap<u32, RecoveredTask>,
    },
}

/// State of a task at the owner.
#[derive(Clone, Debug)]
pub enum TaskState {
    /// Not sent; no gate can start it.
    Waiting {
        /// Number of the next attempt.
        attempt: u32,
        /// Gates that refused it.
        avoid: Vec<MemberId>,
    },
    /// Sent to a gate, which may start it.
    Sent {
        /// The gate.
        gate: MemberId,
        /// Number of the attempt.
        attempt: u32,
        /// Monotonic time of the send or of the gate's last report.
        last_contact_us: u64,
        /// Monotonic time of the pending inquiry; 0 if none.
        inquired_us: u64,
        /// Gates that refused earlier attempts.
        avoid: Vec<MemberId>,
    },
    /// Ended.
    Ended(TaskOutcome),
}

impl TaskState {
    /// A waiting task that no gate has refused.
    pub fn new(attempt: u32) -> TaskState {
        TaskState::Waiting {
            attempt,
            avoid: Vec::new(),
        }
    }

    /// The gate of a sent task; `None` in the other states.
    pub fn gate(&self) -> Option<&MemberId> {
        match self {
            TaskState::Sent { gate, .. } => Some(gate),
            _ => None,
        }
    }

    /// Whether it has run, as far as known.
    pub fn effect(&self) -> Effect {
        match self {
            TaskState::Waiting { .. } => Effect::NotRun,
            TaskState::Sent { .. } | TaskState::Ended(TaskOutcome::Lost) => Effect::Unknown,
            TaskState::Ended(_) => Effect::Ran,
        }
    }

    /// State as shown in operator tables.
    pub fn state_name(&self) -> &'static str {
        match self {
            TaskState::Waiting { .. } => "waiting",
            TaskState::Sent { .. } => "sent",
            TaskState::Ended(TaskOutcome::Done(_)) => "done",
            TaskState::Ended(TaskOutcome::Failed { .. }) => "failed",
            TaskState::Ended(TaskOutcome::Stopped) => "stopped",
            TaskState::Ended(TaskOutcome::Lost) => "lost",
        }
    }

    fn attempt(&self) -> u32 {
        match self {
            TaskState::Waiting { attempt, .. } | TaskState::Sent { attempt, .. } => *attempt,
            TaskState::Ended(_) => 0,
        }
    }
}

/// A step in the processing of a submission, as shown to operators.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// A task was sent to a gate.
    Placed {
        /// The task's index.
        index: u32,
        /// The gate.
        gate: MemberId,
        /// Estimated load of the gate.
        load: f64,
        /// Number of gates considered.
        candidates: usize,
    },
    /// A gate did not start a task.
    Refused {
        /// The task's index.
        index: u32,
        /// The gate.
        gate: MemberId,
        /// Reason of the refusal.
        reason: Refusal,
    },
    /// The outcome of a task at a gate is unknown.
    Lost {
        /// The task's index.
        index: u32,
        /// The gate.
        gate: MemberId,
    },
    /// The submission was taken over from a previous owner.
    Inherited,
}

/// Combined effect of all `tasks`.
pub fn effect(tasks: &[TaskState]) -> Effect {
    let has = |wanted| tasks.iter().any(|task| task.effect() == wanted);
    if has(Effect::Ran) {
        Effect::Ran
    } else if has(Effect::Unknown) {
        Effect::Unknown
    } else {
        Effect::NotRun
    }
}

impl SubmissionRecord {
    /// The answer, if it has ended.
    pub fn answer(&self) -> Option<&Answer> {
        match &self.progress {
            Progress::Ended { answer, .. } => Some(answer),
            _ => None,
        }
    }

    /// Tasks of an open submission, ended ones included; empty if it is not open.
    pub fn open_tasks(&self) -> &[TaskState] {
        match &self.progress {
            Progress::Open { tasks, .. } => tasks,
            _ => &[],
        }
    }

    /// Whether it has run, as far as known; recovered tasks may have run.
    pub fn effect(&self) -> Effect {
        match &self.progress {
            Progress::Open { tasks, .. } => effect(tasks),
            Progress::Ended { answer, .. } => answer.effect,
            Progress::Recovered { tasks } => match tasks.values().any(RecoveredTask::has_run) {
                true => Effect::Ran,
                false => Effect::Unknown,
            },
        }
    }

    /// Task indices with the gates that may still run them.
    pub fn gates(&self) -> Vec<(u32, MemberId)> {
        match &self.progress {
            Progress::Open { tasks, .. } => {
                let sent = (0u32..).zip(tasks);
                sent.filter_map(|(index, state)| Some((index, state.gate()?.clone())))
                    .collect()
            }
            Progress::Ended { .. } => Vec::new(),
            Progress::Recovered { tasks } => {
                let open = tasks.values().filter(|task| task.outcome.is_none());
                open.map(|task| (task.index, task.gate.clone())).collect()
            }
        }
    }

    /// A task of an open submission.
    pub fn open_task_mut(&mut self, index: u32) -> Option<&mut TaskState> {
        match &mut self.progress {
            Progress::Open { tasks, .. } => tasks.get_mut(index as usize),
            _ => None,
        }
    }

    /// Whether `call` may start it again: no task has run, and the call is new.
    pub fn can_reopen(&self, call: u64) -> bool {
        match &self.progress {
            Progress::Ended {
                answer,
                next_attempt,
            } => {
                let not_run = answer.effect == Effect::NotRun && *next_attempt != u32::MAX;
                not_run && !self.calls.contains(&call)
            }
            _ => false,
        }
    }

    /// Adds an entry that waits for the answer.
    pub fn add_waiter(&mut self, entry: &MemberId) {
        if !self.waiters.contains(entry) {
            self.waiters.push(entry.clone());
        }
    }

    /// Records a step, unless the limit is reached.
    pub fn record_step(&mut self, step: Step) {
        if self.steps.len() < MAX_STEPS {
            self.steps.push(step);
        }
    }

    /// First unused attempt number.
    pub fn next_attempt(&self) -> u32 {
        let attempts = self.open_tasks().iter().map(TaskState::attempt);
        attempts.max().map_or(0, |attempt| attempt + 1)
    }

    /// State as shown in operator tables.
    pub fn state_name(&self) -> &'static str {
        match &self.progress {
            Progress::Open { .. } => "open",
            Progress::Ended { answer, .. } => answer.code.name(),
            Progress::Recovered { .. } => "recovered",
        }
    }
}
