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
    /// Load a local fleet, with faults, and report
    Bench(BenchArgs),
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

/// Arguments of `bench`.
#[derive(Debug, clap::Args)]
pub struct BenchArgs {
    /// Configuration with loads; the embedded example if absent
    #[arg(long)]
    pub config: Option<PathBuf>,
    /// Share of the slots that the load needs
    #[arg(long, default_value_t = 0.7)]
    pub load: f64,
    /// Length of the load in seconds
    #[arg(long, default_value_t = 20)]
    pub seconds: u64,
    /// Policies to compare: least-finish, random, round-robin
    #[arg(long, value_delimiter = ',', default_value = "least-finish")]
    pub policy: Vec<String>,
    /// Faults, all at once; see docs/MEASUREMENTS.md
    #[arg(long, value_delimiter = ',')]
    pub fault: Vec<String>,
    /// Seed of the load
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Targets
    #[arg(long, default_value_t = 11)]
    pub targets: usize,
    /// Write the report as JSON here too
    #[arg(long)]
    pub json: Option<PathBuf>,
    /// Log what the fleet does
    #[arg(long)]
    pub verbose: bool,
}
