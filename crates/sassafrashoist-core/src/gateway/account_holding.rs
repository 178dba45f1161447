//! The tokens of one account at this incarnation: how many to hold and draw, and its spending
//! limit.

use std::time::Duration;

use super::Uptime;
use super::flow_rate::FlowRate;
use super::limit_periods::LimitAges;
use super::spending_limit::SpendingLimit;
use super::token_ledger::TokenLedger;
use crate::ids::Tokens;

/// The shortest time for which the held tokens should cover the expected use, in seconds.
const MIN_HOLD_S: f64 = 2.0;
/// The longest such time, in seconds; several times as long as the log is usually disconnected.
const MAX_HOLD_S: f64 = 14.0;
/// VMs hold the tokens for this fraction of the time until the account's tokens are exhausted.
const HOLD_FRACTION: f64 = 0.5;
/// Time after which use weighs 1/e in the recent rate, in seconds.
const USE_DECAY_S: f64 = 5.0;
/// The weight of a VM's own use of an account in its expected use. The rest of the weight is on the
/// VM's share of the use of all accounts, which varies much less.
const OWN_USE_WEIGHT: f64 = 0.25;
/// The fraction of an account's tokens that all VMs together draw before its use is known.
const FIRST_DRAW_FRACTION: f64 = 0.35;
/// The largest fraction of the undrawn tokens that a VM holds before the account's use is known.
const MAX_FIRST_UNDRAWN_FRACTION: f64 = 0.1;
/// The smallest fraction of an account's tokens that all VMs together hold while most are undrawn.
const MIN_HELD_FRACTION: f64 = 0.12;
/// The fraction of an account's tokens above which they count as mostly undrawn.
const MOSTLY_UNDRAWN_FRACTION: f64 = 0.5;
/// The largest fraction of the undrawn tokens that one draw takes, unless a request waits for it.
const MAX_DRAW_FRACTION: f64 = 0.34;
/// The fraction of the target below which a VM draws.
const LOW_FRACTION: f64 = 0.75;
/// The multiple of the target above which a VM returns tokens.
const HIGH_FACTOR: f64 = 1.6;
/// The multiple of the target that a VM keeps when it returns tokens.
const KEPT_FACTOR: f64 = 1.1;
/// A spending limit allows at once the use that is expected in this fraction of the time until the
/// account's tokens are exhausted. It bounds the tokens that are stranded if all processes end at
/// once.
const LIMIT_FRACTION: f64 = 0.052;
/// The shortest time whose expected use a spending limit allows at once, in seconds.
const MIN_LIMIT_S: f64 = 0.2;
/// The longest such time, in seconds; about as long as limits are active.
const MAX_LIMIT_S: f64 = 1.7;
/// The fraction of the expected use allowed at once by which a spending limit grows each second.
const LIMIT_GROWTH_PER_S: f64 = 0.4;
/// The number of typical requests whose use a VM that does not draw expects.
const CLIENT_HELD_REQUESTS: f64 = 1.0;
/// The time for whose use a VM that does not draw keeps tokens; longer than it prefetches them for.
const CLIENT_KEPT_S: f64 = 2.0;
/// The number of typical requests whose tokens a VM that does not draw keeps.
const CLIENT_KEPT_REQUESTS: f64 = 2.0;
/// The multiple of the kept tokens above which a VM that does not draw sends the rest to others.
const CLIENT_HIGH_FACTOR: f64 = 2.0;
/// Time after which tokens received for requests weigh 1/e in their recent rate, in seconds.
const RECEIPT_DECAY_S: f64 = 1.0;
/// The weight of one request in the moving average of request sizes.
const SIZE_SAMPLE_WEIGHT: f64 = 0.1;
/// The number of typical requests that a spending limit allows in addition if it allows the use of
/// [`MAX_LIMIT_S`]; proportionally fewer for a shorter time.
const LIMIT_EXTRA_REQUESTS: f64 = 0.7;

/// This VM's share of the fleet.
pub(super) struct FleetShare {
    /// The number of VMs that draw.
    pub(super) drawing_vm_count: f64,
    /// This VM's share of the use of all accounts, including what it sends to its client VMs.
    pub(super) use_share: f64,
    /// Whether this VM draws.
    pub(super) draws_tokens: bool,
}

