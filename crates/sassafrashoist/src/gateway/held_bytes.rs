//! Bytes of a body whose memory is counted.

use std::sync::Arc;

use super::memory_share::MemoryShare;

/// Bytes whose memory a share holds; dropping them returns it.
#[derive(Debug)]
pub struct HeldBytes {
    data: Vec<u8>,
    share: Arc<MemoryShare>,
}

impl HeldBytes {
    /// Wraps bytes whose whole capacity the share holds.
    pub fn new(data: Vec<u8>, share: Arc<MemoryShare>) -> Self {
        Self { data, share }
    }
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        let held_bytes = self.data.capacity();
        self.data = Vec::new();
        self.share.release(held_bytes);
    }
}
