//! How much of what one side of an HTTP connection sends may be no data.
//!
//! Interim responses, heads, the sizes and extensions of chunks and trailers say how data is to be
//! read. A faulty peer may send them without end. The allowance is renewed whenever a head or data was
//! handed over, so that the length of a message does not matter.

/// The longest head of a response, with the interim responses before it.
pub const MAX_HEAD_BYTES: usize = 65_536;
/// The most interim responses before a response.
pub const MAX_INTERIM_RESPONSES: usize = 256;
/// The most bytes between two parts of the data of a body, and the most empty lines before a head.
pub const MAX_BODY_FRAMING_BYTES: usize = 32_768;
/// The most bytes without a head or data that are read before other tasks run, and the most that are
/// read at once while none was handed over.
pub const MAX_TURN_BYTES: usize = 8_192;

/// What the reader of a connection may do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadStep {
    /// It reads as much as it likes.
    Read,
    /// It reads at most this many bytes.
    ReadAtMost(usize),
    /// It lets other tasks run first.
    Yield,
    /// It reads no more.
    Stop,
}

/// The bytes that were read from a connection since a head or data was handed over.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FramingAllowance {
    max_head_bytes: usize,
    is_in_body: bool,
    /// Whether only line breaks were read, which HTTP allows before a head.
    is_blank: bool,
    framing_bytes: usize,
    /// Those of `framing_bytes` that were read since other tasks ran.
    turn_bytes: usize,
    interim_count: usize,
    /// Whether data was handed over since the last read.
    has_data: bool,
    is_lifted: bool,
    /// Whether the rest of a body is discarded, so that no part of it is handed over.
    is_discarding: bool,
    /// The bytes without a head or data after which the reader stopped, which is for good.
    excess_bytes: Option<usize>,
}

impl FramingAllowance {
    /// Creates the allowance of a connection whose heads may have this length.
    pub fn new(max_head_bytes: usize) -> Self {
        Self {
            max_head_bytes,
            is_in_body: false,
            is_blank: true,
            framing_bytes: 0,
            turn_bytes: 0,
            interim_count: 0,
            has_data: false,
            is_lifted: false,
            is_discarding: false,
            excess_bytes: None,
        }
    }

    /// Returns what to do before the next read.
    pub fn next_step(&mut self) -> ReadStep {
        if self.excess_bytes.is_some() || self.is_used_up() {
            self.excess_bytes.get_or_insert(self.framing_bytes);
            ReadStep::Stop
        } else if self.is_lifted || self.has_data {
            ReadStep::Read
        } else if self.turn_bytes >= MAX_TURN_BYTES {
            self.turn_bytes = 0;
            ReadStep::Yield
        } else {
            ReadStep::ReadAtMost(MAX_TURN_BYTES)
        }
    }

    /// Records bytes that were read.
    pub fn record_read(&mut self, bytes: &[u8]) {
        self.is_blank &= bytes.iter().all(|byte| matches!(byte, b'\r' | b'\n'));
        self.framing_bytes = self.framing_bytes.saturating_add(bytes.len());
        self.turn_bytes = self.turn_bytes.saturating_add(bytes.len());
        self.has_data = false;
    }

    /// Records that nothing could be read, so that other tasks run.
    pub fn record_wait(&mut self) {
        self.turn_bytes = 0;
    }

    /// Records an interim response.
    pub fn record_interim(&mut self) {
        self.interim_count += 1;
    }

    /// Records that a head was handed over.
    pub fn record_head(&mut self) {
        self.renew();
        self.is_in_body = true;
        self.is_discarding = false;
    }

    /// Records that the rest of a body is not taken: the reader yields, but does not stop before the
    /// response is written. The time to discard bytes is limited elsewhere.
    pub fn discard_rest(&mut self) {
        self.expect_head();
        self.is_discarding = true;
    }

    /// Records that data was handed over.
    pub fn record_data(&mut self) {
        self.renew();
        self.has_data = true;
    }

    fn renew(&mut self) {
        self.framing_bytes = 0;
        self.turn_bytes = 0;
    }

    /// Records that a head is to come next. What was read of the message before may not have been taken.
    pub fn expect_head(&mut self) {
        self.renew();
        self.is_in_body = false;
        self.is_blank = true;
        self.interim_count = 0;
    }

    /// Records that the connection carries another protocol from now on.
    pub fn lift(&mut self) {
        self.is_lifted = true;
    }

    fn is_used_up(&self) -> bool {
        let max_bytes = match self.is_in_body || self.is_blank {
            true => MAX_BODY_FRAMING_BYTES,
            false => self.max_head_bytes,
        };
        let is_too_much =
            self.framing_bytes >= max_bytes || self.interim_count > MAX_INTERIM_RESPONSES;
        is_too_much && !self.is_lifted && !self.is_discarding
    }

    /// Returns the bytes without a head or data after which the reader stopped, if it did.
    pub fn excess_bytes(&self) -> Option<usize> {
        self.excess_bytes
    }
}
