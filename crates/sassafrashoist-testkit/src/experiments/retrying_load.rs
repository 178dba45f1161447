//! A load of appraisals and bids with idempotency keys whose callers retry, and the check of its
//! results and bills.

use std::collections::BTreeMap;
use std::time::Duration;

use futures::stream::{self, StreamExt};
use sassafrashoist_core::ids::Tokens;
use sassafrashoist_core::invariants::Invariant;
use tokio::time::Instant;

use super::load::{Appraisal, RequestGenerator, ResponseCheck, check_appraisal};
use super::report::ExperimentReport;
use crate::client::caller::{Caller, CallerRequest, CallerResponse};
use crate::client::retrying_caller::{RetryPolicy, RetryResult, VmAddresses, post_with_retries};
use crate::fleet::audit::{Audit, sum_budgets};
use crate::fleet::running_fleet::RunningFleet;

/// The longest wait for the last settlements.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(3);
/// Time between two polls of the budget sums.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A request with an idempotency key.
#[derive(Debug, Clone)]
pub enum KeyedRequest {
    /// A streamed appraisal.
    Appraisal(Appraisal),
    /// A bid.
    Bid(CallerRequest),
}

impl KeyedRequest {
    fn caller_request(&self) -> &CallerRequest {
        match self {
            KeyedRequest::Appraisal(appraisal) => &appraisal.request,
            KeyedRequest::Bid(request) => request,
        }
    }
}

/// Makes requests, of which every fourth is a bid and the others are appraisals.
pub fn make_keyed_requests(
    generator: &mut RequestGenerator,
    count: usize,
    max_tokens: u64,
) -> Vec<KeyedRequest> {
    (0..count)
        .map(|number| {
            if number % 4 == 3 {
                return KeyedRequest::Bid(generator.make_bid());
            }
            let mut appraisal = generator.make_appraisal(max_tokens);
            appraisal.request.idempotency_key = Some(format!("appraisal-{number}"));
            KeyedRequest::Appraisal(appraisal)
        })
        .collect()
}

/// Sends all requests with limited concurrency, each until its outcome is known or its caller
/// gives up.
pub async fn send_keyed_requests(
    caller: Caller,
    addresses: VmAddresses,
    requests: Vec<KeyedRequest>,
    concurrency: usize,
    retry_policy: RetryPolicy,
) -> Vec<RetryResult> {
    stream::iter(requests.into_iter().enumerate())
        .map(|(index, request)| {
            let (caller, addresses) = (caller.clone(), addresses.clone());
            async move {
                post_with_retries(
                    &caller,
                    &addresses,
                    request.caller_request(),
                    index,
                    retry_policy,
                )
                .await
            }
        })
        .buffered(concurrency)
        .collect()
        .await
}

/// Checks the callers' results against the executions that the plain services counted and the bills
/// of the budget owners.
pub async fn check_results(
    fleet: &RunningFleet,
    requests: &[KeyedRequest],
    results: &[RetryResult],
    report: &mut ExperimentReport,
) -> Audit {
    let execution_counts = sum_execution_counts(fleet);
    let mut audit = Audit::default();
    let mut expected_tokens = 0;
    let mut unknown_count = 0_u64;
    let mut attempt_count = 0;
    for (request, result) in requests.iter().zip(results) {
        attempt_count += result.attempt_count;
        report.answered += u64::from(result.is_success());
        unknown_count += u64::from(result.outcome() == "unknown");
        expected_tokens += match request {
            KeyedRequest::Appraisal(appraisal) => {
                check_one_appraisal(appraisal, result, &mut audit)
            }
            KeyedRequest::Bid(request) => {
                check_one_bid(fleet, request, result, &execution_counts, &mut audit)
            }
        };
    }
    report.requests += requests.len() as u64;
    report.set("tries", attempt_count);
    report.set("unknown", unknown_count);
    report.set("expected_tokens", expected_tokens);
    check_bills(fleet, expected_tokens, &mut audit, report).await;
    let totals = Audit::collect(fleet);
    for invariant in Invariant::ALL {
        audit.add(invariant, totals.violations[invariant.name()]);
    }
    report.record_audit(&audit);
    audit
}

fn check_one_appraisal(appraisal: &Appraisal, result: &RetryResult, audit: &mut Audit) -> Tokens {
    let Some(last) = &result.last_response else {
        return 0;
    };
    match check_appraisal(appraisal, &Ok(last.clone())) {
        ResponseCheck::Correct => last.used_tokens,
        ResponseCheck::Truncated => {
            audit.add(Invariant::CutAnswers, 1);
            0
        }
        ResponseCheck::Mismatched => {
            audit.add(Invariant::CrossedAnswers, 1);
            0
        }
        ResponseCheck::Failed => 0,
    }
}

fn check_one_bid(
    fleet: &RunningFleet,
    request: &CallerRequest,
    result: &RetryResult,
    execution_counts: &BTreeMap<String, u32>,
    audit: &mut Audit,
) -> Tokens {
    let account_id = &fleet.plan.accounts[0].id;
    let idempotency_key = request.idempotency_key.as_deref().unwrap_or_default();
    let execution_count =
        execution_counts.get(&format!("{account_id}/{idempotency_key}")).copied().unwrap_or(0);
    if result.outcome() == "not-run" && execution_count > 0 {
        audit.add(Invariant::FalseNotRun, 1);
    }
    if result.last_response.as_ref().is_some_and(CallerResponse::is_success) && execution_count == 0
    {
        audit.add(Invariant::CrossedAnswers, 1);
    }
    if result.is_success() { fleet.plan.bid_price_tokens } else { 0 }
}

/// Compares the settled tokens with those of the answered requests: more counts as a double bill;
/// fewer, even with the reserved tokens added, counts as unbilled.
async fn check_bills(
    fleet: &RunningFleet,
    expected_tokens: Tokens,
    audit: &mut Audit,
    report: &mut ExperimentReport,
) {
    let deadline = Instant::now() + SETTLE_TIMEOUT;
    let budget_id = fleet.plan.accounts[0].budget_id();
    loop {
        let sums = sum_budgets(fleet).get(&budget_id).copied().unwrap_or_default();
        let is_timed_out = Instant::now() >= deadline;
        if sums.settled_tokens != expected_tokens && !is_timed_out {
            tokio::time::sleep(POLL_INTERVAL).await;
            continue;
        }
        report.set("settled_tokens", sums.settled_tokens);
        report.set("reserved_at_end_tokens", sums.reserved_tokens);
        if sums.settled_tokens > expected_tokens {
            audit.add(Invariant::DoubleBills, 1);
        }
        if sums.settled_tokens + sums.reserved_tokens < expected_tokens {
            audit.add(Invariant::Unbilled, 1);
        }
        return;
    }
}

fn sum_execution_counts(fleet: &RunningFleet) -> BTreeMap<String, u32> {
    let mut counts = BTreeMap::new();
    for service in &fleet.services {
        for (key, count) in service.stand_in.execution_counts() {
            *counts.entry(key).or_default() += count;
        }
    }
    counts
}
