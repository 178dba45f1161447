//! Requests of the usual kinds and the checks of their answers.

use eyre::Result;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::client::caller::{Call, CallerResponse};
use crate::engine::response_tokens::response_text;
use crate::fleet::fleet_bundle::{APPRAISAL_PATH, BID_PATH};

/// A model request and what its answer must be.
#[derive(Debug, Clone)]
pub struct Appraisal {
    /// The request.
    pub call: Call,
    /// Its prompt.
    pub prompt: String,
    /// The tokens of its answer.
    pub answer_tokens: u64,
}

/// Makes requests from a seed.
#[derive(Debug)]
pub struct RequestMaker {
    random: StdRng,
    made_count: u64,
}

impl RequestMaker {
    /// Creates a maker.
    pub fn new(seed: u64) -> Self {
        Self { random: StdRng::seed_from_u64(seed), made_count: 0 }
    }

    /// Makes a streamed appraisal whose answer has at most `max_tokens`.
    pub fn make_appraisal(&mut self, max_tokens: u64) -> Appraisal {
        self.made_count += 1;
        let lot: u32 = self.random.random_range(1..500);
        let prompt = format!("Appraise lot {lot}, note {}: iroko, slight shake.", self.made_count);
        let answer_tokens = self.random.random_range(1..=max_tokens);
        let body = serde_json::json!({
            "model": "appraiser", "prompt": prompt,
            "max_tokens": answer_tokens, "stream": true,
        });
        let call =
            Call { path: APPRAISAL_PATH.to_owned(), body: body.to_string(), ..Call::default() };
        Appraisal { call, prompt, answer_tokens }
    }

    /// Makes a bid with a key of its own.
    pub fn make_bid(&mut self) -> Call {
        self.made_count += 1;
        let lot: u32 = self.random.random_range(1..500);
        Call {
            path: BID_PATH.to_owned(),
            body: format!(r#"{{"lot":{lot},"bid":{}}}"#, self.made_count),
            idempotency_key: Some(format!(
                "bid-{}-{}",
                self.made_count,
                self.random.random::<u32>()
            )),
            ..Call::default()
        }
    }

    /// Draws a number below a bound.
    pub fn draw_below(&mut self, bound: usize) -> usize {
        self.random.random_range(0..bound)
    }
}

/// How a caller sees an appraisal's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerCheck {
    /// Whole and its own.
    Right,
    /// Says that it is complete and is not.
    Cut,
    /// Has parts of another answer.
    Crossed,
    /// No success, and says so.
    Refused,
}

/// Checks an answer against the only right one.
pub fn check_appraisal(appraisal: &Appraisal, answer: &Result<CallerResponse>) -> AnswerCheck {
    let Ok(answer) = answer else {
        return AnswerCheck::Refused;
    };
    let expected = response_text(&appraisal.prompt, appraisal.answer_tokens);
    if !expected.starts_with(&answer.text) {
        return AnswerCheck::Crossed;
    }
    match (answer.status, answer.is_complete, answer.text == expected) {
        (200, true, true) => AnswerCheck::Right,
        (200, true, false) => AnswerCheck::Cut,
        _ => AnswerCheck::Refused,
    }
}
