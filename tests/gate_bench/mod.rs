//! A gate with a simulated worker and entry, for tests of single decisions.

#![allow(dead_code)]

use slog::Logger;
use winghold::ephemeral::gate::{Gate, GateAction};
use winghold::ephemeral::job::{JobId, Priority, Resources, RunId};
use winghold::ephemeral::limits::Limits;
use winghold::ephemeral::message::{
    GateLoad, OpenRun, ProcessId, RunEnd, StartOrder, ToEntry, ToGate,
};
use winghold::ephemeral::session::SessionId;
use winghold::ephemeral::worker::{
    EndedRow, PollCall, PollReply, RunningRow, StartAnswer, StartReply, WorkerCallError, WorkerEnd,
    WorkerReport,
};
use winghold::ephemeral::worker_id::WorkerId;
use winghold::logging;
use winghold::time::Moment;

pub const ENTRY: SessionId = SessionId(1);
pub const MS: u64 = 1_000;
/// Fencing token that the gate chooses when the worker's clock reads 5,000 ms.
pub const FENCE: u64 = 5_001;

pub struct Bench {
    pub gate: Gate,
    pub now: Moment,
    pub actions: Vec<GateAction>,
    pub sent: u64,
    /// Whether ordered runs may be moved.
    pub movable: bool,
    /// Whether workers were lost under the tasks of ordered runs.
    pub implicated: bool,
    /// Whether the worker's speed is judged by the median of ordered runs.
    pub by_median: bool,
    /// Expected time of ordered runs.
    pub expected_us: u64,
    /// Label that ordered runs require.
    pub label: Option<String>,
}

pub fn resources(cpu_milli: u64) -> Resources {
    Resources {
        cpu_milli,
        memory_mb: 10,
        accelerators: 0,
    }
}

pub fn process(name: &str, incarnation: u64) -> ProcessId {
    ProcessId {
        name: name.into(),
        incarnation,
    }
}

pub fn run(job: u64) -> RunId {
    RunId {
        job: JobId(job),
        index: 0,
        run: 1,
    }
}

pub fn report(id: &str, leaving: bool, sequence: u64) -> WorkerReport {
    WorkerReport {
        id: id.into(),
        service: "s".into(),
        addr: "10.0.0.1:80".into(),
        leaving,
        leaves_in_ms: None,
        capacity: Resources {
            cpu_milli: 1_000,
            memory_mb: 1_000,
            accelerators: 0,
        },
        labels: Vec::new(),
        clock_ms: 5_000,
        sequence,
    }
}

impl Bench {
    /// A gate without a worker.
    pub fn without_worker() -> Bench {
        Bench::without_worker_with_log(logging::discard())
    }

    /// As `without_worker`; the gate logs to `log`.
    pub fn without_worker_with_log(log: Logger) -> Bench {
        let limits = Limits::new(
            std::time::Duration::from_millis(1_300),
            std::time::Duration::from_secs(1),
            std::time::Duration::from_millis(50),
        );
        let gate = Gate::new(process("g", 1), limits, log);
        let now = Moment {
            mono_us: 1_000_000,
            wall_ms: 0,
        };
        Bench {
            gate,
            now,
            actions: Vec::new(),
            sent: 0,
            movable: true,
            implicated: false,
            by_median: false,
            expected_us: 100 * MS,
            label: None,
        }
    }

    /// A gate that has found its worker but not received its list of runs.
    pub fn without_run_list() -> Bench {
        let mut bench = Bench::without_worker();
        bench.gate.worker_report(bench.now, report("w", false, 1));
        bench.collect();
        bench.answer_first_poll();
        bench
    }

    /// Answers the first poll, which only asks for the worker's clock.
    pub fn answer_first_poll(&mut self) {
        let poll = self.actions.iter().find_map(|action| match action {
            GateAction::Poll(call) => Some(call.clone()),
            _ => None,
        });
        let call = poll.expect("a poll");
        assert_eq!(call.fence, None);
        let reply = PollReply {
            clock_ms: FENCE - 1,
            ..PollReply::default()
        };
        let sent = self.now;
        self.gate.poll_answered(self.now, sent, &call, Ok(reply));
        self.collect();
    }

    /// A gate with an empty worker and a connected entry.
    pub fn ready() -> Bench {
        let mut bench = Bench::without_run_list();
        bench.list_runs(Vec::new(), Vec::new());
        bench.connect_entry(Vec::new());
        bench.actions.clear();
        bench
    }

    pub fn connect_entry(&mut self, open: Vec<OpenRun>) {
        let hello = ToGate::Hello {
            entry: process("e", 1),
            config: 0,
            open,
        };
        self.gate.handle_message(self.now, ENTRY, hello);
        self.gate.frame_received(self.now, ENTRY);
        self.collect();
    }

    pub fn collect(&mut self) {
        let actions = self.gate.take_actions(self.now);
        self.actions.extend(actions);
    }

    pub fn advance(&mut self, ms: u64) {
        self.now.mono_us += ms * MS;
        self.gate.tick(self.now);
        self.collect();
    }

