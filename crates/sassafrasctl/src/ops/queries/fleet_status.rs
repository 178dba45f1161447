//! Joins the state dumps of all VMs into one status of the fleet.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;

use crate::core::ctl_context::CtlContext;
use crate::core::fleet_vm_state::FleetVmState;
use crate::ops::queries::read_vm_state::read_admin;
use sassafrashoist_core::ids::{BundleVersion, DataCentreId, VmId};
use sassafrashoist_core::membership::member_state::MemberState;

/// The status of the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct FleetStatus {
    /// The VMs that answered.
    pub vms: Vec<FleetVmState>,
    /// Why each of the others did not.
    pub silent: BTreeMap<VmId, String>,
    /// The VMs by the version and digest that they have in force.
    pub bundles: Vec<BundleHolders>,
    /// The VMs that read each stream from the platform, by data centre.
    pub platform_readers: BTreeMap<String, BTreeMap<DataCentreId, Vec<VmId>>>,
    /// How the VMs that answered see each VM.
    pub views: Vec<MemberOpinions>,
    /// The VMs that have not heard from the platform lately.
    pub cut_off_from_platform: Vec<VmId>,
    /// The promise counters that are not 0, by VM.
    pub broken_promises: BTreeMap<VmId, BTreeMap<String, u64>>,
}

/// The VMs that have one bundle in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct BundleHolders {
    /// Its version, 0 for none.
    pub version: BundleVersion,
    /// Its digest.
    pub digest_sha256: Option<String>,
    /// The VMs.
    pub vm_ids: Vec<VmId>,
}

/// How others see one VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct MemberOpinions {
    /// The VM.
    pub vm_id: VmId,
    /// The VMs that hold each state true of it.
    pub seen_by: BTreeMap<MemberState, Vec<VmId>>,
    /// The VMs whose own heartbeats to it were not answered.
    pub unreachable_from: Vec<VmId>,
    /// The VMs that give it no role because it comes and goes.
    pub damped_by: Vec<VmId>,
}

impl MemberOpinions {
    /// Returns whether everyone holds it to be alive and uses it.
    pub fn is_agreed_alive(&self) -> bool {
        self.seen_by.keys().eq([&MemberState::Alive]) && self.damped_by.is_empty()
    }
}

/// Asks every VM of the settings for its state.
pub async fn read_fleet_status(context: &CtlContext) -> FleetStatus {
    let vm_ids = context.settings.vm_admin_addresses.keys();
    let reads = vm_ids.map(|vm_id| async move {
        let state = read_admin::<FleetVmState>(context, vm_id, "/state").await;
        (vm_id.clone(), state.map_err(|error| format!("{error:#}")))
    });
    join_states(futures::future::join_all(reads).await)
}

/// Joins what each VM said.
pub fn join_states(answers: Vec<(VmId, Result<FleetVmState, String>)>) -> FleetStatus {
    let mut vms = Vec::new();
    let mut silent = BTreeMap::new();
    for (vm_id, answer) in answers {
        match answer {
            Ok(state) => vms.push(state),
            Err(reason) => {
                silent.insert(vm_id, reason);
            }
        }
    }
    FleetStatus {
        bundles: join_bundles(&vms),
        platform_readers: join_readers(&vms),
        views: join_views(&vms),
        cut_off_from_platform: find_cut_off(&vms),
        broken_promises: find_broken_promises(&vms),
        vms,
        silent,
    }
}

fn join_bundles(vms: &[FleetVmState]) -> Vec<BundleHolders> {
    let mut holders: BTreeMap<(BundleVersion, Option<String>), Vec<VmId>> = BTreeMap::new();
    for vm in vms {
        let bundle = (vm.bundle_version, vm.bundle_digest.clone());
        holders.entry(bundle).or_default().push(vm.vm_id.clone());
    }
    holders
        .into_iter()
        .rev()
        .map(|((version, digest_sha256), vm_ids)| BundleHolders { version, digest_sha256, vm_ids })
        .collect()
}

fn join_readers(vms: &[FleetVmState]) -> BTreeMap<String, BTreeMap<DataCentreId, Vec<VmId>>> {
    let mut readers: BTreeMap<String, BTreeMap<DataCentreId, Vec<VmId>>> = BTreeMap::new();
    for vm in vms {
        for (stream, followed) in &vm.streams {
            if followed.reader_vm_id.is_none() && !followed.is_quiet {
                let by_data_centre = readers.entry(stream.clone()).or_default();
                by_data_centre.entry(vm.data_centre_id.clone()).or_default().push(vm.vm_id.clone());
            }
        }
    }
    readers
}

fn join_views(vms: &[FleetVmState]) -> Vec<MemberOpinions> {
    let subjects: BTreeSet<&VmId> =
        vms.iter().flat_map(|vm| vm.members.iter().map(|member| &member.vm_id)).collect();
    subjects.into_iter().map(|subject| join_opinions(vms, subject)).collect()
}

fn join_opinions(vms: &[FleetVmState], subject: &VmId) -> MemberOpinions {
    let mut opinions = MemberOpinions {
        vm_id: subject.clone(),
        seen_by: BTreeMap::new(),
        unreachable_from: Vec::new(),
        damped_by: Vec::new(),
    };
    for vm in vms {
        let Some(member) = vm.members.iter().find(|member| member.vm_id == *subject) else {
            continue;
        };
        opinions.seen_by.entry(member.state).or_default().push(vm.vm_id.clone());
        if !member.is_reachable {
            opinions.unreachable_from.push(vm.vm_id.clone());
        }
        if member.is_damped {
            opinions.damped_by.push(vm.vm_id.clone());
        }
    }
    opinions
}

fn find_cut_off(vms: &[FleetVmState]) -> Vec<VmId> {
    let is_cut_off = |vm: &&FleetVmState| vm.streams.values().any(|stream| stream.is_quiet);
    vms.iter().filter(is_cut_off).map(|vm| vm.vm_id.clone()).collect()
}

fn find_broken_promises(vms: &[FleetVmState]) -> BTreeMap<VmId, BTreeMap<String, u64>> {
    let mut broken = BTreeMap::new();
    for vm in vms {
        let counters: BTreeMap<String, u64> = vm
            .promises
            .iter()
            .filter(|(_, count)| **count > 0)
            .map(|(name, count)| (name.clone(), *count))
            .collect();
        if !counters.is_empty() {
            broken.insert(vm.vm_id.clone(), counters);
        }
    }
    broken
}
