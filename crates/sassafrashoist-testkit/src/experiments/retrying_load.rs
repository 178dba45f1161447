//! A load of keyed appraisals and bids whose callers try again, and the check of what became of it.

use std::collections::BTreeMap;
use std::time::Duration;

use futures::stream::{self, StreamExt};
use sassafrashoist_core::ids::Tokens;
use sassafrashoist_core::invariants::Invariant;
use tokio::time::Instant;

use super::load::{AnswerCheck, Appraisal, RequestMaker, check_appraisal};
use super::report::ExperimentReport;
use crate::client::caller::{Answer, Call, Caller};
use crate::client::retrying_caller::{AddressBook, RetryManner, Tries, post_until_known};
use crate::fleet::audit::{Audit, sum_budgets};
use crate::fleet::running_fleet::RunningFleet;

/// The longest that the last settlements may take.
const SETTLE_BOUND: Duration = Duration::from_secs(3);
/// Time between two looks at the sums.
const LOOK_INTERVAL: Duration = Duration::from_millis(20);

/// One request of the load.
#[derive(Debug, Clone)]
pub enum LoadItem {
    /// A streamed appraisal with a key.
    Appraisal(Appraisal),
    /// A bid.
    Bid(Call),
}

impl LoadItem {
    fn call(&self) -> &Call {
        match self {
            LoadItem::Appraisal(appraisal) => &appraisal.call,
            LoadItem::Bid(call) => call,
        }
    }
}

/// Makes appraisals with keys, and a bid after every third.
pub fn make_items(maker: &mut RequestMaker, count: usize, max_tokens: u64) -> Vec<LoadItem> {
    (0..count)
        .map(|number| {
            if number % 4 == 3 {
                return LoadItem::Bid(maker.make_bid());
            }
            let mut appraisal = maker.make_appraisal(max_tokens);
            appraisal.call.idempotency_key = Some(format!("appraisal-{number}"));
            LoadItem::Appraisal(appraisal)
        })
        .collect()
}

/// Sends all items, some at once, each until its outcome is known.
pub async fn send_items(
    caller: Caller,
    book: AddressBook,
    items: Vec<LoadItem>,
    concurrency: usize,
    manner: RetryManner,
) -> Vec<Tries> {
    stream::iter(items.into_iter().enumerate())
        .map(|(turn, item)| {
            let (caller, book) = (caller.clone(), book.clone());
            async move { post_until_known(&caller, &book, item.call(), turn, manner).await }
        })
        .buffered(concurrency)
        .collect()
        .await
}

/// Checks what callers saw against what the stand-ins and the owners know.
pub async fn check_items(
    fleet: &RunningFleet,
    items: &[LoadItem],
    tries: &[Tries],
    report: &mut ExperimentReport,
) -> Audit {
    let runs = runs_by_key(fleet);
    let mut audit = Audit::default();
    let mut expected_tokens = 0;
    let mut unknown_count = 0_u64;
    let mut try_count = 0;
    for (item, seen) in items.iter().zip(tries) {
        try_count += seen.try_count;
        report.answered += u64::from(seen.is_answered());
        unknown_count += u64::from(seen.outcome() == "unknown");
        expected_tokens += match item {
            LoadItem::Appraisal(appraisal) => check_one_appraisal(appraisal, seen, &mut audit),
            LoadItem::Bid(call) => check_one_bid(fleet, call, seen, &runs, &mut audit),
        };
    }
    report.requests += items.len() as u64;
    report.set("tries", try_count);
    report.set("unknown", unknown_count);
    report.set("expected_tokens", expected_tokens);
    check_bills(fleet, expected_tokens, &mut audit, report).await;
    let taken = Audit::take(fleet);
    for promise in Invariant::ALL {
        audit.add(promise, taken.promises[promise.name()]);
    }
    report.take_audit(&audit);
    audit
}

fn check_one_appraisal(appraisal: &Appraisal, seen: &Tries, audit: &mut Audit) -> Tokens {
    let Some(last) = &seen.last else {
        return 0;
    };
    match check_appraisal(appraisal, &Ok(last.clone())) {
        AnswerCheck::Right => last.used_tokens,
        AnswerCheck::Cut => {
            audit.add(Invariant::CutAnswers, 1);
            0
        }
        AnswerCheck::Crossed => {
            audit.add(Invariant::CrossedAnswers, 1);
            0
        }
        AnswerCheck::Refused => 0,
    }
}

fn check_one_bid(
    fleet: &RunningFleet,
    call: &Call,
    seen: &Tries,
    runs: &BTreeMap<String, u32>,
    audit: &mut Audit,
) -> Tokens {
    let account_id = &fleet.plan.accounts[0].id;
    let caller_key = call.idempotency_key.as_deref().unwrap_or_default();
    let run_count = runs.get(&format!("{account_id}/{caller_key}")).copied().unwrap_or(0);
    if seen.outcome() == "not-run" && run_count > 0 {
        audit.add(Invariant::FalseNotRun, 1);
    }
    if seen.last.as_ref().is_some_and(Answer::is_success) && run_count == 0 {
        audit.add(Invariant::CrossedAnswers, 1);
    }
    if seen.is_answered() { fleet.plan.bid_price_tokens } else { 0 }
}

/// Compares the bills with the answers: more is a double bill, less than reserved is unbilled.
async fn check_bills(
    fleet: &RunningFleet,
    expected_tokens: Tokens,
    audit: &mut Audit,
    report: &mut ExperimentReport,
) {
    let deadline = Instant::now() + SETTLE_BOUND;
    let budget_id = fleet.plan.accounts[0].budget_id();
    loop {
        let sums = sum_budgets(fleet).get(&budget_id).copied().unwrap_or_default();
        let is_late = Instant::now() >= deadline;
        if sums.settled_tokens != expected_tokens && !is_late {
            tokio::time::sleep(LOOK_INTERVAL).await;
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

fn runs_by_key(fleet: &RunningFleet) -> BTreeMap<String, u32> {
    let mut runs = BTreeMap::new();
    for service in &fleet.services {
        for (key, count) in service.stand_in.runs_by_key() {
            *runs.entry(key).or_default() += count;
        }
    }
    runs
}
