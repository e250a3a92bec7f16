//! Signals that ask a process to stop.

use tokio::signal::unix::{SignalKind, signal};

use crate::error::Result;

/// Returns once SIGTERM or SIGINT has come.
pub async fn asked_to_stop() -> Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
