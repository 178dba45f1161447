//! Short soak tests with fixed seeds.

use std::path::PathBuf;
use std::time::Duration;

use sassafrashoist_platform_stand_in::soak::run_soak::run_soak;
use sassafrashoist_platform_stand_in::soak::soak_plan::SoakPlan;
use tokio::sync::Mutex;

/// Seeds with which gateways that stopped lost requests that they had passed on.
const LOST_AT_STOP_SEEDS: [u64; 3] = [3, 4, 8];

/// A seed with which gateways broke off streams of silent servers.
const SILENCE_SEED: u64 = 4;
/// A seed with which endless servers kept gateways from serving other pools.
const ENDLESS_SEED: u64 = 2;
/// The fewest streams that callers take up at another gateway while servers are silent.
const MIN_RESUMES: usize = 10;

/// A soak has the machine's processors to itself, as far as the other tests leave them.
static TURN: Mutex<()> = Mutex::const_new(());

fn plan(name: &str, seed: u64) -> SoakPlan {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::remove_dir_all(&folder).ok();
    SoakPlan {
        seed,
        planned_work: Duration::from_secs(4),
        silences: Duration::ZERO,
        endless: Duration::ZERO,
        duration: Duration::ZERO,
        program: PathBuf::from(env!("CARGO_BIN_EXE_sassafrashoist")),
        folder,
        gateway_count: 4,
        paid_tokens: 800_000,
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn invariants_hold_under_random_faults() {
    let _turn = TURN.lock().await;
    let plan = SoakPlan { duration: Duration::from_secs(10), ..plan("soak", 1) };

    let result = run_soak(&plan).await.unwrap();

    assert_eq!(result.find_violations(), [""; 0]);
    assert!(result.faults.len() > 3, "{:?}", result.faults);
    assert!(result.used_tokens() > 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stopping_gateways_answer_what_they_have_passed_on() {
    let _turn = TURN.lock().await;
    for seed in LOST_AT_STOP_SEEDS {
        let plan = plan(&format!("soak-stops-{seed}"), seed);

        let result = run_soak(&plan).await.unwrap();

        assert_eq!(result.find_violations(), [""; 0], "seed {seed}");
        assert!(result.drains.len() > 3, "seed {seed}: {:?}", result.drains);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn silent_servers_keep_their_streams_beside_changes() {
    let _turn = TURN.lock().await;
    let plan = SoakPlan {
        planned_work: Duration::ZERO,
        silences: Duration::from_secs(14),
        ..plan("soak-silences", SILENCE_SEED)
    };

    let result = run_soak(&plan).await.unwrap();

    assert_eq!(result.find_violations(), [""; 0]);
    assert!(result.route_changes.len() > 3, "{:?}", result.route_changes);
    assert!(result.count_resumes_beside_silences() >= MIN_RESUMES);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn endless_servers_harm_only_their_pool() {
    let _turn = TURN.lock().await;
    let plan = SoakPlan {
        planned_work: Duration::ZERO,
        endless: Duration::from_secs(25),
        ..plan("soak-endless", ENDLESS_SEED)
    };

    let result = run_soak(&plan).await.unwrap();

    assert_eq!(result.find_violations(), [""; 0]);
    assert!(result.endless.len() > 2, "{:?}", result.endless);
}
