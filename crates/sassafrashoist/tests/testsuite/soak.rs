//! Short soak tests with fixed seeds.

use std::path::PathBuf;
use std::time::Duration;

use sassafrashoist_platform_stand_in::soak::run_soak::run_soak;
use sassafrashoist_platform_stand_in::soak::soak_plan::SoakPlan;

/// Seeds with which gateways that stopped lost requests that they had passed on.
const LOST_AT_STOP_SEEDS: [u64; 3] = [3, 4, 8];

fn plan(name: &str, seed: u64) -> SoakPlan {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::remove_dir_all(&folder).ok();
    SoakPlan {
        seed,
        planned_work: Duration::from_secs(4),
        duration: Duration::ZERO,
        program: PathBuf::from(env!("CARGO_BIN_EXE_sassafrashoist")),
        folder,
        gateway_count: 4,
        paid_tokens: 800_000,
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn invariants_hold_under_random_faults() {
    let plan = SoakPlan { duration: Duration::from_secs(10), ..plan("soak", 1) };

    let result = run_soak(&plan).await.unwrap();

    assert_eq!(result.find_violations(), [""; 0]);
    assert!(result.faults.len() > 3, "{:?}", result.faults);
    assert!(result.used_tokens() > 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stopping_gateways_answer_what_they_have_passed_on() {
    for seed in LOST_AT_STOP_SEEDS {
        let plan = plan(&format!("soak-stops-{seed}"), seed);

        let result = run_soak(&plan).await.unwrap();

        assert_eq!(result.find_violations(), [""; 0], "seed {seed}");
        assert!(result.drains.len() > 3, "seed {seed}: {:?}", result.drains);
    }
}
