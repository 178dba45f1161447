//! A fleet whose VMs read three topics of one log service, in virtual time: all VMs are cut off from
//! the service while the configuration changes, then the cut heals for all at once.
//!
//! The service sends responses in the order of the calls, at a read rate that all share. It sends a
//! response that it has queued even when the reader has given up; such bytes are thrown away. A
//! response then passes the link of its VM, one after the other. The newest record of each key is
//! sent in base64.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sassafrashoist_core::gateway::Uptime;
use sassafrashoist_core::gateway::read_patience::{MIN_IDLE_TIMEOUT, ReadPatience};
use sassafrashoist_core::gateway::read_precedence::{ReadPrecedence, TopicRank};
use sassafrashoist_core::gateway::topic_cursor::{NextRead, TopicCursor};
use sassafrashoist_core::requests::backoff::retry_delay;

const CUT_TIME: Duration = Duration::from_millis(7_200);
const CONFIG_CHANGED_AT: Duration = Duration::from_secs(3);
/// The times are those of uptimes and start after the VMs were started.
const START: Duration = Duration::from_secs(100);
const END: Duration = Duration::from_secs(150);

const READ_BYTES_PER_S: f64 = 80_000_000.0;
const RESPONSE_TIME: Duration = Duration::from_millis(4);
const LINK_BYTES_PER_S: f64 = 20_000_000.0 / 8.0;
const FAST_LINK_BYTES_PER_S: f64 = 200_000_000.0 / 8.0;
/// One in this many VMs has a fast link.
const FAST_LINK_SPACING: usize = 16;
const ROUND_TRIP: Duration = Duration::from_millis(2);
const CONFIG_PROCESSING_TIME: Duration = Duration::from_millis(50);

const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
const FOLLOW_WAIT: Duration = Duration::from_secs(1);
const CONFIG_INTERVAL: Duration = Duration::from_millis(50);
const SERVERS_INTERVAL: Duration = Duration::from_millis(500);
const LEDGER_INTERVAL: Duration = Duration::from_millis(900);
const LEDGER_JITTER: Duration = Duration::from_millis(60);

const SERVER_LIST_BYTES: f64 = 262.0 * 330.0;
const SERVER_RECORD_BYTES: f64 = 250.0;
const SERVER_RECORDS_PER_S: f64 = 218.0;
const LEDGER_RECORD_BYTES: f64 = 1_000.0;
const LEDGER_RECORDS_PER_S: f64 = 30.0;
const LEDGER_RECORDS_PER_S_AND_VM: f64 = 0.2;
const MAX_READ_BYTES: f64 = 256.0 * 1_024.0;
const MAX_KEYS_PER_PAGE: usize = 500;
const BASE64_FACTOR: f64 = 4.0 / 3.0;

/// What VMs find during the cut.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cut {
    /// No connection opens.
    Unreachable,
    /// Connections open, and calls are never answered, not even after the heal.
    NoResponse,
}

/// How the VMs read.
#[derive(Debug, Clone, Copy)]
pub struct ReadPolicy {
    /// Whether the idle timeout grows after failures; 0.7 s otherwise.
    pub has_patience: bool,
    /// Whether the delay after a failure grows and has jitter; 150 ms otherwise.
    pub has_backoff: bool,
    /// Whether the topics of a VM are read in an order after an outage.
    pub has_precedence: bool,
    /// Whether pages that were read completely are kept after a failure.
    pub keeps_pages: bool,
}

/// One replay.
#[derive(Debug, Clone, Copy)]
pub struct LogReadPlan {
    pub vm_count: usize,
    pub config_bytes: f64,
    pub cut: Cut,
    pub policy: ReadPolicy,
}

/// What happened in a replay, from the heal on.
#[derive(Debug)]
pub struct LogReadOutcome {
    /// For each VM, the time until the newest configuration is active, in order; `None` if it is
    /// not by the end of the replay.
    pub config_delays: Vec<Option<Duration>>,
    /// For each VM, the time until the newest records of a topic were read.
    pub servers_delays: Vec<Option<Duration>>,
    pub ledger_delays: Vec<Option<Duration>>,
    /// The bytes that the service sent until all VMs had the configuration.
    pub sent_bytes: f64,
    /// The bytes of them whose reader had given up.
    pub wasted_bytes: f64,
    /// The reads given up until then.
    pub given_up_count: usize,
}

