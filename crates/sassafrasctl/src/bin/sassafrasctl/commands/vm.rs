//! `sassafrasctl vm`.

use clap::Subcommand;
use eyre::Result;
use sassafrasctl::core::ctl_context::CtlContext;
use sassafrasctl::ops::queries::list_vms::{format_vms, list_vms};
use sassafrasctl::ops::queries::read_vm_state::read_vm_state;

/// Lists the VMs and shows their state.
#[derive(Debug, Subcommand)]
pub enum Vm {
    /// Lists the VMs and their readiness.
    List,
    /// Shows the state dump of a VM.
    State {
        /// The VM's id.
        vm_id: String,
    },
}

impl Vm {
    /// Runs the command.
    pub async fn exec(self, context: &CtlContext) -> Result<()> {
        match self {
            Vm::List => {
                let vms = list_vms(context).await;
                context.shell.print(&vms, |vms| format_vms(vms))
            }
            Vm::State { vm_id } => {
                let state = read_vm_state(context, &vm_id).await?;
                context.shell.print(&state, |state| format!("{state:#}"))
            }
        }
    }
}
