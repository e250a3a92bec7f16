//! A process of a local fleet as a thread with a runtime of its own, which can
//! be stopped in order, killed, or frozen.

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

/// What a process tells when it is ready.
pub struct Ready {
    /// Where it can be reached.
    pub addr: SocketAddr,
    /// Counts of its messages.
    pub message_counters: Arc<MessageCounters>,
}

/// A process of the fleet, as a thread.
pub struct Host {
    /// Its name.
    pub name: String,
    /// Where it can be reached: HTTP for entries, peers for agents.
    pub addr: SocketAddr,
    /// Counts of its messages.
    pub message_counters: Arc<MessageCounters>,
    stopper: Stopper,
    kill: Option<oneshot::Sender<()>>,
    freeze: UnboundedSender<Duration>,
    thread: Option<JoinHandle<Result<()>>>,
}

impl Host {
    /// Runs `process` on a thread; it reports its address when it is ready.
    pub fn start<F, M>(name: &str, process: M) -> Result<Host>
    where
        M: FnOnce(StopSignal, Sender<Ready>) -> F + Send + 'static,
        F: Future<Output = Result<()>>,
    {
        let (stopper, stop) = Stopper::new();
        let (kill, killed) = oneshot::channel();
        let (freeze, freezes) = unbounded_channel();
        let (ready, readied) = channel();
        let thread = std::thread::Builder::new().name(name.to_string());
        let thread = thread.spawn(move || run_process(process(stop, ready), killed, freezes))?;
        let ready = readied.recv();
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

    /// Names this run of the process.
    pub fn run_name(&self) -> String {
        format!("{} at {}", self.name, self.addr)
    }

    /// Asks it to stop in order.
    pub fn stop(&self) {
        self.stopper.stop();
    }

    /// Waits until it has ended.
    pub fn join(&mut self) -> Result<()> {
        match self.thread.take().map(JoinHandle::join) {
            Some(Ok(result)) => result,
            Some(Err(_)) => Err(Error::Other(format!("{} panicked", self.name))),
            None => Ok(()),
        }
    }

    /// Ends it at once, as a crash would.
    pub fn kill(&mut self) {
        if let Some(kill) = self.kill.take() {
            let _ = kill.send(());
        }
        let _ = self.join();
    }

    /// Keeps it from doing anything for a while.
    pub fn freeze(&self, span: Duration) {
        let _ = self.freeze.send(span);
    }

    /// Whether it has ended.
    pub fn ended(&self) -> bool {
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
