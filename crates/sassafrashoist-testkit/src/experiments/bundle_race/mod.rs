//! `bundle-race`: two operators push the same bundle version at the same time to fleets of several
//! sizes, with lost append responses, a crash of the VM that reads the bundle stream and a data
//! centre that is cut off. Also measures the control traffic of idle fleets.

mod sizes;

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use eyre::{Result, ensure};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sassafrashoist::core::control_traffic::{ControlKind, TrafficCount};
use sassafrashoist_bundle::account::Budget;
use sassafrashoist_bundle::bundle::Bundle;
use sassafrashoist_core::ids::BundleVersion;
use sassafrashoist_platform::streams::BUNDLE_STREAM;
use tokio::time::sleep;

use super::capacity::linear_fit::{Point, fit_line};
use super::duration_histogram::DurationHistogram;
use super::options::ExperimentOptions;
use super::report::ExperimentReport;
use crate::engine::engine_settings::EngineSettings;
use crate::fleet::audit::Audit;
use crate::fleet::fleet_plan::FleetPlan;
use crate::fleet::operators::{APPROVER_ID, AUTHOR_ID};
use crate::fleet::running_fleet::RunningFleet;
use sassafrasctl::ops::commands::approve_bundle::approve_bundle;
use sassafrasctl::ops::commands::push_bundle::push_bundle;
use sassafrasctl::ops::commands::sign_bundle::sign_bundle;

/// The fleet sizes: data centres, and VMs in each.
const FLEETS: [(usize, usize); 4] = [(2, 2), (2, 4), (2, 8), (4, 4)];
/// The ids of the data centres; a smaller fleet uses the first ones.
const DATA_CENTRES: [&str; 4] = ["plateau", "almadies", "rufisque", "pikine"];
/// Versions that both operators push in each fleet.
const RACE_COUNT: u64 = 6;
/// The version during whose race the reader VM of the first data centre is down.
const READER_CRASH_VERSION: u64 = 4;
/// Time that a new fleet stays idle before its traffic is counted.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);
/// Time over which traffic is counted.
const COUNTED_TIME: Duration = Duration::from_secs(2);
/// Time for which a data centre is cut off.
const CUT_TIME: Duration = Duration::from_secs(2);
/// The target for the time until every VM has activated a bundle.
const MAX_ACTIVATION_TIME: Duration = Duration::from_secs(7);
/// VMs of the target fleet.
const TARGET_VM_COUNT: f64 = 340.0;
/// VMs per data centre of the target fleet: 340 VMs in 21 data centres.
const TARGET_VMS_PER_DATA_CENTRE: f64 = TARGET_VM_COUNT / 21.0;
/// The target for the control traffic of a VM.
const MAX_CONTROL_BYTES_PER_SECOND: f64 = 14_000.0;
/// Time between two polls of the active versions.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// The figure for all bytes on a VM's links, by the number of VMs in its data centre.
const LINK_BYTES_FIGURE: &str = "link_bytes_per_second_per_vm_over_vms_of_a_data_centre";
/// The longest random delay before an operator's push.
const MAX_PUSH_DELAY_MS: u64 = 5;

/// The state of a running experiment.
struct BundleRace {
    random: StdRng,
    report: ExperimentReport,
    audit: Audit,
    activation_times: DurationHistogram,
    lost_to_named_winner_count: u64,
    lost_without_winner_count: u64,
    late_vm_count: u64,
    points: BTreeMap<String, Vec<Point>>,
}

/// Runs the experiment.
///
/// # Errors
///
/// Fails when a fleet cannot start or no operator wins a race.
pub async fn run(options: &ExperimentOptions) -> Result<ExperimentReport> {
    let mut experiment = BundleRace {
        random: StdRng::seed_from_u64(options.seed),
        report: ExperimentReport::new("bundle-race", options.seed),
        audit: Audit::default(),
        activation_times: DurationHistogram::new(),
        lost_to_named_winner_count: 0,
        lost_without_winner_count: 0,
        late_vm_count: 0,
        points: BTreeMap::new(),
    };
    sizes::measure(&mut experiment.report)?;
    for (data_centre_count, vm_count) in FLEETS {
        experiment.run_fleet(data_centre_count, vm_count).await?;
    }
    Ok(experiment.finish())
}

