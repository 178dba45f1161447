//! The tokens that this run of the process may use, and how many it should draw.
//!
//! Requests reserve their worst case here and settle it at their end. Draws keep what this VM is
//! expected to use while it may be cut off from the log; the rest stays undrawn for VMs whose use
//! grows and for runs that start anew. While the log is in touch, use stays below a mark in the last
//! record, so that the next run on this VM can hand back what a run that died had not used
//! ([`reclaim`](super::reclaim)). Tokens also move directly between VMs: the giver counts them
//! as gone before it answers, and a repeated question gets the first answer again.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use super::clock_reading::ClockReading;
use super::fleet_config::FleetConfig;
use super::flow_rate::FlowRate;
use super::holder_record::{HeldTokens, HolderRecord};
use super::token_banks::TokenBanks;
use super::token_ledger::TokenLedger;
use super::{HolderId, Uptime};
use crate::ids::{ClientAccountId, DataCentreId, Tokens, VmId};

/// The least time that VMs are expected to live on what they hold, in seconds.
const LEAST_HOLD_S: f64 = 2.0;
/// The longest such time, in seconds; several times as long as cuts usually last.
const MOST_HOLD_S: f64 = 14.0;
/// The part of the time for which the account's tokens last that VMs hold in advance.
const HOLD_PART: f64 = 0.5;
/// Time after which use weighs 1/e in the recent rate, in seconds.
const USE_DECAY_S: f64 = 5.0;
/// The weight of a VM's own use of an account in the use that is expected there. The rest is the
/// VM's part of the use of all accounts, which varies much less.
const OWN_USE_WEIGHT: f64 = 0.25;
/// The least part of an even share that a VM is expected to use.
const LEAST_SHARE_PART: f64 = 0.4;
/// The part of an account's tokens that all VMs together draw before its use is known.
const FIRST_DRAW_PART: f64 = 0.35;
/// The part of the undrawn tokens that a VM holds at most before its use is known.
const FIRST_UNDRAWN_PART: f64 = 0.1;
/// The part of an account's tokens that all VMs together hold at least while most are undrawn.
const LEAST_HELD_PART: f64 = 0.12;
/// The part of an account's tokens above which they count as mostly undrawn.
const MOSTLY_UNDRAWN_PART: f64 = 0.5;
/// The part of the undrawn tokens that one draw takes at most, unless a request waits for it.
const MAX_DRAW_PART: f64 = 0.34;
/// The part of the target below which a VM draws.
const LOW_PART: f64 = 0.75;
/// The multiple of the target above which a VM hands tokens back.
const HIGH_PART: f64 = 1.6;
/// The part of the target down to which it hands them back.
const KEPT_PART: f64 = 1.1;
/// The part of what is available that a VM keeps when another asks for more than it needs.
const KEPT_PART_DIVISOR: i64 = 2;
/// The time that a VM takes to run again after its process was killed, with a margin.
const RESTART_TIME: Duration = Duration::from_millis(1_600);
/// The times between two records for which marks bind besides.
const MARKED_INTERVALS: u32 = 2;
/// The part of the time for which the account's tokens last that marks leave room for: what the end
/// of all processes at once may strand.
const MARK_PART: f64 = 0.08;
/// The least time of use that marks leave room for, in seconds.
const LEAST_MARK_S: f64 = 0.3;
/// The longest such time, in seconds; about as long as marks bind.
const MOST_MARK_S: f64 = 2.6;
/// The usual requests that a VM that does not draw may hold.
const ASKED_REQUESTS: f64 = 3.0;
/// The weight of one request in the usual size of requests.
const SIZE_SAMPLE_WEIGHT: f64 = 0.1;
/// The usual requests for which a mark leaves room besides, if it leaves room for the longest time.
const MARKED_REQUESTS: f64 = 1.0;
/// The most answers to other VMs that are remembered.
const MAX_REMEMBERED_GIFTS: usize = 512;

/// Names a transfer: the asking holder and its count of questions.
pub type TransferId = (HolderId, u64);

#[derive(Debug, Default)]
struct OwnTokens {
    granted_tokens: i64,
    received_tokens: Tokens,
    given_tokens: Tokens,
    settled_tokens: Tokens,
    reserved_tokens: Tokens,
    returning_tokens: Tokens,
    wanted_tokens: Tokens,
    frozen_tokens: i64,
    marked_tokens: Tokens,
    pending_mark: Option<Tokens>,
    target_tokens: i64,
    expected_use: f64,
    left_s: f64,
    usual_tokens: f64,
    use_rate: FlowRate,
}

