//! The `winghold` command: local fleets and operators' calls to a fleet.

mod app;
mod clap_app;
mod printer;

use std::process::ExitCode;

use clap::Parser;

fn main() -> ExitCode {
    let args = clap_app::Args::parse();
    match app::run(&args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("winghold: {err}");
            ExitCode::from(err.exit_code())
        }
    }
}
