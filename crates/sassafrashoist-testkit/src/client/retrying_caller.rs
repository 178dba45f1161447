//! A caller that sends one request again, through another VM each time, until it has its outcome.

use std::net::SocketAddr;
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

use eyre::Result;
use tokio::time::Instant;

use super::caller::{Answer, Call, Caller};

/// The wait before another try where no answer names one.
const DEFAULT_WAIT: Duration = Duration::from_millis(50);

/// Where callers reach the VMs, as the platform's balancer knows it.
#[derive(Debug, Clone, Default)]
pub struct AddressBook {
    addresses: Arc<RwLock<Vec<Option<SocketAddr>>>>,
}

impl AddressBook {
    /// Sets the address of a VM; `None` takes it out.
    pub fn set(&self, index: usize, address: Option<SocketAddr>) {
        let mut addresses = self.addresses.write().unwrap_or_else(PoisonError::into_inner);
        if addresses.len() <= index {
            addresses.resize(index + 1, None);
        }
        addresses[index] = address;
    }

    /// Returns the first address from a place on, in turn.
    pub fn pick(&self, turn: usize) -> Option<SocketAddr> {
        let addresses = self.addresses.read().unwrap_or_else(PoisonError::into_inner);
        let count = addresses.len();
        (0..count).find_map(|step| addresses[(turn + step) % count])
    }
}

/// How a caller goes on after a refusal.
#[derive(Debug, Clone, Copy)]
pub struct RetryManner {
    /// The most tries.
    pub max_tries: usize,
    /// The time after which it gives up.
    pub time_limit: Duration,
    /// Whether it waits as long as an answer asks it to.
    pub heeds_retry_after: bool,
}

/// What a caller saw of one request.
#[derive(Debug, Default)]
pub struct Tries {
    /// How often it was sent.
    pub try_count: u64,
    /// The last answer.
    pub last: Option<Answer>,
}

impl Tries {
    /// Returns whether the last answer is a whole success.
    pub fn is_answered(&self) -> bool {
        self.last.as_ref().is_some_and(Answer::is_success)
    }

    /// Returns what the last answer says of a request that has no success; empty for none.
    pub fn outcome(&self) -> &str {
        self.last.as_ref().map_or("", Answer::outcome)
    }
}

/// Sends a request until it is answered with success, or until it makes no sense to go on.
pub async fn post_until_known(
    caller: &Caller,
    book: &AddressBook,
    call: &Call,
    first_turn: usize,
    manner: RetryManner,
) -> Tries {
    let mut tries = Tries::default();
    let deadline = Instant::now() + manner.time_limit;
    for turn in first_turn..first_turn + manner.max_tries {
        let Some(address) = book.pick(turn) else {
            tokio::time::sleep(DEFAULT_WAIT).await;
            continue;
        };
        tries.try_count += 1;
        let answer = caller.at(address).post(call).await;
        let wait = wait_after(&answer, manner);
        if let Ok(answer) = answer {
            tries.last = Some(answer);
        }
        let Some(wait) = wait else {
            break;
        };
        if tries.is_answered() || Instant::now() + wait >= deadline {
            break;
        }
        tokio::time::sleep(wait).await;
    }
    tries
}

/// Returns the wait before another try, or `None` when the answer is final.
fn wait_after(answer: &Result<Answer>, manner: RetryManner) -> Option<Duration> {
    let Ok(answer) = answer else {
        return Some(DEFAULT_WAIT);
    };
    if answer.status == 200 {
        return (!answer.is_whole).then_some(DEFAULT_WAIT);
    }
    let seconds = answer.header("retry-after").parse().ok()?;
    let asked = Duration::from_secs(seconds);
    Some(if manner.heeds_retry_after { asked } else { DEFAULT_WAIT.min(asked) })
}
