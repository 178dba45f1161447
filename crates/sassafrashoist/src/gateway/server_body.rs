//! The body of a response to this VM.

use std::error::Error;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use sassafrashoist_core::gateway::attempt_failure::AttemptFailure;

use super::framing_meter::FramingMeter;

/// The error when a body was cut off.
#[derive(Debug, thiserror::Error)]
pub enum BrokenBody {
    /// The connection ended or failed, or what arrived is no body.
    #[error(transparent)]
    Failed(hyper::Error),
    /// The server sent framing without end.
    #[error("server sent {bytes} bytes without data of the body")]
    Endless {
        /// The bytes that were read.
        bytes: usize,
    },
}

impl BrokenBody {
    /// Returns how the attempt failed.
    pub fn failure(&self) -> AttemptFailure {
        let Self::Failed(error) = self else {
            return AttemptFailure::Invalid;
        };
        let cause = error.source().and_then(|source| source.downcast_ref::<io::Error>());
        match cause.map(io::Error::kind) {
            Some(io::ErrorKind::UnexpectedEof) => AttemptFailure::Closed,
            Some(io::ErrorKind::InvalidInput | io::ErrorKind::InvalidData) => {
                AttemptFailure::Invalid
            }
            _ => AttemptFailure::Lost,
        }
    }
}

/// The body of a response to this VM.
#[derive(Debug)]
pub struct ServerBody {
    body: Incoming,
    meter: FramingMeter,
}

impl ServerBody {
    /// Wraps the body that arrives on a connection.
    pub fn new(body: Incoming, meter: FramingMeter) -> Self {
        Self { body, meter }
    }
}

impl Body for ServerBody {
    type Data = Bytes;
    type Error = BrokenBody;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenBody>>> {
        let Self { body, meter } = &mut *self;
        let mut allowance = meter.lock();
        let frame = Pin::new(body).poll_frame(cx);
        frame.map(|frame| {
            Some(match frame? {
                Ok(frame) => {
                    allowance.record_data();
                    Ok(frame)
                }
                Err(error) => Err(match allowance.excess_bytes() {
                    Some(bytes) => BrokenBody::Endless { bytes },
                    None => BrokenBody::Failed(error),
                }),
            })
        })
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
