//! `sassafrasctl fleet`.

use clap::Subcommand;
use eyre::Result;
use sassafrasctl::core::ctl_context::CtlContext;
use sassafrasctl::ops::queries::fleet_status::read_fleet_status;
use sassafrasctl::ops::queries::format_fleet::format_fleet_status;

/// Shows the state of the whole fleet.
#[derive(Debug, Subcommand)]
pub enum Fleet {
    /// Shows active bundle versions, VMs that need attention, and the streams that each VM reads.
    Status,
}

impl Fleet {
    /// Runs the command.
    pub async fn exec(self, context: &CtlContext) -> Result<()> {
        match self {
            Fleet::Status => {
                let status = read_fleet_status(context).await;
                context.shell.print(&status, format_fleet_status)
            }
        }
    }
}
