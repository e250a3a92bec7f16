//! Runs a process of a local fleet in a thread with its own runtime, which can be stopped,
//! killed or frozen.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::{Sender, channel};
use std::thread::JoinHandle;
use std::time::Duration;

use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::oneshot;

use crate::error::{Error, Result};
use crate::node::MessageCounters;
use crate::supervisor::{StopSignal, Stopper};

/// Report of a process that is ready.
pub struct Ready {
    /// Address of its listener.
    pub addr: SocketAddr,
    /// Counters of sent messages.
    pub message_counters: Arc<MessageCounters>,
}

/// Process of a local fleet that runs in a thread.
pub struct Host {
    /// Name of the process.
    pub name: String,
    /// Address of its listener: HTTP of an entry, peer port of an agent.
    pub addr: SocketAddr,
    /// Counters of sent messages.
    pub message_counters: Arc<MessageCounters>,
    stopper: Stopper,
    kill: Option<oneshot::Sender<()>>,
    freeze: UnboundedSender<Duration>,
    thread: Option<JoinHandle<Result<()>>>,
}

impl Host {
    /// Starts `process` in a thread and waits until it is ready.
    pub fn start<F, M>(name: &str, process: M) -> Result<Host>
    where
        M: FnOnce(StopSignal, Sender<Ready>) -> F + Send + 'static,
        F: Future<Output = Result<()>>,
    {
        let (stopper, stop) = Stopper::new();
        let (kill, killed) = oneshot::channel();
        let (freeze, freezes) = unbounded_channel();
        let (ready, ready_rx) = channel();
        let thread = std::thread::Builder::new().name(name.to_string());
        let thread = thread.spawn(move || run_process(process(stop, ready), killed, freezes))?;
        let ready = ready_rx.recv();
        let ready = ready.map_err(|_| Error::Other(format!("{name} did not start")))?;
        Ok(Host {
            name: name.to_string(),
            addr: ready.addr,
            message_counters: ready.message_counters,
            stopper,
            kill: Some(kill),
            freeze,
            thread: Some(thread),
        })
    }

    /// Name that tells this run from other runs of the process.
    pub fn run_name(&self) -> String {
        format!("{} at {}", self.name, self.addr)
    }

    /// Requests a graceful stop.
    pub fn stop(&self) {
        self.stopper.stop();
    }

    /// Waits until the process has ended.
    pub fn join(&mut self) -> Result<()> {
        match self.thread.take().map(JoinHandle::join) {
            Some(Ok(result)) => result,
            Some(Err(_)) => Err(Error::Other(format!("{} panicked", self.name))),
            None => Ok(()),
        }
    }

    /// Ends the process immediately, like a crash.
    pub fn kill(&mut self) {
        if let Some(kill) = self.kill.take() {
            let _ = kill.send(());
        }
        let _ = self.join();
    }

    /// Blocks the process for `span`.
    pub fn freeze(&self, span: Duration) {
        let _ = self.freeze.send(span);
    }

    /// Whether the process has ended.
    pub fn has_ended(&self) -> bool {
        self.thread.as_ref().is_none_or(JoinHandle::is_finished)
    }
}

fn run_process(
    process: impl Future<Output = Result<()>>,
    killed: oneshot::Receiver<()>,
    mut freezes: UnboundedReceiver<Duration>,
) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let result = runtime.block_on(async {
        tokio::spawn(async move {
            while let Some(span) = freezes.recv().await {
                std::thread::sleep(span);
            }
        });
        tokio::select! {
            result = process => result,
            _ = killed => Ok(()),
        }
    });
    runtime.shutdown_background();
    result
}
