//! The operators' command-line tool.

mod cli;
mod commands;

use std::process::ExitCode;

use clap::Parser;

fn main() -> ExitCode {
    cli::Cli::parse().exec()
}