impl LogReadOutcome {
    /// Returns the time until a share of the VMs has the configuration.
    pub fn config_delay(&self, share: f64) -> Option<Duration> {
        quantile(&self.config_delays, share)
    }
}

/// Returns the value that a share of the sorted values do not exceed.
pub fn quantile(delays: &[Option<Duration>], share: f64) -> Option<Duration> {
    let count = (delays.len() as f64 * share).ceil() as usize;
    delays[count.max(1) - 1]
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    /// Opens a connection, if there is none, to make a call.
    Begin,
    ConnectFailed,
    /// Makes a call on the open connection unless other topics are read first.
    Ready,
    /// The service queues the response.
    Respond,
    GiveUp,
    Complete,
}

/// A step of the current attempt of a VM to read a topic.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Event {
    vm: usize,
    topic: usize,
    attempt: u64,
    step: Step,
}

/// The call in progress.
#[derive(Debug, Clone, Copy, Default)]
struct Call {
    is_newest: bool,
    sent_at: Uptime,
    wait: Duration,
    deadline: Uptime,
    first_byte_at: Uptime,
    end: u64,
    bytes: f64,
}

#[derive(Debug)]
struct Topic {
    rank: TopicRank,
    cursor: TopicCursor,
    next: u64,
    patience: ReadPatience,
    failure_count: u32,
    is_connected: bool,
    is_held: bool,
    attempt: u64,
    call: Call,
    page: usize,
    first_page_end: u64,
    read_at: Option<Uptime>,
}

#[derive(Debug)]
struct Vm {
    topics: Vec<Topic>,
    precedence: ReadPrecedence,
    link_bytes_per_s: f64,
    link_free_at: Uptime,
    config_at: Option<Uptime>,
}

struct Fleet {
    plan: LogReadPlan,
    random: StdRng,
    queue: BinaryHeap<Reverse<(Uptime, u64, Event)>>,
    event_count: u64,
    vms: Vec<Vm>,
    service_free_at: Uptime,
    late_vm_count: usize,
    outcome: LogReadOutcome,
}

/// Replays a cut of all VMs.
pub fn play(plan: LogReadPlan) -> LogReadOutcome {
    let mut fleet = Fleet::new(plan);
    while let Some(Reverse((now, _, event))) = fleet.queue.pop() {
        if now >= END || !fleet.is_recovering() {
            break;
        }
        fleet.run(event, now);
    }
    fleet.finish()
}

impl Fleet {
    fn new(plan: LogReadPlan) -> Self {
        let topic = |rank| Topic {
            rank,
            cursor: TopicCursor::default(),
            next: 0,
            patience: ReadPatience::default(),
            failure_count: 0,
            is_connected: true,
            is_held: false,
            attempt: 0,
            call: Call::default(),
            page: 0,
            first_page_end: 0,
            read_at: None,
        };
        let vms = (0..plan.vm_count).map(|index| {
            let is_fast = index % FAST_LINK_SPACING == 0;
            let ranks = [TopicRank::Config, TopicRank::Servers, TopicRank::Ledger];
            let mut precedence = ReadPrecedence::default();
            for rank in ranks {
                precedence.record_current(rank);
            }
            Vm {
                topics: ranks.map(topic).into(),
                precedence,
                link_bytes_per_s: if is_fast { FAST_LINK_BYTES_PER_S } else { LINK_BYTES_PER_S },
                link_free_at: Uptime::ZERO,
                config_at: None,
            }
        });
        let mut fleet = Self {
            plan,
            random: StdRng::seed_from_u64(39),
            queue: BinaryHeap::new(),
            event_count: 0,
            vms: vms.collect(),
            service_free_at: Uptime::ZERO,
            late_vm_count: plan.vm_count,
            outcome: LogReadOutcome {
                config_delays: Vec::new(),
                servers_delays: Vec::new(),
                ledger_delays: Vec::new(),
                sent_bytes: 0.0,
                wasted_bytes: 0.0,
                given_up_count: 0,
            },
        };
        for vm in 0..plan.vm_count {
            for topic in 0..3 {
                let end = fleet.topic_end(topic, START);
                let state = &mut fleet.vms[vm].topics[topic];
                state.cursor.record_newest(end, START);
                state.next = end;
                let phase = FOLLOW_WAIT.mul_f64(fleet.random.random());
                fleet.begin_at(vm, topic, START + phase);
            }
        }
        fleet
    }

