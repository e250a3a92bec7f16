//! Runs a whole fleet in one process: stand-in store, targets, agents and entries.
//!
//! Each process of the fleet runs in a thread with its own runtime and communicates over
//! loopback, so it can be stopped, killed or frozen like a separate process.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, channel};
use std::time::Duration;

use http::Method;
use slog::Logger;
use tokio::net::TcpListener;
use tokio::sync::oneshot;

use crate::agent::{Agent, AgentParts};
use crate::client::EntryClient;
use crate::config::Config;
use crate::config_store::{ConfigStore, Edit, Proposal};
use crate::entry::{Entry, EntryParts};
use crate::error::{Error, Result};
use crate::host::{Host, Ready};
use crate::id::MemberId;
use crate::link::{LinkDelay, NoDelay};
use crate::metrics::Metrics;
use crate::node::MessageCounts;
use crate::settings::{AgentSettings, EntrySettings, LogLevel, Process};
use crate::standin::store::{StandInStore, StoreRates};
use crate::standin::target::{StandInTarget, StartLog};
use crate::store::Store;
use crate::store_client::StoreClient;
use crate::time::Timer;
use crate::worker::HttpWorker;

/// Interval of the readiness checks of a starting fleet.
const READY_POLL: Duration = Duration::from_millis(50);
/// Workers per rack.
const WORKERS_PER_RACK: usize = 3;

/// Options of a local fleet.
#[derive(Clone, Debug)]
pub struct LocalOptions {
    /// Number of targets per service.
    pub targets: usize,
    /// Slots per target.
    pub slots: u32,
    /// Number of entries.
    pub entries: usize,
    /// One-way delay between failure domains.
    pub domain_delay: Duration,
    /// HTTP address of the first entry; the others use free ports.
    pub http_listen: SocketAddr,
    /// Rate limits of the store.
    pub rates: StoreRates,
    /// Seed of the agents' random choices.
    pub seed: u64,
}

impl Default for LocalOptions {
    fn default() -> LocalOptions {
        LocalOptions {
            targets: 11,
            slots: 8,
            entries: 2,
            domain_delay: Duration::ZERO,
            http_listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            rates: StoreRates::default(),
            seed: 1,
        }
    }
}

/// Link delay between processes of different failure domains.
struct DomainDelay {
    own_domain: String,
    domains: Arc<HashMap<String, String>>,
    delay: Duration,
}

impl LinkDelay for DomainDelay {
    fn delay(&self, from: &MemberId) -> Duration {
        match self.domains.get(&*from.name) {
            Some(domain) if *domain != self.own_domain => self.delay,
            _ => Duration::ZERO,
        }
    }
}

/// An agent and its target.
pub struct LocalAgent {
    /// The agent process.
    pub host: Host,
    /// Its target.
    pub target: StandInTarget,
    settings: AgentSettings,
}

/// Fleet that runs in this process.
pub struct LocalFleet {
    /// The store.
    pub store: StandInStore,
    /// The agents with their targets.
    pub agents: Vec<LocalAgent>,
    /// The entries.
    pub entries: Vec<Host>,
    /// Log of the starts at all targets.
    pub starts: Arc<StartLog>,
    /// Clock of the fleet.
    pub timer: Timer,
    ended_messages: MessageCounts,
    store_addr: SocketAddr,
    options: LocalOptions,
    domains: Arc<HashMap<String, String>>,
    log: Logger,
    _stand_ins: StandInThread,
}

/// Thread of the stand-ins, which ends when this is dropped.
struct StandInThread {
    _stop: oneshot::Sender<()>,
}

impl LocalFleet {
    /// Starts a fleet with the configuration `document`.
    pub fn start(document: &str, options: LocalOptions, log: Logger) -> Result<LocalFleet> {
        let config = Config::from_yaml(document)?;
        let timer = Timer::start();
        let store = StandInStore::new(timer.clone(), options.rates);
        let starts = Arc::new(StartLog::default());
        let plans = plan_agents(&config, &options);
        let targets: Vec<StandInTarget> = plans
            .iter()
            .map(|plan| StandInTarget::new(&plan.name, timer.clone(), starts.clone()))
            .collect();
        let (stand_ins, addrs) = start_stand_ins(store.clone(), targets.clone(), document)?;
        let StandInAddrs {
            store_addr,
            target_addrs,
        } = receive_addrs(&addrs)?;
        let domains = domains_by_process(&config, &plans, &options);
        let mut local = LocalFleet {
            store,
            agents: Vec::new(),
            entries: Vec::new(),
            starts,
            timer,
            ended_messages: MessageCounts::default(),
            store_addr,
            options,
            domains: Arc::new(domains),
            log,
            _stand_ins: stand_ins,
        };
        for ((plan, target), addr) in plans.iter().zip(targets).zip(target_addrs) {
            local.add_agent(plan, target, addr)?;
        }
        local.add_entries()?;
        Ok(local)
    }

