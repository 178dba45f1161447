//! A fleet of VMs in virtual time, some of which lose their paths to all servers.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sassafrashoist_core::gateway::Uptime;
use sassafrashoist_core::gateway::live_vms::FleetVm;
use sassafrashoist_core::gateway::relay_vms::{RelayFailure, RelayTarget, RelayVms};
use sassafrashoist_core::gateway::server_paths::{ServerPaths, Way};

/// The time after the cut from which callers are to be served.
pub const CONTACT_TIME: Duration = Duration::from_secs(3);
/// How long paths are lost, and how long requests are counted afterwards.
const CUT_TIME: Duration = Duration::from_secs(12);
const RUN_TIME: Duration = Duration::from_secs(16);
const DATA_CENTRES: usize = 4;
const POOL: &str = "llm";
const MAX_SERVERS_TRIED: usize = 4;
const MAX_RELAYS_TRIED: usize = 6;
const DENIALS_TO_CONFIRM: usize = 2;
const DIRECT_TIMEOUT: Duration = Duration::from_millis(350);
const RELAY_TIMEOUT: Duration = Duration::from_millis(250);
const ROUND_TRIP: Duration = Duration::from_millis(6);
/// How long a request keeps its connection.
const REQUEST_TIME: Duration = Duration::from_millis(600);
/// A request that has reached no server by then is not served.
const PATIENCE: Duration = Duration::from_millis(1_500);
/// The time after which the load balancer no longer sends connections to a VM that is not ready.
const BALANCER_TIME: Duration = Duration::from_secs(2);

/// What a VM does with requests while it has no path.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// It tries its own connections and refuses.
    Refuse,
    /// It is not ready; all callers open new connections.
    NotReady,
    /// Other VMs open the connections.
    Relay,
}

/// The VMs that lose their paths.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cut {
    /// One VM.
    One,
    /// Half of the VMs of a data centre.
    HalfOfDataCentre,
    /// All VMs of a data centre but one.
    AllButOneOfDataCentre,
    /// All VMs of a data centre.
    DataCentre,
    /// 45 in 100 VMs of all data centres.
    Scattered,
}

/// The parameters of a run.
#[derive(Debug, Clone, Copy)]
pub struct PathFleetPlan {
    /// The number of VMs.
    pub vm_count: usize,
    /// The VMs that lose their paths.
    pub cut: Cut,
    /// Whether connections hang; otherwise they are refused.
    pub hangs: bool,
    /// What such a VM does.
    pub policy: Policy,
}

/// What became of requests that arrived [`CONTACT_TIME`] after the cut, and of the load.
#[derive(Debug, Default, Clone, Copy)]
pub struct PathFleetOutcome {
    /// First tries at VMs without paths.
    pub sent_at_cut: usize,
    /// Those that were served.
    pub served_at_cut: usize,
    /// First tries that failed, at all VMs.
    pub failed: usize,
    /// Requests that were answered by way of another VM after the paths were back.
    pub relayed_after_return: usize,
    /// The mean time to reach a server at VMs without paths, in milliseconds.
    pub mean_reach_ms: f64,
    /// The most connections that one VM carried at a time for others.
    pub max_carried: usize,
    /// The mean over the VMs that have paths, at the moment of the maximum.
    pub mean_carried: f64,
    /// The messages between VMs for each relayed request.
    pub messages_per_request: f64,
    /// The probes of one VM without paths a second, at most.
    pub max_probes_per_s: f64,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival(usize),
    Probe(usize),
    Lost { vm: usize, server: usize, denied_by: Vec<usize> },
    NoPath { vm: usize, helper: usize },
    Denied { vm: usize, helper: usize },
    NoRelay(usize),
    ConfirmedDown { vm: usize, server: usize },
    Begin { vm: usize, helper: usize },
    End { vm: usize, helper: usize },
}

struct Vm {
    fleet_vm: FleetVm,
    is_cut: bool,
    paths: ServerPaths,
    relays: RelayVms,
    carried: usize,
    probes: usize,
}

/// A run in progress.
pub struct PathFleet {
    plan: PathFleetPlan,
    vms: Vec<Vm>,
    fleet_vms: Rc<Vec<FleetVm>>,
    server_ids: Vec<String>,
    events: BinaryHeap<Reverse<(Uptime, usize, Event)>>,
    event_count: usize,
    rng: StdRng,
    outcome: PathFleetOutcome,
    reach_times: Vec<Duration>,
    messages: usize,
    relayed: usize,
}

fn data_centre(index: usize) -> String {
    format!("dc-{}", index % DATA_CENTRES)
}

fn fleet_vm(index: usize) -> FleetVm {
    FleetVm {
        vm_id: format!("vm-{index}"),
        peer_address: SocketAddr::from(([10, 0, 0, 1], 1_000 + index as u16)),
        data_centre_id: data_centre(index),
    }
}

