//! The tokens that this run of the process may use, and how many it should draw.
//!
//! Requests reserve their worst case here and settle it at their end. Draws keep what this VM is
//! expected to use while it may be cut off from the log; the rest stays undrawn for VMs whose use
//! grows and for runs that start anew. While the log is in touch, use stays below a
//! [mark](super::spending_mark) in the last record, so that the next run on this VM can hand back
//! what a run that died had not used ([`reclaim`](super::reclaim)). Tokens also move directly between VMs: the giver counts them
//! as gone before it answers, and a repeated question gets the first answer again.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use super::clock_reading::ClockReading;
use super::fleet_config::FleetConfig;
use super::holder_record::{HeldTokens, HolderRecord};
use super::holder_role::HolderRole;
use super::mark_times::{MarkAges, MarkTimes};
use super::own_tokens::{FleetShare, OwnTokens};
use super::planned_record::PlannedRecord;
use super::token_banks::TokenBanks;
use super::token_ledger::TokenLedger;
use super::{HolderId, Uptime};
use crate::ids::{ClientAccountId, DataCentreId, Tokens, VmId};

/// The least part of an even share that a VM is expected to use.
const LEAST_SHARE_PART: f64 = 0.4;
/// The part of what is available that a VM keeps when another asks for more than it needs.
const KEPT_PART_DIVISOR: i64 = 2;
/// The time that a VM takes to run again after its process was killed, with a margin.
const RESTART_TIME: Duration = Duration::from_millis(1_600);
/// The times between two records for which marks bind besides.
const MARKED_INTERVALS: u32 = 2;
/// Time without a reservation after which tokens count as idle: several times as long as requests
/// wait for them.
const IDLE_TIME: Duration = Duration::from_secs(1);
/// The most transfers of a kind that are remembered.
const MAX_REMEMBERED_TRANSFERS: usize = 512;

