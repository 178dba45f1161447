//! The router process.

mod cli;
mod commands;

use clap::Parser;

fn main() -> eyre::Result<()> {
    cli::Cli::parse().exec()
}
