//! Implementation of the commands.

use std::io::{IsTerminal, stderr, stdout};
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use clap::CommandFactory;
use indicatif::ProgressBar;
use tokio::net::TcpListener;
use winghold::bench::fault::Fault;
use winghold::bench::{self, BenchOptions, capacity, slopes, throughput};
use winghold::config::{Config, Placement};
use winghold::config_store::{ConfigStore, Edit, Proposal};
use winghold::error::{Error, Result};
use winghold::local::{LocalFleet, LocalOptions};
use winghold::logging;
use winghold::operator::{Operator, Output};
use winghold::query::{self, Statement};
use winghold::settings::LogLevel;
use winghold::signal::wait_for_stop_signal;
use winghold::standin::store::{StandInStore, StoreRates};
use winghold::standin::target::{StandInTarget, StartLog};
use winghold::store_client::StoreClient;
use winghold::time::Timer;

use crate::clap_app::{
    Args, BenchArgs, BenchCommand, BenchPart, Command, ConfigCommand, DrainArgs, EvacuateArgs,
    LocalArgs, StandinArgs, SubmitArgs, ThroughputArgs,
};
use crate::printer::print;

const DEFAULT_CONFIG: &str = include_str!("../../../examples/logger-intake.yaml");
/// Interval between frames of the spinner.
const SPINNER_INTERVAL: Duration = Duration::from_millis(100);

/// Runs a command.
pub fn run(args: &Args) -> Result<()> {
    match &args.command {
        Command::Local(local_args) => local(local_args),
        Command::Bench(command) => run_bench(command),
        Command::Standin(standin_args) => block_on(standin(standin_args)),
        Command::Completions { shell } => {
            let mut command = Args::command();
            clap_complete::generate(*shell, &mut command, "winghold", &mut stdout());
            Ok(())
        }
        Command::Config(ConfigCommand::Check { file }) => check(file),
        _ => block_on(run_operator_command(args)),
    }
}

fn block_on(work: impl Future<Output = Result<()>>) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(work)
}

fn read_config(path: Option<&Path>) -> Result<String> {
    match path {
        Some(path) => read_file(path),
        None => Ok(DEFAULT_CONFIG.to_string()),
    }
}

fn read_file(path: &Path) -> Result<String> {
    let text = std::fs::read_to_string(path);
    text.map_err(|err| invalid(format!("{}: {err}", path.display())))
}

fn check(file: &Path) -> Result<()> {
    Config::from_yaml(&read_file(file)?)?;
    println!("{}: valid", file.display());
    Ok(())
}

/// Shows a spinner if stderr is a terminal.
fn spinner(message: &str) -> ProgressBar {
    if !stderr().is_terminal() {
        return ProgressBar::hidden();
    }
    let bar = ProgressBar::new_spinner().with_message(message.to_string());
    bar.enable_steady_tick(SPINNER_INTERVAL);
    bar
}

async fn run_operator_command(args: &Args) -> Result<()> {
    let operator = Operator::new(args.entry, &args.who);
    let bar = spinner("waiting for the fleet");
    let result = execute(&operator, args).await;
    bar.finish_and_clear();
    let (output, columns) = result?;
    print(&output, args.output, &columns);
    Ok(())
}

/// Executes an operator's command; returns its output and the selected columns.
async fn execute(operator: &Operator, args: &Args) -> Result<(Output, Vec<String>)> {
    let output = match &args.command {
        Command::Submit(args) => Output::Value(submit(operator, args).await?),
        Command::Cancel { id } => Output::Value(operator.cancel(id).await?),
        Command::Drain(args) => drain(operator, args, true).await?,
        Command::Undrain(args) => drain(operator, args, false).await?,
        Command::Evacuate(args) => evacuate(operator, args, true).await?,
        Command::Unevacuate(args) => evacuate(operator, args, false).await?,
        Command::Config(command) => config(operator, command).await?,
        Command::Services => return run_statement(operator, "select * from services").await,
        Command::Workers => {
            return run_statement(operator, "select * from workers order by name").await;
        }
        Command::Query { statement: text } => return run_statement(operator, text).await,
        _ => return Err(invalid("not an operator's command".to_string())),
    };
    Ok((output, Vec::new()))
}

async fn run_statement(operator: &Operator, text: &str) -> Result<(Output, Vec<String>)> {
    let statement = query::parse(text)?;
    let columns = match &statement {
        Statement::Select(select) => select.columns.clone(),
        _ => Vec::new(),
    };
    Ok((operator.execute(&statement).await?, columns))
}

async fn submit(operator: &Operator, args: &SubmitArgs) -> Result<serde_json::Value> {
    match args.job {
        true => {
            operator
                .submit_job(&args.service, &args.body, !args.no_wait)
                .await
        }
        false => {
            operator
                .submit(&args.service, args.kind.as_deref(), &args.body)
                .await
        }
    }
}

async fn drain(operator: &Operator, args: &DrainArgs, drained: bool) -> Result<Output> {
    let revision = operator.drain(&args.target, drained, &args.note).await?;
    Ok(Output::Value(serde_json::json!({ "revision": revision })))
}

async fn evacuate(operator: &Operator, args: &EvacuateArgs, evacuated: bool) -> Result<Output> {
    let revision = operator
        .evacuate(&args.domain, evacuated, &args.note)
        .await?;
    Ok(Output::Value(serde_json::json!({ "revision": revision })))
}

