//! The state of one request in an engine.

use std::sync::atomic::{AtomicU64, Ordering};

use tokio::sync::watch;

use super::response_tokens::count_prompt_tokens;

/// The progress of a request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Progress {
    /// The tokens generated so far.
    pub generated_tokens: u64,
    /// Whether no more tokens follow, after the last one or an abort.
    pub is_ended: bool,
    /// Whether a cancellation or a crash stopped the request before its last token.
    pub is_aborted: bool,
}

/// The state of one request in an engine.
#[derive(Debug)]
pub struct Sequence {
    /// The prompt.
    pub prompt: String,
    /// The number of tokens to generate.
    pub target_tokens: u64,
    /// The progress, which readers can watch.
    pub progress: watch::Sender<Progress>,
    newest_attempt: AtomicU64,
}

impl Sequence {
    /// Creates a request without progress.
    pub fn new(prompt: String, target_tokens: u64) -> Self {
        let (progress, _) = watch::channel(Progress::default());
        Self { prompt, target_tokens, progress, newest_attempt: AtomicU64::new(0) }
    }

    /// Records an attempt that reads the response.
    pub fn record_attempt(&self, attempt: u64) {
        self.newest_attempt.fetch_max(attempt, Ordering::SeqCst);
    }

    /// Returns whether a later attempt reads the response.
    pub fn is_superseded(&self, attempt: u64) -> bool {
        attempt < self.newest_attempt.load(Ordering::SeqCst)
    }

    /// The tokens used so far, prompt and response together.
    pub fn used_tokens(&self) -> u64 {
        count_prompt_tokens(&self.prompt) + self.progress.borrow().generated_tokens
    }

    /// Aborts the request unless it has ended.
    pub fn abort(&self) {
        self.progress.send_modify(|progress| {
            if !progress.is_ended {
                progress.is_ended = true;
                progress.is_aborted = true;
            }
        });
    }
}