impl OwnTokens {
    fn available_tokens(&self) -> i64 {
        self.granted_tokens + self.received_tokens as i64
            - self.given_tokens as i64
            - self.settled_tokens as i64
            - self.reserved_tokens as i64
            - self.returning_tokens as i64
    }

    fn spendable_tokens(&self, is_marked: bool) -> i64 {
        let held = self.available_tokens() - self.frozen_tokens;
        if !is_marked {
            return held;
        }
        // A record in doubt may be in the log, so its mark holds too.
        let mark = self.marked_tokens.min(self.pending_mark.unwrap_or(Tokens::MAX));
        held.min(mark as i64 - self.used_tokens() as i64)
    }

    /// Tokens used, given, or reserved by requests in progress.
    fn used_tokens(&self) -> Tokens {
        self.given_tokens + self.settled_tokens + self.reserved_tokens
    }

    /// Returns the mark for the next record.
    fn next_mark(&self) -> Tokens {
        let mark_s = (MARK_PART * self.left_s).clamp(LEAST_MARK_S, MOST_MARK_S);
        let usual_use =
            mark_s * self.expected_use + MARKED_REQUESTS * self.usual_tokens * mark_s / MOST_MARK_S;
        self.used_tokens() + (usual_use as Tokens).max(self.wanted_tokens)
    }
}

/// This VM among all.
struct FleetShare {
    /// The VMs that draw.
    vm_count: f64,
    /// Its part of the use of all accounts, with that of the VMs that ask it.
    own_part: f64,
    /// Whether it draws.
    is_bank: bool,
}

/// What a VM does for the others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HolderRole {
    /// Every VM draws for itself.
    Equal,
    /// It draws for itself and for VMs that ask; what it gives counts as its use.
    Bank,
    /// It asks; what it uses counts as the use of those that it asks.
    Asking,
}

/// A record to append, and what it changes once it is in the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedRecord {
    /// The record.
    pub record: HolderRecord,
    changes: Vec<(ClientAccountId, i64)>,
    is_wanted: bool,
    planned_at: Uptime,
}

impl PlannedRecord {
    /// Returns the tokens drawn, or handed back if negative, of each account.
    pub fn changes(&self) -> &[(ClientAccountId, i64)] {
        &self.changes
    }

    /// Returns whether it draws or hands back tokens.
    pub fn moves_tokens(&self) -> bool {
        !self.changes.is_empty()
    }

    /// Returns whether a request waits for it.
    pub fn is_wanted(&self) -> bool {
        self.is_wanted
    }
}

/// The tokens that this run of the process may use.
#[derive(Debug)]
pub struct TokenHolding {
    holder_id: HolderId,
    vm_id: VmId,
    data_centre_id: DataCentreId,
    peer_address: SocketAddr,
    sequence: u64,
    marked_for: Duration,
    role: HolderRole,
    marked_until: Uptime,
    marked_until_in_doubt: Uptime,
    accounts: BTreeMap<ClientAccountId, OwnTokens>,
    gifts: VecDeque<(TransferId, Tokens)>,
}

impl TokenHolding {
    /// Creates an empty holding.
    pub fn new(
        holder_id: HolderId,
        vm_id: VmId,
        data_centre_id: DataCentreId,
        peer_address: SocketAddr,
    ) -> Self {
        Self {
            holder_id,
            vm_id,
            data_centre_id,
            peer_address,
            sequence: 0,
            marked_for: RESTART_TIME,
            role: HolderRole::Equal,
            marked_until: Uptime::ZERO,
            marked_until_in_doubt: Uptime::ZERO,
            accounts: BTreeMap::new(),
            gifts: VecDeque::new(),
        }
    }

    /// Returns the name of this run.
    pub fn holder_id(&self) -> &HolderId {
        &self.holder_id
    }

    /// Returns the VM.
    pub fn vm_id(&self) -> &VmId {
        &self.vm_id
    }

    /// Returns the data centre of the VM.
    pub fn data_centre_id(&self) -> &DataCentreId {
        &self.data_centre_id
    }

