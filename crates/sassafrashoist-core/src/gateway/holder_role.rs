//! What a VM does for the others.

/// What a VM does for the others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HolderRole {
    /// Every VM draws for itself.
    Equal,
    /// It draws for itself and for VMs that ask; what it gives counts as its use.
    Bank,
    /// It asks; what it uses counts as the use of those that it asks.
    Asking,
}
