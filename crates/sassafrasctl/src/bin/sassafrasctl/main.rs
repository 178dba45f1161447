//! The operator's command.

mod cli;
mod commands;

use std::process::ExitCode;

use clap::Parser;

fn main() -> ExitCode {
    cli::Cli::parse().exec()
}
