//! Flap damping: a VM that repeatedly becomes unreachable is given no roles for a while.

use std::time::Duration;

use crate::ids::Timestamp;

/// What each flap of a VM, from reachable to suspect, adds to its penalty.
const PENALTY_PER_FLAP: u64 = 1_000;
/// The penalty above which a VM is damped.
const DAMP_ABOVE: u64 = 2_500;
/// The penalty below which a damped VM is released.
const RELEASE_BELOW: u64 = 1_000;
/// The maximum penalty, which bounds how long damping lasts.
const MAX_PENALTY: u64 = 8_000;
/// The time in which a penalty decays to half.
const HALF_LIFE: Duration = Duration::from_secs(30);

/// The decaying penalty of one VM.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FlapDamping {
    penalty: u64,
    updated_at: Timestamp,
    is_damped: bool,
}

impl FlapDamping {
    /// Counts one flap: the VM has become suspect.
    pub fn count_flap(&mut self, now: Timestamp) {
        self.decay(now);
        self.penalty = (self.penalty + PENALTY_PER_FLAP).min(MAX_PENALTY);
        if self.penalty > DAMP_ABOVE {
            self.is_damped = true;
        }
    }

    /// Decays the penalty for the time since its last update.
    pub fn decay(&mut self, now: Timestamp) {
        let elapsed = now.saturating_sub(self.updated_at);
        let half_lives = elapsed.as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.penalty = (self.penalty as f64 * 0.5_f64.powf(half_lives)) as u64;
        self.updated_at = self.updated_at.max(now);
        if self.penalty < RELEASE_BELOW {
            self.is_damped = false;
        }
    }

    /// Returns whether the VM must be given no role.
    pub fn is_damped(&self) -> bool {
        self.is_damped
    }
}
