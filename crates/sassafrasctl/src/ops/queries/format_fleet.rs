//! Formats the fleet status as text: active bundles and warnings first, then streams and VMs.

use std::fmt::Write;

use crate::core::fleet_vm_state::{FleetVmState, FollowedStream};
use crate::ops::queries::fleet_status::{FleetStatus, MemberViewSummary};
use sassafrashoist_core::membership::member_state::MemberState;

/// The number of characters of a digest that are shown.
const SHORT_DIGEST_CHARS: usize = 12;

/// Formats the fleet status as text.
pub fn format_fleet_status(status: &FleetStatus) -> String {
    let mut text = String::new();
    let vm_count = status.vms.len() + status.unresponsive.len();
    // Writing to a string cannot fail, so the results are ignored.
    let _ = writeln!(text, "{} of {vm_count} VMs answer", status.vms.len());
    format_bundles(status, &mut text);
    format_warnings(status, &mut text);
    format_platform_readers(status, &mut text);
    for vm in &status.vms {
        format_vm(vm, &mut text);
    }
    text
}

fn format_bundles(status: &FleetStatus, text: &mut String) {
    for group in &status.bundles {
        let digest: String =
            group.digest_sha256.iter().flat_map(|d| d.chars()).take(SHORT_DIGEST_CHARS).collect();
        let count = group.vm_ids.len();
        let _ = match group.version {
            0 => writeln!(text, "no bundle in force on {count}: {}", group.vm_ids.join(", ")),
            version if status.bundles.len() == 1 => {
                writeln!(text, "bundle {version} ({digest}) in force on all {count}")
            }
            version => writeln!(
                text,
                "bundle {version} ({digest}) in force on {count}: {}",
                group.vm_ids.join(", ")
            ),
        };
    }
}

fn format_warnings(status: &FleetStatus, text: &mut String) {
    for (vm_id, reason) in &status.unresponsive {
        let _ = writeln!(text, "! VM {vm_id} does not answer: {reason}");
    }
    for vm_id in &status.disconnected_from_platform {
        let _ = writeln!(text, "! VM {vm_id} is cut off from the platform");
    }
    for (vm_id, counters) in &status.invariant_violations {
        for (name, count) in counters {
            let _ = writeln!(text, "! VM {vm_id} counts {name} {count}");
        }
    }
    for summary in status.member_views.iter().filter(|summary| !summary.is_alive_and_undamped()) {
        let _ = writeln!(text, "! VM {}", format_member_views(summary));
    }
}

fn format_member_views(summary: &MemberViewSummary) -> String {
    let mut parts = Vec::new();
    for (state, vm_ids) in &summary.seen_by {
        parts.push(format!("{} to {}", state_name(*state), vm_ids.join(", ")));
    }
    if !summary.damped_by.is_empty() {
        parts.push(format!("given no role by {}", summary.damped_by.join(", ")));
    }
    format!("{} is {}", summary.vm_id, parts.join("; "))
}

fn format_platform_readers(status: &FleetStatus, text: &mut String) {
    for (stream, by_data_centre) in &status.platform_readers {
        for (data_centre_id, vm_ids) in by_data_centre {
            let readers = vm_ids.join(", ");
            let _ = writeln!(text, "stream {stream} in {data_centre_id} is relayed by {readers}");
        }
    }
}

fn format_vm(vm: &FleetVmState, text: &mut String) {
    let drain = if vm.is_draining { "  draining" } else { "" };
    let _ = writeln!(
        text,
        "VM {}  in {}  {}{drain}  bundle {}  in flight {}  incarnation {}",
        vm.vm_id,
        vm.data_centre_id,
        vm.readiness,
        vm.bundle_version,
        vm.in_flight_count,
        vm.incarnation
    );
    for (name, stream) in &vm.streams {
        let _ = writeln!(text, "  {name}: {}", format_stream(stream));
    }
}

fn format_stream(stream: &FollowedStream) -> String {
    let source = stream.reader_vm_id.as_deref().unwrap_or("platform");
    let contact = match stream.contact_age_ms {
        Some(contact_age_ms) if stream.is_stale => format!("not heard for {contact_age_ms} ms"),
        Some(_) => "heard".to_owned(),
        None => "never heard".to_owned(),
    };
    format!("at {} from {source}, {} behind, {contact}", stream.next_offset, stream.lag_records)
}

fn state_name(state: MemberState) -> &'static str {
    match state {
        MemberState::Alive => "alive",
        MemberState::Leaving => "leaving",
        MemberState::Suspect => "suspect",
        MemberState::Gone => "gone",
    }
}
