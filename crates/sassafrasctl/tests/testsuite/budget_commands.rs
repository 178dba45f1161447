use sassafrashoist_testkit::engine::engine_settings::EngineSettings;
use sassafrashoist_testkit::fleet::fleet_plan::FleetPlan;
use sassafrashoist_testkit::fleet::operators::AUTHOR_ID;
use sassafrashoist_testkit::fleet::running_fleet::RunningFleet;

use super::ctl_process::{CtlDirectory, CtlRun};

const BUDGET: &str = "fippu-budget";

async fn start_fleet() -> RunningFleet {
    let plan = FleetPlan::new(&["plateau", "rufisque"], 1, EngineSettings::default());
    RunningFleet::start(plan).await.unwrap()
}

fn paid_tokens(result: &CtlRun) -> u64 {
    let report: serde_json::Value = serde_json::from_str(&result.output).unwrap();
    report["paid_tokens"].as_u64().unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn budget_top_up_with_one_id_counts_once() {
    let fleet = start_fleet().await;
    let directory = CtlDirectory::create(&fleet);
    let top_up = ["budget", "top-up", BUDGET, "500", "--id", "payment-7"];
    let before = directory.run(AUTHOR_ID, &["--json", "budget", "show", BUDGET]);

    let first = directory.run(AUTHOR_ID, &top_up);
    let second = directory.run(AUTHOR_ID, &top_up);
    let after = directory.run(AUTHOR_ID, &["--json", "budget", "show", BUDGET]);

    assert_eq!([first.exit_code, second.exit_code], [0, 0]);
    assert_eq!(paid_tokens(&after), paid_tokens(&before) + 500);
}

#[tokio::test(flavor = "multi_thread")]
async fn budget_top_up_refuses_what_the_bundle_does_not_have() {
    let fleet = start_fleet().await;
    let directory = CtlDirectory::create(&fleet);

    let unknown_budget =
        directory.run(AUTHOR_ID, &["budget", "top-up", "nowhere", "5", "--id", "p"]);
    let weight = ["budget", "top-up", BUDGET, "5", "--id", "p", "--weight", "moon=1"];
    let unknown_data_centre = directory.run(AUTHOR_ID, &weight);
    let zero_tokens = directory.run(AUTHOR_ID, &["budget", "top-up", BUDGET, "0", "--id", "p"]);

    assert_eq!(unknown_budget.exit_code, 1);
    assert!(unknown_budget.errors.contains("\"nowhere\" is not in bundle version 1"));
    assert_eq!(unknown_data_centre.exit_code, 1);
    assert!(unknown_data_centre.errors.contains("\"moon\" is not in bundle version 1"));
    assert_eq!(zero_tokens.exit_code, 1);
    assert!(zero_tokens.errors.contains("expected 1 token or more"));
}

#[tokio::test(flavor = "multi_thread")]
async fn command_line_that_is_wrong_exits_with_2() {
    let fleet = start_fleet().await;
    let directory = CtlDirectory::create(&fleet);

    let run = directory.run(AUTHOR_ID, &["budget", "shrink"]);

    assert_eq!(run.exit_code, 2);
}
