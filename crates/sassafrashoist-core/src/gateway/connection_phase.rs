//! What a VM owes to the caller at the other end of a connection.

/// What a VM owes to the caller at the other end of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionPhase {
    /// No byte of a request has been read since the connection was accepted.
    Opened,
    /// All requests that were read have been answered, and no byte of another one has been read.
    Idle,
    /// A part of the head of a request has been read.
    ReadingHead,
    /// The head of a request has been read, and its response is not complete.
    InRequest,
    /// The response is complete, and a part of it has not been written yet.
    WritingResponse,
    /// The connection is being closed, and nothing is owed.
    Closing,
}

/// The number of connections in each phase.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct PhaseCounts {
    /// Connections in [`ConnectionPhase::Opened`].
    pub opened: usize,
    /// Connections in [`ConnectionPhase::Idle`].
    pub idle: usize,
    /// Connections in [`ConnectionPhase::ReadingHead`].
    pub reading_head: usize,
    /// Connections in [`ConnectionPhase::InRequest`].
    pub in_request: usize,
    /// Connections in [`ConnectionPhase::WritingResponse`].
    pub writing_response: usize,
    /// Connections in [`ConnectionPhase::Closing`].
    pub closing: usize,
}

impl PhaseCounts {
    /// Counts a connection that was accepted.
    pub fn open(&mut self) {
        self.opened += 1;
    }

    /// Counts a connection that goes from one phase to another.
    pub fn change(&mut self, from: ConnectionPhase, to: ConnectionPhase) {
        self.close(from);
        *self.count_mut(to) += 1;
    }

    /// Counts a connection that has ended in a phase.
    pub fn close(&mut self, phase: ConnectionPhase) {
        let count = self.count_mut(phase);
        *count = count.saturating_sub(1);
    }

    /// Returns the number of connections with a request that was read and is not answered, or whose
    /// answer is not written to its end.
    pub fn unanswered(&self) -> usize {
        self.in_request + self.writing_response
    }

    /// Returns the number of connections.
    pub fn total(&self) -> usize {
        self.opened + self.idle + self.reading_head + self.unanswered() + self.closing
    }

    fn count_mut(&mut self, phase: ConnectionPhase) -> &mut usize {
        match phase {
            ConnectionPhase::Opened => &mut self.opened,
            ConnectionPhase::Idle => &mut self.idle,
            ConnectionPhase::ReadingHead => &mut self.reading_head,
            ConnectionPhase::InRequest => &mut self.in_request,
            ConnectionPhase::WritingResponse => &mut self.writing_response,
            ConnectionPhase::Closing => &mut self.closing,
        }
    }
}
