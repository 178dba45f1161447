//! The state of a VM as other VMs see it.

use serde::{Deserialize, Serialize};

/// The state of a VM as other VMs see it.
///
/// The order of the variants decides between updates of the same incarnation and revision.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// It responds.
    Alive,
    /// It responds and is being taken out of service.
    Leaving,
    /// It does not respond; it may still be serving behind a network partition.
    Suspect,
    /// This incarnation has ended; it never becomes alive again.
    Gone,
}
