//! Combines the state dumps of all VMs into a status of the fleet.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;

use crate::core::ctl_context::CtlContext;
use crate::core::fleet_vm_state::FleetVmState;
use crate::ops::queries::read_vm_state::read_admin_page;
use sassafrashoist_core::ids::{BundleVersion, DataCentreId, VmId};
use sassafrashoist_core::membership::member_state::MemberState;

/// The status of the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct FleetStatus {
    /// The states of the VMs that responded.
    pub vms: Vec<FleetVmState>,
    /// The VMs whose state could not be read, with the reasons.
    #[serde(rename = "silent")]
    pub unresponsive: BTreeMap<VmId, String>,
    /// The VMs grouped by their active bundle, newest version first.
    pub bundles: Vec<BundleVmGroup>,
    /// The VMs that read a stream from the platform directly and are in contact with it, by stream
    /// and data centre.
    pub platform_readers: BTreeMap<String, BTreeMap<DataCentreId, Vec<VmId>>>,
    /// A summary of the membership views of each VM.
    #[serde(rename = "views")]
    pub member_views: Vec<MemberViewSummary>,
    /// The VMs without recent contact with the platform on at least one stream.
    #[serde(rename = "cut_off_from_platform")]
    pub disconnected_from_platform: Vec<VmId>,
    /// The invariant violation counters that are not 0, by VM.
    #[serde(rename = "broken_promises")]
    pub invariant_violations: BTreeMap<VmId, BTreeMap<String, u64>>,
}

/// The VMs that have the same active bundle.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct BundleVmGroup {
    /// The version of the bundle, 0 if there is none.
    pub version: BundleVersion,
    /// The digest of the bundle.
    pub digest_sha256: Option<String>,
    /// The ids of the VMs.
    pub vm_ids: Vec<VmId>,
}

/// The membership views that other VMs have of one VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct MemberViewSummary {
    /// The VM's id.
    pub vm_id: VmId,
    /// The other VMs by the state that they have recorded for it.
    pub seen_by: BTreeMap<MemberState, Vec<VmId>>,
    /// The VMs that got no response to their own heartbeats to it.
    pub unreachable_from: Vec<VmId>,
    /// The VMs that give it no role because its state changes too often.
    pub damped_by: Vec<VmId>,
}

impl MemberViewSummary {
    /// Returns whether all other VMs see it alive and none of them damps it.
    pub fn is_alive_and_undamped(&self) -> bool {
        self.seen_by.keys().eq([&MemberState::Alive]) && self.damped_by.is_empty()
    }
}

/// Reads the state of every VM in the settings and combines them.
pub async fn read_fleet_status(context: &CtlContext) -> FleetStatus {
    let vm_ids = context.settings.vm_admin_addresses.keys();
    let reads = vm_ids.map(|vm_id| async move {
        let state = read_admin_page::<FleetVmState>(context, vm_id, "/state").await;
        (vm_id.clone(), state.map_err(|error| format!("{error:#}")))
    });
    build_fleet_status(futures::future::join_all(reads).await)
}

/// Builds the fleet status from the state of each VM, or the reason why it could not be read.
pub fn build_fleet_status(responses: Vec<(VmId, Result<FleetVmState, String>)>) -> FleetStatus {
    let mut vms = Vec::new();
    let mut unresponsive = BTreeMap::new();
    for (vm_id, response) in responses {
        match response {
            Ok(state) => vms.push(state),
            Err(reason) => {
                unresponsive.insert(vm_id, reason);
            }
        }
    }
    FleetStatus {
        bundles: group_by_bundle(&vms),
        platform_readers: collect_platform_readers(&vms),
        member_views: summarize_member_views(&vms),
        disconnected_from_platform: find_disconnected(&vms),
        invariant_violations: collect_invariant_violations(&vms),
        vms,
        unresponsive,
    }
}

fn group_by_bundle(vms: &[FleetVmState]) -> Vec<BundleVmGroup> {
    let mut groups: BTreeMap<(BundleVersion, Option<String>), Vec<VmId>> = BTreeMap::new();
    for vm in vms {
        let bundle = (vm.bundle_version, vm.bundle_digest.clone());
        groups.entry(bundle).or_default().push(vm.vm_id.clone());
    }
    groups
        .into_iter()
        .rev()
        .map(|((version, digest_sha256), vm_ids)| BundleVmGroup { version, digest_sha256, vm_ids })
        .collect()
}

fn collect_platform_readers(
    vms: &[FleetVmState],
) -> BTreeMap<String, BTreeMap<DataCentreId, Vec<VmId>>> {
    let mut readers: BTreeMap<String, BTreeMap<DataCentreId, Vec<VmId>>> = BTreeMap::new();
    for vm in vms {
        for (stream, followed) in &vm.streams {
            if followed.reader_vm_id.is_none() && !followed.is_stale {
                let by_data_centre = readers.entry(stream.clone()).or_default();
                by_data_centre.entry(vm.data_centre_id.clone()).or_default().push(vm.vm_id.clone());
            }
        }
    }
    readers
}

fn summarize_member_views(vms: &[FleetVmState]) -> Vec<MemberViewSummary> {
    let subjects: BTreeSet<&VmId> =
        vms.iter().flat_map(|vm| vm.members.iter().map(|member| &member.vm_id)).collect();
    subjects.into_iter().map(|subject| summarize_member_view(vms, subject)).collect()
}

fn summarize_member_view(vms: &[FleetVmState], subject: &VmId) -> MemberViewSummary {
    let mut summary = MemberViewSummary {
        vm_id: subject.clone(),
        seen_by: BTreeMap::new(),
        unreachable_from: Vec::new(),
        damped_by: Vec::new(),
    };
    for vm in vms {
        let Some(member) = vm.members.iter().find(|member| member.vm_id == *subject) else {
            continue;
        };
        summary.seen_by.entry(member.state).or_default().push(vm.vm_id.clone());
        if !member.is_reachable {
            summary.unreachable_from.push(vm.vm_id.clone());
        }
        if member.is_damped {
            summary.damped_by.push(vm.vm_id.clone());
        }
    }
    summary
}

fn find_disconnected(vms: &[FleetVmState]) -> Vec<VmId> {
    let is_disconnected = |vm: &&FleetVmState| vm.streams.values().any(|stream| stream.is_stale);
    vms.iter().filter(is_disconnected).map(|vm| vm.vm_id.clone()).collect()
}

fn collect_invariant_violations(vms: &[FleetVmState]) -> BTreeMap<VmId, BTreeMap<String, u64>> {
    let mut violations = BTreeMap::new();
    for vm in vms {
        let counters: BTreeMap<String, u64> = vm
            .invariant_violations
            .iter()
            .filter(|(_, count)| **count > 0)
            .map(|(name, count)| (name.clone(), *count))
            .collect();
        if !counters.is_empty() {
            violations.insert(vm.vm_id.clone(), counters);
        }
    }
    violations
}