    pub fn order(&mut self, run: RunId, cpu_milli: u64, patience_ms: u64) {
        self.order_as(Priority::NORMAL, run, cpu_milli, patience_ms);
    }

    pub fn order_as(&mut self, priority: Priority, run: RunId, cpu_milli: u64, patience_ms: u64) {
        let message = self.start_order_as(priority, run, cpu_milli, patience_ms);
        self.gate.handle_message(self.now, ENTRY, message);
        self.gate.frame_received(self.now, ENTRY);
        self.collect();
    }

    /// The next start order of an entry.
    pub fn start_order(&mut self, run: RunId, cpu_milli: u64, patience_ms: u64) -> ToGate {
        self.start_order_as(Priority::NORMAL, run, cpu_milli, patience_ms)
    }

    fn start_order_as(
        &mut self,
        priority: Priority,
        run: RunId,
        cpu_milli: u64,
        patience_ms: u64,
    ) -> ToGate {
        self.sent += 1;
        let order = StartOrder {
            run,
            payload: "p".into(),
            needs: resources(cpu_milli),
            patience_us: patience_ms * MS,
            priority,
            leaves_headroom: false,
            by_median: self.by_median,
            due_us: patience_ms * MS,
            expected_us: self.expected_us,
            movable: self.movable,
            implicated: self.implicated,
            number: self.sent,
            label: self.label.clone(),
        };
        ToGate::Start(Box::new(order))
    }

    pub fn answer_start(&mut self, run: RunId, answer: Result<StartReply, WorkerCallError>) {
        let answer = answer.map(|reply| StartAnswer {
            reply,
            clock_ms: Some(5_100),
        });
        let worker = self.worker();
        self.gate.start_answered(self.now, &worker, run, answer);
        self.collect();
    }

    pub fn answer_stop(&mut self, run: RunId, answer: Result<(), WorkerCallError>) {
        let worker = self.worker();
        self.gate.stop_answered(self.now, &worker, run, answer);
        self.collect();
    }

    /// A poll of the gate's worker.
    pub fn poll_call(&self) -> PollCall {
        PollCall {
            worker: Some("w".into()),
            fence: Some(FENCE),
            lease_until_ms: None,
            acked_end: 0,
            wait_ms: 200,
            timeout: std::time::Duration::from_millis(25),
            retry_delay: std::time::Duration::from_millis(20),
            check: false,
        }
    }

    /// Answers a poll with running and ended runs.
    pub fn list_runs(&mut self, running: Vec<(RunId, u32)>, ended: Vec<(u64, RunId, WorkerEnd)>) {
        let call = self.poll_call();
        let running = running
            .into_iter()
            .map(|(run, percent)| RunningRow { run, percent });
        let ended = ended
            .into_iter()
            .map(|(number, run, end)| EndedRow { number, run, end });
        let reply = PollReply {
            born_ms: None,
            clock_ms: 5_000,
            fenced: false,
            running: running.collect(),
            ended: ended.collect(),
        };
        let sent = self.now;
        self.gate.poll_answered(self.now, sent, &call, Ok(reply));
        self.collect();
    }

    /// Answers a poll with the error that another incarnation of the worker is present.
    pub fn answer_other_incarnation(&mut self) {
        let call = PollCall {
            worker: Some(self.worker()),
            fence: None,
            lease_until_ms: None,
            acked_end: 0,
            wait_ms: 0,
            timeout: std::time::Duration::from_millis(25),
            retry_delay: std::time::Duration::from_millis(20),
            check: true,
        };
        let answer = Err(WorkerCallError::OtherIncarnation);
        let sent = self.now;
        self.gate.poll_answered(self.now, sent, &call, answer);
        self.advance(20);
    }

    /// The id of the worker that gets the orders.
    pub fn worker(&self) -> WorkerId {
        let workers = self.actions.iter().filter_map(|action| match action {
            GateAction::SetWorker(worker) => Some(worker.traits.id.clone()),
            _ => None,
        });
        workers.last().unwrap_or_else(|| "w".into())
    }

    pub fn ordered(&self) -> Vec<RunId> {
        let starts = self.actions.iter().filter_map(|action| match action {
            GateAction::Start(call) => Some(call.run),
            _ => None,
        });
        starts.collect()
    }

    pub fn stops(&self) -> Vec<RunId> {
        let stops = self.actions.iter().filter_map(|action| match action {
            GateAction::Stop(call) => Some(call.run),
            _ => None,
        });
        stops.collect()
    }

    pub fn last_load(&self) -> GateLoad {
        let loads = self.actions.iter().filter_map(|action| match action {
            GateAction::Send {
                message: ToEntry::Load(load),
                ..
            } => Some(load.clone()),
            _ => None,
        });
        loads.last().expect("a load")
    }

    pub fn ends(&self) -> Vec<(RunId, RunEnd)> {
        let ends = self.actions.iter().filter_map(|action| match action {
            GateAction::Send {
                message: ToEntry::Ended { run, end, .. },
                ..
            } => Some((*run, *end)),
            _ => None,
        });
        ends.collect()
    }
}
