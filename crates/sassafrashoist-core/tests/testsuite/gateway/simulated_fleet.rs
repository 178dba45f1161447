//! Simulated VMs that share a token ledger over a log, with every kind of failed append that the
//! platform's log may have.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use sassafrashoist_core::gateway::clock_reading::ClockReading;
use sassafrashoist_core::gateway::fleet_config::{CallerLimits, ClientAccount, FleetConfig};
use sassafrashoist_core::gateway::holder_record::HolderRecord;
use sassafrashoist_core::gateway::holder_role::HolderRole;
use sassafrashoist_core::gateway::ledger_writer::{AppendOutcome, LedgerWriter};
use sassafrashoist_core::gateway::reclaim::close_previous_incarnation;
use sassafrashoist_core::gateway::token_holding::TokenHolding;
use sassafrashoist_core::gateway::token_ledger::TokenLedger;

pub const ACCOUNT: &str = "workshop";
pub const DATA_CENTRE: &str = "plateau";
pub const RECORD_INTERVAL: Duration = Duration::from_millis(300);

/// How the simulated log handles one append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendScenario {
    Acknowledged,
    AppendedWithoutResponse,
    LateWithoutResponse,
    LostWithoutResponse,
    Rejected,
}

/// How a process ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessEnd {
    Killed,
    PowerLost,
}

struct Append {
    expected_end_offset: u64,
    key: String,
    record: HolderRecord,
}

pub struct Vm {
    id: String,
    incarnation: u64,
    address: SocketAddr,
    boot_offset: Duration,
    started_at: ClockReading,
    has_reclaimed: bool,
    ledger: TokenLedger,
    pub holding: TokenHolding,
    writer: LedgerWriter,
    in_flight_tokens: Vec<u64>,
    transfer_count: u64,
}

pub struct SimulatedFleet {
    pub config: FleetConfig,
    pub now: Duration,
    log: Vec<(String, HolderRecord)>,
    late_appends: Vec<Append>,
    pub vms: Vec<Vm>,
    /// Tokens that requests used, over all incarnations of all VMs.
    pub used_tokens: u64,
}

pub fn config_with(paid_tokens: u64) -> FleetConfig {
    FleetConfig {
        version: 1,
        routes: Vec::new(),
        pools: Vec::new(),
        accounts: Some(vec![ClientAccount {
            id: ACCOUNT.to_owned(),
            api_keys: Vec::new(),
            priority: None,
            paid_tokens: Some(paid_tokens),
        }]),
        limits: CallerLimits {
            max_header_bytes: 16_384,
            max_body_bytes: 1_048_576,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        },
    }
}

pub fn holding_of(vm_id: &str, incarnation: u64, address: SocketAddr) -> TokenHolding {
    let holder_id = format!("{vm_id}/{incarnation}");
    let mut holding =
        TokenHolding::new(holder_id, vm_id.to_owned(), DATA_CENTRE.to_owned(), address);
    holding.set_role(HolderRole::DrawsForItself, RECORD_INTERVAL);
    holding
}

impl SimulatedFleet {
    pub fn new(vm_count: usize, paid_tokens: u64) -> Self {
        let now = Duration::from_secs(1_000);
        let vms = (0..vm_count).map(|index| {
            let id = format!("vm-{index}");
            let address = SocketAddr::from(([10, 0, 0, index as u8 + 1], 7_000));
            Vm {
                holding: holding_of(&id, 1, address),
                id,
                incarnation: 1,
                address,
                boot_offset: Duration::from_secs(10 * index as u64),
                started_at: ClockReading::default(),
                has_reclaimed: false,
                ledger: TokenLedger::default(),
                writer: LedgerWriter::default(),
                in_flight_tokens: Vec::new(),
                transfer_count: 0,
            }
        });
        let vms = vms.collect();
        let config = config_with(paid_tokens);
        Self { config, now, log: Vec::new(), late_appends: Vec::new(), vms, used_tokens: 0 }
    }

    pub fn advance_clock(&mut self, time: Duration) {
        self.now += time;
    }

    pub fn clocks(&self, vm: usize) -> ClockReading {
        ClockReading {
            since_boot: self.now - self.vms[vm].boot_offset,
            since_epoch: Duration::from_secs(1_800_000_000) + self.now,
        }
    }

