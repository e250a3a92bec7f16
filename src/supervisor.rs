//! Supervises the long-running components of a process.
//!
//! A stateless component, such as a watch or a server, is restarted when it ends. A critical
//! component stops the whole process when it ends. A stop is requested once and signalled to
//! all components.

use std::future::Future;
use std::time::Duration;

use slog::{Logger, error, info};
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::error::{Error, Result};
use crate::time::Timer;

const RESTART_DELAY: Duration = Duration::from_millis(500);

/// Consequence of a component's end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// The component is restarted.
    Restartable,
    /// All components stop.
    Critical,
}

/// Receiver of a stop request.
#[derive(Clone, Debug)]
pub struct StopSignal {
    requested: watch::Receiver<bool>,
}

impl StopSignal {
    /// Waits until a stop is requested.
    pub async fn requested(mut self) {
        let _ = self.requested.wait_for(|requested| *requested).await;
    }
}

/// Sender of a stop request.
#[derive(Clone, Debug)]
pub struct Stopper {
    sender: watch::Sender<bool>,
}

impl Stopper {
    /// Creates a stopper and its signal.
    pub fn new() -> (Stopper, StopSignal) {
        let (sender, requested) = watch::channel(false);
        (Stopper { sender }, StopSignal { requested })
    }

    /// Requests the stop.
    pub fn stop(&self) {
        self.sender.send_replace(true);
    }
}

struct ComponentEnd {
    name: &'static str,
    role: Role,
    result: Result<()>,
}

/// Runs components until a critical one ends.
pub struct Supervisor {
    log: Logger,
    timer: Timer,
    components: JoinSet<ComponentEnd>,
}

impl Supervisor {
    /// Creates a supervisor without components.
    pub fn new(log: Logger, timer: Timer) -> Supervisor {
        Supervisor {
            log,
            timer,
            components: JoinSet::new(),
        }
    }

    /// Starts a critical component.
    pub fn spawn_critical<F>(&mut self, name: &'static str, component: F)
    where
        F: Future<Output = Result<()>> + Send + 'static,
    {
        let role = Role::Critical;
        self.components.spawn(async move {
            let result = component.await;
            ComponentEnd { name, role, result }
        });
    }

    /// Starts a component that is restarted whenever it ends.
    pub fn spawn_restarting<F, M>(&mut self, name: &'static str, start: M)
    where
        F: Future<Output = Result<()>> + Send + 'static,
        M: Fn() -> F + Send + 'static,
    {
        let timer = self.timer.clone();
        let log = self.log.clone();
        self.components.spawn(async move {
            loop {
                let result = tokio::spawn(start()).await;
                info!(log, "restarting component"; "component" => name, "failed" => result.is_err());
                timer.sleep(RESTART_DELAY).await;
            }
        });
    }

    /// Waits until a critical component ends, then aborts the others.
    pub async fn run(mut self) -> Result<()> {
        while let Some(joined) = self.components.join_next().await {
            match joined {
                Ok(ended) if ended.role == Role::Critical => {
                    info!(self.log, "component ended"; "component" => ended.name);
                    return ended.result;
                }
                Ok(_) => {}
                Err(err) => {
                    error!(self.log, "component failed"; "error" => %err);
                    return Err(Error::Other(err.to_string()));
                }
            }
        }
        Ok(())
    }
}
