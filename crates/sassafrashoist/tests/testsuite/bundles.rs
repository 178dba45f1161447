use std::time::Duration;

use sassafrasctl::ops::commands::approve_bundle::approve_bundle;
use sassafrasctl::ops::commands::push_bundle::push_bundle;
use sassafrasctl::ops::commands::sign_bundle::sign_bundle;
use sassafrasctl::ops::queries::read_bundle_chain::read_bundle_chain;
use sassafrashoist_bundle::account::Budget;
use sassafrashoist_bundle::bundle::Bundle;
use sassafrashoist_bundle::bundle_record::BundleRecord;
use sassafrashoist_bundle::signed_bundle::SignedBundle;
use sassafrashoist_core::decision_log::DecisionKind;
use sassafrashoist_core::result_code::ResultCode;
use sassafrashoist_platform::streams::BUNDLE_STREAM;
use sassafrashoist_testkit::engine::engine_settings::EngineSettings;
use sassafrashoist_testkit::fleet::audit::Audit;
use sassafrashoist_testkit::fleet::fleet_plan::FleetPlan;
use sassafrashoist_testkit::fleet::operators::{APPROVER_ID, AUTHOR_ID};
use sassafrashoist_testkit::fleet::running_fleet::RunningFleet;

use crate::waiting::wait_until;

const SNAPSHOT_INTERVAL: Duration = Duration::from_millis(300);

async fn start_fleet(vm_count: usize) -> RunningFleet {
    let plan = FleetPlan::new(&["plateau", "rufisque"], vm_count, EngineSettings::default());
    RunningFleet::start(plan).await.unwrap()
}

fn next_bundle(fleet: &RunningFleet, version: u64, suffix: &str) -> Bundle {
    let mut bundle = fleet.build_bundle();
    bundle.version = version;
    bundle.based_on_version = version - 1;
    bundle.budgets.push(Budget { id: format!("budget-{suffix}"), account_id: "fippu".into() });
    bundle
}

fn sign(fleet: &RunningFleet, bundle: Bundle, author: &str, approver: &str) -> SignedBundle {
    let signed = sign_bundle(&fleet.ctl(author), bundle).unwrap();
    approve_bundle(&fleet.ctl(approver), signed).unwrap()
}

fn version_of(fleet: &RunningFleet, index: usize) -> u64 {
    let context = fleet.vms[index].context().unwrap();
    context.tables.bundle().map_or(0, |bundle| bundle.version())
}

