//! What each command does.

use std::path::Path;
use std::time::Duration;

use winghold::bench::fault::Fault;
use winghold::bench::{self, BenchOptions};
use winghold::config::Placement;
use winghold::error::{Error, Result};
use winghold::local::{Local, LocalOptions};
use winghold::logging;
use winghold::settings::LogLevel;

use crate::clap_app::{Args, BenchArgs, Command, LocalArgs};

const DEFAULT_CONFIG: &str = include_str!("../../../examples/logger-intake.yaml");

/// Runs a command.
pub fn run(args: &Args) -> Result<()> {
    match &args.command {
        Command::Local(args) => local(args),
        Command::Bench(args) => bench(args),
    }
}

fn read_config(path: Option<&Path>) -> Result<String> {
    match path {
        Some(path) => Ok(std::fs::read_to_string(path)?),
        None => Ok(DEFAULT_CONFIG.to_string()),
    }
}

fn bench(args: &BenchArgs) -> Result<()> {
    let faults: Result<Vec<Fault>> = args.fault.iter().map(|name| fault(name)).collect();
    let policies: Result<Vec<Placement>> = args.policy.iter().map(|name| policy(name)).collect();
    let options = BenchOptions {
        document: read_config(args.config.as_deref())?,
        load: args.load,
        length: Duration::from_secs(args.seconds),
        policies: policies?,
        faults: faults?,
        seed: args.seed,
        targets: args.targets,
        log: if args.verbose {
            LogLevel::Info
        } else {
            LogLevel::Error
        },
    };
    let report = bench::run(&options)?;
    print!("{}", report.table());
    if let Some(path) = &args.json {
        let text = serde_json::to_string_pretty(&report).unwrap_or_default();
        std::fs::write(path, text)?;
    }
    Ok(())
}

fn fault(name: &str) -> Result<Fault> {
    let names: Vec<&str> = Fault::ALL.iter().map(|fault| fault.name()).collect();
    let unknown = || invalid(format!("fault: no `{name}`; one of {}", names.join(", ")));
    Fault::from_name(name).ok_or_else(unknown)
}

fn policy(name: &str) -> Result<Placement> {
    let parsed = serde_json::from_value(serde_json::json!(name));
    parsed.map_err(|err| invalid(format!("policy: {err}")))
}

fn invalid(text: String) -> Error {
    Error::Invalid(vec![text])
}

fn local(args: &LocalArgs) -> Result<()> {
    let document = read_config(args.config.as_deref())?;
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
