//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Parser, Subcommand, ValueEnum};
use clap_complete::Shell;

/// A dispatcher for sub-second tasks.
#[derive(Debug, Parser)]
#[command(name = "winghold", version)]
pub struct Args {
    /// Entry to talk to
    #[arg(
        long,
        global = true,
        env = "WINGHOLD_ENTRY",
        default_value = "127.0.0.1:8080"
    )]
    pub entry: SocketAddr,
    /// How results are printed
    #[arg(long, global = true, value_enum, default_value_t = Format::Table)]
    pub output: Format,
    /// Name that goes into the trail of changes
    #[arg(long, global = true, env = "USER", default_value = "operator")]
    pub who: String,
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// How results are printed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Format {
    /// Columns of text
    Table,
    /// JSON
    Json,
}

/// What to do.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Run a whole fleet in this process, with stand-ins for the platform
    Local(LocalArgs),
    /// Submit a request or a job and wait for its answer
    Submit(SubmitArgs),
    /// Cancel a request or a job; saying it again changes nothing
    Cancel {
        /// Id of the submission
        id: String,
    },
    /// Give a target no new work
    Drain(DrainArgs),
    /// Give a drained target work again
    Undrain(DrainArgs),
    /// Give the targets of a failure domain no new work
    Evacuate(EvacuateArgs),
    /// Give the targets of an evacuated failure domain work again
    Unevacuate(EvacuateArgs),
    /// Look at or change the configuration
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
    /// Load a local fleet, with faults, and report
    #[command(subcommand_negates_reqs = true, args_conflicts_with_subcommands = true)]
    Bench(BenchCommand),
    /// Run stand-ins for the platform: a store and targets
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
    /// The body is a job
    #[arg(long)]
    pub job: bool,
    /// Return at once; ask later with `query 'why ID'`
    #[arg(long, requires = "job")]
    pub no_wait: bool,
}

/// Arguments of `drain` and `undrain`.
#[derive(Debug, clap::Args)]
pub struct DrainArgs {
    /// Name of the target
    pub target: String,
    /// Why, for the trail of changes
    #[arg(long, default_value = "")]
    pub note: String,
}

/// Arguments of `evacuate` and `unevacuate`.
#[derive(Debug, clap::Args)]
pub struct EvacuateArgs {
    /// Name of the failure domain
    pub domain: String,
    /// Why, for the trail of changes
    #[arg(long, default_value = "")]
    pub note: String,
}

/// What to do with the configuration.
#[derive(Debug, Subcommand)]
pub enum ConfigCommand {
    /// Print the document and its revision
    Get,
    /// Replace the document
    Apply {
        /// File with the new document
        file: PathBuf,
        /// Revision that it was made from; the present one if absent
        #[arg(long)]
        base: Option<u64>,
        /// Why, for the trail of changes
        #[arg(long, default_value = "")]
        note: String,
    },
    /// Print who changed what, and when
    History,
    /// Check a file without a fleet
    Check {
        /// The file
        file: PathBuf,
    },
}

/// Arguments of `standin`.
#[derive(Debug, clap::Args)]
pub struct StandinArgs {
    /// Where the store listens
    #[arg(long, default_value = "127.0.0.1:7000")]
    pub store: SocketAddr,
    /// Where a target listens; may be given more than once
    #[arg(long)]
    pub target: Vec<SocketAddr>,
    /// First configuration to put into the store
    #[arg(long)]
    pub config: Option<PathBuf>,
}

/// `bench` and its parts.
#[derive(Debug, clap::Args)]
pub struct BenchCommand {
    /// A part of the bench
    #[command(subcommand)]
    pub part: Option<BenchPart>,
    /// The load
    #[command(flatten)]
    pub load: BenchArgs,
}

/// Parts of the bench.
#[derive(Debug, Subcommand)]
pub enum BenchPart {
    /// Measure costs against sizes and write them as YAML
    Slopes {
        /// File to write
        file: PathBuf,
    },
    /// Work out the tables of docs/CAPACITY.md from measured slopes
    Capacity {
        /// File that `slopes` wrote
        file: PathBuf,
    },
    /// Measure tasks a second through one entry and one agent
    Throughput(ThroughputArgs),
}

/// Arguments of `bench throughput`.
#[derive(Debug, clap::Args)]
pub struct ThroughputArgs {
    /// Tasks of one job
    #[arg(long, default_value_t = 120)]
    pub tasks: usize,
    /// Jobs under way at once
    #[arg(long, default_value_t = 16)]
    pub jobs: usize,
    /// Length in seconds
    #[arg(long, default_value_t = 5)]
    pub seconds: u64,
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
