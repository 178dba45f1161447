//! How the end of an HTTP/1.1 response body is marked.

use http::Response;
use http::header::TRANSFER_ENCODING;
use http_body::Body;

/// How the end of a response body is marked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseFraming {
    /// The head states the length, or the response has no body.
    Length,
    /// The body comes in chunks, and an empty chunk ends it.
    Chunked,
    /// The body ends with its connection, so its end does not show whether it is complete.
    CloseDelimited,
}

impl ResponseFraming {
    /// Returns the framing of a response of which nothing has been read yet.
    pub fn of<B: Body>(response: &Response<B>) -> Self {
        let last_coding = response.headers().get_all(TRANSFER_ENCODING).iter().next_back();
        let is_chunked = last_coding.and_then(|value| value.to_str().ok()).is_some_and(|codings| {
            codings
                .rsplit(',')
                .next()
                .is_some_and(|last| last.trim().eq_ignore_ascii_case("chunked"))
        });
        if response.body().size_hint().exact().is_some() {
            Self::Length
        } else if is_chunked {
            Self::Chunked
        } else {
            Self::CloseDelimited
        }
    }

    /// Returns whether a body without an error is known to be complete.
    pub fn marks_end(self) -> bool {
        self != Self::CloseDelimited
    }

    /// Returns the name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunked => "chunked",
            Self::CloseDelimited => "close",
        }
    }
}
