//! An open-loop load of appraisals: requests are sent on schedule, whether or not earlier ones have
//! been answered.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::duration_histogram::DurationHistogram;
use crate::client::caller::{Caller, CallerRequest, CallerResponse};
use crate::fleet::fleet_bundle::APPRAISAL_PATH;
use crate::fleet::running_fleet::RunningFleet;

/// Bytes of a document, which are the common prompt prefix of all requests on it.
const DOCUMENT_BYTES: usize = 1_280;
/// Bytes of the question, which differs in each request.
const QUESTION_BYTES: usize = 128;

/// The parameters of a load.
#[derive(Debug, Clone)]
pub struct LoadPlan {
    /// Requests per second.
    pub rate: f64,
    /// How long requests are sent.
    pub duration: Duration,
    /// Documents that requests ask about.
    pub document_count: usize,
    /// Tokens of each response.
    pub output_tokens: u64,
    /// Each priority and its fraction of the requests, in thousandths.
    pub priorities: Vec<(u8, u32)>,
    /// The fraction of each account in the requests, in thousandths, by account index.
    pub accounts: Vec<u32>,
}

/// Counts and times of a group of requests.
#[derive(Debug, Clone, Default)]
pub struct RequestCounts {
    /// Sent.
    pub sent: u64,
    /// Answered completely.
    pub answered: u64,
    /// Refused with the outcome `not-run`.
    pub refused: u64,
    /// Time to the first token of those answered.
    pub first_token: DurationHistogram,
    /// Time to a refusal.
    pub refusal_time: DurationHistogram,
}

/// The results of a load.
#[derive(Debug, Clone, Default)]
pub struct LoadResult {
    /// All requests.
    pub all: RequestCounts,
    /// By priority.
    pub by_priority: BTreeMap<u8, RequestCounts>,
    /// By priority and account index.
    pub by_kind: BTreeMap<(u8, usize), RequestCounts>,
    /// How many responses had each value of `Retry-After`, by seconds.
    pub retry_after_seconds: BTreeMap<u64, u64>,
    /// How long requests were sent.
    pub duration: Duration,
    /// Requests answered completely within that time.
    pub answered_within_duration: u64,
}

/// The attributes by which requests are counted.
#[derive(Debug, Clone, Copy)]
struct RequestKind {
    priority: u8,
    account: usize,
}

/// Generates questions on documents from a seed.
#[derive(Debug)]
pub struct DocumentRequestGenerator {
    random: StdRng,
}

impl DocumentRequestGenerator {
    /// Creates a generator.
    pub fn new(seed: u64) -> Self {
        Self { random: StdRng::seed_from_u64(seed) }
    }

    /// Makes a request whose prompt is a document followed by a random question.
    pub fn make_request(
        &mut self,
        document: usize,
        output_tokens: u64,
        priority: u8,
    ) -> CallerRequest {
        let sheet = format!("Lot sheet {document:05}: iroko, quarter cut. ");
        let sheet = sheet.repeat(DOCUMENT_BYTES / sheet.len() + 1);
        let question = format!("Q{:016x} ", self.random.random::<u64>());
        let question = question.repeat(QUESTION_BYTES / question.len() + 1);
        let body = serde_json::json!({
            "model": "appraiser", "max_tokens": output_tokens, "stream": true,
            "prompt": format!("{}{}", &sheet[..DOCUMENT_BYTES], &question[..QUESTION_BYTES]),
        });
        CallerRequest {
            path: APPRAISAL_PATH.to_owned(),
            body: body.to_string(),
            headers: vec![
                ("x-priority", priority.to_string()),
                ("x-timeout-ms", "5000".to_owned()),
            ],
            ..CallerRequest::default()
        }
    }

    /// Returns a random index with the probabilities that the weights give.
    fn random_index(&mut self, weights: &[u32]) -> usize {
        let mut remaining = self.random.random_range(0..weights.iter().sum());
        for (index, weight) in weights.iter().enumerate() {
            if remaining < *weight {
                return index;
            }
            remaining -= weight;
        }
        0
    }

    /// Returns a random time between two requests of a Poisson process.
    fn random_interarrival_time(&mut self, rate: f64) -> Duration {
        let uniform: f64 = self.random.random_range(f64::EPSILON..1.0);
        Duration::from_secs_f64(-uniform.ln() / rate)
    }
}

/// Sends a load to all VMs and waits for the last response.
///
/// # Errors
///
/// Fails when a VM is not running.
pub async fn send_load(
    fleet: &RunningFleet,
    plan: &LoadPlan,
    seed: u64,
) -> eyre::Result<LoadResult> {
    let callers = build_callers(fleet)?;
    let mut generator = DocumentRequestGenerator::new(seed);
    let priority_weights: Vec<u32> = plan.priorities.iter().map(|(_, weight)| *weight).collect();
    let mut tasks = JoinSet::new();
    let started = Instant::now();
    let mut send_time = started;
    while send_time.duration_since(started) < plan.duration {
        let (priority, _) = plan.priorities[generator.random_index(&priority_weights)];
        let account = generator.random_index(&plan.accounts);
        let document = generator.random.random_range(0..plan.document_count);
        let vm = generator.random.random_range(0..callers.len());
        let request = generator.make_request(document, plan.output_tokens, priority);
        let caller = callers[vm][account].clone();
        tasks.spawn(async move {
            tokio::time::sleep_until(send_time).await;
            let sent_at = Instant::now();
            let response = caller.post(&request).await;
            let time = sent_at.elapsed();
            (RequestKind { priority, account }, response, time, started.elapsed())
        });
        send_time += generator.random_interarrival_time(plan.rate);
    }
    let mut result = LoadResult { duration: plan.duration, ..LoadResult::default() };
    while let Some(finished) = tasks.join_next().await {
        let (kind, response, time, finished_after) = finished?;
        let response = response.unwrap_or_default();
        result.count(kind, &response, time);
        result.answered_within_duration +=
            u64::from(is_success(&response) && finished_after <= plan.duration);
    }
    Ok(result)
}

fn build_callers(fleet: &RunningFleet) -> eyre::Result<Vec<Vec<Caller>>> {
    let mut callers = Vec::new();
    for vm in &fleet.vms {
        let address = vm.caller_address()?;
        let accounts = &fleet.plan.accounts;
        callers.push(
            accounts.iter().map(|account| Caller::new(address, &account.caller_key())).collect(),
        );
    }
    Ok(callers)
}

impl LoadResult {
    fn count(&mut self, kind: RequestKind, response: &CallerResponse, time: Duration) {
        self.all.count(response, time);
        self.by_priority.entry(kind.priority).or_default().count(response, time);
        self.by_kind.entry((kind.priority, kind.account)).or_default().count(response, time);
        if let Ok(seconds) = response.header("retry-after").parse() {
            *self.retry_after_seconds.entry(seconds).or_default() += 1;
        }
    }

    /// Complete responses per second while requests were sent.
    pub fn goodput(&self) -> f64 {
        self.answered_within_duration as f64 / self.duration.as_secs_f64()
    }
}

fn is_success(response: &CallerResponse) -> bool {
    response.status == 200 && response.is_complete
}

impl RequestCounts {
    fn count(&mut self, response: &CallerResponse, time: Duration) {
        self.sent += 1;
        if is_success(response) {
            self.answered += 1;
            self.first_token.record(response.time_to_first_token);
        } else if response.outcome() == "not-run" {
            self.refused += 1;
            self.refusal_time.record(time);
        }
    }

    /// The fraction of the requests that was answered completely.
    pub fn answered_ratio(&self) -> f64 {
        self.answered as f64 / self.sent.max(1) as f64
    }
}