/// Plays a run.
pub fn play(plan: PathFleetPlan) -> PathFleetOutcome {
    let mut rng = StdRng::seed_from_u64(35);
    let in_first = (0..plan.vm_count).filter(|index| index % DATA_CENTRES == 0).count();
    let cut_count = match plan.cut {
        Cut::One => 1,
        Cut::HalfOfDataCentre => in_first / 2,
        Cut::AllButOneOfDataCentre => in_first - 1,
        Cut::DataCentre | Cut::Scattered => in_first,
    };
    let mut first_seen = 0;
    let vms = (0..plan.vm_count).map(|index| {
        let is_first = index % DATA_CENTRES == 0;
        first_seen += usize::from(is_first);
        let is_cut = match plan.cut {
            Cut::Scattered => rng.random_bool(0.45),
            _ => is_first && first_seen <= cut_count,
        };
        Vm {
            fleet_vm: fleet_vm(index),
            is_cut,
            paths: ServerPaths::default(),
            relays: RelayVms::default(),
            carried: 0,
            probes: 0,
        }
    });
    let vms = vms.collect::<Vec<_>>();
    let server_count = (plan.vm_count * 3 / 4).max(9);
    let mut fleet = PathFleet {
        plan,
        fleet_vms: Rc::new(vms.iter().map(|vm| vm.fleet_vm.clone()).collect()),
        vms,
        server_ids: (0..server_count).map(|index| format!("engine-{index}")).collect(),
        events: BinaryHeap::new(),
        event_count: 0,
        rng,
        outcome: PathFleetOutcome::default(),
        reach_times: Vec::new(),
        messages: 0,
        relayed: 0,
    };
    fleet.run();
    fleet.finish()
}

