//! Runs the whole path on the stand-ins; exits 0 only if everything held.

use clap::Parser;
use sassafrashoist_testkit::quickstart::{run_quickstart, stay};

/// Runs the whole path on the stand-ins.
#[derive(Debug, Parser)]
struct Arguments {
    /// Keeps the fleet running afterwards and prints its ports.
    #[arg(long)]
    stay: bool,
}

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let arguments = Arguments::parse();
    let fleet = run_quickstart().await?;
    if arguments.stay {
        stay(&fleet).await?;
    }
    Ok(())
}
