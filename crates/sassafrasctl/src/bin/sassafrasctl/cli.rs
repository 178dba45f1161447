//! The command line of the operator's command.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use eyre::{Result, WrapErr};
use sassafrasctl::core::ctl_context::CtlContext;
use sassafrasctl::core::ctl_settings::read_ctl_settings;
use sassafrasctl::util::shell::{OutputForm, Shell};

use crate::commands::{budget, bundle, explain, fleet, vm};

/// Exit code of a command that failed.
const EXIT_FAILED: u8 = 1;

/// Rolls out bundles, tops up budgets and explains what the fleet did.
///
/// Exit codes: 0 done, 1 failed or refused, 2 wrong command line.
#[derive(Debug, Parser)]
#[command(name = "sassafrasctl", version)]
pub struct Cli {
    /// The operator's settings file.
    #[arg(long, global = true, value_name = "FILE", default_value = "sassafrasctl.json")]
    settings: PathBuf,
    /// Writes JSON in place of text.
    #[arg(long, global = true)]
    json: bool,
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Bundles.
    #[command(subcommand)]
    Bundle(bundle::Bundle),
    /// Budgets.
    #[command(subcommand)]
    Budget(budget::Budget),
    /// VMs of the system.
    #[command(subcommand)]
    Vm(vm::Vm),
    Explain(explain::Explain),
    /// The fleet as a whole.
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
        let form = if self.json { OutputForm::Json } else { OutputForm::Text };
        let context = CtlContext::new(read_ctl_settings(&self.settings)?, Shell::new(form));
        let runtime = tokio::runtime::Runtime::new().wrap_err("failed to start")?;
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
