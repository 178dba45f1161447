//! Runs one experiment on the stand-ins; exits 1 if a promise was broken.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use sassafrashoist_testkit::child_router::run_child;
use sassafrashoist_testkit::experiments::options::ExperimentOptions;
use sassafrashoist_testkit::experiments::registry::{EXPERIMENT_NAMES, run_experiment};

/// Runs one experiment on the stand-ins.
#[derive(Debug, Parser)]
struct Arguments {
    /// The experiment.
    #[arg(required_unless_present_any = ["list", "child_router"])]
    name: Option<String>,
    /// Seeds the random numbers.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Runs another way in place of the chosen one.
    #[arg(long)]
    policy: Option<String>,
    /// Writes one JSON object as the last line.
    #[arg(long)]
    json: bool,
    /// Runs one router with these settings, as a measured experiment's own process.
    #[arg(long, value_name = "FILE", hide = true)]
    child_router: Option<PathBuf>,
    /// Lists the experiments.
    #[arg(long)]
    list: bool,
}

#[tokio::main]
async fn main() -> eyre::Result<ExitCode> {
    let arguments = Arguments::parse();
    if let Some(settings) = &arguments.child_router {
        run_child(settings).await?;
        return Ok(ExitCode::SUCCESS);
    }
    let Some(name) = arguments.name.filter(|_| !arguments.list) else {
        println!("{}", EXPERIMENT_NAMES.join("\n"));
        return Ok(ExitCode::SUCCESS);
    };
    let options = ExperimentOptions { seed: arguments.seed, policy: arguments.policy };
    let report = run_experiment(&name, &options).await?;
    if arguments.json {
        println!("{}", serde_json::to_string(&report)?);
    } else {
        print!("{}", report.format_table());
    }
    Ok(if report.is_passed() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
