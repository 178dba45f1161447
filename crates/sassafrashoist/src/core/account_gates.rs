//! The limits of client accounts on this VM, apart from their budgets.
//!
//! An account that has used up a limit is refused while the others go on. The limits come from the
//! bundle; a change of them takes effect with the account's next request. The lock is held alone.

use std::collections::HashMap;
use std::num::NonZeroU32;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use governor::clock::{Clock, DefaultClock};
use governor::{DefaultDirectRateLimiter, Quota, RateLimiter};

use super::refusal::Refusal;
use sassafrashoist_bundle::account::{AccountLimits, ClientAccount};
use sassafrashoist_core::ids::{ClientAccountId, Tokens};
use sassafrashoist_core::result_code::ResultCode;

/// The wait suggested to a caller whose account has too much in progress.
const IN_FLIGHT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// What one account has in progress here.
#[derive(Debug)]
struct AccountGate {
    limits: AccountLimits,
    rate: DefaultDirectRateLimiter,
    in_flight_count: u32,
    in_flight_tokens: Tokens,
}

impl AccountGate {
    fn new(limits: &AccountLimits) -> Self {
        Self {
            limits: limits.clone(),
            rate: build_rate(limits),
            in_flight_count: 0,
            in_flight_tokens: 0,
        }
    }

    fn set_limits(&mut self, limits: &AccountLimits) {
        if self.limits.max_requests_per_second != limits.max_requests_per_second {
            self.rate = build_rate(limits);
        }
        self.limits = limits.clone();
    }

    fn try_enter(&mut self, tokens: Tokens) -> Result<(), Refusal> {
        let refuse = |code| Refusal::of(code).retry_after(Some(IN_FLIGHT_RETRY_AFTER));
        if self.in_flight_count >= self.limits.max_requests_in_flight {
            return Err(refuse(ResultCode::AccountRequestLimit));
        }
        let in_flight_tokens = self.in_flight_tokens.saturating_add(tokens);
        if in_flight_tokens > self.limits.max_tokens_in_flight {
            return Err(refuse(ResultCode::AccountTokenLimit));
        }
        if let Err(not_until) = self.rate.check() {
            let wait = not_until.wait_time_from(DefaultClock::default().now());
            return Err(Refusal::of(ResultCode::AccountRateLimit).retry_after(Some(wait)));
        }
        self.in_flight_count += 1;
        self.in_flight_tokens = in_flight_tokens;
        Ok(())
    }
}

/// The limits of all accounts that have sent requests to this VM.
#[derive(Debug, Default)]
pub struct AccountGates {
    gates: Mutex<HashMap<ClientAccountId, AccountGate>>,
}

impl AccountGates {
    /// Counts a request as in progress until the returned pass is dropped.
    ///
    /// # Errors
    ///
    /// Fails with the refusal to answer when a limit of the account is used up.
    pub fn try_enter(
        self: &Arc<Self>,
        account: &ClientAccount,
        tokens: Tokens,
    ) -> Result<AccountPass, Refusal> {
        let mut gates = self.lock();
        let gate =
            gates.entry(account.id.clone()).or_insert_with(|| AccountGate::new(&account.limits));
        gate.set_limits(&account.limits);
        gate.try_enter(tokens)?;
        Ok(AccountPass { gates: Arc::clone(self), account_id: account.id.clone(), tokens })
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<ClientAccountId, AccountGate>> {
        self.gates.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// One request of an account in progress; dropping it makes room for another.
#[derive(Debug)]
pub struct AccountPass {
    gates: Arc<AccountGates>,
    account_id: ClientAccountId,
    tokens: Tokens,
}

impl Drop for AccountPass {
    fn drop(&mut self) {
        if let Some(gate) = self.gates.lock().get_mut(&self.account_id) {
            gate.in_flight_count -= 1;
            gate.in_flight_tokens -= self.tokens;
        }
    }
}

fn build_rate(limits: &AccountLimits) -> DefaultDirectRateLimiter {
    let per_second = NonZeroU32::new(limits.max_requests_per_second).unwrap_or(NonZeroU32::MIN);
    RateLimiter::direct(Quota::per_second(per_second))
}
