//! The tokens that this incarnation of the process may use, and how many it should draw.
//!
//! A request reserves its worst case here and settles what it used when it ends. Draws cover what
//! this VM is expected to use while it may be disconnected from the log. The rest stays undrawn for
//! VMs whose use grows and for processes that start.
//!
//! While the log is connected, use stays below a [spending limit](super::spending_limit) in the
//! last record. If the process dies, the next incarnation on this VM can therefore return the
//! tokens that were not used ([`reclaim`](super::reclaim)).
//!
//! Tokens also move directly between VMs. The sender deducts them before it responds, and a
//! repeated transfer request gets the first response again.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::account_holding::{AccountHolding, FleetShare};
use super::allocator_vms::AllocatorVms;
use super::clock_reading::ClockReading;
use super::fleet_config::FleetConfig;
use super::holder_record::{HeldTokens, HolderRecord};
use super::holder_role::HolderRole;
use super::limit_periods::{LimitAges, LimitPeriods};
use super::planned_record::PlannedRecord;
use super::recent_transfers::RecentTransfers;
use super::token_ledger::TokenLedger;
use super::{HolderId, Uptime};
use crate::ids::{ClientAccountId, DataCentreId, Tokens, VmId};

/// The least share of the fleet's use that is expected of a VM, as a fraction of an even share.
const MIN_SHARE_FRACTION: f64 = 0.4;
/// Tokens that another VM desires but does not need are sent only up to the spendable tokens
/// divided by this.
const SURPLUS_DIVISOR: i64 = 2;
/// The time from when a process is killed until its VM runs the next one, with a margin.
const RESTART_TIME: Duration = Duration::from_millis(1_600);
/// The number of intervals between records for which spending limits are active in addition to
/// [`RESTART_TIME`].
const LIMIT_INTERVALS: u32 = 2;
/// Time without a reservation after which tokens count as idle; several times as long as requests
/// wait for tokens.
const IDLE_AFTER: Duration = Duration::from_secs(1);

/// Identifies a transfer: the holder that started it and a number from that holder's counter.
pub type TransferId = (HolderId, u64);
/// An account and a number of its tokens.
pub type AccountTokens = (ClientAccountId, Tokens);

/// The tokens that this incarnation of the process may use.
#[derive(Debug)]
pub struct TokenHolding {
    holder_id: HolderId,
    vm_id: VmId,
    data_centre_id: DataCentreId,
    peer_address: SocketAddr,
    sequence: u64,
    limits_active_for: Duration,
    role: HolderRole,
    limit_periods: LimitPeriods,
    accounts: BTreeMap<ClientAccountId, AccountHolding>,
    sent_transfers: RecentTransfers<Tokens>,
    received_transfers: RecentTransfers<()>,
}

