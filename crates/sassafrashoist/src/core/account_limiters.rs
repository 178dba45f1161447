//! Per-account limits on this VM: the request rate (a token bucket that holds one second's worth of
//! requests), the requests in flight and the tokens in flight.
//!
//! These limits are separate from the token budgets. A request over a limit of its account is
//! refused; other accounts are not affected. The limits come from the bundle, and a change takes
//! effect with the account's next request. No other lock is held together with the lock of this
//! table.

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

/// The retry delay suggested when an account has reached a limit on requests or tokens in flight.
const IN_FLIGHT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The limits of one account and its current use on this VM.
#[derive(Debug)]
struct AccountLimiter {
    limits: AccountLimits,
    rate_limiter: DefaultDirectRateLimiter,
    in_flight_count: u32,
    in_flight_tokens: Tokens,
}

impl AccountLimiter {
    fn new(limits: &AccountLimits) -> Self {
        Self {
            limits: limits.clone(),
            rate_limiter: build_rate_limiter(limits),
            in_flight_count: 0,
            in_flight_tokens: 0,
        }
    }

    fn set_limits(&mut self, limits: &AccountLimits) {
        if self.limits.max_requests_per_second != limits.max_requests_per_second {
            self.rate_limiter = build_rate_limiter(limits);
        }
        self.limits = limits.clone();
    }

    fn try_acquire(&mut self, tokens: Tokens) -> Result<(), Refusal> {
        let refuse = |code| Refusal::of(code).retry_after(Some(IN_FLIGHT_RETRY_AFTER));
        if self.in_flight_count >= self.limits.max_requests_in_flight {
            return Err(refuse(ResultCode::AccountRequestLimit));
        }
        let in_flight_tokens = self.in_flight_tokens.saturating_add(tokens);
        if in_flight_tokens > self.limits.max_tokens_in_flight {
            return Err(refuse(ResultCode::AccountTokenLimit));
        }
        if let Err(not_until) = self.rate_limiter.check() {
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
pub struct AccountLimiters {
    limiters: Mutex<HashMap<ClientAccountId, AccountLimiter>>,
}

impl AccountLimiters {
    /// Counts a request as in flight until the returned permit is dropped.
    ///
    /// # Errors
    ///
    /// Fails with the refusal to send when the request would exceed a limit of the account.
    pub fn try_acquire(
        self: &Arc<Self>,
        account: &ClientAccount,
        tokens: Tokens,
    ) -> Result<AccountPermit, Refusal> {
        let mut limiters = self.lock();
        let limiter = limiters
            .entry(account.id.clone())
            .or_insert_with(|| AccountLimiter::new(&account.limits));
        limiter.set_limits(&account.limits);
        limiter.try_acquire(tokens)?;
        Ok(AccountPermit { limiters: Arc::clone(self), account_id: account.id.clone(), tokens })
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<ClientAccountId, AccountLimiter>> {
        self.limiters.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Counts one request of an account as in flight until it is dropped.
#[derive(Debug)]
pub struct AccountPermit {
    limiters: Arc<AccountLimiters>,
    account_id: ClientAccountId,
    tokens: Tokens,
}

impl Drop for AccountPermit {
    fn drop(&mut self) {
        if let Some(limiter) = self.limiters.lock().get_mut(&self.account_id) {
            limiter.in_flight_count -= 1;
            limiter.in_flight_tokens -= self.tokens;
        }
    }
}

fn build_rate_limiter(limits: &AccountLimits) -> DefaultDirectRateLimiter {
    let per_second = NonZeroU32::new(limits.max_requests_per_second).unwrap_or(NonZeroU32::MIN);
    RateLimiter::direct(Quota::per_second(per_second))
}
