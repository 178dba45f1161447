//! The command line of the router process.

use clap::{Parser, Subcommand};

use crate::commands::{check, gateway, run};

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
    Gateway(gateway::Gateway),
    Check(check::Check),
}

impl Cli {
    /// Runs the command.
    pub fn exec(self) -> eyre::Result<()> {
        match self.command {
            Command::Run(run) => run.exec(),
            Command::Gateway(gateway) => gateway.exec(),
            Command::Check(check) => check.exec(),
        }
    }
}
