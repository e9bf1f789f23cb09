//! How the end of a response body is determined.

use hyper::HeaderMap;
use hyper::header;

/// How the end of a response body is determined (RFC 9112, section 6.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Framing {
    /// By `Content-Length`.
    Length,
    /// By the last chunk.
    Chunked,
    /// By the end of the connection.
    Close,
}

impl Framing {
    /// Returns the framing from the headers as received, with the hop-by-hop headers.
    pub(crate) fn of(headers: &HeaderMap) -> Framing {
        let chunked = headers.get_all(header::TRANSFER_ENCODING).iter().next_back();
        let chunked = chunked.and_then(|value| value.to_str().ok()).is_some_and(|codings| {
            let last = codings.rsplit(',').next().unwrap_or_default();
            last.trim().eq_ignore_ascii_case("chunked")
        });
        if chunked {
            Framing::Chunked
        } else if headers.contains_key(header::TRANSFER_ENCODING) {
            Framing::Close
        } else if headers.contains_key(header::CONTENT_LENGTH) {
            Framing::Length
        } else {
            Framing::Close
        }
    }

    /// Returns the name for log lines.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Framing::Length => "length",
            Framing::Chunked => "chunked",
            Framing::Close => "close",
        }
    }
}
