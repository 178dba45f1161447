//! Keeps a VM that comes and goes from being given roles.

use std::time::Duration;

use crate::ids::Timestamp;

/// What one loss of a VM adds to its penalty.
const PENALTY_PER_FLAP: u64 = 1_000;
/// The penalty above which a VM is damped.
const DAMP_ABOVE: u64 = 2_500;
/// The penalty below which a damped VM is used again.
const RELEASE_BELOW: u64 = 1_000;
/// The most that a penalty grows to, so that damping ends.
const MAX_PENALTY: u64 = 8_000;
/// The time in which a penalty falls to half.
const HALF_LIFE: Duration = Duration::from_secs(15);

/// The decaying penalty of one VM.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FlapDamping {
    penalty: u64,
    updated_at: Timestamp,
    is_damped: bool,
}

impl FlapDamping {
    /// Counts that the VM was lost.
    pub fn count_flap(&mut self, now: Timestamp) {
        self.decay(now);
        self.penalty = (self.penalty + PENALTY_PER_FLAP).min(MAX_PENALTY);
        if self.penalty > DAMP_ABOVE {
            self.is_damped = true;
        }
    }

    /// Lowers the penalty by the time that has passed.
    pub fn decay(&mut self, now: Timestamp) {
        let elapsed = now.saturating_sub(self.updated_at);
        let half_lives = elapsed.as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.penalty = (self.penalty as f64 * 0.5_f64.powf(half_lives)) as u64;
        self.updated_at = self.updated_at.max(now);
        if self.penalty < RELEASE_BELOW {
            self.is_damped = false;
        }
    }

    /// Returns whether the VM is to be given no role.
    pub fn is_damped(&self) -> bool {
        self.is_damped
    }
}
