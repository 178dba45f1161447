//! The role of a VM in drawing tokens from the ledger.

/// The role of a VM in drawing tokens from the ledger.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HolderRole {
    /// Draws tokens for itself, as every VM of a small fleet does.
    DrawsForItself,
    /// Draws tokens for itself and, as an allocator VM, for its client VMs. Tokens that it sends to
    /// them count as its own use.
    DrawsForOthers,
    /// Does not draw but requests tokens from allocator VMs. Its use counts as the use of the
    /// allocators that sent them.
    RequestsTokens,
}
