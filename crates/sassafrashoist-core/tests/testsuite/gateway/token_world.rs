//! VMs that share a ledger over a log that fails in every way the platform's may.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use sassafrashoist_core::gateway::clock_reading::ClockReading;
use sassafrashoist_core::gateway::fleet_config::{CallerLimits, ClientAccount, FleetConfig};
use sassafrashoist_core::gateway::holder_record::HolderRecord;
use sassafrashoist_core::gateway::holder_role::HolderRole;
use sassafrashoist_core::gateway::ledger_writer::{AppendAnswer, LedgerWriter};
use sassafrashoist_core::gateway::reclaim::reclaim_predecessor;
use sassafrashoist_core::gateway::token_holding::TokenHolding;
use sassafrashoist_core::gateway::token_ledger::TokenLedger;

pub const ACCOUNT: &str = "workshop";
pub const DATA_CENTRE: &str = "plateau";
pub const RECORD_INTERVAL: Duration = Duration::from_millis(300);

/// What becomes of one append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendFate {
    Acknowledged,
    DoneUnanswered,
    LateUnanswered,
    NeverDoneUnanswered,
    Refused,
}

/// How a process ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndOfRun {
    Killed,
    PowerLost,
}

struct Append {
    at: u64,
    key: String,
    record: HolderRecord,
}

pub struct Vm {
    id: String,
    run: u64,
    address: SocketAddr,
    boot_offset: Duration,
    started_at: ClockReading,
    has_reclaimed: bool,
    ledger: TokenLedger,
    pub holding: TokenHolding,
    writer: LedgerWriter,
    in_flight: Vec<u64>,
    asked_count: u64,
}

pub struct TokenWorld {
    pub config: FleetConfig,
    pub now: Duration,
    log: Vec<(String, HolderRecord)>,
    late: Vec<Append>,
    pub vms: Vec<Vm>,
    /// Tokens that requests really used, over all runs.
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

pub fn holding_of(vm_id: &str, run: u64, address: SocketAddr) -> TokenHolding {
    let holder_id = format!("{vm_id}/{run}");
    let mut holding =
        TokenHolding::new(holder_id, vm_id.to_owned(), DATA_CENTRE.to_owned(), address);
    holding.set_role(HolderRole::Equal, RECORD_INTERVAL);
    holding
}

impl TokenWorld {
    pub fn new(vm_count: usize, paid_tokens: u64) -> Self {
        let now = Duration::from_secs(1_000);
        let vms = (0..vm_count).map(|index| {
            let id = format!("vm-{index}");
            let address = SocketAddr::from(([10, 0, 0, index as u8 + 1], 7_000));
            Vm {
                holding: holding_of(&id, 1, address),
                id,
                run: 1,
                address,
                boot_offset: Duration::from_secs(10 * index as u64),
                started_at: ClockReading::default(),
                has_reclaimed: false,
                ledger: TokenLedger::default(),
                writer: LedgerWriter::default(),
                in_flight: Vec::new(),
                asked_count: 0,
            }
        });
        let vms = vms.collect();
        let config = config_with(paid_tokens);
        Self { config, now, log: Vec::new(), late: Vec::new(), vms, used_tokens: 0 }
    }

    pub fn pass(&mut self, time: Duration) {
        self.now += time;
    }

    pub fn clocks(&self, vm: usize) -> ClockReading {
        ClockReading {
            since_boot: self.now - self.vms[vm].boot_offset,
            since_epoch: Duration::from_secs(1_800_000_000) + self.now,
        }
    }

    /// Starts a request; true when its tokens could be reserved.
    pub fn begin_request(&mut self, vm: usize, tokens: u64) -> bool {
        let now = self.now;
        let vm = &mut self.vms[vm];
        let is_reserved = vm.holding.try_reserve(ACCOUNT, tokens, now);
        if is_reserved {
            vm.in_flight.push(tokens);
        } else {
            vm.holding.want(ACCOUNT, tokens);
        }
        is_reserved
    }

    /// Returns whether a request is in progress on a VM.
    pub fn has_request(&self, vm: usize) -> bool {
        !self.vms[vm].in_flight.is_empty()
    }

    /// Ends the oldest request of a VM, which used a part of its worst case.
    pub fn end_request(&mut self, vm: usize, used_per_mille: u64) {
        let now = self.now;
        if self.vms[vm].in_flight.is_empty() {
            return;
        }
        let worst_case = self.vms[vm].in_flight.remove(0);
        let used = worst_case * used_per_mille / 1_000;
        self.used_tokens += used;
        self.vms[vm].holding.settle(ACCOUNT, worst_case, used, now);
    }

    /// Lets a VM read the log and append what it plans.
    pub fn look(&mut self, vm: usize, fate: AppendFate) {
        self.read(vm);
        if !self.vms[vm].has_reclaimed && !self.reclaim(vm, fate) {
            return;
        }
        self.resolve(vm);
        let clocks = self.clocks(vm);
        let (now, config) = (self.now, self.config.clone());
        let one = &mut self.vms[vm];
        if one.writer.pending().is_none() {
            let planned = one.holding.plan(&one.ledger, &config, now, clocks);
            one.writer.begin(planned, one.ledger.end());
        }
        self.send_pending(vm, fate);
    }

