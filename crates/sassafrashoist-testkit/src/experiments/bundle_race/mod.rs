//! `bundle-race`: two operators race one another over fleets of several sizes, with lost append
//! answers, a reader that dies and a data centre that is cut off; and what the VMs exchange while
//! nothing changes.

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
use super::options::ExperimentOptions;
use super::percentiles::Percentiles;
use super::report::ExperimentReport;
use crate::engine::engine_settings::EngineSettings;
use crate::fleet::audit::Audit;
use crate::fleet::fleet_plan::FleetPlan;
use crate::fleet::operators::{APPROVER_ID, AUTHOR_ID};
use crate::fleet::running_fleet::RunningFleet;
use sassafrasctl::ops::commands::approve_bundle::approve_bundle;
use sassafrasctl::ops::commands::push_bundle::push_bundle;
use sassafrasctl::ops::commands::sign_bundle::sign_bundle;

/// The fleets: data centres, and VMs in each.
const FLEETS: [(usize, usize); 4] = [(2, 2), (2, 4), (2, 8), (4, 4)];
/// The data centres, of which a fleet takes the first.
const DATA_CENTRES: [&str; 4] = ["plateau", "almadies", "rufisque", "pikine"];
/// Versions that operators race for in each fleet.
const RACE_COUNT: u64 = 6;
/// The race during which the reader of the first data centre is dead.
const READER_DEATH_RACE: u64 = 4;
/// Time that a fleet is left alone before its traffic is counted.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);
/// Time over which traffic is counted.
const COUNTED_TIME: Duration = Duration::from_secs(2);
/// Time for which a data centre is cut off.
const CUT_TIME: Duration = Duration::from_secs(2);
/// The target for a bundle to be in force.
const IN_FORCE_BOUND: Duration = Duration::from_secs(7);
/// The target's VMs.
const TARGET_VM_COUNT: f64 = 340.0;
/// The target's VMs in a data centre: 340 in 21.
const TARGET_VMS_OF_DATA_CENTRE: f64 = TARGET_VM_COUNT / 21.0;
/// The target for what a node spends on control.
const MAX_CONTROL_BYTES_PER_SECOND: f64 = 14_000.0;
/// Time between two looks at the versions in force.
const LOOK_INTERVAL: Duration = Duration::from_millis(2);
/// All bytes on a VM's links over the VMs of its data centre.
const LINK_BYTES_FIGURE: &str = "link_bytes_per_second_per_vm_over_vms_of_a_data_centre";
/// The longest that one operator waits before it pushes.
const MAX_HEAD_START_MS: u64 = 5;

/// The experiment while it runs.
struct Race {
    random: StdRng,
    report: ExperimentReport,
    audit: Audit,
    in_force: Percentiles,
    lost_count: u64,
    unclear_count: u64,
    late_vm_count: u64,
    points: BTreeMap<String, Vec<Point>>,
}

/// Runs the experiment.
///
/// # Errors
///
/// Fails when a fleet cannot start or no operator wins a race.
pub async fn run(options: &ExperimentOptions) -> Result<ExperimentReport> {
    let mut race = Race {
        random: StdRng::seed_from_u64(options.seed),
        report: ExperimentReport::new("bundle-race", options.seed),
        audit: Audit::default(),
        in_force: Percentiles::new(),
        lost_count: 0,
        unclear_count: 0,
        late_vm_count: 0,
        points: BTreeMap::new(),
    };
    sizes::measure(&mut race.report)?;
    for (data_centre_count, vm_count) in FLEETS {
        race.run_fleet(data_centre_count, vm_count).await?;
    }
    Ok(race.finish())
}

impl Race {
    async fn run_fleet(&mut self, data_centre_count: usize, vm_count: usize) -> Result<()> {
        let ids = &DATA_CENTRES[..data_centre_count];
        let plan = FleetPlan::new(ids, vm_count, EngineSettings::default());
        let mut fleet = RunningFleet::start(plan).await?;
        self.count_traffic(&fleet, data_centre_count).await;
        let mut in_force = Percentiles::new();
        for version in 2..2 + RACE_COUNT {
            let dead = if version == READER_DEATH_RACE { kill_reader(&mut fleet) } else { None };
            let started_at = Instant::now();
            self.race_for(&fleet, version).await?;
            self.wait_in_force(&fleet, version, started_at, &BTreeSet::new(), &mut in_force).await;
            if let Some(index) = dead {
                fleet.start_vm(index).await?;
            }
        }
        let name = format!("in_force_{data_centre_count}x{vm_count}");
        self.report.set(&name, in_force.summary());
        if data_centre_count == 2 {
            let size = fleet.vms.len() as f64;
            self.add_point("in_force_p50_ms_over_vms", size, in_force.at_ms(50.0));
            self.add_point("in_force_p99_ms_over_vms", size, in_force.at_ms(99.0));
        }
        if data_centre_count > 2 {
            self.cut_off(&fleet, 2 + RACE_COUNT).await?;
        }
        for (promise, count) in Audit::collect(&fleet).violations {
            *self.audit.violations.entry(promise).or_default() += count;
        }
        Ok(())
    }

