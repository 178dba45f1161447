//! Replays a fleet whose VMs start at nearly the same moment, with the records that they append to
//! one ledger, the tokens that they send to each other and the requests of callers.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sassafrashoist_core::gateway::allocator_vms::AllocatorVms;
use sassafrashoist_core::gateway::append_pacing::{conflict_delay, record_interval};
use sassafrashoist_core::gateway::clock_reading::ClockReading;
use sassafrashoist_core::gateway::fleet_config::FleetConfig;
use sassafrashoist_core::gateway::hand_over::plan_hand_overs;
use sassafrashoist_core::gateway::holder_role::HolderRole;
use sassafrashoist_core::gateway::ledger_writer::{AppendOutcome, LedgerWriter};
use sassafrashoist_core::gateway::reclaim::close_previous_incarnation;
use sassafrashoist_core::gateway::token_holding::{AccountTokens, TokenHolding};
use sassafrashoist_core::gateway::token_ledger::TokenLedger;
use sassafrashoist_core::gateway::token_prefetch::TokenPrefetch;

use super::simulated_fleet::config_with;

const LATENCY: Duration = Duration::from_millis(2);
const APPEND_TIME: Duration = Duration::from_millis(4);
/// The time in which the log service rejects an append at another offset than its end.
const REJECT_TIME: Duration = Duration::from_micros(500);
const TRANSFER_TIME: Duration = Duration::from_millis(5);
/// The time that a VM needs between its read of the ledger and its append.
const PROCESSING_TIME: Duration = Duration::from_millis(30);
/// The time between the read and the append of a draw that keeps its plan.
const CHECK_TIME: Duration = Duration::from_millis(10);
const START_TIME: Duration = Duration::from_millis(300);
const TRAFFIC_FROM: Duration = Duration::from_secs(2);
const DATA_CENTRE_COUNT: usize = 6;
const ACCOUNT_COUNT: usize = 8;
const PAID_TOKENS: u64 = 16_000_000;
const REQUEST_TOKENS: u64 = 2_000;
const REQUEST_INTERVAL: Duration = Duration::from_millis(250);
/// How long a request waits for tokens, and how often a VM tries to get some meanwhile.
const MAX_WAIT: Duration = Duration::from_millis(300);
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// The time from when a request reserves its worst case until its use is settled.
const SERVICE_TIME: Duration = Duration::from_millis(300);
/// The time since boot at which a process starts after a power loss.
const BOOT_TIME: Duration = Duration::from_millis(100);
const MAX_TRIES: u32 = 6;
const MIN_SYNC_INTERVAL: Duration = Duration::from_millis(10);

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Sync { schedule: u64, tries: u32 },
    Append { tries: u32, retargets: u32 },
    Processed { tries: u32, retargets: u32, is_appended: bool, end_offset: u64 },
    Answer { tries: u32, retargets: u32, is_appended: bool, end_offset: u64 },
    Request { account: usize, since: Option<Duration> },
    AskFor { account: usize, client: usize, needed: u64, desired: u64 },
    Receive { account: usize, tokens: u64 },
    TakeIn { tokens: Vec<AccountTokens> },
    Settle { account: usize, incarnation: u64 },
}

struct Vm {
    holding: TokenHolding,
    writer: LedgerWriter,
    schedule: u64,
    is_syncing: bool,
    is_woken: bool,
    due_at: Duration,
    draw: Option<(Duration, u32)>,
    transfer_count: u64,
    incarnation: u64,
    started_at: ClockReading,
    booted_at: Duration,
    /// When the process first reads the ledger; it serves nothing before.
    ready_at: Duration,
    has_reclaimed: bool,
    reserved_tokens: [u64; ACCOUNT_COUNT],
    prefetch: TokenPrefetch,
    /// The tokens received, less those sent and used.
    balance: i64,
}

