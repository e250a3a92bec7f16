//! Runs the daemons: reads their settings from a file and stops them on a signal.

use std::path::Path;
use std::sync::Arc;

use crate::agent::{Agent, AgentParts};
use crate::entry::{Entry, EntryParts};
use crate::error::{Error, Result};
use crate::logging;
use crate::metrics::Metrics;
use crate::settings::{AgentSettings, EntrySettings};
use crate::signal::wait_for_stop_signal;
use crate::store_client::StoreClient;
use crate::supervisor::{StopSignal, Stopper};
use crate::time::Timer;
use crate::worker::HttpWorker;

/// Runs an agent with the settings in `path`.
pub fn run_agent(path: &Path) -> Result<()> {
    let settings = AgentSettings::from_yaml(&read_file(path)?)?;
    block_on(async move {
        let timer = Timer::start();
        let store = Arc::new(StoreClient::new(settings.process.store, timer.clone())?);
        let worker = HttpWorker::new(settings.target, settings.connections, timer.clone());
        let log = logging::logger(&settings.process.name, settings.process.log);
        let metrics = Metrics::to(settings.process.metrics)?;
        let parts = AgentParts::new(settings, store, Arc::new(worker), timer, log);
        let agent = Agent::bind(AgentParts { metrics, ..parts }).await?;
        println!("ready peers={}", agent.addr());
        agent.run(stop_on_signal()).await
    })
}

/// Runs an entry with the settings in `path`.
pub fn run_entry(path: &Path) -> Result<()> {
    let settings = EntrySettings::from_yaml(&read_file(path)?)?;
    block_on(async move {
        let timer = Timer::start();
        let store = Arc::new(StoreClient::new(settings.process.store, timer.clone())?);
        let log = logging::logger(&settings.process.name, settings.process.log);
        let metrics = Metrics::to(settings.process.metrics)?;
        let parts = EntryParts::new(settings, store, timer, log);
        let entry = Entry::bind(EntryParts { metrics, ..parts }).await?;
        println!(
            "ready http=http://{} peers={}",
            entry.http_addr(),
            entry.peer_addr()
        );
        entry.run(stop_on_signal()).await
    })
}

fn read_file(path: &Path) -> Result<String> {
    let text = std::fs::read_to_string(path);
    text.map_err(|err| Error::Invalid(vec![format!("{}: {err}", path.display())]))
}

fn block_on(process: impl Future<Output = Result<()>>) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(process)
}

fn stop_on_signal() -> StopSignal {
    let (stopper, stop) = Stopper::new();
    tokio::spawn(async move {
        if wait_for_stop_signal().await.is_ok() {
            stopper.stop();
        }
    });
    stop
}
