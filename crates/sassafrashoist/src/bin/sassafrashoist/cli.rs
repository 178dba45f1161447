//! The command line of the router process.

use clap::{Parser, Subcommand};

use crate::commands::{check, run};

/// Routes callers' requests to backend servers within prepaid token budgets.
#[derive(Debug, Parser)]
#[command(name = "sassafrashoist", version)]
pub struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    Run(run::Run),
    Check(check::Check),
}

impl Cli {
    /// Runs the command.
    pub fn exec(self) -> eyre::Result<()> {
        match self.command {
            Command::Run(run) => run.exec(),
            Command::Check(check) => check.exec(),
        }
    }
}
