//! What an experiment is run with.

/// What an experiment is run with.
#[derive(Debug, Clone, Default)]
pub struct ExperimentOptions {
    /// Seeds its random numbers.
    pub seed: u64,
    /// The way to run in place of the chosen one, where ways were weighed.
    pub policy: Option<String>,
}
