//! Runs the stack end to end on the stand-ins; exits 0 only if every step succeeds.

use clap::Parser;
use sassafrashoist_testkit::quickstart::{run_quickstart, stay};

/// Runs the stack end to end on the stand-ins.
#[derive(Debug, Parser)]
struct Arguments {
    /// Keeps the fleet running afterwards and prints its addresses.
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
