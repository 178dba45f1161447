//! Gateways as processes, started with the command of the deploy file.

use std::fs::File;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use crate::caller::{self, Request};
use crate::harness::wait_until;

/// The program and its argument in the deploy file; it is started in the root of the repository.
const PROGRAM: &str = "target/release/sassafrashoist";
const ARGUMENT: &str = "gateway";
/// The longest time until a gateway is ready.
const READY_LIMIT: Duration = Duration::from_secs(20);

const SIGKILL: i32 = 9;
const SIGTERM: i32 = 15;
const SIGCONT: i32 = 18;
const SIGSTOP: i32 = 19;

unsafe extern "C" {
    fn kill(process_id: i32, signal: i32) -> i32;
}

/// The processes that were started and have not been waited for.
static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills all gateways that still run.
pub fn kill_all() {
    for id in CHILDREN.lock().unwrap_or_else(PoisonError::into_inner).drain(..) {
        send_signal(id, SIGKILL);
    }
}

fn send_signal(id: u32, signal: i32) {
    // SAFETY: the call takes plain numbers, and the process is a child that was not waited for.
    unsafe { kill(id as i32, signal) };
}

/// A gateway process; dropping it kills it.
#[derive(Debug)]
pub struct Gateway {
    /// The VM.
    pub vm_id: String,
    /// The address for callers.
    pub caller_address: SocketAddr,
    readiness_address: SocketAddr,
    settings_path: PathBuf,
    log_path: PathBuf,
    child: Child,
}

impl Gateway {
    /// Starts a gateway of a zone; each has a loopback address of its own, so that all of them use
    /// the ports of the deploy file.
    pub fn start(
        folder: &Path,
        index: u8,
        zone: &str,
        log_service: SocketAddr,
    ) -> Result<Self, String> {
        let run = std::process::id();
        let ip = Ipv4Addr::new(127, 1 + (run / 250 % 250) as u8, (run % 250) as u8, 10 + index);
        let port = |_: &str| {
            TcpListener::bind((ip, 0))
                .and_then(|listener| listener.local_addr())
                .map(|address| address.port())
                .map_err(|error| format!("no free port: {error}"))
        };
        let (http, ready, peer) = (port("http")?, port("ready")?, port("peer")?);
        let vm_id = format!("edge-{zone}-{index}");
        let text = format!(
            "nodeName={vm_id}\nrole=gateway\ninstanceClass=edge\nserves=edge\nip={ip}\nzone={zone}\n\
             region=dakar\nzones.{zone}=dakar\nlistenersMap.http={ip}:{http}\n\
             listenersMap.ready={ip}:{ready}\nportRange={peer},{peer}\nbootstrap=true\n\
             limits.cpuQuota=0.25\nlimits.cpuCores=1\nlimits.memoryMb=110\nlimits.maxFds=4100\n\
             limits.bandwidthMbps=1000.0\nheartbeatMs=1200\nbounds.contactMs=3000\n\
             bounds.drainTimeoutMs=2000\nbounds.gracePeriodS=8\nbounds.lossSlackMs=200\n\
             bounds.configApplyMs=2000\nbounds.retryBudgetRatio=0.2\nbounds.retryWindowS=10\n\
             bounds.budgetSlack=54\nbounds.recoveryS=12\nbounds.cacheWindowS=9.6\n\
             bounds.settle_ms=1500\nprovider.address={log_service}\nprovider.form=log\n\
             provider.writesPerS=600\nprovider.readsPerS=2000\nprovider.maxRecordBytes=262144\n"
        );
        let settings_path = folder.join(format!("{vm_id}.conf"));
        std::fs::write(&settings_path, text).map_err(|error| format!("no settings: {error}"))?;
        let log_path = folder.join(format!("{vm_id}.log"));
        let child = spawn(&settings_path, &log_path)?;
        let ip = IpAddr::from(ip);
        let gateway = Self {
            vm_id,
            caller_address: SocketAddr::new(ip, http),
            readiness_address: SocketAddr::new(ip, ready),
            settings_path,
            log_path,
            child,
        };
        gateway.wait_until_ready()?;
        Ok(gateway)
    }

    /// Returns whether the readiness check is answered with 200.
    pub fn is_ready(&self) -> bool {
        let request = Request::get("/api/ready");
        caller::send(self.readiness_address, &request).status == 200
    }

    /// Waits until the gateway is ready.
    pub fn wait_until_ready(&self) -> Result<(), String> {
        wait_until("gateway ready", READY_LIMIT, || self.is_ready())
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        send_signal(self.child.id(), SIGKILL);
        let _ = self.child.wait();
        self.forget();
    }

    /// Starts the process again, as the platform does after a kill.
    pub fn restart(&mut self) -> Result<(), String> {
        self.child = spawn(&self.settings_path, &self.log_path)?;
        Ok(())
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        send_signal(self.child.id(), SIGTERM);
    }

    /// Freezes the process or wakes it.
    pub fn set_frozen(&self, is_frozen: bool) {
        send_signal(self.child.id(), if is_frozen { SIGSTOP } else { SIGCONT });
    }

    /// Returns whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        let has_ended = matches!(self.child.try_wait(), Ok(Some(_)));
        if has_ended {
            self.forget();
        }
        has_ended
    }

    /// Returns the memory of the process that is not backed by files.
    pub fn anonymous_memory_bytes(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(path).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"));
        let kib = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
        kib.unwrap_or(0) * 1_024
    }

    /// Returns the lines of the log that contain `text`.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let log = std::fs::read_to_string(&self.log_path).unwrap_or_default();
        log.lines().filter(|line| line.contains(text)).map(str::to_owned).collect()
    }

    fn forget(&self) {
        let id = self.child.id();
        CHILDREN.lock().unwrap_or_else(PoisonError::into_inner).retain(|child| *child != id);
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        self.forget();
    }
}

fn spawn(settings_path: &Path, log_path: &Path) -> Result<Child, String> {
    let log = File::options().create(true).append(true).open(log_path);
    let log = log.map_err(|error| format!("no log file: {error}"))?;
    let errors = log.try_clone().map_err(|error| format!("no log file: {error}"))?;
    let child = Command::new(PROGRAM)
        .arg(ARGUMENT)
        .env("SASSAFRASHOIST_SETTINGS", settings_path)
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(errors)
        .spawn()
        .map_err(|error| format!("{PROGRAM} not started: {error}"))?;
    CHILDREN.lock().unwrap_or_else(PoisonError::into_inner).push(child.id());
    Ok(child)
}
