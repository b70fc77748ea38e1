//! Errors of transfers.

use snafu::Snafu;

use crate::content::ContentId;

/// Result of an operation on a transfer.
pub type Result<T> = std::result::Result<T, Error>;

/// Error of a transfer.
#[derive(Debug, Snafu)]
pub struct Error(Code);

#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum Code {
    #[snafu(display("content of {size} bytes is larger than {limit} bytes"))]
    TooLarge { size: usize, limit: usize },
    #[snafu(display("unexpected part at {offset} of encoding {encoding}"))]
    UnexpectedPart { encoding: ContentId, offset: u32 },
    #[snafu(display("incomplete encoding {encoding}"))]
    Incomplete { encoding: ContentId },
    #[snafu(display("unknown base {base}"))]
    UnknownBase { base: ContentId },
    #[snafu(display("content differs from its id {content}"))]
    Mismatch { content: ContentId },
    #[snafu(display("can't compress or decompress: {source}"))]
    Compression { source: std::io::Error },
}

impl Error {
    /// Returns whether the encoding is based on a content that the receiver does not have.
    #[must_use]
    pub fn is_unknown_base(&self) -> bool {
        matches!(self.0, Code::UnknownBase { .. })
    }
}
