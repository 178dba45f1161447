//! One request in an engine.

use std::sync::atomic::{AtomicU64, Ordering};

use tokio::sync::watch;

use super::answer_tokens::count_prompt_tokens;

/// How far a request has come.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Progress {
    /// The tokens made.
    pub made_tokens: u64,
    /// Whether no more will come.
    pub is_ended: bool,
    /// Whether it was stopped or lost before its end.
    pub is_broken: bool,
}

/// One request in an engine.
#[derive(Debug)]
pub struct Sequence {
    /// Its prompt.
    pub prompt: String,
    /// The tokens that it makes in all.
    pub wanted_tokens: u64,
    /// How far it has come.
    pub progress: watch::Sender<Progress>,
    newest_attempt: AtomicU64,
}

impl Sequence {
    /// Starts a request.
    pub fn new(prompt: String, wanted_tokens: u64) -> Self {
        let (progress, _) = watch::channel(Progress::default());
        Self { prompt, wanted_tokens, progress, newest_attempt: AtomicU64::new(0) }
    }

    /// Records an attempt that reads the answer.
    pub fn record_attempt(&self, attempt: u64) {
        self.newest_attempt.fetch_max(attempt, Ordering::SeqCst);
    }

    /// Returns whether an attempt is older than one that reads the answer.
    pub fn is_superseded(&self, attempt: u64) -> bool {
        attempt < self.newest_attempt.load(Ordering::SeqCst)
    }

    /// The tokens used so far, prompt and answer together.
    pub fn used_tokens(&self) -> u64 {
        count_prompt_tokens(&self.prompt) + self.progress.borrow().made_tokens
    }

    /// Stops the request.
    pub fn stop(&self) {
        self.progress.send_modify(|progress| {
            if !progress.is_ended {
                progress.is_ended = true;
                progress.is_broken = true;
            }
        });
    }
}
