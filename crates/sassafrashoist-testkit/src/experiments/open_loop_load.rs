//! An open load of appraisals: requests come at their times whether or not others were answered.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::percentiles::Percentiles;
use crate::client::caller::{Answer, Call, Caller};
use crate::fleet::fleet_bundle::APPRAISAL_PATH;
use crate::fleet::running_fleet::RunningFleet;

/// Bytes that all requests on one document share.
const DOCUMENT_BYTES: usize = 1_280;
/// Bytes of a request's own question.
const QUESTION_BYTES: usize = 128;

/// What a load is made of.
#[derive(Debug, Clone)]
pub struct LoadPlan {
    /// Requests a second.
    pub rate: f64,
    /// How long requests are sent.
    pub duration: Duration,
    /// Documents that requests ask about.
    pub document_count: usize,
    /// Tokens of each answer.
    pub answer_tokens: u64,
    /// Each priority and its part of the requests, in thousandths.
    pub priorities: Vec<(u8, u32)>,
    /// The part of each account in the requests, in thousandths, by index.
    pub accounts: Vec<u32>,
}

/// What became of the requests of one kind.
#[derive(Debug, Clone, Default)]
pub struct LoadCount {
    /// Sent.
    pub sent: u64,
    /// Answered whole.
    pub answered: u64,
    /// Refused as not run.
    pub refused: u64,
    /// Time to the first token of those answered.
    pub first_token: Percentiles,
    /// Time to a refusal.
    pub refusal_time: Percentiles,
}

/// What became of a load.
#[derive(Debug, Clone, Default)]
pub struct LoadResult {
    /// All requests.
    pub all: LoadCount,
    /// By priority.
    pub by_priority: BTreeMap<u8, LoadCount>,
    /// By priority and account index.
    pub by_kind: BTreeMap<(u8, usize), LoadCount>,
    /// How often each `Retry-After` was given, by seconds.
    pub retry_seconds: BTreeMap<u64, u64>,
    /// How long requests were sent.
    pub duration: Duration,
    /// Requests answered whole within that time.
    pub answered_in_time: u64,
}

/// One request of a load.
#[derive(Debug, Clone, Copy)]
struct Kind {
    priority: u8,
    account: usize,
}

/// Makes documents and questions from a seed.
#[derive(Debug)]
pub struct DocumentMaker {
    random: StdRng,
}

impl DocumentMaker {
    /// Creates a maker.
    pub fn new(seed: u64) -> Self {
        Self { random: StdRng::seed_from_u64(seed) }
    }

    /// Makes a question on a document.
    pub fn make_call(&mut self, document: usize, answer_tokens: u64, priority: u8) -> Call {
        let sheet = format!("Lot sheet {document:05}: iroko, quarter cut. ");
        let sheet = sheet.repeat(DOCUMENT_BYTES / sheet.len() + 1);
        let question = format!("Q{:016x} ", self.random.random::<u64>());
        let question = question.repeat(QUESTION_BYTES / question.len() + 1);
        let body = serde_json::json!({
            "model": "appraiser", "max_tokens": answer_tokens, "stream": true,
            "prompt": format!("{}{}", &sheet[..DOCUMENT_BYTES], &question[..QUESTION_BYTES]),
        });
        Call {
            path: APPRAISAL_PATH.to_owned(),
            body: body.to_string(),
            headers: vec![
                ("x-priority", priority.to_string()),
                ("x-timeout-ms", "5000".to_owned()),
            ],
            ..Call::default()
        }
    }

    fn draw(&mut self, weights: &[u32]) -> usize {
        let mut drawn = self.random.random_range(0..weights.iter().sum());
        for (index, weight) in weights.iter().enumerate() {
            if drawn < *weight {
                return index;
            }
            drawn -= weight;
        }
        0
    }

    /// Draws the time to the next request of a Poisson process.
    fn draw_gap(&mut self, rate: f64) -> Duration {
        let uniform: f64 = self.random.random_range(f64::EPSILON..1.0);
        Duration::from_secs_f64(-uniform.ln() / rate)
    }
}

/// Sends a load to all VMs and waits for its last answer.
///
/// # Errors
///
/// Fails when a VM does not run.
pub async fn send_load(
    fleet: &RunningFleet,
    plan: &LoadPlan,
    seed: u64,
) -> eyre::Result<LoadResult> {
    let callers = build_callers(fleet)?;
    let mut maker = DocumentMaker::new(seed);
    let priority_weights: Vec<u32> = plan.priorities.iter().map(|(_, weight)| *weight).collect();
    let mut tasks = JoinSet::new();
    let started = Instant::now();
    let mut due = started;
    while due.duration_since(started) < plan.duration {
        let (priority, _) = plan.priorities[maker.draw(&priority_weights)];
        let account = maker.draw(&plan.accounts);
        let document = maker.random.random_range(0..plan.document_count);
        let vm = maker.random.random_range(0..callers.len());
        let call = maker.make_call(document, plan.answer_tokens, priority);
        let caller = callers[vm][account].clone();
        tasks.spawn(async move {
            tokio::time::sleep_until(due).await;
            let sent_at = Instant::now();
            let answer = caller.post(&call).await;
            let time = sent_at.elapsed();
            (Kind { priority, account }, answer, time, started.elapsed())
        });
        due += maker.draw_gap(plan.rate);
    }
    let mut result = LoadResult { duration: plan.duration, ..LoadResult::default() };
    while let Some(ended) = tasks.join_next().await {
        let (kind, answer, time, ended_at) = ended?;
        let answer = answer.unwrap_or_default();
        result.count(kind, &answer, time);
        result.answered_in_time += u64::from(is_answered(&answer) && ended_at <= plan.duration);
    }
    Ok(result)
}

fn build_callers(fleet: &RunningFleet) -> eyre::Result<Vec<Vec<Caller>>> {
    let mut callers = Vec::new();
    for vm in &fleet.vms {
        let address = vm.caller_address()?;
        let accounts = &fleet.plan.accounts;
        callers.push(accounts.iter().map(|a| Caller::new(address, &a.caller_key())).collect());
    }
    Ok(callers)
}

impl LoadResult {
    fn count(&mut self, kind: Kind, answer: &Answer, time: Duration) {
        self.all.count(answer, time);
        self.by_priority.entry(kind.priority).or_default().count(answer, time);
        self.by_kind.entry((kind.priority, kind.account)).or_default().count(answer, time);
        if let Ok(seconds) = answer.header("retry-after").parse() {
            *self.retry_seconds.entry(seconds).or_default() += 1;
        }
    }

    /// Answers per second while requests were sent.
    pub fn goodput(&self) -> f64 {
        self.answered_in_time as f64 / self.duration.as_secs_f64()
    }
}

fn is_answered(answer: &Answer) -> bool {
    answer.status == 200 && answer.is_whole
}

impl LoadCount {
    fn count(&mut self, answer: &Answer, time: Duration) {
        self.sent += 1;
        if is_answered(answer) {
            self.answered += 1;
            self.first_token.record(answer.first_token_time);
        } else if answer.outcome() == "not-run" {
            self.refused += 1;
            self.refusal_time.record(time);
        }
    }

    /// The part of the requests that was answered.
    pub fn answered_ratio(&self) -> f64 {
        self.answered as f64 / self.sent.max(1) as f64
    }
}
