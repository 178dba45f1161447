//! A short seeded run of the soak.

use std::path::PathBuf;
use std::time::Duration;

use sassafrashoist_platform_stand_in::soak::run_soak::run_soak;
use sassafrashoist_platform_stand_in::soak::soak_plan::SoakPlan;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn promises_are_kept_under_random_faults() {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("soak");
    std::fs::remove_dir_all(&folder).ok();
    let plan = SoakPlan {
        seed: 1,
        duration: Duration::from_secs(10),
        program: PathBuf::from(env!("CARGO_BIN_EXE_sassafrashoist")),
        folder,
        paid_tokens: 800_000,
    };

    let seen = run_soak(&plan).await.unwrap();

    assert_eq!(seen.find_violations(), [""; 0]);
    assert!(seen.faults.len() > 3, "{:?}", seen.faults);
    assert!(seen.used_tokens() > 0);
}
