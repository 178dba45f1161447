//! When a VM appends records to the ledger.
//!
//! An append succeeds only if no other VM has appended since the ledger was read. VMs that append
//! often, at the same moments, or again at once after a conflict, keep each other from succeeding:
//! the log processes one append after the other, and what it rejects takes its time too. The load
//! that this answers is a large fleet that starts at one moment, in which each VM has a record due
//! every few seconds and several VMs of each data centre draw tokens.

use std::time::Duration;

use super::holder_role::HolderRole;

/// Time between two records of a VM that draws tokens, while no request waits for tokens.
pub const MIN_RECORD_INTERVAL: Duration = Duration::from_millis(300);
/// The most records a second that all VMs that draw tokens append together while nothing needs a
/// record sooner.
const MAX_DUE_RECORDS_PER_S: f64 = 30.0;
/// Time between two records of a client VM.
const CLIENT_RECORD_INTERVAL: Duration = Duration::from_secs(5);
/// The largest deviation of a client VM's interval, as a fraction of it: VMs that start at the same
/// moment do not go on to append at the same moments.
const CLIENT_INTERVAL_JITTER: f64 = 0.1;
/// The longest delay of a VM that draws tokens after the first conflict; it doubles with each further
/// one.
const DRAWING_CONFLICT_DELAY: Duration = Duration::from_millis(8);
/// The number of conflicts after which the delay of a VM that draws tokens grows no further.
const MAX_DOUBLINGS: u32 = 3;
/// The longest delay of a client VM after a conflict, for each VM of the fleet: the more VMs, the
/// longer it takes the log to process their appends.
const CLIENT_CONFLICT_DELAY_PER_VM: Duration = Duration::from_millis(2);

/// Returns the time between two records of a VM, while none is needed sooner; `random` is from 0 to
/// 1.
pub fn record_interval(role: HolderRole, drawing_vm_count: usize, random: f64) -> Duration {
    match role {
        HolderRole::DrawsForItself | HolderRole::DrawsForOthers => {
            let shared = Duration::from_secs_f64(drawing_vm_count as f64 / MAX_DUE_RECORDS_PER_S);
            shared.max(MIN_RECORD_INTERVAL)
        }
        HolderRole::RequestsTokens => {
            CLIENT_RECORD_INTERVAL.mul_f64(1.0 + CLIENT_INTERVAL_JITTER * (2.0 * random - 1.0))
        }
    }
}

/// Returns the delay after a number of conflicts in a row, in a fleet of `vm_count` VMs; `random` is
/// from 0 to 1.
pub fn conflict_delay(
    role: HolderRole,
    vm_count: usize,
    conflict_count: u32,
    random: f64,
) -> Duration {
    let max_delay = match role {
        HolderRole::DrawsForItself | HolderRole::DrawsForOthers => {
            let doublings = conflict_count.saturating_sub(1).min(MAX_DOUBLINGS);
            DRAWING_CONFLICT_DELAY * 2_u32.pow(doublings)
        }
        HolderRole::RequestsTokens => CLIENT_CONFLICT_DELAY_PER_VM.mul_f64(vm_count as f64),
    };
    max_delay.mul_f64(random)
}
