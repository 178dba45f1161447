use std::fs;

use sassafrashoist_testkit::engine::engine_settings::EngineSettings;
use sassafrashoist_testkit::fleet::fleet_plan::FleetPlan;
use sassafrashoist_testkit::fleet::operators::{APPROVER_ID, AUTHOR_ID};
use sassafrashoist_testkit::fleet::running_fleet::RunningFleet;

use super::ctl_process::CtlDirectory;

async fn start_idle_fleet() -> RunningFleet {
    let plan = FleetPlan::new(&["plateau"], 1, EngineSettings::default());
    RunningFleet::start_without_bundle(plan).await.unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn bundle_goes_from_init_to_in_force() {
    let fleet = start_idle_fleet().await;
    let directory = CtlDirectory::create(&fleet);
    let (bundle, signed) = (directory.file("bundle.json"), directory.file("signed.json"));

    let init = directory.run(AUTHOR_ID, &["bundle", "init", &bundle]);
    let check = directory.run(AUTHOR_ID, &["bundle", "check", &bundle]);
    let sign = directory.run(AUTHOR_ID, &["bundle", "sign", &bundle, "--out", &signed]);
    let unapproved_push = directory.run(AUTHOR_ID, &["bundle", "push", &signed]);
    let self_approval = directory.run(AUTHOR_ID, &["bundle", "approve", &signed]);
    let approve = directory.run(APPROVER_ID, &["bundle", "approve", &signed]);
    let push = directory.run(AUTHOR_ID, &["--json", "bundle", "push", &signed]);
    let second_push = directory.run(AUTHOR_ID, &["--json", "bundle", "push", &signed]);
    let status = directory.run(APPROVER_ID, &["bundle", "status"]);
    fleet.wait_ready(1).await.unwrap();

    assert_eq!([init.exit_code, check.exit_code, sign.exit_code], [0, 0, 0]);
    assert_eq!(unapproved_push.exit_code, 1);
    assert!(
        unapproved_push.errors.contains("bundle is not approved"),
        "{}",
        unapproved_push.errors
    );
    assert_eq!(self_approval.exit_code, 1);
    assert!(
        self_approval.errors.contains("cannot approve its own bundle"),
        "{}",
        self_approval.errors
    );
    assert_eq!(approve.exit_code, 0);
    let pushed: serde_json::Value = serde_json::from_str(&push.output).unwrap();
    assert_eq!(pushed["version"], 1);
    assert_eq!(second_push.output, push.output);
    assert!(status.output.starts_with("version 1 is in force"), "{}", status.output);
}

#[tokio::test(flavor = "multi_thread")]
async fn bundle_check_reports_every_error_of_a_file() {
    let fleet = start_idle_fleet().await;
    let directory = CtlDirectory::create(&fleet);
    let (whole, broken) = (directory.file("whole.json"), directory.file("broken.json"));
    directory.run(AUTHOR_ID, &["bundle", "init", &whole]);
    let text = fs::read_to_string(&whole).unwrap();
    let text = text.replace("\"pool_id\": \"engines\"", "\"pool_id\": \"nowhere\"");
    fs::write(&broken, text.replace("\"slot_count\": 16", "\"slot_count\": 0")).unwrap();

    let check = directory.run(AUTHOR_ID, &["bundle", "check", &broken]);

    assert_eq!(check.exit_code, 1);
    insta::assert_snapshot!(check.errors, @r#"
    error: DIR/broken.json: backend_servers[0].pool_id: "nowhere" does not exist in this bundle
    DIR/broken.json: backend_servers[0].kind.slot_count: expected 1 to 100000
    DIR/broken.json: backend_servers[1].kind.slot_count: expected 1 to 100000
    DIR/broken.json: routes[0].pool_id: "nowhere" does not exist in this bundle
    "#);
}

#[tokio::test(flavor = "multi_thread")]
async fn bundle_check_refuses_a_truncated_file() {
    let fleet = start_idle_fleet().await;
    let directory = CtlDirectory::create(&fleet);
    let (whole, cut) = (directory.file("whole.json"), directory.file("cut.json"));
    directory.run(AUTHOR_ID, &["bundle", "init", &whole]);
    let text = fs::read_to_string(&whole).unwrap();
    fs::write(&cut, &text[..text.len() / 2]).unwrap();

    let check = directory.run(AUTHOR_ID, &["bundle", "check", &cut]);

    assert_eq!(check.exit_code, 1);
    assert!(check.errors.contains("EOF while parsing"), "{}", check.errors);
}
