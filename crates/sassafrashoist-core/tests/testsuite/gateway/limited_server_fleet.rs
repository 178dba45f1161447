//! A fleet that sends requests to one server that names a limit, in virtual time.
//!
//! The VMs decide with the real [`PermitIssuers`] and [`PermitBucket`]; the ledger, messages and
//! faults are simulated.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sassafrashoist_core::gateway::Uptime;
use sassafrashoist_core::gateway::clock_reading::ClockReading;
use sassafrashoist_core::gateway::holder_record::HolderRecord;
use sassafrashoist_core::gateway::live_vms::FleetVm;
use sassafrashoist_core::gateway::permit_bucket::{
    PermitBucket, PermitDecision, PermitRate, PermitTicket,
};
use sassafrashoist_core::gateway::permit_issuers::PermitIssuers;
use sassafrashoist_core::gateway::token_ledger::TokenLedger;

pub const SERVER_ID: &str = "server-1";
/// The length of the windows in which the requests to the server are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// The time from which on the limit is judged.
pub const JUDGED_FROM: Uptime = Duration::from_secs(3);
const TICK: Duration = Duration::from_millis(5);
const LATENCY: Duration = Duration::from_millis(5);
const MAX_WAIT: Duration = Duration::from_secs(1);
const UNREACHABLE_TIME: Duration = Duration::from_secs(3);
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(300);
const DATA_CENTRE_COUNT: usize = 4;
const MAX_SMALL_FLEET_VMS: usize = 16;
/// The number of VMs, by rank, that get requests and read the ledger; the others only write to it.
const MAX_ACTIVE_VMS: usize = 60;

/// A time during which something is disturbed.
pub type Span = std::ops::Range<Uptime>;

/// What goes wrong in a run. VMs are named by their rank as issuers of the server's permits.
#[derive(Debug, Clone, Default)]
pub struct Faults {
    /// VMs that neither send nor receive.
    pub stopped: Vec<(usize, Span)>,
    /// VMs that reach neither other VMs nor the log service.
    pub cut_off: Vec<(usize, Span)>,
    /// Pairs of VMs without messages between them.
    pub separated: Vec<(usize, usize, Span)>,
    /// Times without the log service.
    pub log_outages: Vec<Span>,
    /// VMs that start later than the others.
    pub late: Vec<(usize, Uptime)>,
}

/// The observations of a run.
#[derive(Debug, Clone, Copy)]
pub struct Outcome {
    /// The most requests that reached the server within [`WINDOW`].
    pub most_in_window: usize,
    /// The most requests that reached the server within a second.
    pub most_in_second: usize,
    /// The requests that reached the server, as a part of what the limit allows.
    pub used_share: f64,
}

struct Vm {
    issuers: PermitIssuers,
    bucket: Option<PermitBucket>,
    unreachable_until: BTreeMap<String, Uptime>,
    next_permit_at: Uptime,
    waiting: Vec<(usize, PermitTicket, Uptime)>,
    has_written: bool,
}

/// A fleet and a server with a limit.
pub struct LimitedServerFleet {
    vms: Vec<Vm>,
    ids: Vec<FleetVm>,
    ledger: TokenLedger,
    record_count: u64,
    limit_per_s: f64,
    faults: Faults,
    now: Uptime,
    arrivals: Vec<Uptime>,
    rng: StdRng,
}

impl LimitedServerFleet {
    /// Creates a fleet whose VMs are ordered by their rank as issuers.
    pub fn new(vm_count: usize, limit_per_s: f64, faults: Faults) -> Self {
        let mut ids: Vec<FleetVm> = (0..vm_count).map(issuer).collect();
        let names: Vec<String> = ids.iter().map(|id| id.vm_id.clone()).collect();
        let ranked = sassafrashoist_core::rendezvous::rank_owners(
            SERVER_ID,
            names.iter().map(String::as_str),
        );
        ids.sort_by_key(|id| ranked.iter().position(|ranked| *ranked == id.vm_id));
        // A backup is chosen in another data centre; here it is the second in rank.
        for (rank, id) in ids.iter_mut().enumerate() {
            id.data_centre_id = format!("dc-{}", rank % DATA_CENTRE_COUNT);
        }
        let vms = ids.iter().map(|id| Vm {
            issuers: PermitIssuers::new(id.clone()),
            bucket: None,
            unreachable_until: BTreeMap::new(),
            next_permit_at: Uptime::ZERO,
            waiting: Vec::new(),
            has_written: false,
        });
        Self {
            vms: vms.collect(),
            ledger: TokenLedger::default(),
            record_count: 0,
            ids,
            limit_per_s,
            faults,
            now: Uptime::ZERO,
            arrivals: Vec::new(),
            rng: StdRng::seed_from_u64(7),
        }
    }

