//! Injects faults into a local fleet during a bench run.

use std::time::Duration;

use http::Method;
use serde_json::json;

use crate::bench::caller::Callers;
use crate::bench::history::{ConfigChange, ConfigObservation, Departure, History};
use crate::client::EntryClient;
use crate::error::Result;
use crate::local::LocalFleet;
use crate::standin::store::StoreFaults;
use crate::standin::target::TargetFaults;
use crate::time::micros;

/// Index of the agent that the first fault affects.
const FIRST_AGENT: usize = 1;
/// Index of the agent that further faults affect.
const SECOND_AGENT: usize = 4;
/// Index of the entry that faults affect.
const ENTRY: usize = 1;
/// Duration of an agent's pause; longer than its lease.
const PAUSE_DURATION: Duration = Duration::from_secs(5);
/// Interval at which configuration revisions are recorded.
const OBSERVATION_INTERVAL: Duration = Duration::from_millis(500);
/// Percentage of open submissions that are cancelled.
const CANCEL_PERCENT: usize = 30;
/// Slowdown factor of a straggler.
const STRAGGLER_SLOWDOWN: f64 = 8.0;

macro_rules! faults {
    ($($(#[doc = $doc:literal])* $variant:ident = $name:literal,)*) => {
        /// A fault that a bench can inject.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum Fault {
            $($(#[doc = $doc])* $variant,)*
        }

        impl Fault {
            /// All faults.
            pub const ALL: &'static [Fault] = &[$(Fault::$variant,)*];

            /// Name on the command line.
            pub fn name(self) -> &'static str {
                match self { $(Fault::$variant => $name,)* }
            }
        }
    };
}

faults! {
    /// A target stops answering and accepts no connections.
    WorkerDies = "worker-dies",
    /// An agent is killed and later restarted.
    AgentDies = "agent-dies",
    /// An entry is killed and later restarted.
    EntryDies = "entry-dies",
    /// The store does not answer.
    StoreDown = "store-down",
    /// The store answers slowly.
    StoreSlow = "store-slow",
    /// Some writes take effect but are not answered.
    AnswersLost = "answers-lost",
    /// An agent is paused for longer than its lease.
    Pause = "pause",
    /// An operator drains a target.
    Drain = "drain",
    /// An agent is shut down.
    AgentStops = "agent-stops",
    /// An entry is shut down.
    EntryStops = "entry-stops",
    /// A target becomes slow.
    Straggler = "straggler",
    /// A target fails every task.
    FailEverything = "fail-everything",
    /// Callers cancel many submissions at the same time.
    CancelWave = "cancel-wave",
    /// Two operators change the configuration at the same time.
    OperatorRace = "operator-race",
}

impl Fault {
    /// Finds a fault by its command-line name.
    pub fn from_name(name: &str) -> Option<Fault> {
        Fault::ALL
            .iter()
            .copied()
            .find(|fault| fault.name() == name)
    }

    /// Whether the fault is a planned operation, which must not interrupt submissions.
    pub fn is_planned(self) -> bool {
        matches!(
            self,
            Fault::Drain | Fault::AgentStops | Fault::EntryStops | Fault::OperatorRace
        )
    }
}

/// Faults of a run.
pub struct Faults {
    faults: Vec<Fault>,
    length: Duration,
    document: String,
}

impl Faults {
    /// Creates faults that last from one third to two thirds of `length`.
    pub fn new(faults: Vec<Fault>, length: Duration, document: &str) -> Faults {
        Faults {
            faults,
            length,
            document: document.to_string(),
        }
    }

    /// Injects the faults and records configuration revisions.
    pub async fn run(
        &mut self,
        fleet: &mut LocalFleet,
        callers: &Callers,
        history: &History,
    ) -> Result<()> {
        let planned = self.faults.iter().all(|fault| fault.is_planned());
        history.set_only_planned_faults(planned);
        let third = self.length / 3;
        self.observe_revisions(fleet, history, third).await;
        for index in 0..self.faults.len() {
            self.begin(index, fleet, callers, history).await?;
        }
        self.observe_revisions(fleet, history, third).await;
        for index in 0..self.faults.len() {
            self.end(index, fleet, history).await?;
        }
        self.observe_revisions(fleet, history, third).await;
        Ok(())
    }

    /// Records the configuration revisions of all processes for `span`.
    async fn observe_revisions(&self, fleet: &LocalFleet, history: &History, span: Duration) {
        let until_us = fleet.timer.now().after(span);
        while fleet.timer.now().mono_us < until_us {
            let left = fleet.timer.now().remaining(until_us);
            fleet.timer.sleep(left.min(OBSERVATION_INTERVAL)).await;
            let at_us = fleet.timer.now().mono_us;
            for host in fleet.hosts() {
                history.record_observation(ConfigObservation {
                    process: host.run_name(),
                    revision: host.message_counters.config_revision(),
                    at_us,
                });
            }
        }
    }

    /// Index of the agent that the fault at `index` affects.
    fn affected_agent(index: usize) -> usize {
        if index == 0 {
            FIRST_AGENT
        } else {
            SECOND_AGENT
        }
    }

    async fn begin(
        &self,
        index: usize,
        fleet: &mut LocalFleet,
        callers: &Callers,
        history: &History,
    ) -> Result<()> {
        let agent = Faults::affected_agent(index);
        match self.faults[index] {
            Fault::WorkerDies => set_target_faults(fleet, agent, |faults| faults.dead = true),
            Fault::AgentDies => fleet.agents[agent].host.kill(),
            Fault::EntryDies => fleet.entries[ENTRY].kill(),
            Fault::StoreDown => change_store_faults(fleet, |faults| faults.down = true),
            Fault::StoreSlow => change_store_faults(fleet, |faults| faults.slow_ms = 300),
            Fault::AnswersLost => {
                change_store_faults(fleet, |faults| faults.lose_answers_percent = 50)
            }
            Fault::Pause => fleet.agents[agent].host.freeze(PAUSE_DURATION),
            Fault::Drain => set_drained(fleet, agent, history, true).await?,
            Fault::AgentStops => {
                record_departure(fleet, agent, history, self.length / 3);
                fleet.agents[agent].host.stop();
            }
            Fault::EntryStops => fleet.entries[ENTRY].stop(),
            Fault::Straggler => {
                set_target_faults(fleet, agent, |faults| faults.slowdown = STRAGGLER_SLOWDOWN);
            }
            Fault::FailEverything => {
                set_target_faults(fleet, agent, |faults| faults.fails_everything = true);
            }
            Fault::CancelWave => callers.cancel_some(CANCEL_PERCENT).await,
            Fault::OperatorRace => self.race_config_changes(fleet, history).await?,
        }
        Ok(())
    }

    async fn end(&self, index: usize, fleet: &mut LocalFleet, history: &History) -> Result<()> {
        let agent = Faults::affected_agent(index);
        match self.faults[index] {
            Fault::WorkerDies | Fault::Straggler | Fault::FailEverything => {
                set_target_faults(fleet, agent, |faults| *faults = TargetFaults::default());
            }
            Fault::AgentDies => fleet.restart_agent(agent)?,
            Fault::AgentStops if fleet.agents[agent].host.has_ended() => {
                fleet.restart_agent(agent)?;
            }
            Fault::EntryDies => fleet.restart_entry(ENTRY)?,
            Fault::EntryStops if fleet.entries[ENTRY].has_ended() => fleet.restart_entry(ENTRY)?,
            Fault::StoreDown => change_store_faults(fleet, |faults| faults.down = false),
            Fault::StoreSlow => change_store_faults(fleet, |faults| faults.slow_ms = 0),
            Fault::AnswersLost => {
                change_store_faults(fleet, |faults| faults.lose_answers_percent = 0)
            }
            Fault::Drain => set_drained(fleet, agent, history, false).await?,
            _ => {}
        }
        Ok(())
    }

    /// Two operators change the same revision concurrently; only one may succeed.
    async fn race_config_changes(&self, fleet: &LocalFleet, history: &History) -> Result<()> {
        let clients = [0, 2].map(|index| EntryClient::new(fleet.entries[index].addr));
        let read = clients[0]
            .call(Method::GET, "/v1/operator/config", &[], "")
            .await?;
        let base = read.json()["revision"].as_u64().unwrap_or(0);
        let body = |who: &str| {
            let document = format!("{}\n# changed by {who}\n", self.document);
            let change_id = format!("race-{who}");
            json!({ "base": base, "document": document, "who": who, "change_id": change_id })
                .to_string()
        };
        let path = "/v1/operator/config";
        let [first, second] = [("ana", &clients[0]), ("luis", &clients[1])]
            .map(|(who, client)| client.call(Method::PUT, path, &[], body(who)));
        let (first, second) = tokio::join!(first, second);
        for reply in [first, second]
            .into_iter()
            .flatten()
            .filter(|reply| reply.status == 200)
        {
            history.record_change(ConfigChange {
                revision: reply.json()["revision"].as_u64().unwrap_or(0),
                at_us: fleet.timer.now().mono_us,
            });
        }
        Ok(())
    }
}

fn change_store_faults(fleet: &LocalFleet, change: impl FnOnce(&mut StoreFaults)) {
    let mut faults = fleet.store.faults();
    change(&mut faults);
    fleet.store.set_faults(faults);
}

fn set_target_faults(fleet: &LocalFleet, agent: usize, change: impl FnOnce(&mut TargetFaults)) {
    let mut faults = TargetFaults::default();
    change(&mut faults);
    fleet.agents[agent].target.set_faults(faults);
}

fn record_departure(fleet: &LocalFleet, agent: usize, history: &History, span: Duration) {
    let now = fleet.timer.now();
    history.record_departure(Departure {
        target: fleet.agents[agent].host.name.clone(),
        at_us: now.mono_us,
        until_us: now.mono_us + micros(span),
    });
}

async fn set_drained(
    fleet: &LocalFleet,
    agent: usize,
    history: &History,
    drained: bool,
) -> Result<()> {
    let target = fleet.agents[agent].host.name.clone();
    let verb = if drained { "drain" } else { "undrain" };
    let path = format!("/v1/operator/targets/{target}/{verb}");
    let change_id = format!("{verb}-{target}-{}", fleet.timer.now().wall_ms);
    let body = json!({ "who": "bench", "change_id": change_id }).to_string();
    let client = EntryClient::new(fleet.entries[0].addr);
    let reply = client.call(Method::POST, &path, &[], body).await?;
    if reply.status != 200 {
        return Ok(());
    }
    let at_us = fleet.timer.now().mono_us;
    let revision = reply.json()["revision"].as_u64().unwrap_or(0);
    history.record_change(ConfigChange { revision, at_us });
    if drained {
        history.record_departure(Departure {
            target,
            at_us,
            until_us: u64::MAX,
        });
    } else {
        history.record_return(&target, at_us);
    }
    Ok(())
}
