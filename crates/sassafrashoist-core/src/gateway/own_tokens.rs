//! The tokens of one account at this run: how many to hold, to draw, and to leave room for.

use std::time::Duration;

use super::Uptime;
use super::flow_rate::FlowRate;
use super::mark_times::MarkAges;
use super::spending_mark::SpendingMark;
use super::token_ledger::TokenLedger;
use crate::ids::Tokens;

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
/// The part of the time for which the account's tokens last that marks leave room for at once: what
/// the end of all processes at once may strand.
const MARK_PART: f64 = 0.052;
/// The least time of use that marks leave room for at once, in seconds.
const LEAST_MARK_S: f64 = 0.2;
/// The longest such time, in seconds; about as long as marks bind.
const MOST_MARK_S: f64 = 1.7;
/// The part of the room by which marks grow each second.
const MARK_GROWTH_PER_S: f64 = 0.4;
/// The usual requests that a VM that does not draw may hold.
const ASKED_REQUESTS: f64 = 1.0;
/// The weight of one request in the usual size of requests.
const SIZE_SAMPLE_WEIGHT: f64 = 0.1;
/// The usual requests for which a mark leaves room besides, if it leaves room for the longest time.
const MARKED_REQUESTS: f64 = 0.7;

/// This VM among all.
pub(super) struct FleetShare {
    /// The VMs that draw.
    pub(super) vm_count: f64,
    /// Its part of the use of all accounts, with that of the VMs that ask it.
    pub(super) own_part: f64,
    /// Whether it draws.
    pub(super) is_bank: bool,
}

/// The tokens of one account at this run.
#[derive(Debug, Default)]
pub(super) struct OwnTokens {
    pub(super) granted_tokens: i64,
    pub(super) received_tokens: Tokens,
    pub(super) given_tokens: Tokens,
    pub(super) settled_tokens: Tokens,
    pub(super) reserved_tokens: Tokens,
    pub(super) returning_tokens: Tokens,
    pub(super) wanted_tokens: Tokens,
    pub(super) frozen_tokens: i64,
    pub(super) mark: SpendingMark,
    pub(super) pending_mark: Option<SpendingMark>,
    /// When a request last reserved tokens, or some came for one.
    pub(super) active_at: Uptime,
    expected_use: f64,
    left_s: f64,
    usual_tokens: f64,
    use_rate: FlowRate,
}

impl OwnTokens {
    /// Returns the tokens that are held and neither used nor promised.
    pub(super) fn available_tokens(&self) -> i64 {
        self.granted_tokens + self.received_tokens as i64
            - self.given_tokens as i64
            - self.settled_tokens as i64
            - self.reserved_tokens as i64
            - self.returning_tokens as i64
    }

    /// Returns the tokens that a request may reserve.
    pub(super) fn spendable_tokens(&self, ages: MarkAges) -> i64 {
        let held = self.available_tokens() - self.frozen_tokens;
        let bound = self.binding_marks(ages).map(|(mark, age)| mark.after(age)).min();
        bound.map_or(held, |bound| held.min(bound as i64 - self.used_tokens() as i64))
    }

    /// Returns the time until the marks let a request reserve its worst case.
    pub(super) fn time_to_spendable(&self, worst_case_tokens: Tokens, ages: MarkAges) -> Duration {
        let needed = self.used_tokens() + worst_case_tokens;
        let times = self.binding_marks(ages).map(|(mark, age)| {
            mark.time_to(needed).map_or(Duration::MAX, |time| time.saturating_sub(age))
        });
        times.max().unwrap_or_default()
    }

    /// Returns the marks that bind and their ages. A record in doubt may be in the log, so its mark
    /// binds too.
    fn binding_marks(&self, ages: MarkAges) -> impl Iterator<Item = (SpendingMark, Duration)> {
        let committed = ages.committed.map(|age| (self.mark, age));
        let pending = self.pending_mark.zip(ages.pending);
        committed.into_iter().chain(pending)
    }

    /// Returns the tokens used, given, or reserved by requests in progress.
    pub(super) fn used_tokens(&self) -> Tokens {
        self.given_tokens + self.settled_tokens + self.reserved_tokens
    }