    /// Runs the fleet under a demand of so many requests per second.
    pub fn run(&mut self, demand_per_s: f64, duration: Duration) -> Outcome {
        while self.now < duration {
            self.now += TICK;
            self.sync_ledger();
            self.serve_waiting();
            if self.rng.random::<f64>() < demand_per_s * TICK.as_secs_f64() {
                // Some VMs get far more requests than others.
                let skewed = self.rng.random::<f64>().powi(3);
                let active_count = self.vms.len().min(MAX_ACTIVE_VMS);
                let vm = (skewed * active_count as f64) as usize;
                let vm = (vm * 11 + 5) % active_count;
                if self.is_running(vm) {
                    self.send_request(vm);
                }
            }
        }
        self.outcome(duration)
    }

    fn outcome(&mut self, duration: Duration) -> Outcome {
        self.arrivals.sort();
        let judged = self.arrivals.iter().filter(|at| **at >= JUDGED_FROM);
        let in_window = |from: &Uptime, length: Duration| {
            let begin = self.arrivals.partition_point(|at| at < from);
            let end = self.arrivals.partition_point(|at| *at < *from + length);
            end - begin
        };
        let most_in = |length| judged.clone().map(|from| in_window(from, length)).max();
        let most_in_window = most_in(WINDOW).unwrap_or_default();
        let most_in_second = most_in(Duration::from_secs(1)).unwrap_or_default();
        let allowed = self.limit_per_s * (duration - JUDGED_FROM).as_secs_f64();
        Outcome { most_in_window, most_in_second, used_share: judged.count() as f64 / allowed }
    }

    fn is_running(&self, vm: usize) -> bool {
        let is_stopped = is_in(&self.faults.stopped, vm, self.now);
        !is_stopped && self.faults.late.iter().all(|(late, at)| *late != vm || self.now >= *at)
    }

    fn reaches_log(&self, vm: usize) -> bool {
        self.is_running(vm)
            && !is_in(&self.faults.cut_off, vm, self.now)
            && !self.faults.log_outages.iter().any(|span| span.contains(&self.now))
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let is_separated = self.faults.separated.iter().any(|(a, b, span)| {
            ((*a, *b) == (from, to) || (*a, *b) == (to, from)) && span.contains(&self.now)
        });
        let is_cut = |vm| is_in(&self.faults.cut_off, vm, self.now);
        from == to || (self.is_running(to) && !is_separated && !is_cut(from) && !is_cut(to))
    }

    /// Writes and reads the ledger at the intervals of the gateway.
    fn sync_ledger(&mut self) {
        let is_small = self.vms.len() <= MAX_SMALL_FLEET_VMS;
        let (write_ms, read_ms) = if is_small { (330, 330) } else { (5_000, 900) };
        for vm in 0..self.vms.len() {
            // The VMs do not act at the same time.
            let own_ms = self.now.as_millis() as usize + vm * 37;
            let is_due = |interval_ms: usize| own_ms % interval_ms < TICK.as_millis() as usize;
            let writes = is_due(write_ms) || !self.vms[vm].has_written;
            let reads = is_due(read_ms) && vm < MAX_ACTIVE_VMS;
            if !(writes || reads) || !self.reaches_log(vm) {
                continue;
            }
            if writes {
                self.record_count += 1;
                let record = holder_record(&self.ids[vm], self.record_count);
                self.ledger.apply(self.record_count, record.vm_id.clone(), record);
                self.vms[vm].issuers.record_write(self.now);
                self.vms[vm].has_written = true;
            }
            if reads {
                self.vms[vm].issuers.record_read(&self.ledger, self.now);
            }
        }
    }

