//! Waits for signals that request a shutdown.

use tokio::signal::unix::{SignalKind, signal};

use crate::error::Result;

/// Waits for SIGTERM or SIGINT.
pub async fn wait_for_stop_signal() -> Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
