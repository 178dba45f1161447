//! A short soak test with a fixed seed.

use std::path::PathBuf;
use std::time::Duration;

use sassafrashoist_platform_stand_in::soak::run_soak::run_soak;
use sassafrashoist_platform_stand_in::soak::soak_plan::SoakPlan;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn invariants_hold_under_random_faults() {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("soak");
    std::fs::remove_dir_all(&folder).ok();
    let plan = SoakPlan {
        seed: 1,
        planned_work: Duration::from_secs(5),
        duration: Duration::from_secs(10),
        program: PathBuf::from(env!("CARGO_BIN_EXE_sassafrashoist")),
        folder,
        gateway_count: 4,
        paid_tokens: 800_000,
    };

    let result = run_soak(&plan).await.unwrap();

    assert_eq!(result.find_violations(), [""; 0]);
    assert!(result.faults.len() > 3, "{:?}", result.faults);
    assert!(result.used_tokens() > 0);
}
