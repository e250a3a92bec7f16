//! What each command does.

use winghold::error::Result;
use winghold::local::{Local, LocalOptions};
use winghold::logging;
use winghold::settings::LogLevel;

use crate::clap_app::{Args, Command, LocalArgs};

const DEFAULT_CONFIG: &str = include_str!("../../../examples/logger-intake.yaml");

/// Runs a command.
pub fn run(args: &Args) -> Result<()> {
    match &args.command {
        Command::Local(args) => local(args),
    }
}

fn local(args: &LocalArgs) -> Result<()> {
    let document = match &args.config {
        Some(path) => std::fs::read_to_string(path)?,
        None => DEFAULT_CONFIG.to_string(),
    };
    let options = LocalOptions {
        http_listen: args.listen,
        ..LocalOptions::default()
    };
    let log = logging::logger("local", LogLevel::Info);
    let fleet = Local::start(&document, options, log)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(fleet.ready())?;
    let entries: Vec<String> = fleet
        .entries
        .iter()
        .map(|e| format!("http://{}", e.addr))
        .collect();
    println!(
        "ready entries={} targets={}",
        entries.join(","),
        fleet.agents.len()
    );
    runtime.block_on(winghold::signal::asked_to_stop())?;
    fleet.stop()
}
