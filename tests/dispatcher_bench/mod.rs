//! A dispatcher with simulated gates, for tests of single decisions.

#![allow(dead_code)]

use std::sync::Arc;

use slog::Logger;
use winghold::code::ResultCode;
use winghold::ephemeral::directory::GateRecord;
use winghold::ephemeral::dispatcher::{DispatchAction, Dispatcher, WaiterId};
use winghold::ephemeral::job::{Constraints, JobId, JobSpec, Resources, RunId};
use winghold::ephemeral::limits::Limits;
use winghold::ephemeral::message::{
    GateLoad, ProcessId, QueueLoad, RunEnd, ToEntry, ToGate, WorkerTraits,
};
use winghold::ephemeral::routes::Route;
use winghold::ephemeral::session::SessionId;
use winghold::logging;
use winghold::message::Answer;
use winghold::time::Moment;

pub const MS: u64 = 1_000;

pub struct Bench {
    pub dispatcher: Dispatcher,
    pub now: Moment,
    pub starts: Vec<(SessionId, RunId)>,
    pub stops: Vec<RunId>,
    pub answers: Vec<(WaiterId, Answer)>,
    pub actions: Vec<DispatchAction>,
    /// Whether gates register all jobs at once.
    pub answers_registrations: bool,
}

pub fn cpu(cpu_milli: u64) -> Resources {
    Resources {
        cpu_milli,
        memory_mb: 10,
        accelerators: 0,
    }
}

pub fn route(priority: u8) -> Arc<Route> {
    Arc::new(Route {
        name: "r".into(),
        host: "h".into(),
        path_prefix: "/".into(),
        service: "s".into(),
        priority,
        attempts: 2,
        timeout_us: 1_500 * MS,
        stretch: 1.6,
        slack_us: 60 * MS,
    })
}

pub fn job(id: u64, count: u32) -> JobSpec {
    JobSpec {
        id: JobId(id),
        payload: "p".into(),
        count,
        needs: cpu(500),
        estimate_us: 100 * MS,
        constraints: Constraints::default(),
    }
}

pub fn load(free_milli: u64, wait_us: u64) -> GateLoad {
    let queue = QueueLoad {
        wait_us,
        ..QueueLoad::default()
    };
    GateLoad {
        worker: Some(Arc::new(WorkerTraits {
            id: "w".into(),
            service: "s".into(),
            capacity: Resources {
                cpu_milli: 1_000,
                memory_mb: 1_000,
                accelerators: 0,
            },
            largest: Resources::default(),
            labels: vec!["a".into(), "rack-1".into()],
        })),
        free: cpu(free_milli),
        queues: vec![queue],
        mean_run_us: 100 * MS,
        slowness_percent: 100,
        ..GateLoad::default()
    }
}

/// The load of a full gate that has received all orders.
pub fn full(wait_us: u64) -> GateLoad {
    GateLoad {
        seen: u64::MAX,
        ..load(0, wait_us)
    }
}

impl Bench {
    /// A dispatcher with `gates` connected gates of 1,000 millicores.
    pub fn new(gates: u64) -> Bench {
        Bench::with_log(gates, logging::discard())
    }

    /// As `new`; the dispatcher logs to `log`.
    pub fn with_log(gates: u64, log: Logger) -> Bench {
        let limits = Limits::new(
            std::time::Duration::from_millis(1_300),
            std::time::Duration::from_secs(1),
            std::time::Duration::from_millis(50),
        );
        let me = ProcessId {
            name: "e".into(),
            incarnation: 1,
        };
        let mut bench = Bench {
            dispatcher: Dispatcher::new(me, limits, log),
            now: Moment {
                mono_us: 1_000_000,
                wall_ms: 0,
            },
            starts: Vec::new(),
            stops: Vec::new(),
            answers: Vec::new(),
            actions: Vec::new(),
            answers_registrations: true,
        };
        for gate in 1..=gates {
            bench.connect(gate);
            bench.load(gate, load(1_000, 0));
        }
        bench
    }

    pub fn connect(&mut self, gate: u64) {
        let name: Arc<str> = format!("g{gate}").into();
        let session = SessionId(gate);
        self.dispatcher.connected(self.now, &name, session);
        let gate = ProcessId {
            name,
            incarnation: 1,
        };
        let hello = ToEntry::Hello { gate, config: 0 };
        self.deliver(session.0, hello);
    }

    /// Passes the records of the first gates to the dispatcher, which then registers jobs.
    pub fn publish_gates(&mut self, gates: u64) {
        let record = |gate| GateRecord {
            gate: format!("g{gate}").into(),
            addr: ([127, 0, 0, 1], 1).into(),
            worker: None,
            losses: Vec::new(),
        };
        let records: Vec<GateRecord> = (1..=gates).map(record).collect();
        self.dispatcher.update_gates(self.now, &records.into());
        self.advance(0);
    }

    pub fn load(&mut self, gate: u64, load: GateLoad) {
        self.deliver(gate, ToEntry::Load(load));
    }

    pub fn deliver(&mut self, gate: u64, message: ToEntry) {
        let session = SessionId(gate);
        self.dispatcher.frame_received(self.now, session);
        self.dispatcher.handle_message(self.now, session, message);
        self.collect();
    }

    pub fn end_run(&mut self, start: (SessionId, RunId), end: RunEnd) {
        let run_us = 100 * MS;
        let run = start.1;
        self.deliver(start.0.0, ToEntry::Ended { run, end, run_us });
    }

    pub fn submit(&mut self, waiter: u64, spec: JobSpec, priority: u8) {
        self.submit_with_timeout(2_000, waiter, spec, priority);
    }

    /// Submits a job whose caller waits for `wait_ms`.
    pub fn submit_with_timeout(&mut self, wait_ms: u64, waiter: u64, spec: JobSpec, priority: u8) {
        let wait_us = wait_ms * MS;
        let waiter = WaiterId(waiter);
        self.dispatcher
            .submit(self.now, waiter, spec, route(priority), wait_us);
        self.collect();
    }

    pub fn advance(&mut self, ms: u64) {
        self.now.mono_us += ms * MS;
        self.dispatcher.tick(self.now);
        self.collect();
    }

    /// Advances the time while frames keep coming from all gates.
    pub fn advance_connected(&mut self, ms: u64) {
        for _ in 0..ms / 100 {
            for gate in 1..=9 {
                self.dispatcher.frame_received(self.now, SessionId(gate));
            }
            self.advance(100);
        }
    }

    pub fn collect(&mut self) {
        let mut registered = Vec::new();
        for action in self.dispatcher.take_actions(self.now) {
            match &action {
                DispatchAction::Send { session, message } => match message {
                    ToGate::Start(order) => self.starts.push((*session, order.run)),
                    ToGate::Stop { run } => self.stops.push(*run),
                    ToGate::Register { job, confirmed, .. } if !confirmed => {
                        registered.push((session.0, *job));
                    }
                    _ => {}
                },
                DispatchAction::Reply { waiter, answer } => {
                    self.answers.push((*waiter, answer.clone()));
                }
                _ => {}
            }
            self.actions.push(action);
        }
        if self.answers_registrations {
            for (session, job) in registered {
                self.deliver(session, ToEntry::Registered { job });
            }
        }
    }

    pub fn codes(&self) -> Vec<ResultCode> {
        self.answers.iter().map(|(_, answer)| answer.code).collect()
    }
}
