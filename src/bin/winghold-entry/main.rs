//! The `winghold-entry` daemon.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;

#[derive(Debug, Parser)]
#[command(name = "winghold-entry", version, about)]
struct Args {
    /// Settings of this process
    #[arg(long)]
    settings: PathBuf,
}

fn main() -> ExitCode {
    let args = Args::parse();
    match winghold::daemon::run_entry(&args.settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("winghold-entry: {err}");
            ExitCode::from(err.exit_code())
        }
    }
}
