//! Requests of the sample workload, and the check of their responses.
//!
//! An appraisal is a request to a model; a bid is a request to a plain service.

use eyre::Result;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::client::caller::{CallerRequest, CallerResponse};
use crate::engine::response_tokens::response_text;
use crate::fleet::fleet_bundle::{APPRAISAL_PATH, BID_PATH};

/// A streamed model request, with what determines its expected response.
#[derive(Debug, Clone)]
pub struct Appraisal {
    /// The request.
    pub request: CallerRequest,
    /// The prompt.
    pub prompt: String,
    /// The number of tokens of the response.
    pub output_tokens: u64,
}

/// Generates requests from a seed.
#[derive(Debug)]
pub struct RequestGenerator {
    random: StdRng,
    made_count: u64,
}

impl RequestGenerator {
    /// Creates a generator.
    pub fn new(seed: u64) -> Self {
        Self { random: StdRng::seed_from_u64(seed), made_count: 0 }
    }

    /// Makes a streamed appraisal whose response has from 1 to `max_tokens` tokens.
    pub fn make_appraisal(&mut self, max_tokens: u64) -> Appraisal {
        self.made_count += 1;
        let lot: u32 = self.random.random_range(1..500);
        let prompt = format!("Appraise lot {lot}, note {}: iroko, slight shake.", self.made_count);
        let output_tokens = self.random.random_range(1..=max_tokens);
        let body = serde_json::json!({
            "model": "appraiser", "prompt": prompt,
            "max_tokens": output_tokens, "stream": true,
        });
        let request = CallerRequest {
            path: APPRAISAL_PATH.to_owned(),
            body: body.to_string(),
            ..CallerRequest::default()
        };
        Appraisal { request, prompt, output_tokens }
    }

    /// Makes a bid with a unique idempotency key.
    pub fn make_bid(&mut self) -> CallerRequest {
        self.made_count += 1;
        let lot: u32 = self.random.random_range(1..500);
        CallerRequest {
            path: BID_PATH.to_owned(),
            body: format!(r#"{{"lot":{lot},"bid":{}}}"#, self.made_count),
            idempotency_key: Some(format!(
                "bid-{}-{}",
                self.made_count,
                self.random.random::<u32>()
            )),
            ..CallerRequest::default()
        }
    }

    /// Returns a random number below a bound.
    pub fn random_below(&mut self, bound: usize) -> usize {
        self.random.random_range(0..bound)
    }
}

/// The verdict on the response to an appraisal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseCheck {
    /// Complete, with the expected text.
    Correct,
    /// Claims to be complete, but lacks the end of the expected text.
    Truncated,
    /// Has text that is not part of the expected response.
    Mismatched,
    /// An error or a response that does not claim to be complete.
    Failed,
}

/// Compares a response with the only correct one.
pub fn check_appraisal(appraisal: &Appraisal, response: &Result<CallerResponse>) -> ResponseCheck {
    let Ok(response) = response else {
        return ResponseCheck::Failed;
    };
    let expected = response_text(&appraisal.prompt, appraisal.output_tokens);
    if !expected.starts_with(&response.text) {
        return ResponseCheck::Mismatched;
    }
    match (response.status, response.is_complete, response.text == expected) {
        (200, true, true) => ResponseCheck::Correct,
        (200, true, false) => ResponseCheck::Truncated,
        _ => ResponseCheck::Failed,
    }
}
