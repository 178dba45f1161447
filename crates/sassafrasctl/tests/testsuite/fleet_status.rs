use std::collections::BTreeMap;
use std::time::Duration;

use sassafrasctl::core::fleet_vm_state::{FleetVmState, FollowedStream};
use sassafrasctl::ops::queries::explain_request::{Explanation, format_explanation};
use sassafrasctl::ops::queries::fleet_status::build_fleet_status;
use sassafrasctl::ops::queries::format_fleet::format_fleet_status;
use sassafrashoist_core::decision_log::{Decision, DecisionKind};
use sassafrashoist_core::membership::member::{MemberView, PlatformListing};
use sassafrashoist_core::membership::member_state::MemberState;
use sassafrashoist_core::result_code::ResultCode;

fn member(vm_id: &str, state: MemberState) -> MemberView {
    MemberView {
        vm_id: vm_id.into(),
        data_centre_id: "plateau".into(),
        incarnation: 7,
        state,
        listed: PlatformListing::Live,
        is_reachable: state == MemberState::Alive,
        is_damped: false,
        bundle_version: 3,
    }
}

fn stream(reader_vm_id: Option<&str>, is_stale: bool) -> FollowedStream {
    FollowedStream {
        reader_vm_id: reader_vm_id.map(str::to_owned),
        next_offset: 12,
        lag_records: u64::from(is_stale) * 2,
        contact_age_ms: Some(if is_stale { 61_000 } else { 40 }),
        is_stale,
    }
}

fn vm(vm_id: &str, bundle_version: u64, members: Vec<MemberView>) -> FleetVmState {
    FleetVmState {
        vm_id: vm_id.into(),
        data_centre_id: "plateau".into(),
        incarnation: 7,
        readiness: "ready".into(),
        is_draining: false,
        in_flight_count: 2,
        bundle_version,
        bundle_digest: Some(format!("{bundle_version}").repeat(64)),
        members,
        streams: BTreeMap::from([("bundles".to_owned(), stream(None, false))]),
        invariant_violations: BTreeMap::from([("double_runs".to_owned(), 0)]),
    }
}

#[test]
fn fleet_status_of_a_sound_fleet_is_short() {
    let first = vm("vm-1", 3, vec![member("vm-2", MemberState::Alive)]);
    let mut second = vm("vm-2", 3, vec![member("vm-1", MemberState::Alive)]);
    second.streams.insert("bundles".to_owned(), stream(Some("vm-1"), false));

    let status = build_fleet_status(vec![("vm-1".into(), Ok(first)), ("vm-2".into(), Ok(second))]);

    insta::assert_snapshot!(format_fleet_status(&status), @r#"
    2 of 2 VMs answer
    bundle 3 (333333333333) in force on all 2
    stream bundles in plateau is relayed by vm-1
    VM vm-1  in plateau  ready  bundle 3  in flight 2  incarnation 7
      bundles: at 12 from platform, 0 behind, heard
    VM vm-2  in plateau  ready  bundle 3  in flight 2  incarnation 7
      bundles: at 12 from vm-1, 0 behind, heard
    "#);
}

#[test]
fn fleet_status_shows_first_what_needs_attention() {
    let first = vm(
        "vm-1",
        3,
        vec![member("vm-2", MemberState::Alive), member("vm-3", MemberState::Suspect)],
    );
    let mut second =
        vm("vm-2", 2, vec![member("vm-1", MemberState::Alive), member("vm-3", MemberState::Alive)]);
    second.members[0].is_damped = true;
    second.streams.insert("bundles".to_owned(), stream(None, true));
    second.invariant_violations.insert("double_runs".to_owned(), 1);

    let status = build_fleet_status(vec![
        ("vm-1".into(), Ok(first)),
        ("vm-2".into(), Ok(second)),
        ("vm-3".into(), Err("no connection".into())),
    ]);

    insta::assert_snapshot!(format_fleet_status(&status), @r#"
    2 of 3 VMs answer
    bundle 3 (333333333333) in force on 1: vm-1
    bundle 2 (222222222222) in force on 1: vm-2
    ! VM vm-3 does not answer: no connection
    ! VM vm-2 is cut off from the platform
    ! VM vm-2 counts double_runs 1
    ! VM vm-1 is alive to vm-2; given no role by vm-2
    ! VM vm-3 is alive to vm-2; suspect to vm-1
    stream bundles in plateau is relayed by vm-1
    VM vm-1  in plateau  ready  bundle 3  in flight 2  incarnation 7
      bundles: at 12 from platform, 0 behind, heard
    VM vm-2  in plateau  ready  bundle 2  in flight 2  incarnation 7
      bundles: at 12 from platform, 2 behind, not heard for 61000 ms
    "#);
}

#[test]
fn explanation_joins_the_vms_in_order_of_time() {
    let decision = |at_ms, vm_id: &str, code, reason: &str| Decision {
        at: Duration::from_millis(at_ms),
        vm_id: vm_id.into(),
        bundle_version: 3,
        key: "fippu/bid-1".into(),
        kind: DecisionKind::Admit,
        code,
        reason: reason.into(),
    };
    let explanation = Explanation {
        key: "fippu/bid-1".into(),
        decisions: vec![
            decision(1_001, "vm-1", ResultCode::Done, "attempt 1"),
            decision(1_202, "vm-2", ResultCode::Replayed, "key is known"),
        ],
        unresponsive_vm_ids: vec!["vm-3".into()],
    };

    insta::assert_snapshot!(format_explanation(&explanation), @r#"
    request fippu/bid-1
      1.001  VM vm-1  bundle 3  Admit: 1000 Done: attempt 1
      1.202  VM vm-2  bundle 3  Admit: 1001 Replayed: key is known
      VM vm-3 did not answer
    "#);
}
