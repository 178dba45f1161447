//! Resources and control traffic of VMs without requests, by the number of VMs.

use std::collections::BTreeMap;
use std::time::Duration;

use eyre::Result;

use super::super::report::ExperimentReport;
use super::linear_fit::{Point, fit_line};
use crate::child_router::ChildRouter;
use crate::engine::engine_settings::EngineSettings;
use crate::fleet::fleet_plan::FleetPlan;
use crate::fleet::running_fleet::RunningFleet;
use crate::tcp_link::TcpLink;
use sassafrashoist::core::settings::{Peer, Settings};
use tokio_util::sync::CancellationToken;

/// Fleet sizes; half of the VMs are in each of two data centres.
const VM_COUNTS: [usize; 3] = [4, 8, 16];
/// Time that a new fleet stays idle before it is measured.
const SETTLE_TIME: Duration = Duration::from_secs(1);
/// Time over which a fleet is measured.
const MEASURED_TIME: Duration = Duration::from_secs(3);
/// The data centres.
const DATA_CENTRES: [&str; 2] = ["plateau", "rufisque"];

/// Totals over a fleet.
#[derive(Debug, Clone, Copy, Default)]
struct Totals {
    cpu_seconds: f64,
    resident_bytes: f64,
    peer_bytes: f64,
    peer_chunks: f64,
    log_reads: f64,
    log_appends: f64,
}

/// Measures fleets without requests.
///
/// # Errors
///
/// Fails when a router does not become ready.
pub async fn measure(report: &mut ExperimentReport) -> Result<()> {
    let mut figures: BTreeMap<&str, Vec<Point>> = BTreeMap::new();
    for count in VM_COUNTS {
        let per_second = measure_count(count).await?;
        let mut add = |name, value: f64| {
            figures.entry(name).or_default().push(Point { size: count as f64, value });
        };
        let vms = count as f64;
        add("idle_cpu_per_mille_of_core_per_vm", per_second.cpu_seconds * 1000.0 / vms);
        add("idle_resident_bytes_per_vm", per_second.resident_bytes / vms);
        add("idle_peer_bytes_per_second_per_vm", per_second.peer_bytes / vms);
        add("idle_peer_messages_per_second_per_vm", per_second.peer_chunks / vms);
        add("idle_log_reads_per_second", per_second.log_reads);
        add("idle_log_appends_per_second", per_second.log_appends);
    }
    for (name, points) in figures {
        report.set(name, fit_line(&points));
    }
    Ok(())
}

async fn measure_count(count: usize) -> Result<Totals> {
    let plan = FleetPlan::new(&DATA_CENTRES, 0, EngineSettings::default());
    let fleet = RunningFleet::start(plan).await?;
    let cancel = CancellationToken::new();
    let _stop_links = cancel.clone().drop_guard();
    let (settings, links) = plan_settings(&fleet, count, &cancel).await?;
    let routers: Vec<ChildRouter> =
        settings.into_iter().map(ChildRouter::start).collect::<Result<_>>()?;
    for router in &routers {
        router.wait_ready().await?;
    }
    tokio::time::sleep(SETTLE_TIME).await;
    let before = read_totals(&fleet, &routers, &links)?;
    tokio::time::sleep(MEASURED_TIME).await;
    let after = read_totals(&fleet, &routers, &links)?;
    let seconds = MEASURED_TIME.as_secs_f64();
    Ok(Totals {
        cpu_seconds: (after.cpu_seconds - before.cpu_seconds) / seconds,
        resident_bytes: after.resident_bytes,
        peer_bytes: (after.peer_bytes - before.peer_bytes) / seconds,
        peer_chunks: (after.peer_chunks - before.peer_chunks) / seconds,
        log_reads: (after.log_reads - before.log_reads) / seconds,
        log_appends: (after.log_appends - before.log_appends) / seconds,
    })
}

/// Plans routers and one link to each of them, which counts the traffic from all its peers.
async fn plan_settings(
    fleet: &RunningFleet,
    count: usize,
    cancel: &CancellationToken,
) -> Result<(Vec<Settings>, Vec<TcpLink>)> {
    let mut all_settings = Vec::new();
    let mut links = Vec::new();
    for index in 0..count {
        let data_centre_id = DATA_CENTRES[index % DATA_CENTRES.len()];
        let vm_id = format!("{data_centre_id}-vm-{index}");
        let settings = ChildRouter::plan(&vm_id, data_centre_id, fleet.platform.address);
        let link = TcpLink::start(cancel).await?;
        link.set_target(settings.peer_address);
        links.push(link);
        all_settings.push(settings);
    }
    let peers: Vec<Peer> = all_settings
        .iter()
        .zip(&links)
        .map(|(settings, link)| Peer {
            vm_id: settings.vm_id.clone(),
            data_centre_id: settings.data_centre_id.clone(),
            address: link.address,
        })
        .collect();
    for settings in &mut all_settings {
        let others = peers.iter().filter(|peer| peer.vm_id != settings.vm_id);
        settings.peers = others.cloned().collect();
    }
    Ok((all_settings, links))
}

fn read_totals(fleet: &RunningFleet, routers: &[ChildRouter], links: &[TcpLink]) -> Result<Totals> {
    let mut totals = Totals {
        log_reads: fleet.platform.read_count() as f64,
        log_appends: fleet.platform.append_request_count() as f64,
        ..Totals::default()
    };
    for router in routers {
        let stats = router.stats()?;
        totals.cpu_seconds += stats.cpu_time.as_secs_f64();
        totals.resident_bytes += stats.resident_bytes as f64;
    }
    for link in links {
        totals.peer_bytes += link.traffic.forwarded_bytes() as f64;
        totals.peer_chunks += link.traffic.forwarded_chunks() as f64;
    }
    Ok(totals)
}