/// What a replay showed.
#[derive(Debug, Default)]
pub struct Observed {
    /// The times from when draws were planned until they were in the ledger, and their tries.
    pub draws: Vec<(Duration, u32)>,
    pub request_count: u32,
    /// Requests that got no tokens in time.
    pub refused_count: u32,
    /// Calls that append to the ledger, with those that are rejected.
    pub call_count: u32,
    /// Messages between VMs that request tokens or hand them over.
    pub transfer_count: u32,
}

/// How the paid tokens of one account are distributed at a moment.
#[derive(Debug, Default)]
pub struct Distribution {
    pub paid: u64,
    pub spent: u64,
    pub undrawn: i64,
    pub held_by_drawing: i64,
    pub held_by_clients: i64,
    /// Tokens that requests in progress reserved, and those on their way between VMs.
    pub in_doubt: i64,
}

impl Distribution {
    /// Returns the tokens that were not spent and that no live VM holds or can draw.
    pub fn out_of_reach(&self) -> i64 {
        self.paid as i64
            - self.spent as i64
            - self.undrawn
            - self.held_by_drawing
            - self.held_by_clients
            - self.in_doubt
    }
}

pub struct GrowingFleet {
    config: FleetConfig,
    ledger: TokenLedger,
    allocators: (u64, AllocatorVms),
    vms: Vec<Vm>,
    events: BinaryHeap<Reverse<(Duration, u64, usize, Step)>>,
    event_count: u64,
    queue: VecDeque<(usize, u32, u32)>,
    is_busy: bool,
    /// The log service takes no appends until then.
    pub log_back_at: Duration,
    now: Duration,
    rng: StdRng,
    /// The tokens that a request uses; the rest of its worst case is released when it ends.
    request_use: u64,
    /// Whether the requests of each VM are of one account, as if a load balancer selected the VM by
    /// the caller.
    pub is_sticky: bool,
    /// Tokens that were used, or may have been when their process ended.
    spent_tokens: [u64; ACCOUNT_COUNT],
    pub observed: Observed,
}

fn account_id(account: usize) -> String {
    format!("account-{account}")
}

fn config(paid_tokens: u64) -> FleetConfig {
    let mut config = config_with(paid_tokens);
    let account = config.accounts.as_ref().unwrap()[0].clone();
    let accounts = (0..ACCOUNT_COUNT).map(|index| {
        let mut account = account.clone();
        account.id = account_id(index);
        account
    });
    config.accounts = Some(accounts.collect());
    config
}

fn data_centre_of(vm: usize) -> usize {
    vm % DATA_CENTRE_COUNT
}

fn vm_of(vm_id: &str) -> usize {
    vm_id.trim_start_matches("vm-").parse().unwrap()
}

impl GrowingFleet {
    pub fn new(vm_count: usize) -> Self {
        Self::with_load(vm_count, PAID_TOKENS, REQUEST_TOKENS)
    }

    /// Creates a fleet whose accounts each paid for `paid_tokens` and whose requests use
    /// `request_use` of their worst case.
    pub fn with_load(vm_count: usize, paid_tokens: u64, request_use: u64) -> Self {
        let vms = (0..vm_count).map(|index| {
            let address =
                SocketAddr::from(([10, 0, (index / 250) as u8, (index % 250) as u8], 7_000));
            let data_centre_id = format!("data-centre-{}", data_centre_of(index));
            Vm {
                holding: TokenHolding::new(
                    format!("vm-{index}/1"),
                    format!("vm-{index}"),
                    data_centre_id,
                    address,
                ),
                writer: LedgerWriter::default(),
                schedule: 0,
                is_syncing: false,
                is_woken: false,
                due_at: Duration::ZERO,
                draw: None,
                transfer_count: 0,
                incarnation: 1,
                started_at: ClockReading::default(),
                booted_at: Duration::ZERO,
                ready_at: Duration::ZERO,
                has_reclaimed: true,
                reserved_tokens: [0; ACCOUNT_COUNT],
                prefetch: TokenPrefetch::default(),
                balance: 0,
            }
        });
        let mut fleet = Self {
            config: config(paid_tokens),
            ledger: TokenLedger::default(),
            allocators: (0, AllocatorVms::select(&TokenLedger::default())),
            vms: vms.collect(),
            events: BinaryHeap::new(),
            event_count: 0,
            queue: VecDeque::new(),
            is_busy: false,
            log_back_at: Duration::ZERO,
            now: Duration::ZERO,
            rng: StdRng::seed_from_u64(7),
            request_use,
            is_sticky: false,
            spent_tokens: [0; ACCOUNT_COUNT],
            observed: Observed::default(),
        };
        for vm in 0..vm_count {
            let starts_at = START_TIME.mul_f64(fleet.rng.random());
            fleet.push(starts_at, vm, Step::Sync { schedule: 0, tries: 0 });
            let requests_from = TRAFFIC_FROM + REQUEST_INTERVAL.mul_f64(fleet.rng.random());
            fleet.push(
                requests_from,
                vm,
                Step::Request { account: vm % ACCOUNT_COUNT, since: None },
            );
        }
        fleet
    }

