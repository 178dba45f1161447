//! `sassafrashoist check`.

use std::path::PathBuf;

use clap::Args;
use sassafrashoist::gateway::run_gateway::read_vm_settings;
use sassafrashoist::ops::check_settings::check_settings;

/// Checks a settings file and reports every error.
#[derive(Debug, Args)]
#[group(required = true, multiple = false)]
pub struct Check {
    /// The settings file of a router.
    #[arg(long, value_name = "FILE")]
    settings: Option<PathBuf>,
    /// The settings file that the platform provides for a VM that runs the gateway.
    #[arg(long, value_name = "FILE")]
    vm_settings: Option<PathBuf>,
}

impl Check {
    /// Runs the command.
    pub fn exec(self) -> eyre::Result<()> {
        if let Some(path) = self.settings {
            let settings = check_settings(&path)?;
            println!("settings of VM {} are valid", settings.vm_id);
        }
        if let Some(path) = self.vm_settings {
            let settings = read_vm_settings(&path)?;
            println!("settings of VM {} are valid", settings.vm_id);
        }
        Ok(())
    }
}
