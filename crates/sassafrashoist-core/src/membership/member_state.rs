//! The state of a VM as others see it.

use serde::{Deserialize, Serialize};

/// The state of a VM as others see it.
///
/// The order decides between updates that are otherwise of the same age.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// It answers.
    Alive,
    /// It answers and is being taken out of service.
    Leaving,
    /// It does not answer; it may be cut off and serve.
    Suspect,
    /// This incarnation of it is over, for good.
    Gone,
}
