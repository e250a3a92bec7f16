//! Supervision of a process's long-running parts.
//!
//! A part either may restart, because it keeps nothing (a watch, a server), or
//! is vital: when it ends, for whatever reason, the whole tree stops. Stopping
//! is asked for once and told to every part.

use std::future::Future;
use std::time::Duration;

use slog::{Logger, error, info};
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::error::{Error, Result};
use crate::time::Timer;

/// Wait before a part that failed is started again.
const RESTART: Duration = Duration::from_millis(500);

/// What the end of a part means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It is started again.
    Restarts,
    /// The tree stops.
    Vital,
}

/// Tells a part that it should stop.
#[derive(Clone, Debug)]
pub struct Stop {
    asked: watch::Receiver<bool>,
}

impl Stop {
    /// Returns once stopping was asked for.
    pub async fn asked(mut self) {
        let _ = self.asked.wait_for(|asked| *asked).await;
    }
}

/// Asks a tree to stop.
#[derive(Clone, Debug)]
pub struct Stopper {
    ask: watch::Sender<bool>,
}

impl Stopper {
    /// A stopper, and the signal for those it stops.
    pub fn new() -> (Stopper, Stop) {
        let (ask, asked) = watch::channel(false);
        (Stopper { ask }, Stop { asked })
    }

    /// Asks for the stop.
    pub fn stop(&self) {
        self.ask.send_replace(true);
    }
}

struct Ended {
    name: &'static str,
    role: Role,
    result: Result<()>,
}

/// A supervisor and its parts.
pub struct Supervisor {
    log: Logger,
    timer: Timer,
    parts: JoinSet<Ended>,
}

impl Supervisor {
    /// A supervisor without parts.
    pub fn new(log: Logger, timer: Timer) -> Supervisor {
        Supervisor {
            log,
            timer,
            parts: JoinSet::new(),
        }
    }

    /// Starts a vital part.
    pub fn vital<F>(&mut self, name: &'static str, part: F)
    where
        F: Future<Output = Result<()>> + Send + 'static,
    {
        let role = Role::Vital;
        self.parts.spawn(async move {
            let result = part.await;
            Ended { name, role, result }
        });
    }

    /// Starts a part that is made anew whenever it ends.
    pub fn restarting<F, M>(&mut self, name: &'static str, make: M)
    where
        F: Future<Output = Result<()>> + Send + 'static,
        M: Fn() -> F + Send + 'static,
    {
        let timer = self.timer.clone();
        let log = self.log.clone();
        self.parts.spawn(async move {
            loop {
                let result = tokio::spawn(make()).await;
                info!(log, "part restarts"; "part" => name, "failed" => result.is_err());
                timer.sleep(RESTART).await;
            }
        });
    }

    /// Waits until a vital part ends, then drops the others.
    pub async fn run(mut self) -> Result<()> {
        while let Some(joined) = self.parts.join_next().await {
            match joined {
                Ok(ended) if ended.role == Role::Vital => {
                    info!(self.log, "part ended"; "part" => ended.name);
                    return ended.result;
                }
                Ok(_) => {}
                Err(err) => {
                    error!(self.log, "part failed"; "error" => %err);
                    return Err(Error::Other(err.to_string()));
                }
            }
        }
        Ok(())
    }
}
