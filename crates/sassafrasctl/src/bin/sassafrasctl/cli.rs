//! The arguments of `sassafrasctl` and the start of its subcommands.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use eyre::{Result, WrapErr};
use sassafrasctl::core::ctl_context::CtlContext;
use sassafrasctl::core::ctl_settings::read_ctl_settings;
use sassafrasctl::util::shell::{OutputFormat, Shell};

use crate::commands::{budget, bundle, explain, fleet, vm};

/// Exit code of a command that failed.
const EXIT_FAILED: u8 = 1;

/// Rolls out bundles, tops up budgets, and shows the state of the fleet and its decisions.
///
/// Exit codes: 0 success, 1 failed or refused, 2 invalid arguments.
#[derive(Debug, Parser)]
#[command(name = "sassafrasctl", version)]
pub struct Cli {
    /// The operator's settings file.
    #[arg(long, global = true, value_name = "FILE", default_value = "sassafrasctl.json")]
    settings: PathBuf,
    /// Writes JSON instead of text.
    #[arg(long, global = true)]
    json: bool,
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Creates, checks, signs, approves and rolls out bundles.
    #[command(subcommand)]
    Bundle(bundle::Bundle),
    /// Shows and tops up budgets.
    #[command(subcommand)]
    Budget(budget::Budget),
    /// Lists the VMs and shows their state.
    #[command(subcommand)]
    Vm(vm::Vm),
    Explain(explain::Explain),
    /// Shows the state of the whole fleet.
    #[command(subcommand)]
    Fleet(fleet::Fleet),
}

impl Cli {
    /// Runs the command and returns its exit code.
    pub fn exec(self) -> ExitCode {
        match self.try_exec() {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("error: {error:#}");
                ExitCode::from(EXIT_FAILED)
            }
        }
    }

    fn try_exec(self) -> Result<()> {
        let format = if self.json { OutputFormat::Json } else { OutputFormat::Text };
        let context = CtlContext::new(read_ctl_settings(&self.settings)?, Shell::new(format));
        let runtime =
            tokio::runtime::Runtime::new().wrap_err("failed to start the async runtime")?;
        runtime.block_on(async {
            match self.command {
                Command::Bundle(bundle) => bundle.exec(&context).await,
                Command::Budget(budget) => budget.exec(&context).await,
                Command::Vm(vm) => vm.exec(&context).await,
                Command::Fleet(fleet) => fleet.exec(&context).await,
                Command::Explain(explain) => explain.exec(&context).await,
            }
        })
    }
}