    fn add_agent(
        &mut self,
        plan: &AgentPlan,
        target: StandInTarget,
        addr: SocketAddr,
    ) -> Result<()> {
        let mut settings = self.agent_settings(&plan.name, &plan.service);
        settings.process.rack = plan.rack.clone();
        settings.target = addr;
        settings.accelerators = plan.accelerators;
        let host = self.start_agent(&settings)?;
        self.agents.push(LocalAgent {
            host,
            target,
            settings,
        });
        Ok(())
    }

    /// The running processes.
    pub fn hosts(&self) -> impl Iterator<Item = &Host> {
        let agents = self.agents.iter().map(|agent| &agent.host);
        agents.chain(&self.entries).filter(|host| !host.has_ended())
    }

    /// Message counts of all processes, including ended ones.
    pub fn messages(&self) -> MessageCounts {
        let agents = self.agents.iter().map(|agent| &agent.host);
        let running = agents
            .chain(&self.entries)
            .map(|host| host.message_counters.read());
        running.fold(self.ended_messages, MessageCounts::plus)
    }

    /// Restarts an agent whose process has ended.
    pub fn restart_agent(&mut self, index: usize) -> Result<()> {
        let settings = self.agents[index].settings.clone();
        self.ended_messages = self
            .ended_messages
            .plus(self.agents[index].host.message_counters.read());
        self.agents[index].host = self.start_agent(&settings)?;
        Ok(())
    }

    fn process(&self, name: &str) -> Process {
        Process {
            name: name.to_string(),
            failure_domain: self.domains.get(name).cloned().unwrap_or_default(),
            rack: String::new(),
            peer_listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            store: self.store_addr,
            seeds: Vec::new(),
            log: LogLevel::Warning,
            metrics: None,
            stop_ms: 30_000,
        }
    }

    fn link_delay(&self, name: &str) -> Arc<dyn LinkDelay> {
        if self.options.domain_delay.is_zero() {
            return Arc::new(NoDelay);
        }
        Arc::new(DomainDelay {
            own_domain: self.domains.get(name).cloned().unwrap_or_default(),
            domains: self.domains.clone(),
            delay: self.options.domain_delay,
        })
    }

    fn start_agent(&self, settings: &AgentSettings) -> Result<Host> {
        let name = settings.process.name.clone();
        let settings = settings.clone();
        let (timer, log) = (self.timer.clone(), self.log.clone());
        let link_delay = self.link_delay(&name);
        let seed = self.options.seed;
        Host::start(&name, move |stop, ready| async move {
            let store: Arc<dyn Store> =
                Arc::new(StoreClient::new(settings.process.store, timer.clone())?);
            let worker = HttpWorker::new(settings.target, settings.connections, timer.clone());
            let parts = AgentParts {
                settings,
                store,
                worker: Arc::new(worker),
                timer,
                log,
                metrics: Metrics::none(),
                link_delay,
                seed,
            };
            let agent = Agent::bind(parts).await?;
            let (addr, message_counters) = (agent.addr(), agent.message_counters());
            let _ = ready.send(Ready {
                addr,
                message_counters,
            });
            agent.run(stop).await
        })
    }

    fn add_entries(&mut self) -> Result<()> {
        for index in 0..self.options.entries {
            let host = self.start_entry(index)?;
            self.entries.push(host);
        }
        Ok(())
    }

    /// Restarts an entry whose process has ended.
    pub fn restart_entry(&mut self, index: usize) -> Result<()> {
        self.ended_messages = self
            .ended_messages
            .plus(self.entries[index].message_counters.read());
        self.entries[index] = self.start_entry(index)?;
        Ok(())
    }

    fn start_entry(&self, index: usize) -> Result<Host> {
        let name = entry_name(index);
        let http_listen = match (index, self.entries.get(index)) {
            (_, Some(before)) => before.addr,
            (0, None) => self.options.http_listen,
            _ => SocketAddr::from(([127, 0, 0, 1], 0)),
        };
        let settings = EntrySettings {
            process: self.process(&name),
            http_listen,
        };
        let (timer, log) = (self.timer.clone(), self.log.clone());
        let link_delay = self.link_delay(&name);
        Host::start(&name, move |stop, ready| async move {
            let store: Arc<dyn Store> =
                Arc::new(StoreClient::new(settings.process.store, timer.clone())?);
            let parts = EntryParts {
                settings,
                store,
                timer,
                log,
                metrics: Metrics::none(),
                link_delay,
            };
            let entry = Entry::bind(parts).await?;
            let (addr, message_counters) = (entry.http_addr(), entry.message_counters());
            let _ = ready.send(Ready {
                addr,
                message_counters,
            });
            entry.run(stop).await
        })
    }

    /// Default settings of an agent.
    pub fn agent_settings(&self, name: &str, service: &str) -> AgentSettings {
        AgentSettings {
            process: self.process(name),
            service: service.to_string(),
            target: SocketAddr::from(([127, 0, 0, 1], 0)),
            slots: self.options.slots,
            connections: 64.max(self.options.slots),
            accelerators: 0,
        }
    }

    /// Waits until every entry is ready.
    pub async fn wait_for_entries(&self) -> Result<()> {
        for entry in &self.entries {
            let client = EntryClient::new(entry.addr);
            while !is_ready(&client).await {
                self.timer.sleep(READY_POLL).await;
            }
        }
        Ok(())
    }

