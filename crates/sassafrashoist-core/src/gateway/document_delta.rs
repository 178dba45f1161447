//! The difference between two documents, for a receiver whose document the sender does not know.
//!
//! The receiver sends the hashes of the chunks of its document. The sender writes its own document as
//! a sequence of references to these chunks and of literal bytes. Chunks end where an object ends, so
//! that a change inside one object changes one chunk, and chunks after it are found again.

use std::collections::HashMap;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// The byte at which a chunk ends, once it has [`MIN_CHUNK_BYTES`].
const CHUNK_END: u8 = b'}';
const MIN_CHUNK_BYTES: usize = 64;
const MAX_CHUNK_BYTES: usize = 2_048;
/// The most chunks of a receiver's document whose hashes are sent; they fit into one message.
pub const MAX_CHUNK_HASHES: usize = 7_500;
/// The longest document that a delta may describe.
pub const MAX_DOCUMENT_BYTES: usize = 16 * 1_024 * 1_024;
/// The most bytes that one part of a delta has in addition to its literal bytes.
const MAX_PART_OVERHEAD_BYTES: usize = 11;

/// The hash of one chunk.
pub type ChunkHash = [u8; 8];

/// A document that is divided into chunks.
#[derive(Debug)]
pub struct ChunkedDocument {
    bytes: Bytes,
    hash: u64,
    chunks: Vec<Chunk>,
}

#[derive(Debug, Clone, Copy)]
struct Chunk {
    start: usize,
    end: usize,
    hash: ChunkHash,
}

/// A document as the difference to the chunks of another one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentDelta {
    /// The hash of the whole document.
    pub document_hash: u64,
    /// The parts of the document in their order.
    pub parts: Vec<DeltaPart>,
}

/// A part of a document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum DeltaPart {
    /// Consecutive chunks of the receiver's document.
    Chunks {
        /// The index of the first one.
        first: u32,
        /// Their number.
        count: u32,
    },
    /// Bytes of the new document.
    Literal(Vec<u8>),
}

/// Why a delta cannot be applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum DeltaError {
    /// It refers to chunks that the receiver's document does not have.
    #[error("the delta refers to {count} chunks from chunk {first} on, of {chunk_count}")]
    UnknownChunks {
        /// The index of the first chunk.
        first: u32,
        /// The number of chunks.
        count: u32,
        /// The number of chunks that the document has.
        chunk_count: usize,
    },
    /// The document would be too long.
    #[error("the document of the delta exceeds {MAX_DOCUMENT_BYTES} bytes")]
    TooLong,
    /// The result is not the sender's document.
    #[error("the document has the hash {actual:016x}, expected {expected:016x}")]
    WrongHash {
        /// The hash of the result.
        actual: u64,
        /// The hash that the delta names.
        expected: u64,
    },
}

impl ChunkedDocument {
    /// Divides a document into chunks.
    pub fn new(bytes: Bytes) -> Self {
        let mut chunks = Vec::new();
        let mut start = 0;
        while start < bytes.len() {
            let end = start + chunk_length(&bytes[start..]);
            let hash = xxh3_64(&bytes[start..end]).to_le_bytes();
            chunks.push(Chunk { start, end, hash });
            start = end;
        }
        Self { hash: xxh3_64(&bytes), bytes, chunks }
    }

    /// Returns the document.
    pub fn bytes(&self) -> &Bytes {
        &self.bytes
    }

    /// Returns the hash of the whole document.
    pub fn hash(&self) -> u64 {
        self.hash
    }

    /// Returns the hashes of the chunks, at most [`MAX_CHUNK_HASHES`].
    pub fn chunk_hashes(&self) -> Vec<ChunkHash> {
        self.chunks.iter().take(MAX_CHUNK_HASHES).map(|chunk| chunk.hash).collect()
    }

    /// Returns this document as the difference to the chunks of a receiver; `None` if its parts would
    /// take more than `max_bytes`.
    pub fn delta_to(&self, receiver: &[ChunkHash], max_bytes: usize) -> Option<DocumentDelta> {
        let mut index_by_hash = HashMap::with_capacity(receiver.len());
        for (index, hash) in receiver.iter().enumerate() {
            index_by_hash.entry(hash).or_insert(index);
        }
        let mut parts: Vec<DeltaPart> = Vec::new();
        let mut total_bytes = 0;
        for chunk in &self.chunks {
            let literal = &self.bytes[chunk.start..chunk.end];
            match (index_by_hash.get(&chunk.hash), parts.last_mut()) {
                (Some(_), Some(DeltaPart::Chunks { first, count }))
                    if receiver.get((*first + *count) as usize) == Some(&chunk.hash) =>
                {
                    *count += 1;
                }
                (Some(index), _) => {
                    total_bytes += MAX_PART_OVERHEAD_BYTES;
                    parts.push(DeltaPart::Chunks { first: u32::try_from(*index).ok()?, count: 1 });
                }
                (None, Some(DeltaPart::Literal(bytes))) => {
                    total_bytes += literal.len();
                    bytes.extend_from_slice(literal);
                }
                (None, _) => {
                    total_bytes += MAX_PART_OVERHEAD_BYTES + literal.len();
                    parts.push(DeltaPart::Literal(literal.to_vec()));
                }
            }
            if total_bytes > max_bytes {
                return None;
            }
        }
        Some(DocumentDelta { document_hash: self.hash, parts })
    }

    /// Returns the document that a delta describes, which was made for the chunks of this one.
    ///
    /// # Errors
    ///
    /// Fails if the delta was not made for this document, or is malformed.
    pub fn apply(&self, delta: &DocumentDelta) -> Result<Self, DeltaError> {
        let mut bytes = Vec::new();
        for part in &delta.parts {
            let part = match part {
                DeltaPart::Chunks { first, count } => self.chunk_bytes(*first, *count)?,
                DeltaPart::Literal(literal) => literal,
            };
            if bytes.len() + part.len() > MAX_DOCUMENT_BYTES {
                return Err(DeltaError::TooLong);
            }
            bytes.extend_from_slice(part);
        }
        let (actual, expected) = (xxh3_64(&bytes), delta.document_hash);
        if actual != expected {
            return Err(DeltaError::WrongHash { actual, expected });
        }
        Ok(Self::new(bytes.into()))
    }

    fn chunk_bytes(&self, first: u32, count: u32) -> Result<&[u8], DeltaError> {
        let start = first as usize;
        let end = start.saturating_add(count as usize);
        match self.chunks.get(start..end) {
            Some([]) => Ok(&[]),
            Some([only]) => Ok(&self.bytes[only.start..only.end]),
            Some([first, .., last]) => Ok(&self.bytes[first.start..last.end]),
            None => Err(DeltaError::UnknownChunks { first, count, chunk_count: self.chunks.len() }),
        }
    }
}

/// Returns the length of the first chunk of the rest of a document.
fn chunk_length(rest: &[u8]) -> usize {
    let longest = &rest[..rest.len().min(MAX_CHUNK_BYTES)];
    let after_minimum = longest.iter().skip(MIN_CHUNK_BYTES - 1);
    let end = after_minimum.copied().position(|byte| byte == CHUNK_END);
    end.map_or(longest.len(), |position| position + MIN_CHUNK_BYTES)
}
