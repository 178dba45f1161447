//! Lists the VMs in the settings and their readiness.

use serde::Serialize;
use serde_json::Value;

use crate::core::ctl_context::CtlContext;
use crate::ops::queries::read_vm_state::read_vm_state;
use sassafrashoist_core::ids::VmId;

/// The readiness and active bundle of one VM.
#[derive(Debug, Clone, Serialize)]
pub struct VmSummary {
    /// The VM's id.
    pub vm_id: VmId,
    /// Its data centre, if the VM responded.
    pub data_centre_id: Option<String>,
    /// Its readiness, or why its state could not be read.
    pub state: String,
    /// The version of its active bundle, if the VM responded.
    pub bundle_version: Option<u64>,
}

/// Reads the state of every VM in the settings.
pub async fn list_vms(context: &CtlContext) -> Vec<VmSummary> {
    let vm_ids = context.settings.vm_admin_addresses.keys();
    let summaries = vm_ids.map(|vm_id| async move {
        match read_vm_state(context, vm_id).await {
            Ok(state) => summarize_vm(vm_id, &state),
            Err(error) => VmSummary {
                vm_id: vm_id.clone(),
                data_centre_id: None,
                state: format!("no answer: {error}"),
                bundle_version: None,
            },
        }
    });
    futures::future::join_all(summaries).await
}

fn summarize_vm(vm_id: &VmId, state: &Value) -> VmSummary {
    let string_field = |name: &str| state[name].as_str().map(str::to_owned);
    VmSummary {
        vm_id: vm_id.clone(),
        data_centre_id: string_field("data_centre_id"),
        state: string_field("readiness").unwrap_or_default(),
        bundle_version: state["bundle_version"].as_u64(),
    }
}

/// Formats the list as text, with one line per VM.
pub fn format_vms(vms: &[VmSummary]) -> String {
    let mut text = String::new();
    for vm in vms {
        let data_centre = vm.data_centre_id.as_deref().unwrap_or("-");
        let version = vm.bundle_version.map_or("-".to_owned(), |version| version.to_string());
        text.push_str(&format!(
            "{}  data centre {data_centre}  bundle {version}  {}\n",
            vm.vm_id, vm.state
        ));
    }
    text
}