    fn is_recovering(&self) -> bool {
        self.vms.iter().any(|vm| {
            vm.config_at.is_none() || vm.topics.iter().any(|topic| topic.read_at.is_none())
        })
    }

    fn finish(mut self) -> LogReadOutcome {
        let since_heal = |at: Option<Uptime>| at.map(|at| at - START - CUT_TIME);
        let sorted = |delays: Vec<Option<Uptime>>| {
            let mut delays: Vec<_> = delays.into_iter().map(since_heal).collect();
            delays.sort_by_key(|delay| delay.unwrap_or(Duration::MAX));
            delays
        };
        let read_at = |topic: usize| self.vms.iter().map(move |vm| vm.topics[topic].read_at);
        self.outcome.config_delays = sorted(self.vms.iter().map(|vm| vm.config_at).collect());
        self.outcome.servers_delays = sorted(read_at(1).collect());
        self.outcome.ledger_delays = sorted(read_at(2).collect());
        self.outcome
    }

    fn schedule(&mut self, at: Uptime, event: Event) {
        self.event_count += 1;
        self.queue.push(Reverse((at, self.event_count, event)));
    }

    fn begin_at(&mut self, vm: usize, topic: usize, at: Uptime) {
        self.vms[vm].topics[topic].attempt += 1;
        self.schedule_step(vm, topic, Step::Begin, at);
    }

    /// Schedules a step of the current attempt.
    fn schedule_step(&mut self, vm: usize, topic: usize, step: Step, at: Uptime) {
        let attempt = self.vms[vm].topics[topic].attempt;
        self.schedule(at, Event { vm, topic, attempt, step });
    }

    fn run(&mut self, event: Event, now: Uptime) {
        let Event { vm, topic, attempt, step } = event;
        let is_given_up = self.vms[vm].topics[topic].attempt != attempt;
        match step {
            Step::Respond => self.respond(event, is_given_up, now),
            _ if is_given_up => {}
            Step::Begin if self.vms[vm].topics[topic].is_connected => self.ready(vm, topic, now),
            Step::Begin if is_cut(now) && self.plan.cut == Cut::Unreachable => {
                self.schedule_step(vm, topic, Step::ConnectFailed, now + CONNECT_TIMEOUT);
            }
            Step::Begin => {
                self.vms[vm].topics[topic].is_connected = true;
                self.schedule_step(vm, topic, Step::Ready, now + ROUND_TRIP);
            }
            Step::ConnectFailed => {
                let rank = self.vms[vm].topics[topic].rank;
                self.vms[vm].precedence.record_disconnected(rank);
                self.fail(vm, topic, now);
            }
            Step::Ready => self.ready(vm, topic, now),
            Step::GiveUp => {
                if self.is_late() && !is_cut(now) {
                    self.outcome.given_up_count += 1;
                }
                let state = &mut self.vms[vm].topics[topic];
                state.cursor.record_given_up(now.saturating_sub(state.call.sent_at));
                self.fail(vm, topic, now);
            }
            Step::Complete => self.complete(vm, topic, now),
        }
    }