    /// Requests a permit without a wait first, and then with one.
    fn send_request(&mut self, vm: usize) {
        if self.now >= self.vms[vm].next_permit_at && self.request_permit(vm, Duration::ZERO) {
            return;
        }
        self.request_permit(vm, MAX_WAIT);
    }

    fn request_permit(&mut self, vm: usize, max_wait: Duration) -> bool {
        let mut sent_at = self.now;
        for issuer in self.vms[vm].issuers.issuers(SERVER_ID, self.now) {
            let unreachable_until = self.vms[vm].unreachable_until.get(&issuer.vm_id);
            if unreachable_until.is_some_and(|until| self.now < *until) {
                continue;
            }
            let other = self.ids.iter().position(|id| id.vm_id == issuer.vm_id).unwrap();
            if !self.reaches(vm, other) {
                let until = self.now + UNREACHABLE_TIME;
                self.vms[vm].unreachable_until.insert(issuer.vm_id, until);
                sent_at += MESSAGE_TIMEOUT;
                continue;
            }
            let Some((bucket, rate)) = self.bucket(other) else {
                continue;
            };
            match bucket.request(rate, 5, max_wait, sent_at) {
                PermitDecision::Issued => {
                    self.arrivals.push(sent_at + LATENCY);
                    return true;
                }
                PermitDecision::Waits(ticket) => {
                    self.vms[other].waiting.push((vm, ticket, sent_at + max_wait));
                    return true;
                }
                PermitDecision::Refused { next_in, .. } => {
                    self.vms[vm].next_permit_at = sent_at + next_in;
                    return false;
                }
            }
        }
        self.vms[vm].next_permit_at = self.now + Duration::from_millis(500);
        false
    }

    fn bucket(&mut self, vm: usize) -> Option<(&mut PermitBucket, PermitRate)> {
        let (now, limit_per_s) = (self.now, self.limit_per_s);
        let share = self.vms[vm].issuers.own_share(SERVER_ID, now)?;
        let bucket = self.vms[vm].bucket.get_or_insert_with(|| PermitBucket::new(now));
        Some((bucket, PermitRate { limit_per_s, share }))
    }

    fn serve_waiting(&mut self) {
        for issuer in 0..self.vms.len() {
            if self.vms[issuer].waiting.is_empty() || !self.is_running(issuer) {
                continue;
            }
            for (vm, ticket, give_up_at) in std::mem::take(&mut self.vms[issuer].waiting) {
                let now = self.now;
                let is_reached = self.reaches(vm, issuer) && self.is_running(vm);
                let Some((bucket, rate)) = self.bucket(issuer) else {
                    self.vms[issuer].bucket.as_mut().unwrap().leave(ticket);
                    continue;
                };
                if now >= give_up_at {
                    bucket.leave(ticket);
                } else if bucket.take_waiting(ticket, rate, now).is_err() {
                    self.vms[issuer].waiting.push((vm, ticket, give_up_at));
                } else if is_reached {
                    self.arrivals.push(now + LATENCY);
                }
            }
        }
    }
}

fn issuer(index: usize) -> FleetVm {
    FleetVm {
        vm_id: format!("vm-{index}"),
        peer_address: SocketAddr::from(([10, 0, (index / 250) as u8, (index % 250) as u8], 7_000)),
        data_centre_id: String::new(),
    }
}

fn holder_record(issuer: &FleetVm, sequence: u64) -> HolderRecord {
    HolderRecord {
        vm_id: issuer.vm_id.clone(),
        data_centre_id: issuer.data_centre_id.clone(),
        peer_address: issuer.peer_address,
        sequence,
        is_closed: false,
        sent_at: ClockReading::default(),
        limits_active_for: Duration::ZERO,
        accounts: Vec::new(),
    }
}

fn is_in(spans: &[(usize, Span)], vm: usize, now: Uptime) -> bool {
    spans.iter().any(|(affected, span)| *affected == vm && span.contains(&now))
}