impl BundleRace {
    async fn run_fleet(&mut self, data_centre_count: usize, vm_count: usize) -> Result<()> {
        let ids = &DATA_CENTRES[..data_centre_count];
        let plan = FleetPlan::new(ids, vm_count, EngineSettings::default());
        let mut fleet = RunningFleet::start(plan).await?;
        self.count_traffic(&fleet, data_centre_count).await;
        let mut activation_times = DurationHistogram::new();
        for version in 2..2 + RACE_COUNT {
            let killed_reader =
                if version == READER_CRASH_VERSION { kill_reader(&mut fleet) } else { None };
            let started_at = Instant::now();
            self.race_version(&fleet, version).await?;
            self.wait_until_active(
                &fleet,
                version,
                started_at,
                &BTreeSet::new(),
                &mut activation_times,
            )
            .await;
            if let Some(index) = killed_reader {
                fleet.start_vm(index).await?;
            }
        }
        let name = format!("in_force_{data_centre_count}x{vm_count}");
        self.report.set(&name, activation_times.summary());
        if data_centre_count == 2 {
            let size = fleet.vms.len() as f64;
            self.add_point("in_force_p50_ms_over_vms", size, activation_times.percentile_ms(50.0));
            self.add_point("in_force_p99_ms_over_vms", size, activation_times.percentile_ms(99.0));
        }
        if data_centre_count > 2 {
            self.isolate_data_centre(&fleet, 2 + RACE_COUNT).await?;
        }
        for (invariant, count) in Audit::collect(&fleet).violations {
            *self.audit.violations.entry(invariant).or_default() += count;
        }
        Ok(())
    }

    /// Lets both operators push the same version at about the same time.
    async fn race_version(&mut self, fleet: &RunningFleet, version: BundleVersion) -> Result<()> {
        let lost_responses = u32::from(self.random.random_range(0..3u32) == 0);
        fleet.platform.set_faults(|faults| faults.lost_append_responses = lost_responses);
        let delays = [0, 1].map(|_| self.random.random_range(0..=MAX_PUSH_DELAY_MS));
        let (first, second) = tokio::join!(
            push_version(fleet, version, AUTHOR_ID, APPROVER_ID, delays[0]),
            push_version(fleet, version, APPROVER_ID, AUTHOR_ID, delays[1]),
        );
        self.report.requests += 2;
        let results = [first, second];
        let won_count = results.iter().filter(|result| result.is_ok()).count();
        self.report.answered += won_count as u64;
        ensure!(won_count == 1, "{won_count} operators won version {version}: {results:?}");
        for error in results.into_iter().filter_map(Result::err) {
            let text = format!("{error:#}");
            if text.starts_with(&format!("lost to version {version} by ")) {
                self.lost_to_named_winner_count += 1;
            } else {
                self.lost_without_winner_count += 1;
            }
        }
        Ok(())
    }

    /// Waits until a version or a newer one is active on every running VM that is not excluded.
    async fn wait_until_active(
        &mut self,
        fleet: &RunningFleet,
        version: BundleVersion,
        started_at: Instant,
        excluded: &BTreeSet<usize>,
        times: &mut DurationHistogram,
    ) {
        let mut waiting: BTreeSet<usize> = (0..fleet.vms.len())
            .filter(|index| fleet.vms[*index].is_running() && !excluded.contains(index))
            .collect();
        while !waiting.is_empty() && started_at.elapsed() < MAX_ACTIVATION_TIME {
            waiting.retain(|index| {
                let is_active = active_version(fleet, *index) >= version;
                if is_active {
                    times.record(started_at.elapsed());
                    self.activation_times.record(started_at.elapsed());
                }
                !is_active
            });
            sleep(POLL_INTERVAL).await;
        }
        self.late_vm_count += waiting.len() as u64;
    }

