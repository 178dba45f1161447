//! A fleet of VMs in virtual time that get new configurations from the log service or each other.
//!
//! The log service divides its read rate evenly among the reads in progress, and goes on with reads
//! that were given up. A response is sent when the service has read all of it. Only the reads of the
//! configuration are played.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sassafrashoist_core::gateway::Uptime;
use sassafrashoist_core::gateway::clock_reading::ClockReading;
use sassafrashoist_core::gateway::config_announcement::ConfigAnnouncement;
use sassafrashoist_core::gateway::config_readers::ConfigReaders;
use sassafrashoist_core::gateway::config_sharing::{
    ConfigDocument, ConfigSharing, FetchOutcome, Heard, NextFetch, NextLogRead, TopicEnd,
};
use sassafrashoist_core::gateway::config_times::ConfigTimes;
use sassafrashoist_core::gateway::document_delta::{ChunkedDocument, DeltaPart};
use sassafrashoist_core::gateway::holder_record::HolderRecord;
use sassafrashoist_core::gateway::live_vms::{FleetVm, LiveVms};
use sassafrashoist_core::gateway::token_ledger::TokenLedger;
use sassafrashoist_core::gateway::topic_cursor::{NextRead, TopicCursor};

const DATA_CENTRES: usize = 6;
const START: Uptime = Duration::from_secs(100);
/// When the log service acknowledges the first change, after the fleet has settled.
const CHANGE_AT: Uptime = Duration::from_secs(105);
const END: Uptime = Duration::from_secs(125);
const CUT_TIME: Duration = Duration::from_millis(7_200);
/// When a change is made during the cut.
const CHANGE_IN_CUT: Duration = Duration::from_secs(3);
const STORM_INTERVAL: Duration = Duration::from_millis(60);
const STORM_CHANGES: u64 = 25;
const LOG_BYTES_PER_S: f64 = 80e6;
const LINK_BYTES_PER_S: f64 = 2.5e6;
const LOSS: f64 = 0.01;
const HEAVY_LOSS: f64 = 0.3;
/// The share of the VMs that lose their path to the log service.
const OUTAGE_SHARE: f64 = 0.35;
const LATENCY: Duration = Duration::from_millis(1);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
const IDLE_TIMEOUT: Duration = Duration::from_millis(700);
const READ_WAIT: Duration = Duration::from_secs(1);
const RETRY_DELAY: Duration = Duration::from_millis(150);
const MIN_READ_INTERVAL: Duration = Duration::from_millis(50);
const MAX_BATCH_BYTES: usize = 1_048_576;
const GATE_INTERVAL: Duration = Duration::from_millis(100);
const FETCH_TICK: Duration = Duration::from_millis(200);
const MAX_SERVED_FETCHES: usize = 32;
const MAX_DELTA_BYTES: usize = 60_000;
const REQUEST_OVERHEAD_BYTES: usize = 300;
const PART_OVERHEAD_BYTES: usize = 11;
/// The time to decode a document on a part of a core, for each byte.
const DECODE_NS_PER_BYTE: u64 = 100;
/// The time to compare two documents on a part of a core.
const COMPARE_TIME: Duration = Duration::from_millis(1);

/// Who reads the log service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// Every VM.
    EveryVm,
    /// The readers of each data centre, and others only if they must.
    Readers,
}

/// What happens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Incident {
    /// One route changes.
    OneChange,
    /// Every route changes at once.
    WholeChange,
    /// Changes of one route each follow each other.
    Storm,
    /// All VMs are cut off from the log service, and one route changes meanwhile.
    Cut,
    /// All readers of a data centre are killed as one route changes.
    ReadersKilled,
    /// All readers of a data centre are frozen as one route changes.
    ReadersFrozen,
    /// A reader of each data centre does not get the change from the log service.
    StaleReader,
    /// All readers have an old build, which announces nothing.
    OldReaders,
    /// The log service turns all readers of a data centre away from the change on.
    ReadersTurnedAway,
    /// The log service turns a third of the VMs away from the change on, readers among them.
    ThirdTurnedAway,
    /// The log service accepts the reads of a third of the VMs from the change on, and answers none.
    ThirdUnanswered,
    /// All readers lack the processor time to answer fetches in time.
    ReadersWithoutTime,
    /// A third of the VMs is turned away, no reader answers fetches in time, and a third of the
    /// datagrams is lost.
    All,
}