    /// Hands back what a VM has left, as at the end of a run.
    pub fn close(&mut self, vm: usize) {
        self.read(vm);
        self.resolve(vm);
        let clocks = self.clocks(vm);
        let now = self.now;
        let one = &mut self.vms[vm];
        if one.writer.pending().is_none() {
            let planned = one.holding.plan_closing(now, clocks);
            one.writer.begin(planned, one.ledger.end());
            self.send_pending(vm, AppendFate::Acknowledged);
        }
    }

    /// Executes an append whose answer never came, if its condition still holds.
    pub fn execute_late(&mut self) {
        if let Some(append) = self.late.pop()
            && append.at == self.log.len() as u64
        {
            self.log.push((append.key, append.record));
        }
    }

    /// Moves tokens between two VMs; the answer may be lost and the question asked again.
    pub fn transfer(&mut self, from: usize, to: usize, needed: u64, lost_answers: u32) {
        if from == to {
            return;
        }
        let now = self.now;
        self.vms[to].asked_count += 1;
        let id = (self.vms[to].holding.holder_id().clone(), self.vms[to].asked_count);
        for _ in 0..lost_answers {
            self.vms[from].holding.give(id.clone(), ACCOUNT, needed, needed, now);
        }
        let given = self.vms[from].holding.give(id, ACCOUNT, needed, needed, now);
        self.vms[to].holding.receive(ACCOUNT, given);
    }

    /// Ends the process of a VM at once and starts it again after `down`.
    pub fn restart(&mut self, vm: usize, how: EndOfRun, down: Duration) {
        // What runs at the end may use all that it reserved.
        self.used_tokens += self.vms[vm].in_flight.drain(..).sum::<u64>();
        self.now += down;
        if how == EndOfRun::PowerLost {
            self.vms[vm].boot_offset = self.now - Duration::from_secs(2);
        }
        let started_at = self.clocks(vm);
        let one = &mut self.vms[vm];
        one.run += 1;
        one.holding = holding_of(&one.id, one.run, one.address);
        one.ledger = TokenLedger::default();
        one.writer = LedgerWriter::default();
        one.has_reclaimed = false;
        one.started_at = started_at;
        one.asked_count = 0;
    }

    /// Returns the tokens that can still be drawn or used by the runs that live.
    pub fn usable_tokens(&mut self) -> i64 {
        self.read(0);
        let granted = self.vms[0].ledger.granted_tokens(ACCOUNT);
        let paid = self.config.paid_tokens(ACCOUNT).unwrap() as i64;
        let later = self.now + Duration::from_secs(60);
        let held = self.vms.iter().map(|vm| vm.holding.available_tokens(ACCOUNT, later));
        paid - granted + held.sum::<i64>()
    }

    fn read(&mut self, vm: usize) {
        let one = &mut self.vms[vm];
        for offset in one.ledger.end()..self.log.len() as u64 {
            let (key, record) = self.log[offset as usize].clone();
            one.ledger.apply(offset, key, record);
            one.ledger.read_to(offset + 1);
        }
        one.holding.observe_ledger(&one.ledger, &self.config);
    }

    fn resolve(&mut self, vm: usize) {
        let one = &mut self.vms[vm];
        one.writer.resolve(&one.ledger, &mut one.holding);
    }

    fn reclaim(&mut self, vm: usize, fate: AppendFate) -> bool {
        let one = &mut self.vms[vm];
        let own = one.holding.holder_id().clone();
        let closed =
            reclaim_predecessor(&one.ledger, &own, &one.id, one.address.ip(), &one.started_at);
        let Some((key, record)) = closed else {
            one.has_reclaimed = true;
            return true;
        };
        let at = one.ledger.end();
        let is_done = self.append(Append { at, key, record }, fate) == AppendAnswer::Done;
        self.vms[vm].has_reclaimed = is_done;
        is_done
    }

    fn send_pending(&mut self, vm: usize, fate: AppendFate) {
        let one = &self.vms[vm];
        let Some(pending) = one.writer.pending() else {
            return;
        };
        let (key, at) = (one.holding.holder_id().clone(), pending.at);
        let record = pending.planned.record.clone();
        let answer = self.append(Append { at, key, record }, fate);
        let one = &mut self.vms[vm];
        one.writer.record_answer(answer, &mut one.holding);
    }

    fn append(&mut self, append: Append, fate: AppendFate) -> AppendAnswer {
        let fits = append.at == self.log.len() as u64;
        match fate {
            AppendFate::Refused => AppendAnswer::NotDone,
            AppendFate::NeverDoneUnanswered => AppendAnswer::Unknown,
            AppendFate::LateUnanswered => {
                self.late.push(append);
                AppendAnswer::Unknown
            }
            AppendFate::DoneUnanswered | AppendFate::Acknowledged => {
                if fits {
                    self.log.push((append.key, append.record));
                }
                match fate {
                    AppendFate::DoneUnanswered => AppendAnswer::Unknown,
                    _ if fits => AppendAnswer::Done,
                    _ => AppendAnswer::EndMoved,
                }
            }
        }
    }

    /// Returns the drawn tokens of all holders as the log shows them.
    pub fn drawn_tokens(&self) -> i64 {
        let newest: BTreeMap<_, _> = self.log.iter().map(|(key, record)| (key, record)).collect();
        let held = newest.values().filter_map(|record| record.account(ACCOUNT));
        held.map(|held| held.granted_tokens).sum()
    }
}