    /// Cuts the last data centre off from the others and from the platform, then reconnects it.
    async fn isolate_data_centre(
        &mut self,
        fleet: &RunningFleet,
        version: BundleVersion,
    ) -> Result<()> {
        let isolated = fleet.plan.data_centres.len() - 1;
        let set_cut = |is_cut| {
            (0..isolated).for_each(|other| fleet.set_data_centres_cut(isolated, other, is_cut));
            fleet.set_platform_cut(isolated, is_cut);
        };
        let inside: BTreeSet<usize> =
            (0..fleet.vms.len()).filter(|index| fleet.data_centre_of(*index) == isolated).collect();
        let outside: BTreeSet<usize> =
            (0..fleet.vms.len()).filter(|index| !inside.contains(index)).collect();
        set_cut(true);
        let started_at = Instant::now();
        self.race_version(fleet, version).await?;
        let mut times = DurationHistogram::new();
        self.wait_until_active(fleet, version, started_at, &inside, &mut times).await;
        self.report.set("in_force_outside_the_cut", times.summary());
        sleep(CUT_TIME).await;
        let is_unchanged = inside.iter().all(|index| active_version(fleet, *index) == version - 1);
        self.report.require(is_unchanged, "a cut-off data centre keeps its active bundle");
        set_cut(false);
        let reconnected_at = Instant::now();
        let mut times = DurationHistogram::new();
        self.wait_until_active(fleet, version, reconnected_at, &outside, &mut times).await;
        self.report.set("in_force_after_the_cut", times.summary());
        Ok(())
    }

    /// Measures the control traffic of the idle fleet.
    async fn count_traffic(&mut self, fleet: &RunningFleet, data_centre_count: usize) {
        sleep(SETTLE_TIME).await;
        let before = read_traffic(fleet);
        let bytes_before = read_link_bytes(fleet);
        let reads_before = fleet.platform.read_count();
        let started_at = Instant::now();
        sleep(COUNTED_TIME).await;
        let seconds = started_at.elapsed().as_secs_f64();
        let vms = fleet.vms.len() as f64;
        let after = read_traffic(fleet);
        // Each byte on a link counts twice: one VM sends it and another receives it.
        let link_bytes = (read_link_bytes(fleet) - bytes_before) as f64 * 2.0 / seconds / vms;
        let reads = (fleet.platform.read_count() - reads_before) as f64 / seconds;
        let sizes = [
            ("vms", vms, data_centre_count == 2),
            ("data_centres", data_centre_count as f64, fleet.vms.len() == 16),
        ];
        for (over, size, _) in sizes.iter().filter(|(_, _, is_measured)| *is_measured) {
            for kind in ControlKind::ALL {
                let messages = after[kind as usize].messages - before[kind as usize].messages;
                let bytes =
                    after[kind as usize].payload_bytes - before[kind as usize].payload_bytes;
                let name = kind.name();
                let per_vm = |count: u64| count as f64 / seconds / vms;
                let messages_name = format!("{name}_messages_per_second_per_vm_over_{over}");
                self.add_point(&messages_name, *size, per_vm(messages));
                let bytes_name = format!("{name}_payload_bytes_per_second_per_vm_over_{over}");
                self.add_point(&bytes_name, *size, per_vm(bytes));
            }
            self.add_point(&format!("link_bytes_per_second_per_vm_over_{over}"), *size, link_bytes);
            self.add_point(&format!("log_reads_per_second_over_{over}"), *size, reads);
        }
        self.add_point(LINK_BYTES_FIGURE, vms / data_centre_count as f64, link_bytes);
        self.report.require(
            link_bytes <= MAX_CONTROL_BYTES_PER_SECOND,
            format!("{vms} VMs: {link_bytes:.0} bytes/s of control traffic are within the target"),
        );
    }

    fn add_point(&mut self, name: &str, size: f64, value: f64) {
        self.points.entry(name.to_owned()).or_default().push(Point { size, value });
    }

