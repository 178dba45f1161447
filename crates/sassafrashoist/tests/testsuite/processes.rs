use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command};
use std::time::Duration;

use sassafrashoist::core::settings::{ListenAddresses, Settings};
use sassafrashoist_testkit::client::caller::{Answer, Call, Caller};
use sassafrashoist_testkit::engine::answer_tokens::whole_answer;
use sassafrashoist_testkit::engine::engine_settings::EngineSettings;
use sassafrashoist_testkit::fleet::fleet_bundle::APPRAISAL_PATH;
use sassafrashoist_testkit::fleet::fleet_plan::FleetPlan;
use sassafrashoist_testkit::fleet::operators::operators;
use sassafrashoist_testkit::fleet::running_fleet::RunningFleet;

const PROMPT: &str = "lot 9";
const SLOW_STEP: Duration = Duration::from_millis(20);

struct RouterProcess {
    child: Child,
    settings_path: PathBuf,
    settings: Settings,
}

impl Drop for RouterProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings_path);
    }
}

fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

/// Starts a router process in a data centre of its own, so that it owns that part of the budget.
fn start_process(platform_address: SocketAddr) -> RouterProcess {
    let addresses =
        ListenAddresses { callers: free_address(), admin: free_address(), peers: free_address() };
    let (vm_id, data_centre_id) = ("rufisque-process".into(), "rufisque".into());
    let settings = Settings::new(vm_id, data_centre_id, addresses, platform_address, operators());
    let settings_path =
        std::env::temp_dir().join(format!("router-process-{}.json", std::process::id()));
    let text = serde_json::to_vec(&settings).unwrap();
    std::fs::File::create(&settings_path).unwrap().write_all(&text).unwrap();
    let child = Command::new(env!("CARGO_BIN_EXE_sassafrashoist"))
        .args(["run", "--settings"])
        .arg(&settings_path)
        .spawn()
        .unwrap();
    RouterProcess { child, settings_path, settings }
}

async fn read_ready(process: &RouterProcess) -> u16 {
    let admin = Caller::new(process.settings.admin_address, "none");
    admin.get("/ready").await.map_or(0, |answer| answer.status)
}

async fn wait_ready(process: &RouterProcess) {
    while read_ready(process).await != 200 {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

fn appraisal(token_count: u64) -> Call {
    let body = serde_json::json!({
        "model": "appraiser", "prompt": PROMPT, "max_tokens": token_count, "stream": true,
    });
    Call { path: APPRAISAL_PATH.into(), body: body.to_string(), ..Call::default() }
}

fn assert_whole(answer: &Answer, token_count: u64) {
    assert_eq!(answer.status, 200);
    assert!(answer.is_whole);
    assert_eq!(answer.text, whole_answer(PROMPT, token_count));
}

#[tokio::test(flavor = "multi_thread")]
async fn process_serves_a_request_and_drains_it_on_sigterm() {
    let engine = EngineSettings { step_time: SLOW_STEP, ..EngineSettings::default() };
    let mut plan = FleetPlan::new(&["plateau", "rufisque"], 1, engine);
    plan.data_centres[1].vm_count = 0;
    let fleet = RunningFleet::start(plan).await.unwrap();
    let mut process = start_process(fleet.platform.address);
    wait_ready(&process).await;
    let caller = Caller::new(process.settings.caller_address, "fippu-key");

    let first = caller.post(&appraisal(3)).await.unwrap();
    let long_call = appraisal(50);
    let in_progress = caller.post(&long_call);
    let terminate = async {
        tokio::time::sleep(SLOW_STEP * 5).await;
        let pid = process.child.id().to_string();
        assert!(Command::new("kill").args(["-TERM", &pid]).status().unwrap().success());
    };
    let (second, ()) = tokio::join!(in_progress, terminate);
    let status = process.child.wait().unwrap();

    assert_whole(&first, 3);
    assert_whole(&second.unwrap(), 50);
    assert!(status.success());
}
