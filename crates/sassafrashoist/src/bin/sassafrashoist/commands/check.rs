//! `sassafrashoist check`.

use std::path::PathBuf;

use clap::Args;
use sassafrashoist::ops::check_settings::check_settings;

/// Checks a settings file and reports every error.
#[derive(Debug, Args)]
pub struct Check {
    /// The settings file.
    #[arg(long, value_name = "FILE")]
    settings: PathBuf,
}

impl Check {
    /// Runs the command.
    pub fn exec(self) -> eyre::Result<()> {
        let settings = check_settings(&self.settings)?;
        println!("settings of VM {} are valid", settings.vm_id);
        Ok(())
    }
}
