//! Runs one experiment against the stand-ins; exits with 1 if an invariant was violated or a
//! requirement was not met.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use sassafrashoist_testkit::child_router::run_child;
use sassafrashoist_testkit::experiments::options::ExperimentOptions;
use sassafrashoist_testkit::experiments::registry::{EXPERIMENT_NAMES, run_experiment};

/// Runs one experiment against the stand-ins.
#[derive(Debug, Parser)]
struct Arguments {
    /// The name of the experiment.
    #[arg(required_unless_present_any = ["list", "child_router"])]
    name: Option<String>,
    /// The seed of the random numbers.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// The policy to use instead of the default, in experiments that compare policies.
    #[arg(long)]
    policy: Option<String>,
    /// Prints the report as one JSON object on the last line.
    #[arg(long)]
    json: bool,
    /// Runs one router with these settings, as a child process of an experiment.
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
    Ok(if report.has_passed() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
