//! A fixture: a gateway with two engines and two servers of the plain service.

use std::path::{Path, PathBuf};

use sassafrashoist_platform_stand_in::stand_in_fleet::{EVENT_INTERVAL, FleetPlan, StandInFleet};

/// Starts one gateway with its servers; `test_file` and `name` name the folder of its settings and log.
pub async fn start_one_gateway(test_file: &str, name: &str, paid_tokens: u64) -> StandInFleet {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(test_file).join(name);
    std::fs::remove_dir_all(&folder).ok();
    let program = Path::new(env!("CARGO_BIN_EXE_sassafrashoist"));
    let plan = FleetPlan {
        gateway_count: 1,
        engine_count: 2,
        plain_count: 2,
        paid_tokens,
        has_own_paths: false,
        event_interval: EVENT_INTERVAL,
    };
    StandInFleet::start(program, &folder, plan).await.unwrap()
}