    /// Waits until every entry is ready and every agent owns ranges.
    pub async fn wait_until_ready(&self) -> Result<()> {
        self.wait_for_entries().await?;
        for entry in &self.entries {
            let client = EntryClient::new(entry.addr);
            while !self.all_agents_own_ranges(&client).await {
                self.timer.sleep(READY_POLL).await;
            }
        }
        Ok(())
    }

    async fn all_agents_own_ranges(&self, client: &EntryClient) -> bool {
        let path = "/v1/operator/tables/ranges";
        let Ok(ranges) = client.call(Method::GET, path, &[], "").await else {
            return false;
        };
        let ranges = ranges.json();
        let active = |row: &&serde_json::Value| row["state"] == "active";
        let rows = ranges.as_array().map_or(&[][..], Vec::as_slice);
        let owners: HashSet<String> = rows
            .iter()
            .filter(active)
            .map(|row| row["owner"].to_string())
            .collect();
        owners.len() == self.agents.len()
    }

    /// Stops the entries gracefully, then kills the agents.
    pub fn stop(mut self) -> Result<()> {
        self.entries.iter().for_each(Host::stop);
        for entry in &mut self.entries {
            entry.join()?;
        }
        for agent in &mut self.agents {
            agent.host.kill();
        }
        Ok(())
    }
}

async fn is_ready(client: &EntryClient) -> bool {
    let ready = client.call(Method::GET, "/v1/ready", &[], "").await;
    ready.is_ok_and(|reply| reply.status == 200)
}

struct AgentPlan {
    name: String,
    service: String,
    rack: String,
    domain: String,
    accelerators: u32,
}

fn plan_agents(config: &Config, options: &LocalOptions) -> Vec<AgentPlan> {
    let domains = all_domains(config);
    let mut plans = Vec::new();
    for service in &config.services {
        let needs = service.kinds.iter().map(|kind| kind.accelerators);
        let accelerators = needs.max().unwrap_or(0);
        for index in 0..options.targets {
            let domain = &domains[index % domains.len()];
            let rack = index / domains.len() / WORKERS_PER_RACK;
            plans.push(AgentPlan {
                name: format!("{}-{index:02}", service.name),
                service: service.name.clone(),
                rack: format!("{domain}-rack-{rack}"),
                domain: domain.clone(),
                accelerators,
            });
        }
    }
    plans
}

fn all_domains(config: &Config) -> Vec<String> {
    let regions = config.regions.iter();
    regions
        .flat_map(|region| region.failure_domains.clone())
        .collect()
}

fn domains_by_process(
    config: &Config,
    plans: &[AgentPlan],
    options: &LocalOptions,
) -> HashMap<String, String> {
    let all = all_domains(config);
    let agents = plans
        .iter()
        .map(|plan| (plan.name.clone(), plan.domain.clone()));
    let entries = (0..options.entries).map(|i| (entry_name(i), all[i % all.len()].clone()));
    agents.chain(entries).collect()
}

fn entry_name(index: usize) -> String {
    format!("entry-{index}")
}

struct StandInAddrs {
    store_addr: SocketAddr,
    target_addrs: Vec<SocketAddr>,
}

fn receive_addrs(addrs: &Receiver<StandInAddrs>) -> Result<StandInAddrs> {
    addrs
        .recv()
        .map_err(|_| Error::Other("the stand-ins did not start".to_string()))
}

/// Runs the store and the targets in a separate thread.
fn start_stand_ins(
    store: StandInStore,
    targets: Vec<StandInTarget>,
    document: &str,
) -> Result<(StandInThread, Receiver<StandInAddrs>)> {
    let (tx, rx) = channel();
    let (end, ended) = oneshot::channel();
    let document = document.to_string();
    std::thread::Builder::new()
        .name("stand-ins".to_string())
        .spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()?;
            let result: Result<()> = runtime.block_on(async {
                let addrs = serve_stand_ins(store, targets, &document).await?;
                let _ = tx.send(addrs);
                let _ = ended.await;
                Ok(())
            });
            runtime.shutdown_background();
            result
        })?;
    let stand_ins = StandInThread { _stop: end };
    Ok((stand_ins, rx))
}

async fn serve_stand_ins(
    store: StandInStore,
    targets: Vec<StandInTarget>,
    document: &str,
) -> Result<StandInAddrs> {
    let timer = Timer::start();
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let store_addr = listener.local_addr()?;
    tokio::spawn(store.serve(listener, std::future::pending()));
    let mut target_addrs = Vec::new();
    for target in targets {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        target_addrs.push(listener.local_addr()?);
        tokio::spawn(target.serve(listener));
    }
    let client: Arc<dyn Store> = Arc::new(StoreClient::new(store_addr, timer.clone())?);
    let proposal = Proposal {
        edit: Edit::Document {
            base: 0,
            document: document.to_string(),
        },
        who: "local".to_string(),
        note: "first configuration".to_string(),
        change_id: "first".to_string(),
    };
    ConfigStore::new(client, timer).propose(&proposal).await?;
    Ok(StandInAddrs {
        store_addr,
        target_addrs,
    })
}
