//! Builds the state dump of this process.

use crate::core::clock::read_clock;
use crate::core::process_state::ProcessState;
use crate::core::router_context::RouterContext;

/// The number of newest decisions in a dump.
const MAX_DUMPED_DECISIONS: usize = 100;

/// Reads every table, one after the other; the dump is not an atomic snapshot.
pub fn dump_state(context: &RouterContext) -> ProcessState {
    let bundle = context.tables.bundle();
    let (accounts, key_entry_count) = {
        let owner = context.tables.lock_owner();
        (owner.accounts(), owner.key_count())
    };
    let waiting_count = context.tables.dispatcher().waiting_count();
    let (server_limits, backend_servers) = {
        let routing = context.tables.lock_routing();
        (routing.limits(), routing.servers().cloned().collect())
    };
    ProcessState {
        vm_id: context.settings.vm_id.clone(),
        data_centre_id: context.settings.data_centre_id.clone(),
        incarnation: context.incarnation(),
        readiness: context.tables.readiness(),
        is_draining: context.drain_gate.is_draining(),
        in_flight_count: context.drain_gate.in_flight_count(),
        bundle_version: bundle.as_ref().map_or(0, |bundle| bundle.version()),
        bundle_digest: bundle.map(|bundle| bundle.signed.digest_sha256.clone()),
        ledger_next_offset: context.tables.lock_ledger().ledger.next_offset,
        accounts,
        key_entry_count,
        server_limits,
        waiting_count,
        backend_servers,
        members: context.tables.lock_membership().view(),
        streams: context.tables.lock_relay().view(read_clock()),
        control_traffic: context.traffic.read_all(),
        invariant_violations: context.invariants.counts(),
        decisions: context.tables.lock_decisions().newest(MAX_DUMPED_DECISIONS),
    }
}
