use std::time::Duration;

use sassafrasctl::ops::queries::fleet_status::read_fleet_status;
use sassafrashoist::core::readiness::ReadinessStep;
use sassafrashoist_core::membership::member_state::MemberState;
use sassafrashoist_platform::streams::BUNDLE_STREAM;
use sassafrashoist_testkit::child_router::ChildRouter;
use sassafrashoist_testkit::client::caller::Caller;
use sassafrashoist_testkit::engine::engine_settings::EngineSettings;
use sassafrashoist_testkit::fleet::audit::Audit;
use sassafrashoist_testkit::fleet::fleet_plan::FleetPlan;
use sassafrashoist_testkit::fleet::operators::AUTHOR_ID;
use sassafrashoist_testkit::fleet::running_fleet::RunningFleet;

use crate::router_process::RouterProcess;
use crate::waiting::wait_until;

const PAUSE: Duration = Duration::from_secs(1);

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
    let fleet = RunningFleet::start_without_bundle(plan(1)).await.unwrap();
    wait_until("the other VM and the platform have been contacted", || {
        let context = fleet.vms[0].context().unwrap();
        let is_contacted =
            context.tables.lock_membership().members().all(|m| m.update.incarnation > 0);
        is_contacted && context.tables.lock_relay().view(Duration::ZERO).len() == 2
    })
    .await;

    let admin = Caller::new(fleet.vms[0].admin_address().unwrap(), "none");
    let response = admin.get("/ready").await.unwrap();

    assert_eq!(response.status, 503);
    insta::assert_snapshot!(String::from_utf8_lossy(&response.body), @r"
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
    wait_until("every VM is reachable", || {
        fleet.vms.iter().all(|vm| {
            let context = vm.context().unwrap();
            context.tables.lock_membership().members().all(|m| m.is_reachable)
        })
    })
    .await;

    let status = read_fleet_status(&fleet.ctl(AUTHOR_ID)).await;

    assert_eq!((status.vms.len(), status.unresponsive.len()), (4, 0));
    assert_eq!(status.bundles.len(), 1);
    assert_eq!(status.bundles[0].vm_ids.len(), 4);
    assert!(status.member_views.iter().all(|summary| summary.is_alive_and_undamped()));
    assert_eq!(status.platform_readers[BUNDLE_STREAM].len(), 2);
    assert!(status.invariant_violations.is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn membership_of_running_vms_finds_a_killed_one_and_takes_it_back() {
    let mut fleet = RunningFleet::start(plan(2)).await.unwrap();
    let before = fleet.vms[0].context().unwrap().incarnation();
    let is_gone = |fleet: &RunningFleet, observer: usize| {
        let context = fleet.vms[observer].context().unwrap();
        context.tables.lock_membership().is_gone("plateau-vm-1", before)
    };
    wait_until("VM 3 records plateau-vm-1 as alive", || {
        state_at(&fleet, 3, "plateau-vm-1") == Some(MemberState::Alive)
    })
    .await;

    fleet.vms[0].kill();
    wait_until("all other VMs record it as gone", || {
        (1..4).all(|observer| is_gone(&fleet, observer))
    })
    .await;
    fleet.start_vm(0).await.unwrap();

    wait_until("all other VMs record it as alive", || {
        (1..4)
            .all(|observer| state_at(&fleet, observer, "plateau-vm-1") == Some(MemberState::Alive))
    })
    .await;
    assert!(fleet.vms[0].context().unwrap().incarnation() > before);
    assert!(is_gone(&fleet, 3));
}

#[tokio::test(flavor = "multi_thread")]
async fn membership_gives_a_process_that_was_paused_a_new_incarnation() {
    let stand_ins = RunningFleet::start(plan(0)).await.unwrap();
    let mut settings = ChildRouter::plan("vm-1", "plateau", stand_ins.platform.address);
    settings.membership.suspect_timeout = PAUSE / 2;
    settings.membership.round_interval = PAUSE / 10;
    let process = RouterProcess::start(settings);
    process.wait_ready().await;
    let before = process.read_state().await["incarnation"].as_u64().unwrap();

    process.signal("STOP");
    tokio::time::sleep(PAUSE).await;
    process.signal("CONT");
    process.wait_ready().await;

    let state = process.read_state().await;
    let decisions = state["decisions"].as_array().unwrap();
    let is_pause = |reason: &str| reason.starts_with("VM vm-1 ") && reason.ends_with(": Paused");
    assert!(state["incarnation"].as_u64().unwrap() > before);
    assert!(decisions.iter().any(|decision| is_pause(decision["reason"].as_str().unwrap())));
}

#[tokio::test(flavor = "multi_thread")]
async fn recovery_without_the_platform_takes_bundle_and_ledger_from_peers() {
    let mut fleet = RunningFleet::start(plan(2)).await.unwrap();

    fleet.vms[0].kill();
    fleet.platform.set_faults(|faults| faults.is_unresponsive = true);
    fleet.start_vm(0).await.unwrap();

    let context = fleet.vms[0].context().unwrap();
    wait_until("the VM is ready", || context.tables.readiness() == ReadinessStep::Ready).await;
    let paid = |index: usize| {
        let context = fleet.vms[index].context().unwrap();
        let table = context.tables.lock_ledger();
        table.ledger.budgets["fippu-budget"].paid_tokens
    };
    assert_eq!(paid(0), paid(1));
    assert!(Audit::collect(&fleet).is_clean());
}