/// The tokens of one account at this incarnation.
#[derive(Debug, Default)]
pub(super) struct AccountHolding {
    pub(super) net_drawn_tokens: i64,
    pub(super) received_tokens: Tokens,
    pub(super) sent_tokens: Tokens,
    pub(super) settled_tokens: Tokens,
    pub(super) reserved_tokens: Tokens,
    pub(super) returning_tokens: Tokens,
    pub(super) demand_tokens: Tokens,
    pub(super) frozen_tokens: i64,
    pub(super) limit: SpendingLimit,
    pub(super) pending_limit: Option<SpendingLimit>,
    /// When a request last reserved tokens, or tokens were last received for one.
    pub(super) last_active_at: Uptime,
    expected_use_per_s: f64,
    time_to_exhaustion_s: f64,
    typical_request_tokens: f64,
    use_rate: FlowRate,
    receipt_rate: FlowRate,
}

impl AccountHolding {
    /// Returns the tokens drawn or received, minus those returned or sent.
    pub(super) fn obtained_tokens(&self) -> i64 {
        self.net_drawn_tokens + self.received_tokens as i64 - self.sent_tokens as i64
    }

    /// Returns the tokens that are held and neither used, reserved nor about to be returned.
    pub(super) fn available_tokens(&self) -> i64 {
        self.obtained_tokens()
            - self.settled_tokens as i64
            - self.reserved_tokens as i64
            - self.returning_tokens as i64
    }

    /// Returns the tokens that a request may reserve under the active spending limits.
    pub(super) fn spendable_tokens(&self, ages: LimitAges) -> i64 {
        let held = self.available_tokens() - self.frozen_tokens;
        let bound = self.active_limits(ages).map(|(limit, age)| limit.tokens_after(age)).min();
        bound.map_or(held, |bound| held.min(bound as i64 - self.used_or_sent_tokens() as i64))
    }

    /// Returns the time until the spending limits let a request reserve its worst case.
    pub(super) fn time_until_spendable(
        &self,
        worst_case_tokens: Tokens,
        ages: LimitAges,
    ) -> Duration {
        let needed = self.used_or_sent_tokens() + worst_case_tokens;
        let times = self.active_limits(ages).map(|(limit, age)| {
            limit.time_to_reach(needed).map_or(Duration::MAX, |time| time.saturating_sub(age))
        });
        times.max().unwrap_or_default()
    }

    /// Returns the active limits and their ages. The limit of a pending record is active too, since
    /// that record may be in the log.
    fn active_limits(&self, ages: LimitAges) -> impl Iterator<Item = (SpendingLimit, Duration)> {
        let committed = ages.committed.map(|age| (self.limit, age));
        let pending = self.pending_limit.zip(ages.pending);
        committed.into_iter().chain(pending)
    }

    /// Returns the tokens used, sent, or reserved by requests in progress.
    pub(super) fn used_or_sent_tokens(&self) -> Tokens {
        self.sent_tokens + self.settled_tokens + self.reserved_tokens
    }

    /// Returns the spending limit for the next record.
    pub(super) fn next_limit(&self) -> SpendingLimit {
        let limit_s = (LIMIT_FRACTION * self.time_to_exhaustion_s).clamp(MIN_LIMIT_S, MAX_LIMIT_S);
        let allowed_use = limit_s * self.expected_use_per_s
            + LIMIT_EXTRA_REQUESTS * self.typical_request_tokens * limit_s / MAX_LIMIT_S;
        SpendingLimit {
            tokens: self.used_or_sent_tokens() + (allowed_use as Tokens).max(self.demand_tokens),
            growth_tokens_per_s: (LIMIT_GROWTH_PER_S * limit_s * self.expected_use_per_s) as Tokens,
        }
    }

    /// Returns the spending limit for a closing record, after which nothing more is used.
    pub(super) fn closing_limit(&self) -> SpendingLimit {
        SpendingLimit { tokens: self.used_or_sent_tokens(), growth_tokens_per_s: 0 }
    }

    /// Counts tokens as used now.
    pub(super) fn record_use(&mut self, tokens: Tokens, now: Uptime) {
        self.use_rate.add(tokens, USE_DECAY_S, now);
    }

    /// Adopts the rate of use that a previous incarnation recorded.
    pub(super) fn adopt_use_rate(&mut self, tokens_per_s: Tokens, now: Uptime) {
        self.use_rate = FlowRate::adopt(tokens_per_s, USE_DECAY_S, now);
    }