impl PathFleet {
    fn run(&mut self) {
        for vm in 0..self.vms.len() {
            let first = self.jitter();
            self.push(first, Event::Arrival(vm));
            self.push(Uptime::ZERO, Event::Probe(vm));
        }
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            if now < RUN_TIME {
                self.handle(event, now);
            }
        }
    }

    fn jitter(&mut self) -> Duration {
        Duration::from_millis(self.rng.random_range(0..270))
    }

    fn push(&mut self, at: Uptime, event: Event) {
        self.event_count += 1;
        self.events.push(Reverse((at, self.event_count, event)));
    }

    fn is_cut(&self, vm: usize, now: Uptime) -> bool {
        self.vms[vm].is_cut && now < CUT_TIME
    }

    fn handle(&mut self, event: Event, now: Uptime) {
        match event {
            Event::Arrival(vm) => {
                let next = now + self.jitter();
                self.push(next, Event::Arrival(vm));
                self.arrive(vm, now);
            }
            Event::Probe(vm) => {
                self.push(now + Duration::from_millis(50), Event::Probe(vm));
                for server_id in self.vms[vm].paths.next_probes(now) {
                    self.vms[vm].probes += usize::from(now < CUT_TIME);
                    if !self.is_cut(vm, now) {
                        self.vms[vm].paths.record_opened(POOL, &server_id, now);
                    }
                }
            }
            Event::Lost { vm, server, denied_by } => {
                let pool = self.server_ids.clone();
                self.vms[vm].paths.record_lost(POOL, &pool[server], &pool, now);
                for helper in denied_by {
                    self.record_failure(vm, helper, RelayFailure::NoPath, now);
                }
            }
            Event::NoPath { vm, helper } => {
                self.record_failure(vm, helper, RelayFailure::NoPath, now);
            }
            Event::Denied { vm, helper } => {
                self.record_failure(vm, helper, RelayFailure::Denied, now);
            }
            Event::NoRelay(vm) => self.vms[vm].paths.record_no_relay(POOL, now),
            Event::ConfirmedDown { vm, server } => {
                let server_id = self.server_ids[server].clone();
                self.vms[vm].paths.record_confirmed_down(&server_id, now);
            }
            Event::Begin { vm, helper } => {
                let helper_id = self.vms[helper].fleet_vm.vm_id.clone();
                self.vms[vm].relays.begin(&helper_id);
                self.vms[helper].carried += 1;
                if self.vms[helper].carried > self.outcome.max_carried {
                    self.outcome.max_carried = self.vms[helper].carried;
                    let with_paths = self.vms.iter().filter(|vm| !vm.is_cut);
                    let (count, sum) =
                        with_paths.fold((0, 0), |(count, sum), vm| (count + 1, sum + vm.carried));
                    self.outcome.mean_carried = sum as f64 / f64::from(count);
                }
            }
            Event::End { vm, helper } => {
                let helper_id = self.vms[helper].fleet_vm.vm_id.clone();
                self.vms[vm].relays.end(&helper_id);
                self.vms[helper].carried -= 1;
            }
        }
    }

    fn record_failure(&mut self, vm: usize, helper: usize, failure: RelayFailure, now: Uptime) {
        let helper_id = self.vms[helper].fleet_vm.vm_id.clone();
        let pool_id = POOL.to_owned();
        self.vms[vm].relays.record_failure(&helper_id, &pool_id, failure, now);
    }

    /// Handles the first try of a caller.
    fn arrive(&mut self, vm: usize, now: Uptime) {
        let is_cut = self.is_cut(vm, now);
        if is_cut && self.plan.policy == Policy::NotReady && !self.gets_connections(vm, now) {
            return;
        }
        let reached_after = self.reach(vm, now);
        let is_served = reached_after.is_some_and(|time| time <= PATIENCE);
        if (CONTACT_TIME..CUT_TIME).contains(&now) {
            self.outcome.failed += usize::from(!is_served);
            if is_cut {
                self.outcome.sent_at_cut += 1;
                self.outcome.served_at_cut += usize::from(is_served);
                self.reach_times.extend(reached_after);
            }
        }
    }

    /// Returns whether the load balancer sends connections to a VM that is not ready.
    fn gets_connections(&self, vm: usize, now: Uptime) -> bool {
        let data_centre_id = &self.vms[vm].fleet_vm.data_centre_id;
        let in_zone = || self.vms.iter().filter(|vm| vm.fleet_vm.data_centre_id == *data_centre_id);
        let ready_count = in_zone().filter(|vm| !vm.is_cut).count();
        now < BALANCER_TIME || (ready_count > 0 && 2 * ready_count < in_zone().count())
    }

    /// Returns after which time a request reaches a server, if it does.
    fn reach(&mut self, vm: usize, now: Uptime) -> Option<Duration> {
        let mut waited = Duration::ZERO;
        for _ in 0..MAX_SERVERS_TRIED {
            let server = self.rng.random_range(0..self.server_ids.len());
            let server_id = self.server_ids[server].clone();
            let way = self.vms[vm].paths.way_to(POOL, &server_id, now);
            if way == Way::Direct {
                if !self.is_cut(vm, now) {
                    self.vms[vm].paths.record_opened(POOL, &server_id, now);
                    return Some(waited + ROUND_TRIP);
                }
                self.vms[vm].paths.record_failed(&server_id);
                waited += if self.plan.hangs { DIRECT_TIMEOUT } else { ROUND_TRIP };
                let paths = &self.vms[vm].paths;
                if self.plan.policy != Policy::Relay
                    || !paths.may_ask_others(POOL, now)
                    || paths.is_confirmed_down(&server_id, now)
                {
                    continue;
                }
            } else if way == Way::None {
                continue;
            }
            if let Some(time) = self.relay(vm, server, way == Way::Direct, now + waited) {
                return Some(waited + time);
            }
        }
        None
    }

    /// Returns how long it takes to reach a server through another VM, if one helps.
    fn relay(&mut self, vm: usize, server: usize, is_proof: bool, now: Uptime) -> Option<Duration> {
        let others = Rc::clone(&self.fleet_vms);
        let (pool_id, data_centre_id) = (POOL.to_owned(), data_centre(server));
        let target = RelayTarget { pool_id: &pool_id, data_centre_id: &data_centre_id };
        let mut tried = vec![others[vm].vm_id.clone()];
        let (mut denied_by, mut waited) = (Vec::new(), Duration::ZERO);
        for _ in 0..MAX_RELAYS_TRIED {
            let (at, random) = (now + waited, self.rng.random());
            let chosen = self.vms[vm].relays.choose(&others, target, &tried, random, at);
            let position = |chosen| others.iter().position(|vm| vm == chosen);
            let Some(helper) = chosen.and_then(position) else {
                self.push(at, Event::NoRelay(vm));
                return None;
            };
            tried.push(others[helper].vm_id.clone());
            self.messages += 1;
            let way = self.vms[helper].paths.way_to(POOL, &self.server_ids[server], at);
            if way != Way::Direct {
                waited += ROUND_TRIP;
                self.push(now + waited, Event::NoPath { vm, helper });
            } else if self.is_cut(helper, at) {
                waited += if self.plan.hangs { RELAY_TIMEOUT } else { ROUND_TRIP };
                self.push(now + waited, Event::Denied { vm, helper });
                denied_by.push(helper);
                if denied_by.len() >= DENIALS_TO_CONFIRM {
                    self.push(now + waited, Event::ConfirmedDown { vm, server });
                    return None;
                }
            } else {
                waited += 2 * ROUND_TRIP;
                let done_at = now + waited;
                if is_proof {
                    self.push(done_at, Event::Lost { vm, server, denied_by });
                }
                self.push(at, Event::Begin { vm, helper });
                self.push(done_at + REQUEST_TIME, Event::End { vm, helper });
                self.relayed += 1;
                let is_after = at >= CUT_TIME + CONTACT_TIME;
                self.outcome.relayed_after_return += usize::from(is_after);
                return Some(waited);
            }
        }
        None
    }

    fn finish(mut self) -> PathFleetOutcome {
        let sum: Duration = self.reach_times.iter().sum();
        let count = self.reach_times.len().max(1);
        self.outcome.mean_reach_ms = sum.as_secs_f64() * 1_000.0 / count as f64;
        self.outcome.messages_per_request = self.messages as f64 / self.relayed.max(1) as f64;
        let most_probes = self.vms.iter().map(|vm| vm.probes).max().unwrap_or_default();
        self.outcome.max_probes_per_s = most_probes as f64 / CUT_TIME.as_secs_f64();
        self.outcome
    }
}