    pub fn run_until(&mut self, end: Duration) {
        while let Some(Reverse((now, _, vm, step))) = self.events.pop() {
            if now > end {
                // The step is still to come if the replay goes on.
                self.push(now, vm, step);
                return;
            }
            self.now = now;
            if self.is_down(vm) && matches!(step, Step::AskFor { .. } | Step::TakeIn { .. }) {
                // The connection is refused. A request for tokens goes to another VM; tokens that
                // are handed over stay at their sender, which tries again.
                if matches!(step, Step::TakeIn { .. }) {
                    self.push(now + TRANSFER_TIME, vm, step);
                }
                continue;
            }
            if matches!(step, Step::AskFor { .. } | Step::TakeIn { .. }) {
                self.observed.transfer_count += 1;
            }
            match step {
                Step::Sync { schedule, tries } => self.sync(vm, schedule, tries),
                Step::Append { tries, retargets } if now < self.log_back_at => {
                    self.push(self.log_back_at, vm, Step::Append { tries, retargets });
                }
                Step::Append { tries, retargets } => {
                    self.observed.call_count += 1;
                    self.queue.push_back((vm, tries, retargets));
                    self.process_next();
                }
                Step::Processed { tries, retargets, is_appended, end_offset } => {
                    self.is_busy = false;
                    let step = Step::Answer { tries, retargets, is_appended, end_offset };
                    self.push(now + LATENCY, vm, step);
                    self.process_next();
                }
                Step::Answer { tries, retargets, is_appended, end_offset } => {
                    self.answer(vm, tries, retargets, is_appended, end_offset);
                }
                Step::Request { account, since } => self.request(vm, account, since),
                Step::AskFor { account, client, needed, desired } => {
                    self.send_to_client(vm, account, client, needed, desired);
                }
                Step::Receive { account, tokens } => {
                    self.vms[vm].balance += tokens as i64;
                    self.vms[vm].holding.receive_tokens_for_request(
                        &account_id(account),
                        tokens,
                        now,
                    );
                }
                Step::TakeIn { tokens } => {
                    for (account, count) in tokens {
                        self.vms[vm].balance += count as i64;
                        self.vms[vm].holding.receive_tokens(&account, count);
                    }
                }
                Step::Settle { account, incarnation } => {
                    let (state, used) = (&mut self.vms[vm], self.request_use);
                    if incarnation == state.incarnation {
                        let id = account_id(account);
                        state.holding.settle(&id, REQUEST_TOKENS, used, now);
                        state.reserved_tokens[account] -= REQUEST_TOKENS;
                        state.balance += (REQUEST_TOKENS - used) as i64;
                        self.spent_tokens[account] += used;
                    }
                }
            }
        }
    }

