use std::time::Duration;

use sassafrashoist_bundle::bundle::Bundle;
use sassafrashoist_platform::streams::{BUNDLE_STREAM, LEDGER_STREAM};
use sassafrashoist_testkit::engine::engine_settings::EngineSettings;
use sassafrashoist_testkit::fleet::fleet_plan::FleetPlan;
use sassafrashoist_testkit::fleet::running_fleet::RunningFleet;

use crate::waiting::wait_until;

async fn start_fleet() -> RunningFleet {
    let plan = FleetPlan::new(&["plateau", "rufisque"], 3, EngineSettings::default());
    RunningFleet::start(plan).await.unwrap()
}

fn second_bundle(fleet: &RunningFleet) -> Bundle {
    let mut bundle = fleet.build_bundle();
    bundle.version = 2;
    bundle.based_on_version = 1;
    bundle
}

/// Returns the running VMs of the first data centre that read a stream from the platform.
fn platform_readers(fleet: &RunningFleet, stream: &str) -> Vec<usize> {
    let is_reader = |index: &usize| {
        let Ok(context) = fleet.vms[*index].context() else { return false };
        let views = context.tables.lock_relay().view(Duration::ZERO);
        views.get(stream).is_some_and(|view| view.reader_vm_id.is_none())
    };
    (0..3).filter(is_reader).collect()
}

async fn wait_for_one_reader(fleet: &RunningFleet) -> usize {
    wait_until("one VM reads the bundles", || platform_readers(fleet, BUNDLE_STREAM).len() == 1)
        .await;
    platform_readers(fleet, BUNDLE_STREAM)[0]
}

#[tokio::test(flavor = "multi_thread")]
async fn relay_leaves_one_reader_of_each_stream_in_a_data_centre() {
    let fleet = start_fleet().await;

    wait_for_one_reader(&fleet).await;
    wait_until("one VM reads the ledger", || platform_readers(&fleet, LEDGER_STREAM).len() == 1)
        .await;
    fleet.push(second_bundle(&fleet)).await.unwrap();

    fleet.wait_ready(2).await.unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn relay_is_taken_over_when_the_reader_dies() {
    let mut fleet = start_fleet().await;
    let reader = wait_for_one_reader(&fleet).await;

    fleet.vms[reader].kill();
    fleet.push(second_bundle(&fleet)).await.unwrap();

    fleet.wait_ready(2).await.unwrap();
    let successor = wait_for_one_reader(&fleet).await;
    assert_ne!(successor, reader);
}

#[tokio::test(flavor = "multi_thread")]
async fn relay_is_bypassed_when_the_reader_is_cut_off_from_its_peers() {
    let fleet = start_fleet().await;
    let reader = wait_for_one_reader(&fleet).await;
    for to in (0..6).filter(|to| *to != reader) {
        fleet.peer_links[&(reader, to)].set_cut(true);
        fleet.peer_links[&(to, reader)].set_cut(true);
    }

    fleet.push(second_bundle(&fleet)).await.unwrap();

    fleet.wait_ready(2).await.unwrap();
}
