//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Parser, Subcommand};

/// A dispatcher for sub-second tasks.
#[derive(Debug, Parser)]
#[command(name = "winghold", version)]
pub struct Args {
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// What to do.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Run a whole fleet in this process, with stand-ins for the platform
    Local(LocalArgs),
}

/// Arguments of `local`.
#[derive(Debug, clap::Args)]
pub struct LocalArgs {
    /// Configuration of the fleet; the embedded example if absent
    #[arg(long)]
    pub config: Option<PathBuf>,
    /// Where the first entry listens
    #[arg(long, default_value = "127.0.0.1:8080")]
    pub listen: SocketAddr,
}