    /// Returns the tokens that VMs which do not draw hold, as a fraction of all that were drawn.
    pub fn fraction_held_by_client_vms(&mut self) -> f64 {
        let drawn: i64 =
            (0..ACCOUNT_COUNT).map(|index| self.ledger.net_drawn_tokens(&account_id(index))).sum();
        let mut held_by_clients = 0;
        for vm in 0..self.vms.len() {
            if self.role(vm) == HolderRole::RequestsTokens {
                let newest = self.ledger.newest_record(self.vms[vm].holding.holder_id());
                let accounts = newest.iter().flat_map(|(_, record)| &record.accounts);
                held_by_clients += accounts.map(|held| held.net_drawn_tokens).sum::<i64>();
                held_by_clients += self.vms[vm].balance;
            }
        }
        held_by_clients as f64 / drawn as f64
    }

    /// Ends all processes at once. Each VM starts again after `down`, and reads the ledger up to
    /// `start_jitter` after its start; the times since boot start anew.
    pub fn lose_power(&mut self, down: Duration, start_jitter: Duration) {
        // All messages and calls end with the processes; the requests of callers go on.
        let is_request = |step: &Step| matches!(step, Step::Request { since: None, .. });
        let events = std::mem::take(&mut self.events);
        self.events.extend(events.into_iter().filter(|Reverse((_, _, _, step))| is_request(step)));
        self.queue.clear();
        self.is_busy = false;
        for vm in 0..self.vms.len() {
            let starts_at = self.now + down;
            let first_read_at = starts_at + start_jitter.mul_f64(self.rng.random());
            let state = &mut self.vms[vm];
            // Requests in progress may use all the tokens that they reserved.
            for (spent, reserved) in self.spent_tokens.iter_mut().zip(&mut state.reserved_tokens) {
                *spent += std::mem::take(reserved);
            }
            state.incarnation += 1;
            let data_centre_id = state.holding.data_centre_id().clone();
            let address = SocketAddr::from(([10, 0, (vm / 250) as u8, (vm % 250) as u8], 7_000));
            state.holding = TokenHolding::new(
                format!("vm-{vm}/{}", state.incarnation),
                format!("vm-{vm}"),
                data_centre_id,
                address,
            );
            state.writer = LedgerWriter::default();
            state.is_syncing = false;
            state.is_woken = false;
            state.due_at = Duration::ZERO;
            state.draw = None;
            state.balance = 0;
            state.prefetch = TokenPrefetch::default();
            state.has_reclaimed = false;
            state.booted_at = starts_at - BOOT_TIME;
            state.ready_at = first_read_at;
            state.started_at = ClockReading { since_boot: BOOT_TIME, since_epoch: starts_at };
            state.schedule += 1;
            let schedule = state.schedule;
            self.push(first_read_at, vm, Step::Sync { schedule, tries: 0 });
        }
    }

    fn is_down(&self, vm: usize) -> bool {
        self.now < self.vms[vm].ready_at
    }

    /// Returns how the paid tokens of each account are distributed now.
    pub fn distributions(&mut self) -> Vec<Distribution> {
        (0..ACCOUNT_COUNT).map(|account| self.distribution(account)).collect()
    }

    fn distribution(&mut self, account: usize) -> Distribution {
        let later = self.now + Duration::from_secs(3_600);
        let id = account_id(account);
        let paid = self.config.paid_tokens(&id).unwrap();
        let mut found = Distribution {
            paid,
            spent: self.spent_tokens[account],
            undrawn: paid as i64 - self.ledger.net_drawn_tokens(&id),
            ..Distribution::default()
        };
        for vm in 0..self.vms.len() {
            let is_client = self.role(vm) == HolderRole::RequestsTokens;
            let state = &self.vms[vm];
            let held = state.holding.spendable_tokens(&id, later);
            if is_client {
                found.held_by_clients += held;
            } else {
                found.held_by_drawing += held;
            }
            found.in_doubt += state.reserved_tokens[account] as i64;
        }
        for Reverse((_, _, _, step)) in &self.events {
            match step {
                Step::Receive { account: received, tokens } if *received == account => {
                    found.in_doubt += *tokens as i64;
                }
                Step::TakeIn { tokens } => {
                    let of_account = tokens.iter().filter(|(taken_in, _)| *taken_in == id);
                    found.in_doubt += of_account.map(|(_, count)| *count as i64).sum::<i64>();
                }
                _ => {}
            }
        }
        found
    }

