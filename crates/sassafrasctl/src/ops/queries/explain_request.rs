//! Collects the decisions about one request from every VM.

use serde::Serialize;

use crate::core::ctl_context::CtlContext;
use crate::ops::queries::read_vm_state::read_admin;
use sassafrashoist_core::decision_log::Decision;
use sassafrashoist_core::ids::{RequestKey, VmId};

/// The decisions about one request, in order of time.
#[derive(Debug, Clone, Serialize)]
pub struct Explanation {
    /// The request's key.
    pub key: RequestKey,
    /// The decisions.
    pub decisions: Vec<Decision>,
    /// The VMs that did not answer.
    pub silent_vm_ids: Vec<VmId>,
}

/// Asks every VM of the settings for its decisions about a request.
pub async fn explain_request(context: &CtlContext, key: &str) -> Explanation {
    let mut explanation =
        Explanation { key: key.to_owned(), decisions: Vec::new(), silent_vm_ids: Vec::new() };
    for vm_id in context.settings.vm_admin_addresses.keys() {
        match read_admin::<Vec<Decision>>(context, vm_id, &format!("/explain/{key}")).await {
            Ok(decisions) => explanation.decisions.extend(decisions),
            Err(_) => explanation.silent_vm_ids.push(vm_id.clone()),
        }
    }
    explanation.decisions.sort_by(|a, b| (a.at, &a.vm_id).cmp(&(b.at, &b.vm_id)));
    explanation
}

/// Formats an explanation, a line for each decision.
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
        text.push_str("  no VM has a record of it\n");
    }
    for vm_id in &explanation.silent_vm_ids {
        text.push_str(&format!("  VM {vm_id} did not answer\n"));
    }
    text
}