    fn ready(&mut self, vm: usize, topic: usize, now: Uptime) {
        let state = &mut self.vms[vm].topics[topic];
        let is_newest = state.cursor.next_read(now) == NextRead::Newest;
        let rank = state.rank;
        if is_newest && self.plan.policy.has_precedence {
            let delayed_until = self.vms[vm].precedence.record_ready(rank, now);
            self.vms[vm].topics[topic].is_held = delayed_until.is_some();
            if let Some(at) = delayed_until {
                self.schedule_step(vm, topic, Step::Ready, at);
                return;
            }
        }
        self.send(vm, topic, is_newest, now);
    }

    fn send(&mut self, vm: usize, topic: usize, is_newest: bool, now: Uptime) {
        let wait = if is_newest || topic == 2 { Duration::ZERO } else { FOLLOW_WAIT };
        let state = &mut self.vms[vm].topics[topic];
        // A step of this attempt that was delayed is void.
        state.attempt += 1;
        let idle_timeout = if self.plan.policy.has_patience {
            state.patience.idle_timeout(Some(self.plan.vm_count))
        } else {
            MIN_IDLE_TIMEOUT
        };
        let deadline = now + wait + idle_timeout;
        state.call = Call { is_newest, sent_at: now, wait, deadline, ..Call::default() };
        let (from, is_idle) = (state.next, topic == 0 && !is_newest);
        self.schedule_step(vm, topic, Step::GiveUp, deadline);
        if is_cut(now) {
            return;
        }
        let answered_at =
            if is_idle && self.topic_end(topic, now) == from { now + wait } else { now };
        self.schedule_step(vm, topic, Step::Respond, answered_at + RESPONSE_TIME);
    }

    /// Queues the response to a call, and sends it when its turn comes.
    fn respond(&mut self, event: Event, is_given_up: bool, now: Uptime) {
        let Event { vm, topic, .. } = event;
        let (bytes, end) = self.response(vm, topic, now);
        let begun_at = self.service_free_at.max(now);
        self.service_free_at = begun_at + Duration::from_secs_f64(bytes / READ_BYTES_PER_S);
        let link_free_at = self.vms[vm].link_free_at;
        let first_byte_at = begun_at.max(link_free_at) + ROUND_TRIP / 2;
        let is_received = !is_given_up && first_byte_at <= self.vms[vm].topics[topic].call.deadline;
        if self.is_late() {
            self.outcome.sent_bytes += bytes;
            self.outcome.wasted_bytes += if is_received { 0.0 } else { bytes };
        }
        if !is_received {
            return;
        }
        let vm_state = &mut self.vms[vm];
        let link_time = Duration::from_secs_f64(bytes / vm_state.link_bytes_per_s);
        let complete_at = (first_byte_at + link_time).max(self.service_free_at);
        vm_state.link_free_at = complete_at;
        let state = &mut vm_state.topics[topic];
        state.call = Call { first_byte_at, end, bytes, ..state.call };
        // The attempt can no longer be given up.
        state.attempt += 1;
        self.schedule_step(vm, topic, Step::Complete, complete_at);
    }

    /// Returns the size of a response, and the end of the topic or of the records in it.
    fn response(&self, vm: usize, topic: usize, now: Uptime) -> (f64, u64) {
        let end = self.topic_end(topic, now);
        let state = &self.vms[vm].topics[topic];
        if state.call.is_newest {
            let ledger_page = || {
                let first_key = state.page * MAX_KEYS_PER_PAGE;
                let key_count = (self.plan.vm_count - first_key).min(MAX_KEYS_PER_PAGE);
                key_count as f64 * LEDGER_RECORD_BYTES * BASE64_FACTOR
            };
            let bytes = match topic {
                0 => self.plan.config_bytes * BASE64_FACTOR,
                1 => SERVER_LIST_BYTES,
                _ => ledger_page(),
            };
            return (bytes, end);
        }
        let record_bytes =
            [self.plan.config_bytes, SERVER_RECORD_BYTES, LEDGER_RECORD_BYTES][topic];
        let missed_bytes = end.saturating_sub(state.next) as f64 * record_bytes;
        (16.0 + missed_bytes.min(MAX_READ_BYTES.max(record_bytes)), end)
    }