    /// The first sync of an incarnation returns what the previous one cannot have used.
    fn reclaim(&mut self, vm: usize) {
        let state = &mut self.vms[vm];
        if std::mem::replace(&mut state.has_reclaimed, true) {
            return;
        }
        let vm_id = format!("vm-{vm}");
        let ip = SocketAddr::from(([10, 0, (vm / 250) as u8, (vm % 250) as u8], 7_000)).ip();
        let own_id = state.holding.holder_id().clone();
        let read_at = ClockReading {
            since_boot: self.now.saturating_sub(state.booted_at),
            since_epoch: self.now,
        };
        let closed = close_previous_incarnation(
            &self.ledger,
            &own_id,
            &vm_id,
            ip,
            &state.started_at,
            &read_at,
        );
        if let Ok((holder_id, record)) = closed {
            let offset = self.ledger.end_offset();
            self.ledger.apply(offset, holder_id, record);
            self.ledger.advance_end_offset(offset + 1);
        }
    }

    /// Requests tokens from an allocator before requests wait, as a client VM does.
    fn prefetch(&mut self, vm: usize, account: usize) {
        if self.role(vm) != HolderRole::RequestsTokens {
            return;
        }
        let now = self.now;
        let state = &self.vms[vm];
        let id = account_id(account);
        let use_per_s = state.holding.use_tokens_per_s(&id, now);
        let typical = state.holding.typical_request_tokens(&id);
        if !state.prefetch.is_low(state.holding.spendable_tokens(&id, now), use_per_s, typical) {
            return;
        }
        let desired = state.prefetch.prefetch_tokens(use_per_s, typical);
        let (nearby, _) = self.other_allocators(vm);
        if !nearby.is_empty() {
            let allocator = nearby[self.rng.random_range(0..nearby.len())];
            let step = Step::AskFor { account, client: vm, needed: 0, desired };
            self.push(now + TRANSFER_TIME / 2, allocator, step);
        }
    }

    fn push(&mut self, at: Duration, vm: usize, step: Step) {
        self.event_count += 1;
        self.events.push(Reverse((at, self.event_count, vm, step)));
    }

    fn allocators(&mut self) -> &AllocatorVms {
        if self.allocators.0 != self.ledger.end_offset() {
            self.allocators = (self.ledger.end_offset(), AllocatorVms::select(&self.ledger));
        }
        &self.allocators.1
    }

    fn role(&mut self, vm: usize) -> HolderRole {
        self.allocators().role(&format!("vm-{vm}"))
    }

    /// The read of the ledger, as `maintain_holding.rs` makes it, and the plan that follows.
    fn sync(&mut self, vm: usize, schedule: u64, tries: u32) {
        if tries == 0 && (self.vms[vm].is_syncing || schedule != self.vms[vm].schedule) {
            return;
        }
        self.reclaim(vm);
        self.vms[vm].is_syncing = true;
        self.vms[vm].is_woken = false;
        let draws_tokens = self.role(vm) != HolderRole::RequestsTokens;
        let (now, state) = (self.now, &mut self.vms[vm]);
        let holder_id = state.holding.holder_id();
        let is_rebased = state.writer.rebase(&self.ledger, &self.config, holder_id, now);
        if !is_rebased {
            state.writer.resolve(&self.ledger, &mut state.holding);
        }
        if state.writer.pending().is_none() {
            let clocks = ClockReading { since_boot: now - state.booted_at, since_epoch: now };
            let planned = state.holding.plan_record(&self.ledger, &self.config, now, clocks);
            let is_needed =
                draws_tokens && (planned.has_waiting_request() || planned.moves_tokens());
            if planned.changes().iter().any(|(_, change)| *change > 0) {
                let (_, draw_tries) = state.draw.get_or_insert((now, 0));
                *draw_tries += 1;
            } else {
                state.draw = None;
            }
            if !is_needed && now < state.due_at {
                state.holding.abandon(&planned);
                self.end_sync(vm);
                return;
            }
            state.writer.begin(planned, self.ledger.end_offset());
        }
        let processing_time = if is_rebased { CHECK_TIME } else { PROCESSING_TIME };
        let at = now + LATENCY + processing_time + LATENCY;
        self.push(at, vm, Step::Append { tries, retargets: 0 });
    }