impl Incident {
    /// Returns whether some VMs have no path to the log service, which need not be in time.
    fn is_partial_outage(self) -> bool {
        matches!(
            self,
            Self::ReadersTurnedAway | Self::ThirdTurnedAway | Self::ThirdUnanswered | Self::All
        )
    }
}

/// The parameters of a run.
#[derive(Debug, Clone, Copy)]
pub struct SharingPlan {
    /// The number of VMs.
    pub vm_count: usize,
    /// The number of routes.
    pub route_count: usize,
    /// Who reads the log service.
    pub policy: Policy,
    /// What happens.
    pub incident: Incident,
    /// The time in which a change is to be in force.
    pub apply_time: Duration,
}

/// How long the last change took, and what it cost.
#[derive(Debug, Clone, PartialEq)]
pub struct SharingOutcome {
    /// The time until the last version is in force at each VM that lives and has a path to the log
    /// service, in ascending order, from the acknowledgement or the end of the cut.
    pub times: Vec<Duration>,
    /// The VMs at which it is not in force at the end.
    pub missing: usize,
    /// The bytes that the log service read from the change or the end of the cut on.
    pub log_bytes: f64,
    /// The fetches of one VM at the most, over the run.
    pub served_fetches: usize,
}

impl SharingOutcome {
    /// Returns the time in which this share of all VMs has the version.
    pub fn quantile(&self, share: f64) -> Option<Duration> {
        let all = self.times.len() + self.missing;
        let index = (all as f64 * share).ceil() as usize;
        self.times.get(index.max(1) - 1).copied()
    }
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Change,
    Heal,
    Gate(usize),
    FetchTick(usize),
    ReadArrives { vm: usize, read: usize },
    WaitEnds { vm: usize, read: usize },
    LogServes(usize),
    ReadEnds { vm: usize, read: usize, version: u64, from_offset: Option<u64> },
    ReadFails { vm: usize, read: usize },
    Applied { vm: usize, version: u64, end: u8 },
    Datagram { to: usize, from: usize, version: u64, known_ago: Duration },
    FetchArrives { vm: usize, from: usize, fetch: usize, version: u64, own: u64 },
    FetchEnds { vm: usize, fetch: usize, outcome: u8, version: u64 },
    FetchApplied { vm: usize, version: u64 },
}

struct Vm {
    fleet_vm: FleetVm,
    role: ConfigReaders,
    neighbours: Vec<usize>,
    sharing: ConfigSharing,
    cursor: TopicCursor,
    version: u64,
    is_gone: bool,
    is_frozen: bool,
    is_stale: bool,
    is_old: bool,
    is_turned_away: bool,
    is_unanswered: bool,
    answers_no_fetch: bool,
    read: usize,
    read_sent_at: Uptime,
    fetch: usize,
    fetching: Option<(usize, ConfigAnnouncement)>,
    serving: usize,
    served: usize,
    link_in_free: Uptime,
    link_out_free: Uptime,
}

struct PendingRead {
    vm: usize,
    read: usize,
    version: u64,
    from_offset: Option<u64>,
}

/// A run in progress.
pub struct SharingFleet {
    plan: SharingPlan,
    now: Uptime,
    vms: Vec<Vm>,
    events: BinaryHeap<Reverse<(Uptime, usize, Event)>>,
    event_count: usize,
    rng: StdRng,
    documents: Vec<Arc<ConfigDocument>>,
    delta_bytes: HashMap<(u64, u64), Option<usize>>,
    newest: u64,
    changed_at: Uptime,
    is_cut: bool,
    attained: f64,
    attained_at: Uptime,
    reads: BinaryHeap<Reverse<(u64, usize)>>,
    pending: HashMap<usize, PendingRead>,
    read_count: usize,
    serve_epoch: usize,
    log_bytes: f64,
    waiting: Vec<(usize, usize)>,
    in_force_at: Vec<Option<Uptime>>,
}