    /// Returns the recent rate of token use.
    pub(super) fn use_per_s(&self, now: Uptime) -> f64 {
        self.use_rate.per_second(USE_DECAY_S, now)
    }

    /// Counts tokens as received now for requests that wait or are expected.
    pub(super) fn record_receipt(&mut self, tokens: Tokens, now: Uptime) {
        self.received_tokens += tokens;
        self.receipt_rate.add(tokens, RECEIPT_DECAY_S, now);
        self.last_active_at = now;
    }

    /// Returns the spendable tokens that a VM that does not draw will not need soon.
    pub(super) fn excess_tokens(&self, ages: LimitAges, now: Uptime) -> Tokens {
        let spendable = self.spendable_tokens(ages).max(0) as Tokens;
        let need_per_s =
            self.use_per_s(now).max(self.receipt_rate.per_second(RECEIPT_DECAY_S, now));
        let kept =
            (CLIENT_KEPT_S * need_per_s).max(CLIENT_KEPT_REQUESTS * self.typical_request_tokens);
        if spendable as f64 > CLIENT_HIGH_FACTOR * kept { spendable - kept as Tokens } else { 0 }
    }

    /// Returns the moving average of the tokens that a request needs.
    pub(super) fn typical_request_tokens(&self) -> f64 {
        self.typical_request_tokens
    }

    /// Adds the tokens that a request needs to the moving average.
    pub(super) fn record_request_size(&mut self, tokens: Tokens) {
        self.typical_request_tokens +=
            SIZE_SAMPLE_WEIGHT * (tokens as f64 - self.typical_request_tokens);
    }

    /// Returns the tokens to draw; negative if tokens are to be returned. Also updates the expected
    /// use, from which the next spending limit follows.
    pub(super) fn plan_change(
        &mut self,
        ledger: &TokenLedger,
        account_id: &str,
        paid_tokens: Tokens,
        fleet: &FleetShare,
        now: Uptime,
    ) -> i64 {
        let undrawn = paid_tokens as i64 - ledger.net_drawn_tokens(account_id);
        let fleet_use = ledger.use_tokens_per_s(account_id) as f64;
        let own_use = self.use_per_s(now);
        let expected_use =
            OWN_USE_WEIGHT * own_use + (1.0 - OWN_USE_WEIGHT) * fleet_use * fleet.use_share;
        let even_share = paid_tokens as f64 / fleet.drawing_vm_count;
        let is_mostly_undrawn = undrawn as f64 > MOSTLY_UNDRAWN_FRACTION * paid_tokens as f64;
        let min_target = if is_mostly_undrawn { MIN_HELD_FRACTION * even_share } else { 0.0 };
        let is_unused = fleet_use < 1.0 && own_use < 1.0;
        let unspent_tokens = paid_tokens.saturating_sub(ledger.spent_tokens(account_id));
        self.time_to_exhaustion_s = unspent_tokens as f64 / fleet_use.max(1.0);
        let target = if is_unused {
            (FIRST_DRAW_FRACTION * even_share)
                .min(MAX_FIRST_UNDRAWN_FRACTION * undrawn.max(0) as f64)
        } else {
            let hold_s = (HOLD_FRACTION * self.time_to_exhaustion_s).clamp(MIN_HOLD_S, MAX_HOLD_S);
            (hold_s * expected_use).max(min_target)
        };
        let target = if fleet.draws_tokens {
            target
        } else {
            CLIENT_HELD_REQUESTS * self.typical_request_tokens
        };
        self.expected_use_per_s = if is_unused { target / MAX_HOLD_S } else { expected_use };
        let available = self.available_tokens();
        if undrawn < 0 {
            return undrawn.max(-available.max(0));
        }
        if !fleet.draws_tokens {
            // A record that moves tokens has to be planned anew after each append of another VM.
            return 0;
        }
        let demand = self.demand_tokens as i64;
        if available < demand || (available as f64) < LOW_FRACTION * target {
            let missing = (target as i64 - available).max(demand - available);
            let max_draw = (undrawn as f64 * MAX_DRAW_FRACTION) as i64;
            let drawn = missing.min(max_draw.max(demand)).clamp(0, undrawn);
            return if ledger.is_fully_readable() { drawn } else { 0 };
        }
        if available as f64 > HIGH_FACTOR * target.max(demand as f64) {
            return (KEPT_FACTOR * target) as i64 - available;
        }
        0
    }
}