    /// Lets the log service take the next append, unless it is busy.
    fn process_next(&mut self) {
        if self.is_busy {
            return;
        }
        let Some((vm, tries, retargets)) = self.queue.pop_front() else {
            return;
        };
        self.is_busy = true;
        let state = &self.vms[vm];
        let pending = state.writer.pending().unwrap();
        let end_offset = self.ledger.end_offset();
        let is_appended = pending.expected_end_offset == end_offset;
        if is_appended {
            let holder_id = state.holding.holder_id().clone();
            self.ledger.apply(end_offset, holder_id, pending.planned.record.clone());
            self.ledger.advance_end_offset(end_offset + 1);
        }
        let end_offset = self.ledger.end_offset();
        let time = if is_appended { APPEND_TIME } else { REJECT_TIME };
        let step = Step::Processed { tries, retargets, is_appended, end_offset };
        self.push(self.now + time, vm, step);
    }

    fn answer(&mut self, vm: usize, tries: u32, retargets: u32, is_appended: bool, end: u64) {
        let role = self.role(vm);
        let drawing_vm_count = self.allocators().count();
        let (now, random) = (self.now, self.rng.random());
        let state = &mut self.vms[vm];
        let outcome = if is_appended { AppendOutcome::Appended } else { AppendOutcome::EndMoved };
        state.writer.record_outcome(outcome, &mut state.holding);
        if is_appended {
            state.due_at = now + record_interval(role, drawing_vm_count, random);
            if let Some((since, draw_tries)) = state.draw.take() {
                self.observed.draws.push((now - since, draw_tries));
            }
            self.end_sync(vm);
        } else if retargets == 0 && state.writer.retarget(end) {
            self.push(now + LATENCY, vm, Step::Append { tries, retargets: 1 });
        } else if tries + 1 < MAX_TRIES {
            let vm_count = self.ledger.live_holders().count();
            let delay = conflict_delay(role, vm_count, tries + 1, random);
            let step = Step::Sync { schedule: 0, tries: tries + 1 };
            self.push(now + delay + LATENCY, vm, step);
        } else {
            self.end_sync(vm);
        }
    }

    /// Updates the role of a VM, hands over what it does not need, and plans its next sync.
    fn end_sync(&mut self, vm: usize) {
        let role = self.role(vm);
        let drawing_vm_count = self.allocators().count();
        let (now, random) = (self.now, self.rng.random::<f64>());
        let state = &mut self.vms[vm];
        state.is_syncing = false;
        state.schedule += 1;
        let schedule = state.schedule;
        state.holding.set_role(role, record_interval(role, drawing_vm_count, 0.0));
        let interval = match role {
            HolderRole::RequestsTokens => Duration::from_millis(900),
            HolderRole::DrawsForItself | HolderRole::DrawsForOthers => Duration::from_millis(300),
        };
        if role == HolderRole::RequestsTokens {
            let tokens = state.holding.send_idle_tokens(now);
            state.balance -= tokens.iter().map(|(_, count)| *count as i64).sum::<i64>();
            let (nearby, remote) = self.other_allocators(vm);
            for hand_over in plan_hand_overs(&nearby, &remote, tokens, random) {
                let step = Step::TakeIn { tokens: hand_over.tokens };
                self.push(now + TRANSFER_TIME, hand_over.receivers[0], step);
            }
        }
        let jitter = Duration::from_millis(60).mul_f64(random);
        let time = if self.vms[vm].is_woken { MIN_SYNC_INTERVAL } else { interval + jitter };
        self.push(now + time, vm, Step::Sync { schedule, tries: 0 });
    }

