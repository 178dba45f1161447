//! A caller that retries a request, through another VM each time, until its outcome is final. It
//! waits between attempts for a fixed time or for that of `Retry-After`, without backoff.

use std::net::SocketAddr;
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

use eyre::Result;
use tokio::time::Instant;

use super::caller::{Caller, CallerRequest, CallerResponse};

/// The delay before a retry where no `retry-after` header sets one.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The address of each running VM for callers, by VM index, as in the platform's load balancer.
#[derive(Debug, Clone, Default)]
pub struct VmAddresses {
    addresses: Arc<RwLock<Vec<Option<SocketAddr>>>>,
}

impl VmAddresses {
    /// Sets the address of a VM; `None` removes it.
    pub fn set(&self, index: usize, address: Option<SocketAddr>) {
        let mut addresses = self.addresses.write().unwrap_or_else(PoisonError::into_inner);
        if addresses.len() <= index {
            addresses.resize(index + 1, None);
        }
        addresses[index] = address;
    }

    /// Returns the first address at or after an index, wrapping around at the end.
    pub fn pick(&self, start: usize) -> Option<SocketAddr> {
        let addresses = self.addresses.read().unwrap_or_else(PoisonError::into_inner);
        let count = addresses.len();
        (0..count).find_map(|step| addresses[(start + step) % count])
    }
}

/// How a caller retries a request.
#[derive(Debug, Clone, Copy)]
pub struct RetryPolicy {
    /// The most attempts.
    pub max_attempts: usize,
    /// The time after which the caller gives up.
    pub time_limit: Duration,
    /// Whether the caller waits for the whole time in the `retry-after` header; otherwise it waits
    /// for at most the default delay.
    pub honors_retry_after: bool,
}

/// The result of one request with its retries.
#[derive(Debug, Default)]
pub struct RetryResult {
    /// How often the request was sent.
    pub attempt_count: u64,
    /// The last response.
    pub last_response: Option<CallerResponse>,
}

impl RetryResult {
    /// Returns whether the last response is successful and complete.
    pub fn is_success(&self) -> bool {
        self.last_response.as_ref().is_some_and(CallerResponse::is_success)
    }

    /// Returns the outcome that the last response reports; empty on success or without a response.
    pub fn outcome(&self) -> &str {
        self.last_response.as_ref().map_or("", CallerResponse::outcome)
    }
}

/// Sends a request, to the next running VM each time, until it succeeds, the response rules out a
/// retry, or the attempts or the time run out.
pub async fn post_with_retries(
    caller: &Caller,
    addresses: &VmAddresses,
    request: &CallerRequest,
    first_index: usize,
    policy: RetryPolicy,
) -> RetryResult {
    let mut result = RetryResult::default();
    let deadline = Instant::now() + policy.time_limit;
    for index in first_index..first_index + policy.max_attempts {
        let Some(address) = addresses.pick(index) else {
            tokio::time::sleep(DEFAULT_RETRY_DELAY).await;
            continue;
        };
        result.attempt_count += 1;
        let response = caller.with_address(address).post(request).await;
        let delay = retry_delay(&response, policy);
        if let Ok(response) = response {
            result.last_response = Some(response);
        }
        let Some(delay) = delay else {
            break;
        };
        if result.is_success() || Instant::now() + delay >= deadline {
            break;
        }
        tokio::time::sleep(delay).await;
    }
    result
}

/// Returns the delay before a retry, or `None` when the response is final.
fn retry_delay(response: &Result<CallerResponse>, policy: RetryPolicy) -> Option<Duration> {
    let Ok(response) = response else {
        return Some(DEFAULT_RETRY_DELAY);
    };
    if response.status == 200 {
        return (!response.is_complete).then_some(DEFAULT_RETRY_DELAY);
    }
    let seconds = response.header("retry-after").parse().ok()?;
    let requested = Duration::from_secs(seconds);
    Some(if policy.honors_retry_after { requested } else { DEFAULT_RETRY_DELAY.min(requested) })
}
