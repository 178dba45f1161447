//! Formats the status of the fleet for people: what needs attention first, then each VM.

use std::fmt::Write;

use crate::core::fleet_vm_state::{FleetVmState, FollowedStream};
use crate::ops::queries::fleet_status::{FleetStatus, MemberOpinions};
use sassafrashoist_core::membership::member_state::MemberState;

/// Characters of a digest that are shown.
const SHORT_DIGEST_CHARS: usize = 12;

/// Formats the status of the fleet.
pub fn format_fleet_status(status: &FleetStatus) -> String {
    let mut text = String::new();
    let asked_count = status.vms.len() + status.silent.len();
    // Writing to a string cannot fail.
    let _ = writeln!(text, "{} of {asked_count} VMs answer", status.vms.len());
    format_bundles(status, &mut text);
    format_attention(status, &mut text);
    format_readers(status, &mut text);
    for vm in &status.vms {
        format_vm(vm, &mut text);
    }
    text
}

fn format_bundles(status: &FleetStatus, text: &mut String) {
    for holders in &status.bundles {
        let digest: String =
            holders.digest_sha256.iter().flat_map(|d| d.chars()).take(SHORT_DIGEST_CHARS).collect();
        let count = holders.vm_ids.len();
        let _ = match holders.version {
            0 => writeln!(text, "no bundle in force on {count}: {}", holders.vm_ids.join(", ")),
            version if status.bundles.len() == 1 => {
                writeln!(text, "bundle {version} ({digest}) in force on all {count}")
            }
            version => writeln!(
                text,
                "bundle {version} ({digest}) in force on {count}: {}",
                holders.vm_ids.join(", ")
            ),
        };
    }
}

fn format_attention(status: &FleetStatus, text: &mut String) {
    for (vm_id, reason) in &status.silent {
        let _ = writeln!(text, "! VM {vm_id} does not answer: {reason}");
    }
    for vm_id in &status.cut_off_from_platform {
        let _ = writeln!(text, "! VM {vm_id} is cut off from the platform");
    }
    for (vm_id, counters) in &status.broken_promises {
        for (name, count) in counters {
            let _ = writeln!(text, "! VM {vm_id} counts {name} {count}");
        }
    }
    for opinions in status.views.iter().filter(|opinions| !opinions.is_agreed_alive()) {
        let _ = writeln!(text, "! VM {}", format_opinions(opinions));
    }
}

fn format_opinions(opinions: &MemberOpinions) -> String {
    let mut parts = Vec::new();
    for (state, vm_ids) in &opinions.seen_by {
        parts.push(format!("{} to {}", name_state(*state), vm_ids.join(", ")));
    }
    if !opinions.damped_by.is_empty() {
        parts.push(format!("given no role by {}", opinions.damped_by.join(", ")));
    }
    format!("{} is {}", opinions.vm_id, parts.join("; "))
}

fn format_readers(status: &FleetStatus, text: &mut String) {
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
    let heard = match stream.unheard_ms {
        Some(unheard_ms) if stream.is_quiet => format!("not heard for {unheard_ms} ms"),
        Some(_) => "heard".to_owned(),
        None => "never heard".to_owned(),
    };
    format!("at {} from {source}, {} behind, {heard}", stream.next_offset, stream.lag_records)
}

fn name_state(state: MemberState) -> &'static str {
    match state {
        MemberState::Alive => "alive",
        MemberState::Leaving => "leaving",
        MemberState::Suspect => "suspect",
        MemberState::Gone => "gone",
    }
}
