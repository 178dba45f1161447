//! Gateways as separate processes, started with the command of the deploy file.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http::call;

const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// The zones of the deployment.
const ZONES: [&str; 4] = ["plateau", "almadies", "rufisque", "pikine"];

/// A gateway process; dropping it kills the process.
pub struct Gateway {
    pub callers: SocketAddr,
    ready: SocketAddr,
    child: Child,
}

impl Gateway {
    /// Starts gateway `number`, with the settings of a small deployment.
    pub fn start(folder: &Path, net: &str, number: u8, store: SocketAddr) -> io::Result<Self> {
        let zone = ZONES[usize::from(number) % ZONES.len()];
        let ip = format!("{net}.{}", 10 + number);
        let settings = format!(
            "nodeName=edge-{zone}-{number}\nrole=gateway\ninstanceClass=edge\nserves=edge\nip={ip}\n\
             zone={zone}\nregion=dakar\nzones.plateau=dakar\nzones.almadies=dakar\n\
             zones.rufisque=dakar\nzones.pikine=dakar\nlistenersMap.http={ip}:8227\n\
             listenersMap.ready={ip}:8220\nlistenersMap.admin={ip}:8229\nportRange=7340,7355\n\
             bootstrap=true\ncountsAsLoss=false\nlimits.cpuQuota=0.25\nlimits.cpuCores=1\n\
             limits.memoryMb=110\nlimits.maxFds=4100\nlimits.bandwidthMbps=1000.0\n\
             limits.diskMb=0\ndiscovery=platform\ningress=vip\nheartbeatMs=1200\n\
             invariants=base,drain,config,cost,retry,recover,engine,stream,tenants,platform\n\
             faultTolerance.nodes=2\nfaultTolerance.zones=1\nfaultTolerance.regions=0\n\
             bounds.seedLagS=3\nbounds.addressReuseS=2\nbounds.contactMs=3000\n\
             bounds.ackTimeoutMs=4000\nbounds.syncTimeS=4\nbounds.drainTimeoutMs=2000\n\
             bounds.gracePeriodS=8\nbounds.lossSlackMs=200\nbounds.configApplyMs=2000\n\
             bounds.rollbackSlackMs=250\nbounds.skewMaxMs=5000\nbounds.strictRevocation=false\n\
             bounds.revokeTimeoutMs=5000\nbounds.retryBudgetRatio=0.2\nbounds.retryWindowS=10\n\
             bounds.budgetSlack=54\nbounds.recoveryS=12\nbounds.deliverySlackMs=120\n\
             bounds.cacheWindowS=9.6\nbounds.settle_ms=1500\nprovider.address={store}\n\
             provider.form=log\nprovider.writesPerS=600\nprovider.readsPerS=2000\n\
             provider.parts=8\nprovider.appendLatencyMs=4.0\nprovider.partitionMbS=20.0\n\
             provider.readMbS=80.0\nprovider.maxRecordBytes=262144\n\
             provider.maxCallBytes=2097152\nprovider.keep_s=300\nprovider.partitionMb=200\n\
             provider.minTtlMs=1000\n"
        );
        let path = folder.join(format!("{zone}-{number}.conf"));
        fs::write(&path, settings)?;
        let log = File::create(folder.join(format!("{zone}-{number}.log")))?;
        let mut command = Command::new("target/release/sassafrashoist");
        command.arg("gateway").env_clear().env("SASSAFRASHOIST_SETTINGS", &path);
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(name) {
                command.env(name, value);
            }
        }
        let child = command.stdin(Stdio::null()).stdout(log.try_clone()?).stderr(log).spawn()?;
        let mut pids = OpenOptions::new().create(true).append(true).open(folder.join("pids"))?;
        writeln!(pids, "{}", child.id())?;
        let address = |port: u16| format!("{ip}:{port}").parse().unwrap();
        Ok(Self { callers: address(8227), ready: address(8220), child })
    }

    /// Waits until the readiness check answers 200.
    pub fn wait_until_ready(&mut self) -> Result<(), String> {
        let deadline = Instant::now() + READY_TIMEOUT;
        while Instant::now() < deadline {
            let request = "GET /api/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
            if call(self.ready, request, Duration::from_secs(1)).is_ok_and(|r| r.status == 200) {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Err(format!("gateway at {} is not ready", self.ready))
    }

    /// Returns whether the process runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
