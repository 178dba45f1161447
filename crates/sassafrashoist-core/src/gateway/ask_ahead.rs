//! How many tokens a VM that does not draw asks for in advance.
//!
//! The load that it answers: a hundred requests a second of one account come to one VM, whose narrow
//! link delays each answer of the other VMs. Asking for each request as it comes would keep all of
//! them waiting for as long as an answer takes. So such a VM asks for what it uses while several
//! questions are answered, and before it runs out. One that is used seldom asks for nothing in
//! advance: what many VMs hold for a use that does not come is lost when they end.

use std::time::Duration;

use crate::ids::Tokens;

/// Questions in whose time tokens that were asked for in advance are used up.
const AHEAD_ANSWERS: u32 = 5;
/// The least time for which tokens are asked for in advance.
const LEAST_AHEAD: Duration = Duration::from_millis(100);
/// The longest such time.
const MOST_AHEAD: Duration = Duration::from_secs(1);
/// The part of what is asked for in advance below which a VM asks again.
const LOW_PART: f64 = 0.5;
/// The weight of one answer in the usual time of answers.
const ANSWER_SAMPLE_WEIGHT: f64 = 0.3;

/// How many tokens a VM that does not draw asks for in advance.
#[derive(Debug, Default)]
pub struct AskAhead {
    answer_s: f64,
}

impl AskAhead {
    /// Records how long another VM took to answer.
    pub fn record_answer(&mut self, took: Duration) {
        self.answer_s += ANSWER_SAMPLE_WEIGHT * (took.as_secs_f64() - self.answer_s);
    }

    /// Returns the tokens to ask for in advance at a rate of use; none if a usual request needs more.
    pub fn tokens(&self, use_tokens_per_s: f64, usual_tokens: f64) -> Tokens {
        let answers = Duration::from_secs_f64(self.answer_s) * AHEAD_ANSWERS;
        let ahead = answers.clamp(LEAST_AHEAD, MOST_AHEAD).as_secs_f64() * use_tokens_per_s;
        if ahead < usual_tokens { 0 } else { ahead as Tokens }
    }

    /// Returns whether to ask again, with so many tokens held.
    pub fn runs_low(&self, held_tokens: i64, use_tokens_per_s: f64, usual_tokens: f64) -> bool {
        let ahead = self.tokens(use_tokens_per_s, usual_tokens);
        ahead > 0 && (held_tokens as f64) < LOW_PART * ahead as f64
    }
}