    /// Returns the tokens of an account that no request has reserved.
    pub fn available_tokens(&self, account_id: &str, now: Uptime) -> i64 {
        let is_marked = self.is_marked(now);
        self.accounts.get(account_id).map_or(0, |own| own.spendable_tokens(is_marked))
    }

    /// Returns the time until use may pass the marks, because the log is out of touch.
    pub fn time_to_unmarked(&self, now: Uptime) -> Duration {
        self.marked_until.max(self.marked_until_in_doubt).saturating_sub(now)
    }

    /// Returns whether an account has tokens that only its mark keeps from a request.
    pub fn is_held_back(&self, account_id: &str, worst_case_tokens: Tokens) -> bool {
        let own = self.accounts.get(account_id);
        own.is_some_and(|own| own.spendable_tokens(false) >= worst_case_tokens as i64)
    }

    /// Takes over the recent use of the run before on this VM.
    pub fn adopt_use(&mut self, record: &HolderRecord, now: Uptime) {
        for held in &record.accounts {
            let own = self.accounts.entry(held.account_id.clone()).or_default();
            own.use_rate = FlowRate::adopt(held.use_tokens_per_s, USE_DECAY_S, now);
        }
    }

    fn is_marked(&self, now: Uptime) -> bool {
        !self.time_to_unmarked(now).is_zero()
    }

    /// Reserves the worst case of a request; false when too little is held.
    #[must_use]
    pub fn try_reserve(
        &mut self,
        account_id: &str,
        worst_case_tokens: Tokens,
        now: Uptime,
    ) -> bool {
        let is_marked = self.is_marked(now);
        let Some(own) = self.accounts.get_mut(account_id) else {
            return false;
        };
        if own.spendable_tokens(is_marked) < worst_case_tokens as i64 {
            return false;
        }
        own.usual_tokens += SIZE_SAMPLE_WEIGHT * (worst_case_tokens as f64 - own.usual_tokens);
        own.reserved_tokens += worst_case_tokens;
        true
    }

    /// Replaces a reservation by what was used.
    pub fn settle(
        &mut self,
        account_id: &str,
        worst_case_tokens: Tokens,
        used_tokens: Tokens,
        now: Uptime,
    ) {
        let own = self.accounts.entry(account_id.to_owned()).or_default();
        own.reserved_tokens = own.reserved_tokens.saturating_sub(worst_case_tokens);
        own.settled_tokens += used_tokens;
        own.use_rate.add(used_tokens, USE_DECAY_S, now);
    }

    /// Notes that a request waits for tokens; the next draw covers it.
    pub fn want(&mut self, account_id: &str, tokens: Tokens) {
        let own = self.accounts.entry(account_id.to_owned()).or_default();
        own.wanted_tokens = own.wanted_tokens.max(tokens);
    }

    /// Gives tokens to another VM: what it needs, or up to what it would like if enough is left.
    pub fn give(
        &mut self,
        transfer_id: TransferId,
        account_id: &str,
        needed_tokens: Tokens,
        liked_tokens: Tokens,
        now: Uptime,
    ) -> Tokens {
        let is_marked = self.is_marked(now);
        if let Some((_, given)) = self.gifts.iter().find(|(known, _)| *known == transfer_id) {
            return *given;
        }
        let own = self.accounts.entry(account_id.to_owned()).or_default();
        let available = own.spendable_tokens(is_marked).max(0);
        let spare = (available / KEPT_PART_DIVISOR).min(liked_tokens as i64);
        let given = spare.max(available.min(needed_tokens as i64)) as Tokens;
        own.given_tokens += given;
        if self.role == HolderRole::Bank {
            own.use_rate.add(given, USE_DECAY_S, now);
        }
        own.usual_tokens += SIZE_SAMPLE_WEIGHT * (needed_tokens as f64 - own.usual_tokens);
        if self.gifts.len() >= MAX_REMEMBERED_GIFTS {
            self.gifts.pop_front();
        }
        self.gifts.push_back((transfer_id, given));
        given
    }

    /// Takes in tokens that another VM gave.
    pub fn receive(&mut self, account_id: &str, tokens: Tokens) {
        self.accounts.entry(account_id.to_owned()).or_default().received_tokens += tokens;
    }

