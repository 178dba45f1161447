use sassafrasctl::ops::queries::fleet_status::read_fleet_status;
use sassafrashoist_core::membership::member_state::MemberState;
use sassafrashoist_platform::streams::BUNDLE_STREAM;
use sassafrashoist_testkit::client::caller::Caller;
use sassafrashoist_testkit::engine::engine_settings::EngineSettings;
use sassafrashoist_testkit::fleet::fleet_plan::FleetPlan;
use sassafrashoist_testkit::fleet::operators::AUTHOR_ID;
use sassafrashoist_testkit::fleet::running_fleet::RunningFleet;

use crate::waiting::wait_until;

fn plan(vm_count: usize) -> FleetPlan {
    FleetPlan::new(&["plateau", "rufisque"], vm_count, EngineSettings::default())
}

fn state_at(fleet: &RunningFleet, observer: usize, subject: &str) -> Option<MemberState> {
    let context = fleet.vms[observer].context().unwrap();
    let members = context.tables.lock_membership();
    members.state_of(subject)
}

#[tokio::test(flavor = "multi_thread")]
async fn recovery_says_which_step_it_waits_for() {
    let fleet = RunningFleet::start_idle(plan(1)).await.unwrap();
    wait_until("the other VM and the platform are heard", || {
        let context = fleet.vms[0].context().unwrap();
        let is_heard = context.tables.lock_membership().members().all(|m| m.update.incarnation > 0);
        is_heard && context.tables.lock_relay().view(std::time::Duration::ZERO).len() == 2
    })
    .await;

    let admin = Caller::new(fleet.vms[0].admin_address().unwrap(), "none");
    let answer = admin.get("/ready").await.unwrap();

    assert_eq!(answer.status, 503);
    insta::assert_snapshot!(String::from_utf8_lossy(&answer.body), @r"
    waits for a bundle from the platform or another VM
    bundle version: 0
    other VMs heard: 1 of 1
    stream bundles: 0 behind, heard
    stream ledger: 0 behind, heard
    ");
}

#[tokio::test(flavor = "multi_thread")]
async fn fleet_status_is_joined_from_every_vm() {
    let fleet = RunningFleet::start(plan(2)).await.unwrap();
    wait_until("every VM was heard", || {
        fleet.vms.iter().all(|vm| {
            let context = vm.context().unwrap();
            context.tables.lock_membership().members().all(|m| m.is_reachable)
        })
    })
    .await;

    let status = read_fleet_status(&fleet.ctl(AUTHOR_ID)).await;

    assert_eq!((status.vms.len(), status.silent.len()), (4, 0));
    assert_eq!(status.bundles.len(), 1);
    assert_eq!(status.bundles[0].vm_ids.len(), 4);
    assert!(status.views.iter().all(|opinions| opinions.is_agreed_alive()));
    assert_eq!(status.platform_readers[BUNDLE_STREAM].len(), 2);
    assert!(status.broken_promises.is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn membership_of_running_vms_finds_a_killed_one_and_takes_it_back() {
    let mut fleet = RunningFleet::start(plan(2)).await.unwrap();
    let before = fleet.vms[0].context().unwrap().incarnation();
    let is_gone = |fleet: &RunningFleet, observer: usize| {
        let context = fleet.vms[observer].context().unwrap();
        context.tables.lock_membership().is_gone("plateau-vm-1", before)
    };
    wait_until("the VM was heard", || {
        state_at(&fleet, 3, "plateau-vm-1") == Some(MemberState::Alive)
    })
    .await;

    fleet.vms[0].kill();
    wait_until("all hold it gone", || (1..4).all(|observer| is_gone(&fleet, observer))).await;
    fleet.start_vm(0).await.unwrap();

    wait_until("all hold it alive", || {
        (1..4)
            .all(|observer| state_at(&fleet, observer, "plateau-vm-1") == Some(MemberState::Alive))
    })
    .await;
    assert!(fleet.vms[0].context().unwrap().incarnation() > before);
    assert!(is_gone(&fleet, 3));
}