    /// Starts a request; returns whether its tokens could be reserved.
    pub fn begin_request(&mut self, vm: usize, tokens: u64) -> bool {
        let now = self.now;
        let vm = &mut self.vms[vm];
        let is_reserved = vm.holding.try_reserve(ACCOUNT, tokens, now);
        if is_reserved {
            vm.in_flight_tokens.push(tokens);
        } else {
            vm.holding.record_demand(ACCOUNT, tokens);
        }
        is_reserved
    }

    /// Returns whether a request is in progress on a VM.
    pub fn has_request_in_progress(&self, vm: usize) -> bool {
        !self.vms[vm].in_flight_tokens.is_empty()
    }

    /// Ends the oldest request of a VM, which used the given fraction of its worst case.
    pub fn end_request(&mut self, vm: usize, used_per_mille: u64) {
        let now = self.now;
        if self.vms[vm].in_flight_tokens.is_empty() {
            return;
        }
        let worst_case = self.vms[vm].in_flight_tokens.remove(0);
        let used = worst_case * used_per_mille / 1_000;
        self.used_tokens += used;
        self.vms[vm].holding.settle(ACCOUNT, worst_case, used, now);
    }

    /// Lets a VM read the log and append its next record.
    pub fn sync_with_log(&mut self, vm: usize, scenario: AppendScenario) {
        self.read(vm);
        if !self.vms[vm].has_reclaimed && !self.reclaim(vm, scenario) {
            return;
        }
        self.resolve(vm);
        let clocks = self.clocks(vm);
        let (now, config) = (self.now, self.config.clone());
        let state = &mut self.vms[vm];
        if state.writer.pending().is_none() {
            let planned = state.holding.plan_record(&state.ledger, &config, now, clocks);
            state.writer.begin(planned, state.ledger.end_offset());
        }
        self.send_pending(vm, scenario);
    }

    /// Returns the unused tokens of a VM to the ledger, as an incarnation does when it shuts down.
    pub fn close(&mut self, vm: usize) {
        self.read(vm);
        self.resolve(vm);
        let clocks = self.clocks(vm);
        let now = self.now;
        let state = &mut self.vms[vm];
        if state.writer.pending().is_none() {
            let planned = state.holding.plan_closing_record(now, clocks);
            state.writer.begin(planned, state.ledger.end_offset());
            self.send_pending(vm, AppendScenario::Acknowledged);
        }
    }

    /// Executes an append that got no response, if its condition still holds.
    pub fn execute_late_append(&mut self) {
        if let Some(append) = self.late_appends.pop()
            && append.expected_end_offset == self.log.len() as u64
        {
            self.log.push((append.key, append.record));
        }
    }

    /// Sends tokens from one VM to another. For each lost response the transfer request is
    /// repeated.
    pub fn transfer(&mut self, from: usize, to: usize, needed: u64, lost_responses: u32) {
        if from == to {
            return;
        }
        let now = self.now;
        self.vms[to].transfer_count += 1;
        let id = (self.vms[to].holding.holder_id().clone(), self.vms[to].transfer_count);
        for _ in 0..lost_responses {
            self.vms[from].holding.send_tokens(id.clone(), ACCOUNT, needed, needed, now);
        }
        let sent = self.vms[from].holding.send_tokens(id, ACCOUNT, needed, needed, now);
        self.vms[to].holding.receive_tokens(ACCOUNT, sent);
    }

    /// Ends the process of a VM abruptly and starts it again after `down`.
    pub fn restart(&mut self, vm: usize, end: ProcessEnd, down: Duration) {
        // Requests in progress may use all the tokens that they reserved.
        self.used_tokens += self.vms[vm].in_flight_tokens.drain(..).sum::<u64>();
        self.now += down;
        if end == ProcessEnd::PowerLost {
            self.vms[vm].boot_offset = self.now - Duration::from_secs(2);
        }
        let started_at = self.clocks(vm);
        let state = &mut self.vms[vm];
        state.incarnation += 1;
        state.holding = holding_of(&state.id, state.incarnation, state.address);
        state.ledger = TokenLedger::default();
        state.writer = LedgerWriter::default();
        state.has_reclaimed = false;
        state.started_at = started_at;
        state.transfer_count = 0;
    }

