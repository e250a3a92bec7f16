//! Command-line arguments.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Parser, Subcommand, ValueEnum};
use clap_complete::Shell;

/// A dispatcher for sub-second tasks.
#[derive(Debug, Parser)]
#[command(name = "winghold", version)]
pub struct Args {
    /// Address of the entry to call
    #[arg(
        long,
        global = true,
        env = "WINGHOLD_ENTRY",
        default_value = "127.0.0.1:8080"
    )]
    pub entry: SocketAddr,
    /// Output format
    #[arg(long, global = true, value_enum, default_value_t = Format::Table)]
    pub output: Format,
    /// Name that is recorded in the history of changes
    #[arg(long, global = true, env = "USER", default_value = "operator")]
    pub who: String,
    /// Command.
    #[command(subcommand)]
    pub command: Command,
}

/// Output format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Format {
    /// Text columns
    Table,
    /// JSON
    Json,
}

/// Commands.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Run a whole fleet in this process, with a stand-in platform
    Local(LocalArgs),
    /// Submit a request or a job and wait for its answer
    Submit(SubmitArgs),
    /// Cancel a request or a job; repeating it has no effect
    Cancel {
        /// Id of the submission
        id: String,
    },
    /// Send no new work to a target
    Drain(DrainArgs),
    /// Send work to a drained target again
    Undrain(DrainArgs),
    /// Send no new work to the targets of a failure domain
    Evacuate(EvacuateArgs),
    /// Send work to the targets of an evacuated failure domain again
    Unevacuate(EvacuateArgs),
    /// Show or change the configuration
    #[command(subcommand)]
    Config(ConfigCommand),
    /// List services and their kinds of request
    Services,
    /// List workers
    Workers,
    /// Run a statement of the query language
    Query {
        /// For example: select name, running from targets order by running desc
        statement: String,
    },
    /// Run a load test with faults on a local fleet and print a report
    #[command(subcommand_negates_reqs = true, args_conflicts_with_subcommands = true)]
    Bench(BenchCommand),
    /// Run a stand-in platform: a store and targets
    Standin(StandinArgs),
    /// Print a completion script
    Completions {
        /// Shell
        shell: Shell,
    },
}

/// Arguments of `submit`.
#[derive(Debug, clap::Args)]
pub struct SubmitArgs {
    /// Service
    pub service: String,
    /// Payload of a request, or the body of a job, as JSON
    pub body: String,
    /// Kind of request
    #[arg(long)]
    pub kind: Option<String>,
    /// Treat the body as a job
    #[arg(long)]
    pub job: bool,
    /// Return without waiting for the answer; see `query 'why ID'` for progress
    #[arg(long, requires = "job")]
    pub no_wait: bool,
}

/// Arguments of `drain` and `undrain`.
#[derive(Debug, clap::Args)]
pub struct DrainArgs {
    /// Name of the target
    pub target: String,
    /// Reason that is recorded in the history of changes
    #[arg(long, default_value = "")]
    pub note: String,
}

/// Arguments of `evacuate` and `unevacuate`.
#[derive(Debug, clap::Args)]
pub struct EvacuateArgs {
    /// Name of the failure domain
    pub domain: String,
    /// Reason that is recorded in the history of changes
    #[arg(long, default_value = "")]
    pub note: String,
}

/// Commands of `config`.
#[derive(Debug, Subcommand)]
pub enum ConfigCommand {
    /// Print the configuration document and its revision
    Get,
    /// Replace the document
    Apply {
        /// File with the new document
        file: PathBuf,
        /// Revision that the document is based on [default: the current revision]
        #[arg(long)]
        base: Option<u64>,
        /// Reason that is recorded in the history of changes
        #[arg(long, default_value = "")]
        note: String,
    },
    /// Print the history of changes
    History,
    /// Validate a configuration file without calling an entry
    Check {
        /// File to validate
        file: PathBuf,
    },
}

/// Arguments of `standin`.
#[derive(Debug, clap::Args)]
pub struct StandinArgs {
    /// Listen address of the store
    #[arg(long, default_value = "127.0.0.1:7000")]
    pub store: SocketAddr,
    /// Listen address of a target; may be repeated
    #[arg(long)]
    pub target: Vec<SocketAddr>,
    /// File with the initial configuration
    #[arg(long)]
    pub config: Option<PathBuf>,
}

/// Arguments of `bench` and its subcommands.
#[derive(Debug, clap::Args)]
pub struct BenchCommand {
    /// Subcommand
    #[command(subcommand)]
    pub part: Option<BenchPart>,
    /// Load test
    #[command(flatten)]
    pub load: BenchArgs,
}

/// Subcommands of `bench`.
#[derive(Debug, Subcommand)]
pub enum BenchPart {
    /// Measure costs at several sizes and write them as YAML
    Slopes {
        /// File to write
        file: PathBuf,
    },
    /// Print the tables of docs/CAPACITY.md, computed from measured slopes
    Capacity {
        /// File written by `slopes`
        file: PathBuf,
    },
    /// Measure tasks per second through one entry and one agent
    Throughput(ThroughputArgs),
}

/// Arguments of `bench throughput`.
#[derive(Debug, clap::Args)]
pub struct ThroughputArgs {
    /// Tasks per job
    #[arg(long, default_value_t = 120)]
    pub tasks: usize,
    /// Number of concurrent jobs
    #[arg(long, default_value_t = 16)]
    pub jobs: usize,
    /// Duration in seconds
    #[arg(long, default_value_t = 5)]
    pub seconds: u64,
}

/// Arguments of `local`.
#[derive(Debug, clap::Args)]
pub struct LocalArgs {
    /// Configuration file [default: an embedded example]
    #[arg(long)]
    pub config: Option<PathBuf>,
    /// HTTP address of the first entry
    #[arg(long, default_value = "127.0.0.1:8080")]
    pub listen: SocketAddr,
}

/// Arguments of `bench`.
#[derive(Debug, clap::Args)]
pub struct BenchArgs {
    /// Configuration file with loads [default: an embedded example]
    #[arg(long)]
    pub config: Option<PathBuf>,
    /// Load as a fraction of the slots
    #[arg(long, default_value_t = 0.7)]
    pub load: f64,
    /// Duration of the load in seconds
    #[arg(long, default_value_t = 20)]
    pub seconds: u64,
    /// Placement policies to compare: least-finish, random, round-robin
    #[arg(long, value_delimiter = ',', default_value = "least-finish")]
    pub policy: Vec<String>,
    /// Faults to inject together; see docs/MEASUREMENTS.md
    #[arg(long, value_delimiter = ',')]
    pub fault: Vec<String>,
    /// Seed of the load
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Targets per service
    #[arg(long, default_value_t = 11)]
    pub targets: usize,
    /// File for the report as JSON
    #[arg(long)]
    pub json: Option<PathBuf>,
    /// Print the log of the fleet
    #[arg(long)]
    pub verbose: bool,
}