    /// Keeps what was drawn beyond a reduced amount from being used, in proportion to each holder's
    /// part.
    pub fn observe_ledger(&mut self, ledger: &TokenLedger, config: &FleetConfig) {
        for (account_id, own) in &mut self.accounts {
            let granted = ledger.granted_tokens(account_id);
            let paid = config.paid_tokens(account_id).unwrap_or_default() as i64;
            own.frozen_tokens = if granted > paid && granted > 0 {
                let excess_part = (granted - paid) as f64 / granted as f64;
                (own.granted_tokens.max(0) as f64 * excess_part).ceil() as i64
            } else {
                0
            };
        }
    }

    /// Plans the next record from the whole ledger; it must be appended where the ledger ends.
    pub fn plan(
        &mut self,
        ledger: &TokenLedger,
        config: &FleetConfig,
        now: Uptime,
        clocks: ClockReading,
    ) -> PlannedRecord {
        let banks = TokenBanks::pick(ledger);
        let is_known = ledger.holder(&self.holder_id).is_some();
        let is_bank = banks.contains(&self.vm_id);
        let holder_count = banks.count() + usize::from(is_bank && !is_known);
        let fleet = FleetShare {
            vm_count: holder_count.max(1) as f64,
            own_part: self.part_of_use(ledger, config, holder_count.max(1) as f64, now),
            is_bank,
        };
        let mut changes = Vec::new();
        for account in config.accounts.iter().flatten() {
            let Some(paid_tokens) = account.paid_tokens else {
                continue;
            };
            let change = self.plan_account(ledger, &account.id, paid_tokens, &fleet, now);
            if change != 0 {
                changes.push((account.id.clone(), change));
            }
        }
        for (account_id, change) in &changes {
            if *change < 0
                && let Some(own) = self.accounts.get_mut(account_id)
            {
                own.returning_tokens += change.unsigned_abs();
            }
        }
        self.record_with(changes, false, now, clocks)
    }

    /// Plans the last record of a run that ends in order: everything unused is handed back.
    pub fn plan_closing(&mut self, now: Uptime, clocks: ClockReading) -> PlannedRecord {
        let mut changes = Vec::new();
        for (account_id, own) in &mut self.accounts {
            let available = own.available_tokens();
            if available > 0 {
                own.returning_tokens += available as Tokens;
                changes.push((account_id.clone(), -available));
            }
        }
        self.record_with(changes, true, now, clocks)
    }

    /// Sets the role of the VM, and the time between two records, which decides how long marks bind.
    pub fn set_role(&mut self, role: HolderRole, interval: Duration) {
        self.role = role;
        self.marked_for = match role {
            HolderRole::Equal | HolderRole::Bank => RESTART_TIME + interval * MARKED_INTERVALS,
            // What a later run could hand back is little.
            HolderRole::Asking => Duration::ZERO,
        };
    }

    /// Takes over a planned record that is in the log.
    pub fn commit(&mut self, planned: &PlannedRecord) {
        self.marked_until = planned.planned_at + planned.record.marked_for;
        self.marked_until_in_doubt = Uptime::ZERO;
        for held in &planned.record.accounts {
            let own = self.accounts.entry(held.account_id.clone()).or_default();
            own.marked_tokens = held.marked_tokens;
            own.pending_mark = None;
            if held.marked_tokens >= own.used_tokens() + own.wanted_tokens {
                own.wanted_tokens = 0;
            }
        }
        for (account_id, change) in &planned.changes {
            let own = self.accounts.entry(account_id.clone()).or_default();
            own.granted_tokens += change;
            if *change < 0 {
                own.returning_tokens -= change.unsigned_abs();
            }
        }
    }

    /// Drops a planned record that will never be in the log.
    pub fn abandon(&mut self, planned: &PlannedRecord) {
        self.marked_until_in_doubt = Uptime::ZERO;
        for own in self.accounts.values_mut() {
            own.pending_mark = None;
        }
        for (account_id, change) in &planned.changes {
            if *change < 0
                && let Some(own) = self.accounts.get_mut(account_id)
            {
                own.returning_tokens -= change.unsigned_abs();
            }
        }
    }

    /// Returns this VM's part of the use of all accounts by all VMs.
    fn part_of_use(
        &self,
        ledger: &TokenLedger,
        config: &FleetConfig,
        vm_count: f64,
        now: Uptime,
    ) -> f64 {
        let accounts = config.accounts.iter().flatten();
        let fleet_use: Tokens = accounts.map(|a| ledger.use_tokens_per_s(&a.id)).sum();
        let own_use: f64 =
            self.accounts.values().map(|own| own.use_rate.per_second(USE_DECAY_S, now)).sum();
        let even_part = 1.0 / vm_count;
        if fleet_use == 0 {
            return even_part;
        }
        (own_use / fleet_use as f64).clamp(LEAST_SHARE_PART * even_part, 1.0)
    }

