//! Lists the VMs of the settings and whether each is ready.

use serde::Serialize;
use serde_json::Value;

use crate::core::ctl_context::CtlContext;
use crate::ops::queries::read_vm_state::read_vm_state;
use sassafrashoist_core::ids::VmId;

/// One VM in the list.
#[derive(Debug, Clone, Serialize)]
pub struct VmLine {
    /// The VM.
    pub vm_id: VmId,
    /// Its data centre, once it has answered.
    pub data_centre_id: Option<String>,
    /// Its readiness, or why it did not answer.
    pub state: String,
    /// The bundle version it has in force.
    pub bundle_version: Option<u64>,
}

/// Asks every VM of the settings for its state.
pub async fn list_vms(context: &CtlContext) -> Vec<VmLine> {
    let vm_ids = context.settings.vm_admin_addresses.keys();
    let lines = vm_ids.map(|vm_id| async move {
        match read_vm_state(context, vm_id).await {
            Ok(state) => describe_vm(vm_id, &state),
            Err(error) => VmLine {
                vm_id: vm_id.clone(),
                data_centre_id: None,
                state: format!("no answer: {error}"),
                bundle_version: None,
            },
        }
    });
    futures::future::join_all(lines).await
}

fn describe_vm(vm_id: &VmId, state: &Value) -> VmLine {
    let text = |name: &str| state[name].as_str().map(str::to_owned);
    VmLine {
        vm_id: vm_id.clone(),
        data_centre_id: text("data_centre_id"),
        state: text("readiness").unwrap_or_default(),
        bundle_version: state["bundle_version"].as_u64(),
    }
}

/// Formats the list, a line each.
pub fn format_vms(lines: &[VmLine]) -> String {
    let mut text = String::new();
    for line in lines {
        let data_centre = line.data_centre_id.as_deref().unwrap_or("-");
        let version = line.bundle_version.map_or("-".to_owned(), |version| version.to_string());
        text.push_str(&format!(
            "{}  data centre {data_centre}  bundle {version}  {}\n",
            line.vm_id, line.state
        ));
    }
    text
}