fn fleet_vm(index: usize) -> FleetVm {
    FleetVm {
        vm_id: format!("vm-{index}"),
        peer_address: SocketAddr::from(([10, 0, 0, 1], 1_000 + index as u16)),
        data_centre_id: format!("dc-{}", index % DATA_CENTRES),
    }
}

fn roles(vm_count: usize) -> Vec<ConfigReaders> {
    let mut ledger = TokenLedger::default();
    for index in 0..vm_count {
        let FleetVm { vm_id, peer_address, data_centre_id } = fleet_vm(index);
        let record = HolderRecord {
            vm_id: vm_id.clone(),
            data_centre_id,
            peer_address,
            sequence: 1,
            is_closed: false,
            sent_at: ClockReading::default(),
            limits_active_for: Duration::ZERO,
            accounts: Vec::new(),
        };
        ledger.apply(index as u64 + 1, vm_id, record);
    }
    let role = |index| {
        let mut live_vms = LiveVms::new(fleet_vm(index));
        live_vms.record_read(&ledger, START);
        ConfigReaders::select(&live_vms, START)
    };
    (0..vm_count).map(role).collect()
}

/// The configuration of a version; each version differs from the one before in one route, or in all.
fn document(version: u64, plan: &SharingPlan) -> Arc<ConfigDocument> {
    let route = |index: usize| {
        let is_changed = plan.incident == Incident::WholeChange
            || (1..=version as usize).any(|v| v * 53 % plan.route_count == index);
        let timeout_ms = if is_changed { 5_000 + version } else { 5_000 };
        format!(
            r#"{{"name":"route-{index:05}","hostname":"host-{index:05}.of-a-client.example","pathPrefix":"/service/{index:05}/","routeType":"non_idempotent","timeoutMs":{timeout_ms},"targetLatencyMs":500,"priorityClass":1,"backend":"pool-{:03}","weightedBackends":[],"maxAttempts":1,"public":false,"streamResume":false}}"#,
            index % 28
        )
    };
    let routes: Vec<_> = (0..plan.route_count).map(route).collect();
    let text = format!(r#"{{"version":{version},"routes":[{}]}}"#, routes.join(","));
    Arc::new(ConfigDocument { version, content: ChunkedDocument::new(text.into()) })
}

/// Plays a run.
pub fn play(plan: SharingPlan) -> SharingOutcome {
    let mut fleet = SharingFleet::new(plan);
    fleet.run();
    let has_path = |vm: &Vm| !vm.is_gone && !vm.is_turned_away && !vm.is_unanswered;
    let living = fleet.vms.iter().zip(&fleet.in_force_at).filter(|(vm, _)| has_path(vm));
    let living: Vec<_> = living.map(|(_, at)| *at).collect();
    let reached = living.iter().flatten();
    let mut times: Vec<_> = reached.map(|at| at.saturating_sub(fleet.changed_at)).collect();
    times.sort();
    SharingOutcome {
        missing: living.len() - times.len(),
        times,
        log_bytes: fleet.log_bytes,
        served_fetches: fleet.vms.iter().map(|vm| vm.served).max().unwrap_or_default(),
    }
}

impl SharingFleet {
    fn new(plan: SharingPlan) -> Self {
        let roles = roles(plan.vm_count);
        let first = document(0, &plan);
        let mut rng = StdRng::seed_from_u64(39);
        let in_data_centre = |index: usize| {
            let others = (0..plan.vm_count).filter(move |other| {
                *other != index && other % DATA_CENTRES == index % DATA_CENTRES
            });
            others.collect::<Vec<_>>()
        };
        let vms = roles.into_iter().enumerate().map(|(index, role)| {
            let neighbours = in_data_centre(index);
            let neighbours = if role.neighbours.is_empty() { Vec::new() } else { neighbours };
            let mut sharing = ConfigSharing::new(ConfigTimes::new(plan.apply_time));
            sharing.record_role(&role);
            sharing.record_in_force(Arc::clone(&first));
            sharing.next_fetch(0.5, START);
            let mut cursor = TopicCursor::default();
            cursor.record_newest(0, START);
            let is_old = plan.incident == Incident::OldReaders && role.is_reader;
            Vm {
                fleet_vm: fleet_vm(index),
                role,
                neighbours,
                sharing,
                cursor,
                version: 0,
                is_gone: false,
                is_frozen: false,
                is_stale: false,
                is_old,
                is_turned_away: false,
                is_unanswered: false,
                answers_no_fetch: false,
                read: 0,
                read_sent_at: START,
                fetch: 0,
                fetching: None,
                serving: 0,
                served: 0,
                link_in_free: START,
                link_out_free: START,
            }
        });
        let mut fleet = Self {
            plan,
            now: START,
            vms: vms.collect(),
            events: BinaryHeap::new(),
            event_count: 0,
            rng: StdRng::seed_from_u64(rng.random()),
            documents: vec![first],
            delta_bytes: HashMap::new(),
            newest: 0,
            changed_at: CHANGE_AT,
            is_cut: false,
            attained: 0.0,
            attained_at: START,
            reads: BinaryHeap::new(),
            pending: HashMap::new(),
            read_count: 0,
            serve_epoch: 0,
            log_bytes: 0.0,
            waiting: Vec::new(),
            in_force_at: vec![None; plan.vm_count],
        };
        for vm in 0..plan.vm_count {
            let delay = READ_WAIT.mul_f64(rng.random());
            fleet.schedule(delay, Event::Gate(vm));
            fleet.schedule(delay, Event::FetchTick(vm));
        }
        let until_change = CHANGE_AT - START;
        match plan.incident {
            Incident::Storm => (0..STORM_CHANGES).for_each(|number| {
                fleet.schedule(until_change + STORM_INTERVAL * number as u32, Event::Change);
            }),
            Incident::Cut => {
                fleet.schedule(until_change + CHANGE_IN_CUT, Event::Change);
                fleet.schedule(until_change + CUT_TIME, Event::Heal);
            }
            _ => fleet.schedule(until_change, Event::Change),
        }
        fleet
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.event_count += 1;
        self.events.push(Reverse((self.now + delay, self.event_count, event)));
    }

    fn run(&mut self) {
        while let Some(Reverse((at, _, event))) = self.events.pop()
            && at < END
        {
            if self.now < CHANGE_AT && at >= CHANGE_AT {
                self.begin_incident();
            }
            self.now = at;
            self.handle(event);
        }
    }

    fn begin_incident(&mut self) {
        self.log_bytes = 0.0;
        self.is_cut = self.plan.incident == Incident::Cut;
        let mut has_stale = [false; DATA_CENTRES];
        self.begin_partial_outage();
        for (index, vm) in self.vms.iter_mut().enumerate() {
            if !vm.role.is_reader || vm.neighbours.is_empty() {
                continue;
            }
            let data_centre = index % DATA_CENTRES;
            match self.plan.incident {
                Incident::ReadersKilled if data_centre == 0 => vm.is_gone = true,
                Incident::ReadersFrozen if data_centre == 0 => {
                    (vm.is_gone, vm.is_frozen) = (true, true);
                }
                Incident::ReadersWithoutTime | Incident::All => vm.answers_no_fetch = true,
                Incident::StaleReader if !has_stale[data_centre] => {
                    (vm.is_stale, has_stale[data_centre]) = (true, true);
                }
                _ => {}
            }
        }
    }

    /// Takes the path to the log service from some VMs; the reads that wait there fail.
    fn begin_partial_outage(&mut self) {
        let incident = self.plan.incident;
        if !incident.is_partial_outage() {
            return;
        }
        for index in 0..self.vms.len() {
            let is_hit = match incident {
                Incident::ReadersTurnedAway => {
                    self.vms[index].role.is_reader && index % DATA_CENTRES == 0
                }
                _ => self.rng.random_bool(OUTAGE_SHARE),
            };
            let vm = &mut self.vms[index];
            vm.is_unanswered = is_hit && incident == Incident::ThirdUnanswered;
            vm.is_turned_away = is_hit && !vm.is_unanswered;
        }
        for (vm, read) in std::mem::take(&mut self.waiting) {
            if self.vms[vm].is_turned_away {
                self.schedule(LATENCY, Event::ReadFails { vm, read });
            } else if !self.vms[vm].is_unanswered {
                self.waiting.push((vm, read));
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Change => self.change(),
            Event::Heal => {
                self.is_cut = false;
                self.changed_at = self.now;
                self.log_bytes = 0.0;
            }
            Event::Gate(vm) => self.pass_gate(vm),
            Event::FetchTick(vm) => {
                self.decide_fetch(vm);
                self.schedule(FETCH_TICK, Event::FetchTick(vm));
            }
            Event::ReadArrives { vm, read } => self.receive_read(vm, read),
            Event::WaitEnds { vm, read } => {
                if let Some(position) = self.waiting.iter().position(|w| *w == (vm, read)) {
                    self.waiting.swap_remove(position);
                    let version = self.seen_by(vm);
                    let from_offset = Some(version);
                    let ends = Event::ReadEnds { vm, read, version, from_offset };
                    self.schedule(LATENCY, ends);
                }
            }
            Event::LogServes(epoch) if epoch == self.serve_epoch => self.finish_reads(),
            Event::LogServes(_) => {}
            Event::ReadEnds { vm, read, version, from_offset } => {
                self.end_read(vm, read, version, from_offset);
            }
            Event::ReadFails { vm, read } => {
                if self.vms[vm].read == read {
                    self.vms[vm].read += 1;
                    self.schedule(RETRY_DELAY, Event::Gate(vm));
                }
            }
            Event::Applied { vm, version, end } => self.apply_read(vm, version, end),
            Event::Datagram { to, from, version, known_ago } => {
                self.hear(to, from, version, known_ago);
            }
            Event::FetchArrives { vm, from, fetch, version, own } => {
                self.serve_fetch(vm, from, fetch, version, own);
            }
            Event::FetchEnds { vm, fetch, outcome, version } => {
                self.end_fetch(vm, fetch, outcome, version);
            }
            Event::FetchApplied { vm, version } => {
                self.put_into_force(vm, version);
                self.record_fetch(vm, FetchOutcome::Received);
            }
        }
    }

    fn change(&mut self) {
        self.newest += 1;
        self.documents.push(document(self.newest, &self.plan));
        self.changed_at = self.now;
        self.in_force_at.iter_mut().for_each(|at| *at = None);
        for (vm, read) in std::mem::take(&mut self.waiting) {
            self.receive_read(vm, read);
        }
    }

    /// The newest version that the log service shows to a VM.
    fn seen_by(&self, vm: usize) -> u64 {
        if self.vms[vm].is_stale { 0 } else { self.newest }
    }

    fn pass_gate(&mut self, vm: usize) {
        let random = self.rng.random();
        let (now, policy) = (self.now, self.plan.policy);
        let state = &mut self.vms[vm];
        if state.is_gone {
            return;
        }
        if policy == Policy::Readers
            && !state.is_old
            && let NextLogRead::NotBefore(at) = state.sharing.next_log_read(random, now)
        {
            let delay = at.saturating_sub(now).min(GATE_INTERVAL);
            return self.schedule(delay, Event::Gate(vm));
        }
        state.sharing.begin_log_read(now);
        state.read_sent_at = now;
        let read = state.read;
        if self.is_cut {
            self.schedule(CONNECT_TIMEOUT, Event::ReadFails { vm, read });
        } else if self.vms[vm].is_turned_away {
            self.schedule(2 * LATENCY, Event::ReadFails { vm, read });
        } else if self.vms[vm].is_unanswered {
            self.schedule(READ_WAIT + IDLE_TIMEOUT, Event::ReadFails { vm, read });
        } else {
            self.schedule(LATENCY, Event::ReadArrives { vm, read });
        }
    }

    fn receive_read(&mut self, vm: usize, read: usize) {
        if self.is_cut {
            return;
        }
        let newest = self.seen_by(vm);
        let next = self.vms[vm].cursor.next_read(self.vms[vm].read_sent_at);
        let sent_at = self.vms[vm].read_sent_at;
        let (bytes, version, from_offset) = match next {
            NextRead::Newest => {
                let bytes = self.documents[newest as usize].content.bytes().len() * 4 / 3;
                (bytes, newest, None)
            }
            NextRead::From(from) if from >= newest => {
                let until = (sent_at + READ_WAIT).saturating_sub(self.now);
                self.waiting.push((vm, read));
                self.schedule(until, Event::WaitEnds { vm, read });
                let timeout = until + IDLE_TIMEOUT;
                return self.schedule(timeout, Event::ReadFails { vm, read });
            }
            NextRead::From(from) => {
                let (mut bytes, mut version) = (0, from);
                for next in from + 1..=newest {
                    let length = self.documents[next as usize].content.bytes().len();
                    if bytes > 0 && bytes + length > MAX_BATCH_BYTES {
                        break;
                    }
                    (bytes, version) = (bytes + length, next);
                }
                (bytes, version, Some(from))
            }
        };
        self.advance_service();
        self.log_bytes += bytes as f64;
        self.read_count += 1;
        let finish = self.attained + bytes as f64;
        self.reads.push(Reverse((finish.to_bits(), self.read_count)));
        self.pending.insert(self.read_count, PendingRead { vm, read, version, from_offset });
        self.schedule_service();
        let wait = if from_offset.is_some() { READ_WAIT } else { Duration::ZERO };
        let timeout = (sent_at + wait + IDLE_TIMEOUT).saturating_sub(self.now);
        self.schedule(timeout, Event::ReadFails { vm, read });
    }

    fn advance_service(&mut self) {
        let elapsed = (self.now - self.attained_at).as_secs_f64();
        if !self.reads.is_empty() {
            self.attained += elapsed * LOG_BYTES_PER_S / self.reads.len() as f64;
        }
        self.attained_at = self.now;
    }

    fn schedule_service(&mut self) {
        self.serve_epoch += 1;
        let Some(Reverse((finish, _))) = self.reads.peek() else {
            return;
        };
        let left = (f64::from_bits(*finish) - self.attained).max(0.0);
        let seconds = left * self.reads.len() as f64 / LOG_BYTES_PER_S;
        let delay = Duration::from_secs_f64(seconds) + Duration::from_nanos(1);
        self.schedule(delay, Event::LogServes(self.serve_epoch));
    }

    fn finish_reads(&mut self) {
        self.advance_service();
        while let Some(Reverse((finish, id))) = self.reads.peek().copied()
            && f64::from_bits(finish) <= self.attained + 0.5
        {
            self.reads.pop();
            let Some(PendingRead { vm, read, version, from_offset }) = self.pending.remove(&id)
            else {
                continue;
            };
            if self.vms[vm].read != read || self.is_cut {
                continue;
            }
            // The response has begun, so the read is not given up any more.
            let bytes = match from_offset {
                None => self.documents[version as usize].content.bytes().len() * 4 / 3,
                Some(from) => (from + 1..=version)
                    .map(|next| self.documents[next as usize].content.bytes().len())
                    .sum(),
            };
            self.vms[vm].read += 1;
            let read = self.vms[vm].read;
            let arrives_at = self.transfer(None, vm, bytes);
            let ends = Event::ReadEnds { vm, read, version, from_offset };
            self.schedule(arrives_at - self.now, ends);
        }
        self.schedule_service();
    }

    /// Returns when bytes have been sent over the links of the sender, if it is a VM, and the
    /// receiver.
    fn transfer(&mut self, from: Option<usize>, to: usize, bytes: usize) -> Uptime {
        let out_free = from.map_or(self.now, |from| self.vms[from].link_out_free);
        let begin = self.now.max(out_free).max(self.vms[to].link_in_free);
        let end = begin + Duration::from_secs_f64(bytes as f64 / LINK_BYTES_PER_S);
        self.vms[to].link_in_free = end;
        if let Some(from) = from {
            self.vms[from].link_out_free = end;
        }
        end + LATENCY
    }

    fn end_read(&mut self, vm: usize, read: usize, version: u64, from_offset: Option<u64>) {
        let (now, newest) = (self.now, self.seen_by(vm));
        let state = &mut self.vms[vm];
        if state.is_gone || state.read != read || (self.is_cut && from_offset == Some(version)) {
            return;
        }
        state.read += 1;
        let is_empty = from_offset == Some(version);
        match from_offset {
            None => state.cursor.record_newest(version, now),
            Some(_) => state.cursor.record_read(version, newest.max(version), now),
        }
        let is_at_end = from_offset.is_none() || version >= newest;
        let end = u8::from(is_at_end) + u8::from(is_empty);
        let decode_bytes = if is_empty || version <= state.version {
            0
        } else {
            self.documents[version as usize].content.bytes().len()
        };
        let decode_time = Duration::from_nanos(decode_bytes as u64 * DECODE_NS_PER_BYTE);
        self.schedule(decode_time, Event::Applied { vm, version, end });
        let pause = if is_empty { Duration::ZERO } else { MIN_READ_INTERVAL };
        self.schedule(decode_time + pause, Event::Gate(vm));
    }

    fn apply_read(&mut self, vm: usize, version: u64, end: u8) {
        let is_new = self.put_into_force(vm, version);
        let end = match end {
            0 => TopicEnd::NotReached,
            1 => TopicEnd::Reached,
            _ => TopicEnd::ReachedAfter(READ_WAIT),
        };
        let known_at = self.vms[vm].sharing.record_log_read(end, self.now);
        if known_at.is_some() || is_new {
            self.announce(vm);
        }
    }

    fn put_into_force(&mut self, vm: usize, version: u64) -> bool {
        let state = &mut self.vms[vm];
        if state.is_gone || version <= state.version {
            return false;
        }
        state.version = version;
        state.sharing.record_in_force(Arc::clone(&self.documents[version as usize]));
        if version == self.newest {
            self.in_force_at[vm] = Some(self.now);
        }
        true
    }

    fn announce(&mut self, vm: usize) {
        let state = &self.vms[vm];
        if self.plan.policy == Policy::EveryVm || state.is_gone || state.is_old {
            return;
        }
        let Some(announced) = state.sharing.announcement(self.now) else {
            return;
        };
        let ConfigAnnouncement { version, known_ago, .. } = announced;
        for to in state.neighbours.clone() {
            let loss = if self.plan.incident == Incident::All { HEAVY_LOSS } else { LOSS };
            if !self.rng.random_bool(loss) {
                self.schedule(LATENCY, Event::Datagram { to, from: vm, version, known_ago });
            }
        }
    }

    fn hear(&mut self, to: usize, from: usize, version: u64, known_ago: Duration) {
        let random = self.rng.random();
        let document_hash = self.documents[version as usize].content.hash();
        let announced = ConfigAnnouncement { version, document_hash, known_ago };
        let fleet_vm = self.vms[from].fleet_vm.clone();
        if self.vms[to].is_gone || self.vms[to].is_old {
            return;
        }
        let heard = self.vms[to].sharing.hear(&fleet_vm, &announced, random, self.now);
        if matches!(heard, Heard::Newer(_)) {
            self.decide_fetch(to);
        }
    }

    fn decide_fetch(&mut self, vm: usize) {
        let random = self.rng.random();
        if self.vms[vm].is_gone || self.vms[vm].is_old || self.vms[vm].fetching.is_some() {
            return;
        }
        match self.vms[vm].sharing.next_fetch(random, self.now) {
            NextFetch::NotYet => {}
            NextFetch::At(at) => {
                let delay = at.saturating_sub(self.now);
                if delay < FETCH_TICK {
                    self.schedule(delay, Event::FetchTick(vm));
                }
            }
            NextFetch::From { vm: other, announced } => {
                let from = other.vm_id.trim_start_matches("vm-").parse().unwrap();
                self.begin_fetch(vm, from, announced);
            }
        }
    }

    fn begin_fetch(&mut self, vm: usize, from: usize, announced: ConfigAnnouncement) {
        self.vms[vm].fetch += 1;
        let (fetch, own) = (self.vms[vm].fetch, self.vms[vm].version);
        self.vms[vm].fetching = Some((from, announced));
        let (failed, version) = (FAILED, announced.version);
        let ends = Event::FetchEnds { vm, fetch, outcome: failed, version };
        if self.vms[from].is_gone && !self.vms[from].is_frozen {
            return self.schedule(2 * LATENCY, ends);
        }
        let timeout = ConfigTimes::new(self.plan.apply_time).fetch_timeout();
        self.schedule(timeout + 2 * LATENCY, ends);
        let chunk_count = self.documents[own as usize].content.chunk_hashes().len();
        let bytes = 8 * chunk_count + REQUEST_OVERHEAD_BYTES;
        let arrives_at = self.transfer(Some(vm), from, bytes) + 2 * LATENCY;
        self.vms[from].serving += 1;
        let arrives = Event::FetchArrives { vm, from, fetch, version, own };
        self.schedule(arrives_at - self.now, arrives);
    }

    fn serve_fetch(&mut self, vm: usize, from: usize, fetch: usize, version: u64, own: u64) {
        let serving = self.vms[from].serving;
        self.vms[from].serving -= 1;
        if self.vms[from].is_gone || self.vms[from].answers_no_fetch {
            return;
        }
        let offered = self.vms[from].version;
        let delta = self.delta_bytes(own, offered);
        let (outcome, bytes) = match delta {
            _ if serving > MAX_SERVED_FETCHES => (BUSY, 0),
            _ if offered < version => (FAILED, 0),
            None => (TOO_LONG, 0),
            Some(bytes) => (RECEIVED, bytes),
        };
        self.vms[from].served += usize::from(outcome == RECEIVED);
        let bytes = bytes + REQUEST_OVERHEAD_BYTES;
        let arrives_at = self.transfer(Some(from), vm, bytes) + COMPARE_TIME;
        let ends = Event::FetchEnds { vm, fetch, outcome, version: offered };
        self.schedule(arrives_at - self.now, ends);
    }

    fn delta_bytes(&mut self, own: u64, offered: u64) -> Option<usize> {
        let documents = &self.documents;
        *self.delta_bytes.entry((own, offered)).or_insert_with(|| {
            let hashes = documents[own as usize].content.chunk_hashes();
            let content = &documents[offered as usize].content;
            let delta = content.delta_to(&hashes, MAX_DELTA_BYTES)?;
            let received = documents[own as usize].content.apply(&delta).unwrap();
            assert_eq!(received.bytes(), content.bytes());
            let part_bytes = |part: &DeltaPart| match part {
                DeltaPart::Chunks { .. } => PART_OVERHEAD_BYTES,
                DeltaPart::Literal(bytes) => PART_OVERHEAD_BYTES + bytes.len(),
            };
            Some(delta.parts.iter().map(part_bytes).sum())
        })
    }

    fn end_fetch(&mut self, vm: usize, fetch: usize, outcome: u8, version: u64) {
        if self.vms[vm].is_gone || self.vms[vm].fetch != fetch || self.vms[vm].fetching.is_none() {
            return;
        }
        self.vms[vm].fetch += 1;
        match outcome {
            RECEIVED => {
                let bytes = self.documents[version as usize].content.bytes().len() as u64;
                let decode_time = Duration::from_nanos(bytes * DECODE_NS_PER_BYTE);
                self.schedule(decode_time, Event::FetchApplied { vm, version });
            }
            BUSY => self.record_fetch(vm, FetchOutcome::Busy),
            TOO_LONG => self.record_fetch(vm, FetchOutcome::TooLong),
            _ => self.record_fetch(vm, FetchOutcome::Failed),
        }
    }

    fn record_fetch(&mut self, vm: usize, outcome: FetchOutcome) {
        let (random, now) = (self.rng.random(), self.now);
        let Some((from, announced)) = self.vms[vm].fetching.take() else {
            return;
        };
        let from = self.vms[from].fleet_vm.vm_id.clone();
        self.vms[vm].sharing.record_fetch(&from, &announced, outcome, random, now);
        self.decide_fetch(vm);
    }
}

const RECEIVED: u8 = 0;
const BUSY: u8 = 1;
const TOO_LONG: u8 = 2;
const FAILED: u8 = 3;
