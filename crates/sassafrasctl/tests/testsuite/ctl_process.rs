//! A fixture that writes settings files of operators and runs `sassafrasctl` with them.

use std::collections::BTreeMap;
use std::fs;
use std::path::PathBuf;
use std::process::Command;
use std::sync::atomic::{AtomicU64, Ordering};

use sassafrasctl::core::ctl_settings::CtlSettings;
use sassafrashoist_bundle::operator_keys::encode_signing_key;
use sassafrashoist_testkit::fleet::operators::{APPROVER_ID, AUTHOR_ID, operator_key, operators};
use sassafrashoist_testkit::fleet::running_fleet::RunningFleet;

static NEXT_DIRECTORY: AtomicU64 = AtomicU64::new(1);

/// The output and exit code of a command.
#[derive(Debug)]
pub struct CtlRun {
    pub exit_code: i32,
    pub output: String,
    pub errors: String,
}

/// A temporary directory with the settings and signing keys of two operators.
pub struct CtlDirectory {
    path: PathBuf,
}

impl CtlDirectory {
    pub fn create(fleet: &RunningFleet) -> Self {
        let number = NEXT_DIRECTORY.fetch_add(1, Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!("ctl-{}-{number}", std::process::id()));
        fs::create_dir_all(&path).unwrap();
        let directory = Self { path };
        for operator_id in [AUTHOR_ID, APPROVER_ID] {
            directory.write_operator(operator_id, fleet);
        }
        directory
    }

    pub fn file(&self, name: &str) -> String {
        self.path.join(name).display().to_string()
    }

    pub fn run(&self, operator_id: &str, arguments: &[&str]) -> CtlRun {
        let output = Command::new(env!("CARGO_BIN_EXE_sassafrasctl"))
            .arg("--settings")
            .arg(self.path.join(format!("{operator_id}.json")))
            .args(arguments)
            .output()
            .unwrap();
        let directory = self.path.display().to_string();
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).replace(&directory, "DIR");
        CtlRun {
            exit_code: output.status.code().unwrap_or(-1),
            output: text(&output.stdout),
            errors: text(&output.stderr),
        }
    }

    fn write_operator(&self, operator_id: &str, fleet: &RunningFleet) {
        let key_file = self.path.join(format!("{operator_id}.key"));
        fs::write(&key_file, encode_signing_key(&operator_key(operator_id))).unwrap();
        let mut vm_admin_addresses = BTreeMap::new();
        for vm in &fleet.vms {
            vm_admin_addresses.insert(vm.settings.vm_id.clone(), vm.admin_address().unwrap());
        }
        let settings = CtlSettings {
            operator_id: operator_id.to_owned(),
            signing_key_file: key_file,
            platform_address: fleet.platform.address,
            vm_admin_addresses,
            root_operators: operators(),
        };
        let text = serde_json::to_vec(&settings).unwrap();
        fs::write(self.path.join(format!("{operator_id}.json")), text).unwrap();
    }
}

impl Drop for CtlDirectory {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.path);
    }
}