    /// Lets both operators propose the same version at about the same time.
    async fn race_for(&mut self, fleet: &RunningFleet, version: BundleVersion) -> Result<()> {
        let lost_answers = u32::from(self.random.random_range(0..3u32) == 0);
        fleet.platform.set_faults(|faults| faults.lost_append_responses = lost_answers);
        let delays = [0, 1].map(|_| self.random.random_range(0..=MAX_HEAD_START_MS));
        let (first, second) = tokio::join!(
            propose(fleet, version, AUTHOR_ID, APPROVER_ID, delays[0]),
            propose(fleet, version, APPROVER_ID, AUTHOR_ID, delays[1]),
        );
        self.report.requests += 2;
        let results = [first, second];
        let won_count = results.iter().filter(|result| result.is_ok()).count();
        self.report.answered += won_count as u64;
        ensure!(won_count == 1, "{won_count} operators won version {version}: {results:?}");
        for error in results.into_iter().filter_map(Result::err) {
            let text = format!("{error:#}");
            if text.starts_with(&format!("lost to version {version} by ")) {
                self.lost_count += 1;
            } else {
                self.unclear_count += 1;
            }
        }
        Ok(())
    }

    /// Waits until every running VM but the excluded ones has a version in force.
    async fn wait_in_force(
        &mut self,
        fleet: &RunningFleet,
        version: BundleVersion,
        started_at: Instant,
        excluded: &BTreeSet<usize>,
        times: &mut Percentiles,
    ) {
        let mut waiting: BTreeSet<usize> = (0..fleet.vms.len())
            .filter(|index| fleet.vms[*index].is_running() && !excluded.contains(index))
            .collect();
        while !waiting.is_empty() && started_at.elapsed() < IN_FORCE_BOUND {
            waiting.retain(|index| {
                let is_in_force = version_of(fleet, *index) >= version;
                if is_in_force {
                    times.record(started_at.elapsed());
                    self.in_force.record(started_at.elapsed());
                }
                !is_in_force
            });
            sleep(LOOK_INTERVAL).await;
        }
        self.late_vm_count += waiting.len() as u64;
    }

    /// Cuts the last data centre off from the others and from the platform, and mends the cut.
    async fn cut_off(&mut self, fleet: &RunningFleet, version: BundleVersion) -> Result<()> {
        let cut = fleet.plan.data_centres.len() - 1;
        let set_cut = |is_cut| {
            (0..cut).for_each(|other| fleet.set_data_centres_cut(cut, other, is_cut));
            fleet.set_platform_cut(cut, is_cut);
        };
        let inside: BTreeSet<usize> =
            (0..fleet.vms.len()).filter(|index| fleet.data_centre_of(*index) == cut).collect();
        let outside: BTreeSet<usize> =
            (0..fleet.vms.len()).filter(|index| !inside.contains(index)).collect();
        set_cut(true);
        let started_at = Instant::now();
        self.race_for(fleet, version).await?;
        let mut times = Percentiles::new();
        self.wait_in_force(fleet, version, started_at, &inside, &mut times).await;
        self.report.set("in_force_outside_the_cut", times.summary());
        sleep(CUT_TIME).await;
        let kept = inside.iter().all(|index| version_of(fleet, *index) == version - 1);
        self.report.require(kept, "a cut-off data centre keeps the bundle that it has");
        set_cut(false);
        let mended_at = Instant::now();
        let mut times = Percentiles::new();
        self.wait_in_force(fleet, version, mended_at, &outside, &mut times).await;
        self.report.set("in_force_after_the_cut", times.summary());
        Ok(())
    }

    /// Counts what the VMs exchange while nothing changes.
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
        // A byte on a link is sent by one VM and received by another.
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
            format!("{vms} VMs: {link_bytes:.0} bytes a second for control are within the target"),
        );
    }

    fn add_point(&mut self, name: &str, size: f64, value: f64) {
        self.points.entry(name.to_owned()).or_default().push(Point { size, value });
    }

    fn finish(mut self) -> ExperimentReport {
        self.report.take_audit(&self.audit);
        self.report.set("in_force", self.in_force.summary());
        self.report.set("races_lost_with_the_winner_named", self.lost_count);
        self.report.set("races_lost_without", self.unclear_count);
        self.report.set("late_vms", self.late_vm_count);
        for (name, points) in &self.points {
            self.report.set(name, fit_line(points));
        }
        let bytes_at_target = self.extrapolate(LINK_BYTES_FIGURE, TARGET_VMS_OF_DATA_CENTRE);
        self.report.set("link_bytes_per_second_at_target_by_slope", bytes_at_target);
        self.report.require(
            bytes_at_target <= MAX_CONTROL_BYTES_PER_SECOND,
            "by its slope a VM of the target spends 14,000 bytes a second on control at most",
        );
        let at_target = self.extrapolate("in_force_p99_ms_over_vms", TARGET_VM_COUNT);
        self.report.set("in_force_p99_ms_at_340_vms_by_slope", at_target);
        self.report.require(self.late_vm_count == 0, "a bundle is in force within 7 s on every VM");
        self.report.require(self.unclear_count == 0, "every loser is told who won");
        self.report.require(
            at_target <= IN_FORCE_BOUND.as_secs_f64() * 1_000.0,
            "by its slope the 99th percentile is within 7 s at 340 VMs",
        );
        self.report
    }

    fn extrapolate(&self, name: &str, size: f64) -> f64 {
        let line = self.points.get(name).map(|points| fit_line(points)).unwrap_or_default();
        let number = |field: &str| line[field].as_f64().unwrap_or(f64::MAX);
        number("at_zero") + number("slope") * size
    }
}

async fn propose(
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

fn version_of(fleet: &RunningFleet, index: usize) -> BundleVersion {
    let Ok(context) = fleet.vms[index].context() else { return 0 };
    context.tables.bundle().map_or(0, |bundle| bundle.version())
}

/// Kills the VM of the first data centre that reads the bundles from the platform.
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