async fn append_raw(fleet: &RunningFleet, payload: Vec<u8>) {
    fleet.ctl(AUTHOR_ID).platform.append(BUNDLE_STREAM, vec![payload]).await.unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn bundle_race_has_one_winner_and_tells_the_other_who_won() {
    let fleet = start_fleet(1).await;
    let first = sign(&fleet, next_bundle(&fleet, 2, "a"), AUTHOR_ID, APPROVER_ID);
    let second = sign(&fleet, next_bundle(&fleet, 2, "b"), APPROVER_ID, AUTHOR_ID);
    let base = read_bundle_chain(&fleet.ctl(AUTHOR_ID)).await.unwrap().chain;
    let winner = BundleRecord::propose(base.active_bundle(), first);

    append_raw(&fleet, serde_json::to_vec(&winner).unwrap()).await;
    let error = push_bundle(&fleet.ctl(APPROVER_ID), second).await.unwrap_err().to_string();

    fleet.wait_ready(2).await.unwrap();
    assert!(error.starts_with("lost to version 2 by awa\n"), "{error}");
    assert!(error.contains("+ budgets[budget-b].id = \"budget-b\""), "{error}");
    assert!(Audit::collect(&fleet).is_clean());
}

#[tokio::test(flavor = "multi_thread")]
async fn bundle_push_with_a_lost_response_is_read_back_and_not_retried() {
    let fleet = start_fleet(1).await;
    let signed = sign(&fleet, next_bundle(&fleet, 2, "a"), AUTHOR_ID, APPROVER_ID);
    fleet.platform.set_faults(|faults| faults.lost_append_responses = 1);

    let pushed = push_bundle(&fleet.ctl(AUTHOR_ID), signed).await.unwrap();

    let state = read_bundle_chain(&fleet.ctl(AUTHOR_ID)).await.unwrap();
    assert_eq!(pushed.version, 2);
    assert_eq!(state.proposals.len(), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn bundle_that_nobody_approved_is_refused_by_every_vm_with_the_reason() {
    let fleet = start_fleet(1).await;
    let unapproved = sign_bundle(&fleet.ctl(AUTHOR_ID), next_bundle(&fleet, 2, "a")).unwrap();
    let record = BundleRecord::propose(None, unapproved);

    append_raw(&fleet, serde_json::to_vec(&record).unwrap()).await;
    append_raw(&fleet, b"no record".to_vec()).await;
    fleet.push(next_bundle(&fleet, 2, "b")).await.unwrap();
    fleet.wait_ready(2).await.unwrap();

    for vm in &fleet.vms {
        let decisions = vm.context().unwrap().tables.lock_decisions().newest(1_000);
        let refused: Vec<_> = decisions
            .iter()
            .filter(|d| d.kind == DecisionKind::Bundle && d.code == ResultCode::BundleRefused)
            .collect();
        assert_eq!(refused.len(), 2, "{refused:?}");
        assert!(refused[0].reason.ends_with("refused: bundle is not approved"));
    }
    let state = read_bundle_chain(&fleet.ctl(AUTHOR_ID)).await.unwrap();
    assert_eq!(state.proposals[1].refusal.as_deref(), Some("bundle is not approved"));
}

#[tokio::test(flavor = "multi_thread")]
async fn bundle_is_adopted_from_peers_by_a_vm_that_starts_while_the_platform_is_unreachable() {
    let mut fleet = start_fleet(2).await;
    fleet.push(next_bundle(&fleet, 2, "a")).await.unwrap();
    fleet.wait_ready(2).await.unwrap();

    fleet.vms[0].kill();
    fleet.platform.set_faults(|faults| faults.is_unresponsive = true);
    fleet.start_vm(0).await.unwrap();

    wait_until("the VM has the bundle", || version_of(&fleet, 0) == 2).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bundle_is_read_from_a_snapshot_when_the_log_trimmed_the_proposals() {
    let mut fleet = start_fleet(1).await;
    for index in 0..2 {
        fleet.vms[index].kill();
        fleet.vms[index].settings.bundle_snapshot_interval = SNAPSHOT_INTERVAL;
        fleet.start_vm(index).await.unwrap();
    }
    for version in 2..=4 {
        fleet.push(next_bundle(&fleet, version, "a")).await.unwrap();
    }
    fleet.wait_ready(4).await.unwrap();

    fleet.platform.set_faults(|faults| faults.trim_after = Some(SNAPSHOT_INTERVAL * 4));
    tokio::time::sleep(SNAPSHOT_INTERVAL * 5).await;
    fleet.vms[0].kill();
    fleet.set_data_centres_cut(0, 1, true);
    fleet.start_vm(0).await.unwrap();

    wait_until("the VM has the bundle", || version_of(&fleet, 0) == 4).await;
    let state = read_bundle_chain(&fleet.ctl(AUTHOR_ID)).await.unwrap();
    assert_eq!((state.chain.version(), state.proposals.len()), (4, 0));
}

#[tokio::test(flavor = "multi_thread")]
async fn bundle_is_kept_by_a_data_centre_that_is_cut_off_and_caught_up_with_afterwards() {
    let fleet = start_fleet(1).await;
    fleet.set_data_centres_cut(0, 1, true);
    fleet.set_platform_cut(1, true);

    fleet.push(next_bundle(&fleet, 2, "a")).await.unwrap();
    wait_until("the reachable VM has the bundle", || version_of(&fleet, 0) == 2).await;
    let while_cut = version_of(&fleet, 1);
    fleet.set_data_centres_cut(0, 1, false);
    fleet.set_platform_cut(1, false);

    assert_eq!(while_cut, 1);
    wait_until("the other VM has the bundle", || version_of(&fleet, 1) == 2).await;
    assert!(Audit::collect(&fleet).is_clean());
}
