//! Bytes of a body whose memory is counted.

use std::sync::Arc;

use bytes::Bytes;

use super::memory_share::MemoryShare;

/// Bytes whose memory a share holds; dropping them returns it.
#[derive(Debug)]
pub struct HeldBytes {
    data: Bytes,
    held_bytes: usize,
    share: Arc<MemoryShare>,
}

impl HeldBytes {
    /// Wraps bytes for which the share holds `held_bytes`.
    pub fn new(data: Bytes, held_bytes: usize, share: Arc<MemoryShare>) -> Self {
        Self { data, held_bytes, share }
    }
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.data = Bytes::new();
        self.share.release(self.held_bytes);
    }
}