/// Names a transfer: the holder that began it and its count of transfers.
pub type TransferId = (HolderId, u64);
/// Tokens of an account.
pub type AccountTokens = (ClientAccountId, Tokens);

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
    mark_times: MarkTimes,
    accounts: BTreeMap<ClientAccountId, OwnTokens>,
    gifts: VecDeque<(TransferId, Tokens)>,
    received: VecDeque<TransferId>,
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
            mark_times: MarkTimes::default(),
            accounts: BTreeMap::new(),
            gifts: VecDeque::new(),
            received: VecDeque::new(),
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
        let ages = self.mark_times.ages(now);
        self.accounts.get(account_id).map_or(0, |own| own.spendable_tokens(ages))
    }

    /// Returns the time until use may pass the marks, because the log is out of touch.
    pub fn time_to_unmarked(&self, now: Uptime) -> Duration {
        self.mark_times.time_to_unmarked(now)
    }

    /// Returns the time until a request may reserve its worst case without a new record, if only the
    /// marks keep the tokens from it.
    pub fn time_to_spendable(
        &self,
        account_id: &str,
        worst_case_tokens: Tokens,
        now: Uptime,
    ) -> Option<Duration> {
        let own = self.accounts.get(account_id)?;
        if own.spendable_tokens(MarkAges::default()) < worst_case_tokens as i64 {
            return None;
        }
        let by_growth = own.time_to_spendable(worst_case_tokens, self.mark_times.ages(now));
        Some(by_growth.min(self.time_to_unmarked(now)))
    }

    /// Returns whether marks keep held tokens of an account from requests, so that a record frees
    /// them.
    pub fn is_held_back(&self, account_id: &str, now: Uptime) -> bool {
        let own = self.accounts.get(account_id);
        own.is_some_and(|own| {
            own.spendable_tokens(MarkAges::default())
                > own.spendable_tokens(self.mark_times.ages(now))
        })
    }

    /// Returns the tokens of an account that were used here a second of late.
    pub fn use_tokens_per_s(&self, account_id: &str, now: Uptime) -> f64 {
        self.accounts.get(account_id).map_or(0.0, |own| own.use_per_s(now))
    }

    /// Returns the tokens of an account used here, with those that requests in progress may still use.
    pub fn spent_tokens(&self, account_id: &str) -> Tokens {
        self.accounts.get(account_id).map_or(0, |own| own.settled_tokens + own.reserved_tokens)
    }

    /// Returns the usual worst case of a request of an account.
    pub fn usual_tokens(&self, account_id: &str) -> f64 {
        self.accounts.get(account_id).map_or(0.0, OwnTokens::usual_tokens)
    }

    /// Frees what a request reserved that will not be sent.
    pub fn release(&mut self, account_id: &str, worst_case_tokens: Tokens) {
        if let Some(own) = self.accounts.get_mut(account_id) {
            own.reserved_tokens = own.reserved_tokens.saturating_sub(worst_case_tokens);
        }
    }

    /// Takes over the recent use of the run before on this VM.
    pub fn adopt_use(&mut self, record: &HolderRecord, now: Uptime) {
        for held in &record.accounts {
            let own = self.accounts.entry(held.account_id.clone()).or_default();
            own.adopt_use(held.use_tokens_per_s, now);
        }
    }

    /// Reserves the worst case of a request; false when too little is held.
    #[must_use]
    pub fn try_reserve(
        &mut self,
        account_id: &str,
        worst_case_tokens: Tokens,
        now: Uptime,
    ) -> bool {
        let ages = self.mark_times.ages(now);
        let Some(own) = self.accounts.get_mut(account_id) else {
            return false;
        };
        if own.spendable_tokens(ages) < worst_case_tokens as i64 {
            return false;
        }
        own.record_size(worst_case_tokens);
        own.reserved_tokens += worst_case_tokens;
        own.active_at = now;
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
        own.record_use(used_tokens, now);
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
        let ages = self.mark_times.ages(now);
        if let Some((_, given)) = self.gifts.iter().find(|(known, _)| *known == transfer_id) {
            return *given;
        }
        let own = self.accounts.entry(account_id.to_owned()).or_default();
        let available = own.spendable_tokens(ages).max(0);
        let spare = (available / KEPT_PART_DIVISOR).min(liked_tokens as i64);
        let given = spare.max(available.min(needed_tokens as i64)) as Tokens;
        own.given_tokens += given;
        if self.role == HolderRole::Bank {
            own.record_use(given, now);
        }
        own.record_size(needed_tokens);
        remember(&mut self.gifts, (transfer_id, given));
        given
    }

    /// Gives away all that may be used, in equal parts, because this run ends out of touch with the
    /// log. What is given counts as gone from now on.
    pub fn give_all(&mut self, part_count: usize, now: Uptime) -> Vec<Vec<AccountTokens>> {
        let ages = self.mark_times.ages(now);
        let mut parts = vec![Vec::new(); part_count];
        for (account_id, own) in &mut self.accounts {
            let available = own.spendable_tokens(ages).max(0) as Tokens;
            let share = available / part_count.max(1) as Tokens;
            if share == 0 {
                continue;
            }
            for part in &mut parts {
                own.given_tokens += share;
                part.push((account_id.clone(), share));
            }
        }
        parts
    }

    /// Gives away the tokens of accounts that nothing was reserved of for a while. They are of more
    /// use where others look for them, and are lost here if the process dies.
    pub fn give_idle(&mut self, now: Uptime) -> Vec<AccountTokens> {
        let ages = self.mark_times.ages(now);
        let mut given = Vec::new();
        for (account_id, own) in &mut self.accounts {
            let idle = own.spendable_tokens(ages).max(0) as Tokens;
            if idle > 0 && now >= own.active_at + IDLE_TIME {
                own.given_tokens += idle;
                given.push((account_id.clone(), idle));
            }
        }
        given
    }

    /// Takes in tokens that another VM gave for a request.
    pub fn receive_for_request(&mut self, account_id: &str, tokens: Tokens, now: Uptime) {
        self.receive(account_id, tokens);
        if let Some(own) = self.accounts.get_mut(account_id) {
            own.active_at = now;
        }
    }

    /// Takes in tokens that another VM gave.
    pub fn receive(&mut self, account_id: &str, tokens: Tokens) {
        self.accounts.entry(account_id.to_owned()).or_default().received_tokens += tokens;
    }

    /// Takes in what another run handed over; a repeated message changes nothing.
    pub fn receive_all(&mut self, transfer_id: &TransferId, given: &[AccountTokens]) {
        if self.received.contains(transfer_id) {
            return;
        }
        for (account_id, tokens) in given {
            self.receive(account_id, *tokens);
        }
        remember(&mut self.received, transfer_id.clone());
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
            let own = self.accounts.entry(account.id.clone()).or_default();
            let change = own.plan_change(ledger, &account.id, paid_tokens, &fleet, now);
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
        self.mark_times.commit(planned.planned_at, planned.record.marked_for);
        for held in &planned.record.accounts {
            let own = self.accounts.entry(held.account_id.clone()).or_default();
            own.mark = held.mark;
            own.pending_mark = None;
            if held.mark.tokens >= own.used_tokens() + own.wanted_tokens {
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
        self.mark_times.abandon();
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
        let own_use: f64 = self.accounts.values().map(|own| own.use_per_s(now)).sum();
        let even_part = 1.0 / vm_count;
        if fleet_use == 0 {
            return even_part;
        }
        (own_use / fleet_use as f64).clamp(LEAST_SHARE_PART * even_part, 1.0)
    }

    fn record_with(
        &mut self,
        changes: Vec<(ClientAccountId, i64)>,
        is_closed: bool,
        now: Uptime,
        clocks: ClockReading,
    ) -> PlannedRecord {
        self.sequence += 1;
        self.mark_times.begin(now, self.marked_for);
        let role = self.role;
        let is_wanted = self.accounts.values().any(|own| own.wanted_tokens > 0);
        let accounts = self.accounts.iter_mut().map(|(account_id, own)| {
            let change = changes.iter().find(|(changed, _)| changed == account_id);
            let mark = if is_closed { own.last_mark() } else { own.next_mark() };
            own.pending_mark = Some(mark);
            HeldTokens {
                account_id: account_id.clone(),
                granted_tokens: own.granted_tokens + change.map_or(0, |(_, change)| *change),
                received_tokens: own.received_tokens,
                given_tokens: own.given_tokens,
                spent_tokens: own.settled_tokens + own.reserved_tokens,
                mark,
                use_tokens_per_s: match role {
                    HolderRole::Equal | HolderRole::Bank => own.use_per_s(now) as Tokens,
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

/// Adds a transfer to those that are remembered, in place of the oldest one when there are many.
fn remember<T>(transfers: &mut VecDeque<T>, transfer: T) {
    if transfers.len() >= MAX_REMEMBERED_TRANSFERS {
        transfers.pop_front();
    }
    transfers.push_back(transfer);
}
