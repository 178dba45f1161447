//! Collects the decisions of all VMs about one request.

use serde::Serialize;

use crate::core::ctl_context::CtlContext;
use crate::ops::queries::read_vm_state::read_admin_page;
use sassafrashoist_core::decision_log::Decision;
use sassafrashoist_core::ids::{RequestKey, VmId};

/// The decisions of all VMs about one request.
#[derive(Debug, Clone, Serialize)]
pub struct Explanation {
    /// The request's key.
    pub key: RequestKey,
    /// The decisions, ordered by time.
    pub decisions: Vec<Decision>,
    /// The VMs that did not respond.
    #[serde(rename = "silent_vm_ids")]
    pub unresponsive_vm_ids: Vec<VmId>,
}

/// Reads the decisions about a request from every VM in the settings.
pub async fn explain_request(context: &CtlContext, key: &str) -> Explanation {
    let mut explanation =
        Explanation { key: key.to_owned(), decisions: Vec::new(), unresponsive_vm_ids: Vec::new() };
    for vm_id in context.settings.vm_admin_addresses.keys() {
        match read_admin_page::<Vec<Decision>>(context, vm_id, &format!("/explain/{key}")).await {
            Ok(decisions) => explanation.decisions.extend(decisions),
            Err(_) => explanation.unresponsive_vm_ids.push(vm_id.clone()),
        }
    }
    explanation.decisions.sort_by(|a, b| (a.at, &a.vm_id).cmp(&(b.at, &b.vm_id)));
    explanation
}

/// Formats an explanation, with one line per decision.
pub fn format_explanation(explanation: &Explanation) -> String {
    let mut text = format!("request {}\n", explanation.key);
    for decision in &explanation.decisions {
        text.push_str(&format!(
            "  {}.{:03}  VM {}  bundle {}  {:?}: {} {}: {}\n",
            decision.at.as_secs(),
            decision.at.subsec_millis(),
            decision.vm_id,
            decision.bundle_version,
            decision.kind,
            decision.code.number(),
            decision.code.name(),
            decision.reason
        ));
    }
    if explanation.decisions.is_empty() {
        text.push_str("  no VM has a record of this request\n");
    }
    for vm_id in &explanation.unresponsive_vm_ids {
        text.push_str(&format!("  VM {vm_id} did not answer\n"));
    }
    text
}
