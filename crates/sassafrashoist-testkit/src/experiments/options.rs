//! Options of an experiment.

/// Options of an experiment.
#[derive(Debug, Clone, Default)]
pub struct ExperimentOptions {
    /// The seed of the random numbers.
    pub seed: u64,
    /// The policy to use instead of the default, in experiments that compare policies.
    pub policy: Option<String>,
}