impl TokenHolding {
    /// Creates a holding without tokens.
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
            limits_active_for: RESTART_TIME,
            role: HolderRole::DrawsForItself,
            limit_periods: LimitPeriods::default(),
            accounts: BTreeMap::new(),
            sent_transfers: RecentTransfers::default(),
            received_transfers: RecentTransfers::default(),
        }
    }

    /// Returns the id of this incarnation.
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

    /// Returns the tokens of an account that a request may reserve now.
    pub fn spendable_tokens(&self, account_id: &str, now: Uptime) -> i64 {
        let ages = self.limit_periods.ages(now);
        self.accounts.get(account_id).map_or(0, |holding| holding.spendable_tokens(ages))
    }

    /// Returns the time until no spending limit is active, unless a new record is written before.
    pub fn time_until_unlimited(&self, now: Uptime) -> Duration {
        self.limit_periods.time_until_unlimited(now)
    }

    /// Returns the time until a request may reserve its worst case without a new record; `None` if
    /// too few tokens are held even without spending limits.
    pub fn time_until_spendable(
        &self,
        account_id: &str,
        worst_case_tokens: Tokens,
        now: Uptime,
    ) -> Option<Duration> {
        let holding = self.accounts.get(account_id)?;
        if holding.spendable_tokens(LimitAges::default()) < worst_case_tokens as i64 {
            return None;
        }
        let by_growth =
            holding.time_until_spendable(worst_case_tokens, self.limit_periods.ages(now));
        Some(by_growth.min(self.time_until_unlimited(now)))
    }

    /// Returns whether spending limits keep requests from using held tokens of an account, so that
    /// a new record would make them spendable.
    pub fn is_restricted_by_limit(&self, account_id: &str, now: Uptime) -> bool {
        let holding = self.accounts.get(account_id);
        holding.is_some_and(|holding| {
            holding.spendable_tokens(LimitAges::default())
                > holding.spendable_tokens(self.limit_periods.ages(now))
        })
    }

    /// Returns the recent rate at which this VM used tokens of an account.
    pub fn use_tokens_per_s(&self, account_id: &str, now: Uptime) -> f64 {
        self.accounts.get(account_id).map_or(0.0, |holding| holding.use_per_s(now))
    }

    /// Returns the tokens of an account used here, including those reserved by requests in
    /// progress.
    pub fn spent_tokens(&self, account_id: &str) -> Tokens {
        self.accounts
            .get(account_id)
            .map_or(0, |holding| holding.settled_tokens + holding.reserved_tokens)
    }

    /// Returns the moving average of the worst cases of requests of an account.
    pub fn typical_request_tokens(&self, account_id: &str) -> f64 {
        self.accounts.get(account_id).map_or(0.0, AccountHolding::typical_request_tokens)
    }

    /// Releases the reservation of a request that will not be sent.
    pub fn release(&mut self, account_id: &str, worst_case_tokens: Tokens) {
        if let Some(holding) = self.accounts.get_mut(account_id) {
            holding.reserved_tokens = holding.reserved_tokens.saturating_sub(worst_case_tokens);
        }
    }

    /// Adopts the rates of use from the record of the previous incarnation on this VM.
    pub fn adopt_use_rates(&mut self, record: &HolderRecord, now: Uptime) {
        for held in &record.accounts {
            let holding = self.accounts.entry(held.account_id.clone()).or_default();
            holding.adopt_use_rate(held.use_tokens_per_s, now);
        }
    }

    /// Reserves the worst case of a request; returns false if too few tokens are spendable.
    #[must_use]
    pub fn try_reserve(
        &mut self,
        account_id: &str,
        worst_case_tokens: Tokens,
        now: Uptime,
    ) -> bool {
        let ages = self.limit_periods.ages(now);
        let Some(holding) = self.accounts.get_mut(account_id) else {
            return false;
        };
        if holding.spendable_tokens(ages) < worst_case_tokens as i64 {
            return false;
        }
        holding.record_request_size(worst_case_tokens);
        holding.reserved_tokens += worst_case_tokens;
        holding.last_active_at = now;
        true
    }

    /// Replaces a reservation with the tokens that the request used.
    pub fn settle(
        &mut self,
        account_id: &str,
        worst_case_tokens: Tokens,
        used_tokens: Tokens,
        now: Uptime,
    ) {
        let holding = self.accounts.entry(account_id.to_owned()).or_default();
        holding.reserved_tokens = holding.reserved_tokens.saturating_sub(worst_case_tokens);
        holding.settled_tokens += used_tokens;
        holding.record_use(used_tokens, now);
    }

    /// Records that requests wait for a number of tokens, which the next record is to cover.
    pub fn record_demand(&mut self, account_id: &str, tokens: Tokens) {
        let holding = self.accounts.entry(account_id.to_owned()).or_default();
        holding.demand_tokens = holding.demand_tokens.max(tokens);
    }

    /// Deducts tokens to send to another VM and returns their number: what it needs as far as that
    /// is spendable, or more, up to what it desires, out of the surplus of this VM. Returns the
    /// first result again for a transfer id that was seen before.
    pub fn send_tokens(
        &mut self,
        transfer_id: TransferId,
        account_id: &str,
        needed_tokens: Tokens,
        desired_tokens: Tokens,
        now: Uptime,
    ) -> Tokens {
        let ages = self.limit_periods.ages(now);
        if let Some(sent) = self.sent_transfers.result(&transfer_id) {
            return *sent;
        }
        if !self.sent_transfers.has_room(now) {
            return 0;
        }
        let holding = self.accounts.entry(account_id.to_owned()).or_default();
        let available = holding.spendable_tokens(ages).max(0);
        let surplus = (available / SURPLUS_DIVISOR).min(desired_tokens as i64);
        let sent = surplus.max(available.min(needed_tokens as i64)) as Tokens;
        holding.sent_tokens += sent;
        if self.role == HolderRole::DrawsForOthers {
            holding.record_use(sent, now);
        }
        holding.record_request_size(needed_tokens);
        if sent > 0 {
            self.sent_transfers.record(transfer_id, sent, now);
        }
        sent
    }

    /// Deducts all spendable tokens and returns them in equal parts to send to other VMs. Used when
    /// this incarnation ends while it is disconnected from the log.
    pub fn send_all_tokens(&mut self, part_count: usize, now: Uptime) -> Vec<Vec<AccountTokens>> {
        let ages = self.limit_periods.ages(now);
        let mut parts = vec![Vec::new(); part_count];
        for (account_id, holding) in &mut self.accounts {
            let available = holding.spendable_tokens(ages).max(0) as Tokens;
            let share = available / part_count.max(1) as Tokens;
            if share == 0 {
                continue;
            }
            for part in &mut parts {
                holding.sent_tokens += share;
                part.push((account_id.clone(), share));
            }
        }
        parts
    }

    /// Deducts the tokens of accounts without recent reservations, and of other accounts those that
    /// will not be needed soon, and returns them to send to another VM. Used by VMs that do not draw:
    /// other VMs search for tokens at the allocators, and tokens that are held here are lost if this
    /// process dies.
    pub fn send_idle_tokens(&mut self, now: Uptime) -> Vec<AccountTokens> {
        let ages = self.limit_periods.ages(now);
        let mut sent = Vec::new();
        for (account_id, holding) in &mut self.accounts {
            let idle = if now >= holding.last_active_at + IDLE_AFTER {
                holding.spendable_tokens(ages).max(0) as Tokens
            } else {
                holding.excess_tokens(ages, now)
            };
            if idle > 0 {
                holding.sent_tokens += idle;
                sent.push((account_id.clone(), idle));
            }
        }
        sent
    }

    /// Adds tokens that another VM sent for a request.
    pub fn receive_tokens_for_request(&mut self, account_id: &str, tokens: Tokens, now: Uptime) {
        let holding = self.accounts.entry(account_id.to_owned()).or_default();
        holding.record_receipt(tokens, now);
    }

    /// Adds tokens that another VM sent.
    pub fn receive_tokens(&mut self, account_id: &str, tokens: Tokens) {
        self.accounts.entry(account_id.to_owned()).or_default().received_tokens += tokens;
    }

    /// Adds tokens that another VM handed over without a request; a repeated message changes
    /// nothing. Returns false if the tokens cannot be taken in, because repeated messages could not be
    /// detected.
    #[must_use]
    pub fn receive_transfer(
        &mut self,
        transfer_id: &TransferId,
        sent: &[AccountTokens],
        now: Uptime,
    ) -> bool {
        if self.received_transfers.result(transfer_id).is_some() {
            return true;
        }
        if !self.received_transfers.has_room(now) {
            return false;
        }
        for (account_id, tokens) in sent {
            self.receive_tokens(account_id, *tokens);
        }
        self.received_transfers.record(transfer_id.clone(), (), now);
        true
    }

    /// Freezes this holder's part of the tokens that all holders drew in excess of the paid amount,
    /// after that amount was reduced. Each holder freezes a part in proportion to what it drew and
    /// received, less what it sent, whichever VM drew the tokens.
    pub fn freeze_excess_tokens(&mut self, ledger: &TokenLedger, config: &FleetConfig) {
        for (account_id, holding) in &mut self.accounts {
            let net_drawn = ledger.net_drawn_tokens(account_id);
            let paid = config.paid_tokens(account_id).unwrap_or_default() as i64;
            holding.frozen_tokens = if net_drawn > paid && net_drawn > 0 {
                let excess_fraction = (net_drawn - paid) as f64 / net_drawn as f64;
                (holding.obtained_tokens().max(0) as f64 * excess_fraction).ceil() as i64
            } else {
                0
            };
        }
    }

    /// Plans the next record from the whole ledger. The record must be appended at the end of that
    /// ledger.
    pub fn plan_record(
        &mut self,
        ledger: &TokenLedger,
        config: &FleetConfig,
        now: Uptime,
        clocks: ClockReading,
    ) -> PlannedRecord {
        let allocators = AllocatorVms::select(ledger);
        let has_record = ledger.newest_record(&self.holder_id).is_some();
        let draws_tokens = allocators.contains(&self.vm_id);
        if !draws_tokens {
            // Spending limits would keep the VM from sending what it drew until they have lapsed.
            self.set_role(HolderRole::RequestsTokens, Duration::ZERO);
        }
        let drawing_vm_count = allocators.count() + usize::from(draws_tokens && !has_record);
        let fleet = FleetShare {
            drawing_vm_count: drawing_vm_count.max(1) as f64,
            use_share: self.use_share(ledger, config, drawing_vm_count.max(1) as f64, now),
            draws_tokens,
        };
        let mut changes = Vec::new();
        for account in config.accounts.iter().flatten() {
            let Some(paid_tokens) = account.paid_tokens else {
                continue;
            };
            let holding = self.accounts.entry(account.id.clone()).or_default();
            let change = holding.plan_change(ledger, &account.id, paid_tokens, &fleet, now);
            if change != 0 {
                changes.push((account.id.clone(), change));
            }
        }
        for (account_id, change) in &changes {
            if *change < 0
                && let Some(holding) = self.accounts.get_mut(account_id)
            {
                holding.returning_tokens += change.unsigned_abs();
            }
        }
        self.build_record(changes, false, now, clocks)
    }

    /// Plans the last record of an incarnation that shuts down: all unused tokens are returned.
    pub fn plan_closing_record(&mut self, now: Uptime, clocks: ClockReading) -> PlannedRecord {
        let mut changes = Vec::new();
        for (account_id, holding) in &mut self.accounts {
            let available = holding.available_tokens();
            if available > 0 {
                holding.returning_tokens += available as Tokens;
                changes.push((account_id.clone(), -available));
            }
        }
        self.build_record(changes, true, now, clocks)
    }

    /// Sets the role of the VM and the interval between its records. Both decide how long spending
    /// limits are active.
    pub fn set_role(&mut self, role: HolderRole, interval: Duration) {
        self.role = role;
        self.limits_active_for = match role {
            HolderRole::DrawsForItself | HolderRole::DrawsForOthers => {
                RESTART_TIME + interval * LIMIT_INTERVALS
            }
            // The next incarnation could return only few tokens.
            HolderRole::RequestsTokens => Duration::ZERO,
        };
    }

    /// Applies a planned record that is in the log.
    pub fn commit(&mut self, planned: &PlannedRecord) {
        self.limit_periods.commit(planned.planned_at, planned.record.limits_active_for);
        for held in &planned.record.accounts {
            let holding = self.accounts.entry(held.account_id.clone()).or_default();
            holding.limit = held.spending_limit;
            holding.pending_limit = None;
            if held.spending_limit.tokens >= holding.used_or_sent_tokens() + holding.demand_tokens {
                holding.demand_tokens = 0;
            }
        }
        for (account_id, change) in &planned.changes {
            let holding = self.accounts.entry(account_id.clone()).or_default();
            holding.net_drawn_tokens += change;
            if *change < 0 {
                holding.returning_tokens -= change.unsigned_abs();
            }
        }
    }

    /// Discards a planned record that will never be in the log.
    pub fn abandon(&mut self, planned: &PlannedRecord) {
        self.limit_periods.abandon();
        for holding in self.accounts.values_mut() {
            holding.pending_limit = None;
        }
        for (account_id, change) in &planned.changes {
            if *change < 0
                && let Some(holding) = self.accounts.get_mut(account_id)
            {
                holding.returning_tokens -= change.unsigned_abs();
            }
        }
    }

    /// Returns this VM's share of the use of all accounts by all VMs.
    fn use_share(
        &self,
        ledger: &TokenLedger,
        config: &FleetConfig,
        drawing_vm_count: f64,
        now: Uptime,
    ) -> f64 {
        let accounts = config.accounts.iter().flatten();
        let fleet_use: Tokens = accounts.map(|a| ledger.use_tokens_per_s(&a.id)).sum();
        let own_use: f64 = self.accounts.values().map(|holding| holding.use_per_s(now)).sum();
        let even_share = 1.0 / drawing_vm_count;
        if fleet_use == 0 {
            return even_share;
        }
        (own_use / fleet_use as f64).clamp(MIN_SHARE_FRACTION * even_share, 1.0)
    }

    fn build_record(
        &mut self,
        changes: Vec<(ClientAccountId, i64)>,
        is_closed: bool,
        now: Uptime,
        clocks: ClockReading,
    ) -> PlannedRecord {
        self.sequence += 1;
        self.limit_periods.begin(now, self.limits_active_for);
        let role = self.role;
        let has_waiting_request = self.accounts.values().any(|holding| holding.demand_tokens > 0);
        let accounts = self.accounts.iter_mut().map(|(account_id, holding)| {
            let change = changes.iter().find(|(changed, _)| changed == account_id);
            let spending_limit =
                if is_closed { holding.closing_limit() } else { holding.next_limit() };
            holding.pending_limit = Some(spending_limit);
            HeldTokens {
                account_id: account_id.clone(),
                net_drawn_tokens: holding.net_drawn_tokens
                    + change.map_or(0, |(_, change)| *change),
                received_tokens: holding.received_tokens,
                sent_tokens: holding.sent_tokens,
                spent_tokens: holding.settled_tokens + holding.reserved_tokens,
                spending_limit,
                use_tokens_per_s: match role {
                    HolderRole::DrawsForItself | HolderRole::DrawsForOthers => {
                        holding.use_per_s(now) as Tokens
                    }
                    HolderRole::RequestsTokens => 0,
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
            limits_active_for: self.limits_active_for,
            accounts: accounts.collect(),
        };
        PlannedRecord { record, changes, has_waiting_request, planned_at: now }
    }
}