    fn finish(mut self) -> ExperimentReport {
        self.report.record_audit(&self.audit);
        self.report.set("in_force", self.activation_times.summary());
        self.report.set("races_lost_with_the_winner_named", self.lost_to_named_winner_count);
        self.report.set("races_lost_without", self.lost_without_winner_count);
        self.report.set("late_vms", self.late_vm_count);
        for (name, points) in &self.points {
            self.report.set(name, fit_line(points));
        }
        let bytes_at_target = self.extrapolate(LINK_BYTES_FIGURE, TARGET_VMS_PER_DATA_CENTRE);
        self.report.set("link_bytes_per_second_at_target_by_slope", bytes_at_target);
        self.report.require(
            bytes_at_target <= MAX_CONTROL_BYTES_PER_SECOND,
            "control traffic extrapolated to the target is at most 14,000 bytes per second per VM",
        );
        let at_target = self.extrapolate("in_force_p99_ms_over_vms", TARGET_VM_COUNT);
        self.report.set("in_force_p99_ms_at_340_vms_by_slope", at_target);
        self.report.require(self.late_vm_count == 0, "a bundle is active on every VM within 7 s");
        self.report.require(
            self.lost_without_winner_count == 0,
            "the error of every rejected push names the winner",
        );
        self.report.require(
            at_target <= MAX_ACTIVATION_TIME.as_secs_f64() * 1_000.0,
            "the 99th percentile of activation extrapolated to 340 VMs is within 7 s",
        );
        self.report
    }

    /// Returns the value of a figure's fitted line at a size.
    fn extrapolate(&self, name: &str, size: f64) -> f64 {
        let line = self.points.get(name).map(|points| fit_line(points)).unwrap_or_default();
        let number = |field: &str| line[field].as_f64().unwrap_or(f64::MAX);
        number("at_zero") + number("slope") * size
    }
}

async fn push_version(
    fleet: &RunningFleet,
    version: BundleVersion,
    author_id: &str,
    approver_id: &str,
    delay_ms: u64,
) -> Result<BundleVersion> {
    let bundle = build_version(fleet, version, author_id);
    let signed = sign_bundle(&fleet.ctl(author_id), bundle)?;
    let signed = approve_bundle(&fleet.ctl(approver_id), signed)?;
    sleep(Duration::from_millis(delay_ms)).await;
    Ok(push_bundle(&fleet.ctl(author_id), signed).await?.version)
}

fn build_version(fleet: &RunningFleet, version: BundleVersion, author_id: &str) -> Bundle {
    let mut bundle = fleet.build_bundle();
    bundle.version = version;
    bundle.based_on_version = version - 1;
    let account_id = fleet.plan.accounts[0].id.clone();
    bundle.budgets.push(Budget { id: format!("{author_id}-{version}"), account_id });
    bundle
}

fn active_version(fleet: &RunningFleet, index: usize) -> BundleVersion {
    let Ok(context) = fleet.vms[index].context() else { return 0 };
    context.tables.bundle().map_or(0, |bundle| bundle.version())
}

/// Kills the VM of the first data centre that reads the bundle stream from the platform.
fn kill_reader(fleet: &mut RunningFleet) -> Option<usize> {
    let is_reader = |index: &usize| {
        let Ok(context) = fleet.vms[*index].context() else { return false };
        let views = context.tables.lock_relay().view(Duration::ZERO);
        views.get(BUNDLE_STREAM).is_some_and(|view| view.reader_vm_id.is_none())
    };
    let reader =
        (0..fleet.vms.len()).filter(|index| fleet.data_centre_of(*index) == 0).find(is_reader)?;
    fleet.vms[reader].kill();
    Some(reader)
}

fn read_traffic(fleet: &RunningFleet) -> [TrafficCount; ControlKind::ALL.len()] {
    let mut totals = [TrafficCount::default(); ControlKind::ALL.len()];
    for context in fleet.vms.iter().filter_map(|vm| vm.context().ok()) {
        for kind in ControlKind::ALL {
            let count = context.traffic.read(kind);
            totals[kind as usize].messages += count.messages;
            totals[kind as usize].payload_bytes += count.payload_bytes;
        }
    }
    totals
}

fn read_link_bytes(fleet: &RunningFleet) -> u64 {
    fleet.peer_links.values().map(|link| link.traffic.forwarded_bytes()).sum()
}