    /// Returns the tokens that the current incarnations can still draw or use.
    pub fn usable_tokens(&mut self) -> i64 {
        self.read(0);
        let net_drawn = self.vms[0].ledger.net_drawn_tokens(ACCOUNT);
        let paid = self.config.paid_tokens(ACCOUNT).unwrap() as i64;
        let later = self.now + Duration::from_secs(60);
        let held = self.vms.iter().map(|vm| vm.holding.spendable_tokens(ACCOUNT, later));
        paid - net_drawn + held.sum::<i64>()
    }

    fn read(&mut self, vm: usize) {
        let state = &mut self.vms[vm];
        for offset in state.ledger.end_offset()..self.log.len() as u64 {
            let (key, record) = self.log[offset as usize].clone();
            state.ledger.apply(offset, key, record);
            state.ledger.advance_end_offset(offset + 1);
        }
        state.holding.freeze_excess_tokens(&state.ledger, &self.config);
    }

    fn resolve(&mut self, vm: usize) {
        let state = &mut self.vms[vm];
        state.writer.resolve(&state.ledger, &mut state.holding);
    }

    fn reclaim(&mut self, vm: usize, scenario: AppendScenario) -> bool {
        let read_at = self.clocks(vm);
        let state = &mut self.vms[vm];
        let own_holder_id = state.holding.holder_id().clone();
        let closed = close_previous_incarnation(
            &state.ledger,
            &own_holder_id,
            &state.id,
            state.address.ip(),
            &state.started_at,
            &read_at,
        );
        let Ok((key, record)) = closed else {
            state.has_reclaimed = true;
            return true;
        };
        let expected_end_offset = state.ledger.end_offset();
        let is_done = self.append(Append { expected_end_offset, key, record }, scenario)
            == AppendOutcome::Appended;
        self.vms[vm].has_reclaimed = is_done;
        is_done
    }

    fn send_pending(&mut self, vm: usize, scenario: AppendScenario) {
        let state = &self.vms[vm];
        let Some(pending) = state.writer.pending() else {
            return;
        };
        let (key, expected_end_offset) =
            (state.holding.holder_id().clone(), pending.expected_end_offset);
        let record = pending.planned.record.clone();
        let outcome = self.append(Append { expected_end_offset, key, record }, scenario);
        let state = &mut self.vms[vm];
        state.writer.record_outcome(outcome, &mut state.holding);
    }

    fn append(&mut self, append: Append, scenario: AppendScenario) -> AppendOutcome {
        let is_at_end = append.expected_end_offset == self.log.len() as u64;
        match scenario {
            AppendScenario::Rejected => AppendOutcome::NotAppended,
            AppendScenario::LostWithoutResponse => AppendOutcome::Unknown,
            AppendScenario::LateWithoutResponse => {
                self.late_appends.push(append);
                AppendOutcome::Unknown
            }
            AppendScenario::AppendedWithoutResponse | AppendScenario::Acknowledged => {
                if is_at_end {
                    self.log.push((append.key, append.record));
                }
                match scenario {
                    AppendScenario::AppendedWithoutResponse => AppendOutcome::Unknown,
                    _ if is_at_end => AppendOutcome::Appended,
                    _ => AppendOutcome::EndMoved,
                }
            }
        }
    }

    /// Returns the newest record of a VM in the log.
    pub fn newest_record(&self, vm: usize) -> HolderRecord {
        let holder_id = self.vms[vm].holding.holder_id();
        let newest = self.log.iter().rev().find(|(key, _)| key == holder_id);
        newest.map(|(_, record)| record.clone()).unwrap()
    }

    /// Returns the tokens that all holders drew, according to the log.
    pub fn drawn_tokens(&self) -> i64 {
        let newest: BTreeMap<_, _> = self.log.iter().map(|(key, record)| (key, record)).collect();
        let held = newest.values().filter_map(|record| record.account(ACCOUNT));
        held.map(|held| held.net_drawn_tokens).sum()
    }
}