    fn plan_account(
        &mut self,
        ledger: &TokenLedger,
        account_id: &str,
        paid_tokens: Tokens,
        fleet: &FleetShare,
        now: Uptime,
    ) -> i64 {
        let undrawn = paid_tokens as i64 - ledger.granted_tokens(account_id);
        let fleet_use = ledger.use_tokens_per_s(account_id) as f64;
        let own = self.accounts.entry(account_id.to_owned()).or_default();
        let own_use = own.use_rate.per_second(USE_DECAY_S, now);
        let expected_use =
            OWN_USE_WEIGHT * own_use + (1.0 - OWN_USE_WEIGHT) * fleet_use * fleet.own_part;
        let share = paid_tokens as f64 / fleet.vm_count;
        let is_plenty = undrawn as f64 > MOSTLY_UNDRAWN_PART * paid_tokens as f64;
        let least = if is_plenty { LEAST_HELD_PART * share } else { 0.0 };
        let is_unused = fleet_use < 1.0 && own_use < 1.0;
        let left_tokens = paid_tokens.saturating_sub(ledger.spent_tokens(account_id));
        own.left_s = left_tokens as f64 / fleet_use.max(1.0);
        let target = if is_unused {
            (FIRST_DRAW_PART * share).min(FIRST_UNDRAWN_PART * undrawn.max(0) as f64)
        } else {
            let hold_s = (HOLD_PART * own.left_s).clamp(LEAST_HOLD_S, MOST_HOLD_S);
            (hold_s * expected_use).max(least)
        };
        let target = if fleet.is_bank { target } else { ASKED_REQUESTS * own.usual_tokens };
        own.target_tokens = target as i64;
        own.expected_use = if is_unused { target / MOST_HOLD_S } else { expected_use };
        let available = own.available_tokens();
        if undrawn < 0 {
            return undrawn.max(-available.max(0));
        }
        let wanted = own.wanted_tokens as i64;
        if fleet.is_bank && (available < wanted || (available as f64) < LOW_PART * target) {
            let missing = (own.target_tokens - available).max(wanted - available);
            let fair = (undrawn as f64 * MAX_DRAW_PART) as i64;
            let drawn = missing.min(fair.max(wanted)).clamp(0, undrawn);
            return if ledger.is_readable() { drawn } else { 0 };
        }
        if available as f64 > HIGH_PART * target.max(wanted as f64) {
            return (KEPT_PART * target) as i64 - available;
        }
        0
    }

    fn record_with(
        &mut self,
        changes: Vec<(ClientAccountId, i64)>,
        is_closed: bool,
        now: Uptime,
        clocks: ClockReading,
    ) -> PlannedRecord {
        self.sequence += 1;
        self.marked_until_in_doubt = now + self.marked_for;
        let role = self.role;
        let is_wanted = self.accounts.values().any(|own| own.wanted_tokens > 0);
        let accounts = self.accounts.iter_mut().map(|(account_id, own)| {
            let change = changes.iter().find(|(changed, _)| changed == account_id);
            let mark = if is_closed { own.used_tokens() } else { own.next_mark() };
            own.pending_mark = Some(mark);
            HeldTokens {
                account_id: account_id.clone(),
                granted_tokens: own.granted_tokens + change.map_or(0, |(_, change)| *change),
                received_tokens: own.received_tokens,
                given_tokens: own.given_tokens,
                spent_tokens: own.settled_tokens + own.reserved_tokens,
                marked_tokens: mark,
                use_tokens_per_s: match role {
                    HolderRole::Equal | HolderRole::Bank => {
                        own.use_rate.per_second(USE_DECAY_S, now) as Tokens
                    }
                    HolderRole::Asking => 0,
                },
            }
        });
        let record = HolderRecord {
            vm_id: self.vm_id.clone(),
            data_centre_id: self.data_centre_id.clone(),
            peer_address: self.peer_address,
            sequence: self.sequence,
            is_closed,
            sent_at: clocks,
            marked_for: self.marked_for,
            accounts: accounts.collect(),
        };
        PlannedRecord { record, changes, is_wanted, planned_at: now }
    }
}