    /// Returns the mark for the next record.
    pub(super) fn next_mark(&self) -> SpendingMark {
        let mark_s = (MARK_PART * self.left_s).clamp(LEAST_MARK_S, MOST_MARK_S);
        let usual_use =
            mark_s * self.expected_use + MARKED_REQUESTS * self.usual_tokens * mark_s / MOST_MARK_S;
        SpendingMark {
            tokens: self.used_tokens() + (usual_use as Tokens).max(self.wanted_tokens),
            growth_tokens_per_s: (MARK_GROWTH_PER_S * mark_s * self.expected_use) as Tokens,
        }
    }

    /// Returns the mark of a run that uses nothing more.
    pub(super) fn last_mark(&self) -> SpendingMark {
        SpendingMark { tokens: self.used_tokens(), growth_tokens_per_s: 0 }
    }

    /// Counts tokens as used now.
    pub(super) fn record_use(&mut self, tokens: Tokens, now: Uptime) {
        self.use_rate.add(tokens, USE_DECAY_S, now);
    }

    /// Takes over a rate of use that was known before.
    pub(super) fn adopt_use(&mut self, tokens_per_s: Tokens, now: Uptime) {
        self.use_rate = FlowRate::adopt(tokens_per_s, USE_DECAY_S, now);
    }

    /// Returns the tokens used a second of late.
    pub(super) fn use_per_s(&self, now: Uptime) -> f64 {
        self.use_rate.per_second(USE_DECAY_S, now)
    }

    /// Returns the usual size of a request.
    pub(super) fn usual_tokens(&self) -> f64 {
        self.usual_tokens
    }

    /// Learns the usual size of a request.
    pub(super) fn record_size(&mut self, tokens: Tokens) {
        self.usual_tokens += SIZE_SAMPLE_WEIGHT * (tokens as f64 - self.usual_tokens);
    }

    /// Plans the tokens to draw, or to hand back if negative.
    pub(super) fn plan_change(
        &mut self,
        ledger: &TokenLedger,
        account_id: &str,
        paid_tokens: Tokens,
        fleet: &FleetShare,
        now: Uptime,
    ) -> i64 {
        let undrawn = paid_tokens as i64 - ledger.granted_tokens(account_id);
        let fleet_use = ledger.use_tokens_per_s(account_id) as f64;
        let own_use = self.use_per_s(now);
        let expected_use =
            OWN_USE_WEIGHT * own_use + (1.0 - OWN_USE_WEIGHT) * fleet_use * fleet.own_part;
        let share = paid_tokens as f64 / fleet.vm_count;
        let is_plenty = undrawn as f64 > MOSTLY_UNDRAWN_PART * paid_tokens as f64;
        let least = if is_plenty { LEAST_HELD_PART * share } else { 0.0 };
        let is_unused = fleet_use < 1.0 && own_use < 1.0;
        let left_tokens = paid_tokens.saturating_sub(ledger.spent_tokens(account_id));
        self.left_s = left_tokens as f64 / fleet_use.max(1.0);
        let target = if is_unused {
            (FIRST_DRAW_PART * share).min(FIRST_UNDRAWN_PART * undrawn.max(0) as f64)
        } else {
            let hold_s = (HOLD_PART * self.left_s).clamp(LEAST_HOLD_S, MOST_HOLD_S);
            (hold_s * expected_use).max(least)
        };
        let target = if fleet.is_bank { target } else { ASKED_REQUESTS * self.usual_tokens };
        self.expected_use = if is_unused { target / MOST_HOLD_S } else { expected_use };
        let available = self.available_tokens();
        if undrawn < 0 {
            return undrawn.max(-available.max(0));
        }
        let wanted = self.wanted_tokens as i64;
        if fleet.is_bank && (available < wanted || (available as f64) < LOW_PART * target) {
            let missing = (target as i64 - available).max(wanted - available);
            let fair = (undrawn as f64 * MAX_DRAW_PART) as i64;
            let drawn = missing.min(fair.max(wanted)).clamp(0, undrawn);
            return if ledger.is_readable() { drawn } else { 0 };
        }
        if available as f64 > HIGH_PART * target.max(wanted as f64) {
            return (KEPT_PART * target) as i64 - available;
        }
        0
    }
}