    fn complete(&mut self, vm: usize, topic: usize, now: Uptime) {
        let page_count = self.plan.vm_count.div_ceil(MAX_KEYS_PER_PAGE);
        let state = &mut self.vms[vm].topics[topic];
        let call = state.call;
        state.failure_count = 0;
        let response_time = call.first_byte_at - call.sent_at;
        state.patience.record_response(response_time.saturating_sub(call.wait));
        if call.is_newest {
            if state.page == 0 {
                state.first_page_end = call.end;
            }
            state.page += 1;
            if topic == 2 && state.page < page_count {
                state.attempt += 1;
                self.send(vm, topic, true, now);
                return;
            }
            state.page = 0;
            state.next = state.first_page_end;
            state.cursor.record_newest(state.next, now);
        } else {
            let is_complete = call.bytes < MAX_READ_BYTES || topic == 0;
            state.next = call.end;
            state.cursor.record_read(
                if is_complete { call.end } else { call.end - 1 },
                call.end,
                now,
            );
        }
        self.record_current(vm, topic, now);
        self.record_read(vm, topic, now);
        let is_empty = call.bytes <= 16.0;
        let interval = match topic {
            0 if is_empty => Duration::ZERO,
            0 => CONFIG_INTERVAL + CONFIG_PROCESSING_TIME,
            1 => SERVERS_INTERVAL,
            _ if call.is_newest => Duration::ZERO,
            _ => self.ledger_interval(),
        };
        self.begin_at(vm, topic, now + interval);
    }

    fn record_read(&mut self, vm: usize, topic: usize, now: Uptime) {
        if now < START + CUT_TIME {
            return;
        }
        let vm_state = &mut self.vms[vm];
        vm_state.topics[topic].read_at.get_or_insert(now);
        if topic == 0 && vm_state.config_at.is_none() {
            vm_state.config_at = Some(now + CONFIG_PROCESSING_TIME);
            self.late_vm_count -= 1;
        }
    }

    /// Records that a topic was read, and lets the topics that waited for it go on.
    fn record_current(&mut self, vm: usize, topic: usize, now: Uptime) {
        let rank = self.vms[vm].topics[topic].rank;
        self.vms[vm].precedence.record_current(rank);
        for later in topic + 1..3 {
            if std::mem::take(&mut self.vms[vm].topics[later].is_held) {
                self.vms[vm].topics[later].attempt += 1;
                self.schedule_step(vm, later, Step::Ready, now);
            }
        }
    }

    fn fail(&mut self, vm: usize, topic: usize, now: Uptime) {
        let seed = self.random.random();
        let policy = self.plan.policy;
        let state = &mut self.vms[vm].topics[topic];
        state.is_connected = false;
        state.failure_count += 1;
        state.patience.record_failure();
        if !policy.keeps_pages {
            state.page = 0;
        }
        let delay = if policy.has_backoff {
            retry_delay(seed, "", state.failure_count)
        } else {
            Duration::from_millis(150)
        };
        let delay = if topic == 2 { self.ledger_interval() } else { delay };
        self.begin_at(vm, topic, now + delay);
    }

    fn ledger_interval(&mut self) -> Duration {
        LEDGER_INTERVAL + LEDGER_JITTER.mul_f64(self.random.random())
    }

    fn is_late(&self) -> bool {
        self.late_vm_count > 0
    }

    /// Returns the offset at which a topic ends.
    fn topic_end(&self, topic: usize, now: Uptime) -> u64 {
        let elapsed_s = (now - START).as_secs_f64();
        let ledger_records_per_s =
            LEDGER_RECORDS_PER_S + self.plan.vm_count as f64 * LEDGER_RECORDS_PER_S_AND_VM;
        match topic {
            0 => 10 + u64::from(now >= START + CONFIG_CHANGED_AT),
            1 => 10 + (elapsed_s * SERVER_RECORDS_PER_S) as u64,
            _ => 10 + (elapsed_s * ledger_records_per_s) as u64,
        }
    }
}

fn is_cut(now: Uptime) -> bool {
    now < START + CUT_TIME
}