async fn config(operator: &Operator, command: &ConfigCommand) -> Result<Output> {
    match command {
        ConfigCommand::Get => {
            let current = operator.config().await?;
            let text = format!("# revision {}\n{}", current.revision, current.document);
            Ok(Output::Value(text.into()))
        }
        ConfigCommand::Apply { file, base, note } => {
            let document = read_file(file)?;
            Config::from_yaml(&document)?;
            let base = match base {
                Some(base) => *base,
                None => operator.config().await?.revision,
            };
            let revision = operator.apply(base, &document, note).await?;
            Ok(Output::Value(serde_json::json!({ "revision": revision })))
        }
        ConfigCommand::History => operator.history().await.map(Output::Rows),
        ConfigCommand::Check { .. } => {
            Err(invalid("`config check` does not call an entry".to_string()))
        }
    }
}

fn local(args: &LocalArgs) -> Result<()> {
    let document = read_config(args.config.as_deref())?;
    let options = LocalOptions {
        http_listen: args.listen,
        ..LocalOptions::default()
    };
    let log = logging::logger("local", LogLevel::Warning);
    let fleet = LocalFleet::start(&document, options, log)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(fleet.wait_until_ready())?;
    let entries: Vec<String> = fleet
        .entries
        .iter()
        .map(|entry| format!("http://{}", entry.addr))
        .collect();
    println!(
        "ready entries={} targets={}",
        entries.join(","),
        fleet.agents.len()
    );
    runtime.block_on(wait_for_stop_signal())?;
    fleet.stop()
}

/// Runs a store and targets until a stop signal.
async fn standin(args: &StandinArgs) -> Result<()> {
    let timer = Timer::start();
    let store = StandInStore::new(timer.clone(), StoreRates::default());
    let listener = TcpListener::bind(args.store).await?;
    let store_addr = listener.local_addr()?;
    tokio::spawn(store.serve(listener, std::future::pending()));
    let starts = Arc::new(StartLog::default());
    let mut targets = Vec::new();
    for addr in &args.target {
        let listener = TcpListener::bind(addr).await?;
        let addr = listener.local_addr()?;
        let target = StandInTarget::new(&addr.to_string(), timer.clone(), starts.clone());
        tokio::spawn(target.serve(listener));
        targets.push(addr.to_string());
    }
    if let Some(path) = &args.config {
        let store = Arc::new(StoreClient::new(store_addr, timer.clone())?);
        let proposal = Proposal {
            edit: Edit::Document {
                base: 0,
                document: read_file(path)?,
            },
            who: "standin".to_string(),
            note: "first configuration".to_string(),
            change_id: "first".to_string(),
        };
        ConfigStore::new(store, timer).propose(&proposal).await?;
    }
    println!("ready store={store_addr} targets={}", targets.join(","));
    wait_for_stop_signal().await
}

fn run_bench(command: &BenchCommand) -> Result<()> {
    match &command.part {
        None => bench_load(&command.load),
        Some(BenchPart::Slopes { file }) => {
            let measured = slopes::measure()?;
            std::fs::write(file, measured.to_yaml()?)?;
            println!("{}", file.display());
            Ok(())
        }
        Some(BenchPart::Capacity { file }) => {
            let measured = slopes::Slopes::from_yaml(&read_file(file)?)?;
            print!("{}", capacity::render(&measured));
            Ok(())
        }
        Some(BenchPart::Throughput(args)) => bench_throughput(args),
    }
}

fn bench_throughput(args: &ThroughputArgs) -> Result<()> {
    let length = Duration::from_secs(args.seconds);
    let measured = throughput::run(args.tasks, args.jobs, length)?;
    print!("{}", measured.table());
    Ok(())
}

fn bench_load(args: &BenchArgs) -> Result<()> {
    let faults: Result<Vec<Fault>> = args.fault.iter().map(|name| parse_fault(name)).collect();
    let policies: Result<Vec<Placement>> =
        args.policy.iter().map(|name| parse_policy(name)).collect();
    let options = BenchOptions {
        document: read_config(args.config.as_deref())?,
        load: args.load,
        length: Duration::from_secs(args.seconds),
        policies: policies?,
        faults: faults?,
        seed: args.seed,
        targets: args.targets,
        log: match args.verbose {
            true => LogLevel::Info,
            false => LogLevel::Error,
        },
    };
    let bar = spinner("running the load");
    let report = bench::run(&options);
    bar.finish_and_clear();
    let report = report?;
    print!("{}", report.table());
    if let Some(path) = &args.json {
        let text = serde_json::to_string_pretty(&report);
        std::fs::write(path, text.unwrap_or_default())?;
    }
    Ok(())
}

fn parse_fault(name: &str) -> Result<Fault> {
    let names: Vec<&str> = Fault::ALL.iter().map(|fault| fault.name()).collect();
    let unknown = || {
        invalid(format!(
            "fault: unknown `{name}`, expected one of {}",
            names.join(", ")
        ))
    };
    Fault::from_name(name).ok_or_else(unknown)
}

fn parse_policy(name: &str) -> Result<Placement> {
    let parsed = serde_json::from_value(serde_json::json!(name));
    parsed.map_err(|err| invalid(format!("policy: {err}")))
}

fn invalid(text: String) -> Error {
    Error::Invalid(vec![text])
}