    fn other_allocators(&mut self, vm: usize) -> (Vec<usize>, Vec<usize>) {
        let allocators = self.allocators().clone();
        let vm_ids = self.ledger.live_holders().map(|(_, record)| record.vm_id.clone());
        let others = vm_ids.filter(|vm_id| allocators.contains(vm_id)).map(|id| vm_of(&id));
        let others = others.filter(|other| *other != vm);
        others.partition(|other| data_centre_of(*other) == data_centre_of(vm))
    }

    /// A caller's request, or a further try of one that waits for tokens since `since`.
    fn request(&mut self, vm: usize, account: usize, since: Option<Duration>) {
        let now = self.now;
        if since.is_none() {
            self.observed.request_count += 1;
            let account = if self.is_sticky { account } else { (account + 1) % ACCOUNT_COUNT };
            let next = Step::Request { account, since: None };
            self.push(now + REQUEST_INTERVAL, vm, next);
        }
        if self.is_down(vm) {
            return;
        }
        let state = &mut self.vms[vm];
        let holding = &mut state.holding;
        let id = account_id(account);
        if holding.try_reserve(&id, REQUEST_TOKENS, now) {
            state.balance -= REQUEST_TOKENS as i64;
            if self.request_use == REQUEST_TOKENS {
                holding.settle(&id, REQUEST_TOKENS, REQUEST_TOKENS, now);
                self.spent_tokens[account] += REQUEST_TOKENS;
                return;
            }
            state.reserved_tokens[account] += REQUEST_TOKENS;
            let incarnation = state.incarnation;
            self.push(now + SERVICE_TIME, vm, Step::Settle { account, incarnation });
            self.prefetch(vm, account);
            return;
        }
        let since = since.unwrap_or(now);
        if now >= since + MAX_WAIT {
            self.observed.refused_count += 1;
            return;
        }
        let mut retry_after = RETRY_INTERVAL;
        if self.role(vm) == HolderRole::RequestsTokens {
            let (nearby, remote) = self.other_allocators(vm);
            let allocators = if nearby.is_empty() { remote } else { nearby };
            if !allocators.is_empty() {
                let allocator = allocators[self.rng.random_range(0..allocators.len())];
                let step = Step::AskFor {
                    account,
                    client: vm,
                    needed: REQUEST_TOKENS,
                    desired: REQUEST_TOKENS,
                };
                self.push(now + TRANSFER_TIME / 2, allocator, step);
                retry_after = TRANSFER_TIME + LATENCY;
            }
        } else {
            self.demand(vm, account);
        }
        let wait = if now == since { retry_after } else { RETRY_INTERVAL };
        self.push(now + wait, vm, Step::Request { account, since: Some(since) });
    }

    fn send_to_client(
        &mut self,
        vm: usize,
        account: usize,
        client: usize,
        needed: u64,
        desired: u64,
    ) {
        let state = &mut self.vms[vm];
        state.transfer_count += 1;
        let id = (format!("vm-{client}/1/{vm}"), state.transfer_count);
        let sent = state.holding.send_tokens(id, &account_id(account), needed, desired, self.now);
        state.balance -= sent as i64;
        if sent < needed {
            self.demand(vm, account);
        }
        if sent > 0 {
            let step = Step::Receive { account, tokens: sent };
            self.push(self.now + TRANSFER_TIME / 2, client, step);
        }
    }

    /// Lets a VM that draws write a record soon, for requests that wait for tokens.
    fn demand(&mut self, vm: usize, account: usize) {
        let state = &mut self.vms[vm];
        state.holding.record_demand(&account_id(account), REQUEST_TOKENS);
        let is_woken = std::mem::replace(&mut state.is_woken, true);
        if !state.is_syncing && !is_woken {
            state.schedule += 1;
            let step = Step::Sync { schedule: state.schedule, tries: 0 };
            self.push(self.now + MIN_SYNC_INTERVAL, vm, step);
        }
    }
}
