//! Faults of a run: when each begins and ends, and what it does.

use std::time::Duration;

use http::Method;
use serde_json::json;

use crate::bench::caller::Callers;
use crate::bench::history::{ConfigAccepted, ConfigSeen, History, Leave};
use crate::client::EntryClient;
use crate::error::Result;
use crate::local::LocalFleet;
use crate::standin::store::StoreFaults;
use crate::standin::target::TargetFaults;
use crate::time::micros;

/// Agent that faults fall on.
const VICTIM: usize = 1;
/// A second one, for pairs of the same sort.
const OTHER_VICTIM: usize = 4;
/// Entry that faults fall on.
const ENTRY: usize = 1;
/// How long a paused agent does nothing; longer than its lease.
const PAUSE: Duration = Duration::from_secs(5);
/// How often revisions are looked at.
const LOOK: Duration = Duration::from_millis(500);
/// Share of open submissions that a wave cancels.
const WAVE_PERCENT: usize = 30;
/// How much slower a straggler is.
const SLOWDOWN: f64 = 8.0;

macro_rules! faults {
    ($($(#[doc = $doc:literal])* $variant:ident = $name:literal,)*) => {
        /// A fault.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum Fault {
            $($(#[doc = $doc])* $variant,)*
        }

        impl Fault {
            /// Every fault.
            pub const ALL: &'static [Fault] = &[$(Fault::$variant,)*];

            /// Its name on the command line.
            pub fn name(self) -> &'static str {
                match self { $(Fault::$variant => $name,)* }
            }
        }
    };
}

faults! {
    /// A target stops answering and takes no connection.
    WorkerDies = "worker-dies",
    /// An agent is killed; a new one starts later.
    AgentDies = "agent-dies",
    /// An entry is killed; a new one starts later.
    EntryDies = "entry-dies",
    /// The store answers nothing.
    StoreDown = "store-down",
    /// The store takes long.
    StoreSlow = "store-slow",
    /// Some writes take effect and are not answered.
    AnswersLost = "answers-lost",
    /// An agent does nothing for longer than its lease.
    Pause = "pause",
    /// An operator drains a target.
    Drain = "drain",
    /// An agent is told to stop.
    AgentStops = "agent-stops",
    /// An entry is told to stop.
    EntryStops = "entry-stops",
    /// A target becomes slow.
    Straggler = "straggler",
    /// A target fails every task.
    FailEverything = "fail-everything",
    /// Callers cancel much at once.
    CancelWave = "cancel-wave",
    /// Operators change the configuration, two at once.
    OperatorRace = "operator-race",
}

impl Fault {
    /// The fault named `name`.
    pub fn from_name(name: &str) -> Option<Fault> {
        Fault::ALL
            .iter()
            .copied()
            .find(|fault| fault.name() == name)
    }

    /// Whether it is planned, so that it may cut nothing.
    pub fn is_planned(self) -> bool {
        matches!(
            self,
            Fault::Drain | Fault::AgentStops | Fault::EntryStops | Fault::OperatorRace
        )
    }
}

/// The faults of one run.
pub struct Faults {
    faults: Vec<Fault>,
    length: Duration,
    document: String,
}

impl Faults {
    /// Faults that begin after a third of `length` and end after two.
    pub fn new(faults: Vec<Fault>, length: Duration, document: &str) -> Faults {
        Faults {
            faults,
            length,
            document: document.to_string(),
        }
    }

    /// Lets them happen.
    pub async fn run(
        &mut self,
        fleet: &mut LocalFleet,
        callers: &Callers,
        history: &History,
    ) -> Result<()> {
        let planned = self.faults.iter().all(|fault| fault.is_planned());
        history.set_only_planned(planned);
        let third = self.length / 3;
        self.watch_until(fleet, history, third).await;
        for index in 0..self.faults.len() {
            self.begin(index, fleet, callers, history).await?;
        }
        self.watch_until(fleet, history, third).await;
        for index in 0..self.faults.len() {
            self.end(index, fleet, history).await?;
        }
        self.watch_until(fleet, history, third).await;
        Ok(())
    }

    /// Notes revisions in force for `span`.
    async fn watch_until(&self, fleet: &LocalFleet, history: &History, span: Duration) {
        let until_us = fleet.timer.now().after(span);
        while fleet.timer.now().mono_us < until_us {
            let left = fleet.timer.now().left(until_us);
            fleet.timer.sleep(left.min(LOOK)).await;
            let at_us = fleet.timer.now().mono_us;
            for host in fleet.hosts() {
                history.saw(ConfigSeen {
                    process: host.run_name(),
                    revision: host.message_counters.config_revision(),
                    at_us,
                });
            }
        }
    }

    /// The victim of the fault at `index`: two faults of one run fall on
    /// different agents.
    fn victim(index: usize) -> usize {
        if index == 0 { VICTIM } else { OTHER_VICTIM }
    }

    async fn begin(
        &self,
        index: usize,
        fleet: &mut LocalFleet,
        callers: &Callers,
        history: &History,
    ) -> Result<()> {
        let victim = Faults::victim(index);
        match self.faults[index] {
            Fault::WorkerDies => target_faults(fleet, victim, |faults| faults.dead = true),
            Fault::AgentDies => fleet.agents[victim].host.kill(),
            Fault::EntryDies => fleet.entries[ENTRY].kill(),
            Fault::StoreDown => store_faults(fleet, |faults| faults.down = true),
            Fault::StoreSlow => store_faults(fleet, |faults| faults.slow_ms = 300),
            Fault::AnswersLost => store_faults(fleet, |faults| faults.lose_answers_percent = 50),
            Fault::Pause => fleet.agents[victim].host.freeze(PAUSE),
            Fault::Drain => drain(fleet, victim, history, true).await?,
            Fault::AgentStops => {
                note_leave(fleet, victim, history, self.length / 3);
                fleet.agents[victim].host.stop();
            }
            Fault::EntryStops => fleet.entries[ENTRY].stop(),
            Fault::Straggler => {
                target_faults(fleet, victim, |faults| faults.slowdown = SLOWDOWN);
            }
            Fault::FailEverything => {
                target_faults(fleet, victim, |faults| faults.fails_everything = true);
            }
            Fault::CancelWave => callers.cancel_some(WAVE_PERCENT).await,
            Fault::OperatorRace => self.race(fleet, history).await?,
        }
        Ok(())
    }

    async fn end(&self, index: usize, fleet: &mut LocalFleet, history: &History) -> Result<()> {
        let victim = Faults::victim(index);
        match self.faults[index] {
            Fault::WorkerDies | Fault::Straggler | Fault::FailEverything => {
                target_faults(fleet, victim, |faults| *faults = TargetFaults::default());
            }
            Fault::AgentDies => fleet.restart_agent(victim)?,
            Fault::AgentStops if fleet.agents[victim].host.has_ended() => {
                fleet.restart_agent(victim)?;
            }
            Fault::EntryDies => fleet.restart_entry(ENTRY)?,
            Fault::EntryStops if fleet.entries[ENTRY].has_ended() => fleet.restart_entry(ENTRY)?,
            Fault::StoreDown => store_faults(fleet, |faults| faults.down = false),
            Fault::StoreSlow => store_faults(fleet, |faults| faults.slow_ms = 0),
            Fault::AnswersLost => store_faults(fleet, |faults| faults.lose_answers_percent = 0),
            Fault::Drain => drain(fleet, victim, history, false).await?,
            _ => {}
        }
        Ok(())
    }

    /// Two operators change the same revision; one of them must win.
    async fn race(&self, fleet: &LocalFleet, history: &History) -> Result<()> {
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
        let [one, two] = [("ana", &clients[0]), ("luis", &clients[1])]
            .map(|(who, client)| client.call(Method::PUT, path, &[], body(who)));
        let (one, two) = tokio::join!(one, two);
        for reply in [one, two]
            .into_iter()
            .flatten()
            .filter(|reply| reply.status == 200)
        {
            history.accepted(ConfigAccepted {
                revision: reply.json()["revision"].as_u64().unwrap_or(0),
                at_us: fleet.timer.now().mono_us,
            });
        }
        Ok(())
    }
}

fn store_faults(fleet: &LocalFleet, change: impl FnOnce(&mut StoreFaults)) {
    let mut faults = fleet.store.faults();
    change(&mut faults);
    fleet.store.set_faults(faults);
}

fn target_faults(fleet: &LocalFleet, victim: usize, change: impl FnOnce(&mut TargetFaults)) {
    let mut faults = TargetFaults::default();
    change(&mut faults);
    fleet.agents[victim].target.set_faults(faults);
}

fn note_leave(fleet: &LocalFleet, victim: usize, history: &History, span: Duration) {
    let now = fleet.timer.now();
    history.left(Leave {
        target: fleet.agents[victim].host.name.clone(),
        at_us: now.mono_us,
        until_us: now.mono_us + micros(span),
    });
}

async fn drain(fleet: &LocalFleet, victim: usize, history: &History, drained: bool) -> Result<()> {
    let target = fleet.agents[victim].host.name.clone();
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
    history.accepted(ConfigAccepted { revision, at_us });
    if drained {
        history.left(Leave {
            target,
            at_us,
            until_us: u64::MAX,
        });
    } else {
        history.returned(&target, at_us);
    }
    Ok(())
}
