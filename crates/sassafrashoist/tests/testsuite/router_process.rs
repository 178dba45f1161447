//! Test fixture that runs the router program in a separate process.

use std::io::Write;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use sassafrashoist::core::settings::{Peer, Settings};
use sassafrashoist_testkit::client::caller::Caller;

static NEXT_FILE: AtomicU64 = AtomicU64::new(1);

/// A running router program, which is killed when the value is dropped.
pub struct RouterProcess {
    pub settings: Settings,
    child: Child,
    settings_path: PathBuf,
}

impl RouterProcess {
    pub fn start(settings: Settings) -> Self {
        let number = NEXT_FILE.fetch_add(1, Ordering::Relaxed);
        let name = format!("router-process-{}-{number}.json", std::process::id());
        let settings_path = std::env::temp_dir().join(name);
        let text = serde_json::to_vec(&settings).unwrap();
        std::fs::File::create(&settings_path).unwrap().write_all(&text).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_sassafrashoist"))
            .args(["run", "--settings"])
            .arg(&settings_path)
            .spawn()
            .unwrap();
        Self { settings, child, settings_path }
    }

    pub fn caller(&self, caller_key: &str) -> Caller {
        Caller::new(self.settings.caller_address, caller_key)
    }

    pub async fn wait_ready(&self) {
        let admin = Caller::new(self.settings.admin_address, "none");
        while admin.get("/ready").await.map_or(0, |response| response.status) != 200 {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    pub async fn read_state(&self) -> serde_json::Value {
        let admin = Caller::new(self.settings.admin_address, "none");
        serde_json::from_slice(&admin.get("/state").await.unwrap().body).unwrap()
    }

    /// Sends a signal by its name, such as `TERM` or `STOP`.
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill").args([&format!("-{name}"), &pid]).status().unwrap();
        assert!(status.success());
    }

    pub fn wait_exit(&mut self) -> ExitStatus {
        self.child.wait().unwrap()
    }
}

impl Drop for RouterProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings_path);
    }
}

/// Adds each of two routers to the peers in the other's settings.
pub fn make_peers(first: &mut Settings, second: &mut Settings) {
    first.peers.push(as_peer(second));
    second.peers.push(as_peer(first));
}

fn as_peer(settings: &Settings) -> Peer {
    Peer {
        vm_id: settings.vm_id.clone(),
        data_centre_id: settings.data_centre_id.clone(),
        address: settings.peer_address,
    }
}
