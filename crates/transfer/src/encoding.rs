//! Compression of a content, optionally as a difference from another one.

use std::io::{Read, Write};

use snafu::{ResultExt, ensure};

use crate::{
    content::{ContentId, Offer, PartId},
    error::{CompressionSnafu, MismatchSnafu, Result, TooLargeSnafu},
};

/// Maximum size of a content in bytes.
pub(crate) const MAX_CONTENT_BYTES: usize = 16 << 20;

/// Size of a part in bytes. A link of 10 Mbit/s carries it in 26 ms.
pub(crate) const PART_BYTES: usize = 32 << 10;

/// Compression level, the fastest regular one.
const LEVEL: i32 = 1;

/// Range of the logarithm of the compression window, which must span the content and its base.
const MIN_WINDOW_LOG: u32 = 17;
const MAX_WINDOW_LOG: u32 = 25;

/// Encoded content and its offer.
#[derive(Clone, Debug)]
pub(crate) struct Encoding {
    pub(crate) offer: Offer,
    bytes: Vec<u8>,
}

impl Encoding {
    /// Encodes a content, as a difference from a base if there is one.
    pub(crate) fn new(
        content: (ContentId, &[u8]),
        base: Option<(ContentId, &[u8])>,
    ) -> Result<Self> {
        let (id, content) = content;
        let base_bytes = base.map_or(&[][..], |(_, bytes)| bytes);
        let bytes = compress(content, base_bytes).context(CompressionSnafu)?;
        Ok(Self {
            offer: Offer {
                encoding: ContentId::of(&bytes),
                encoded_size: checked_size(bytes.len())?,
                content: id,
                content_size: checked_size(content.len())?,
                base: base.map(|(id, _)| id),
            },
            bytes,
        })
    }

    /// Returns a part, or `None` if the encoding has no part there.
    pub(crate) fn part(&self, part: PartId) -> Option<&[u8]> {
        let from = usize::try_from(part.offset).ok()?;
        let rest = self.bytes.get(from..).filter(|rest| !rest.is_empty())?;
        Some(&rest[..rest.len().min(PART_BYTES)])
    }
}

/// Decodes a content and verifies it.
pub(crate) fn decode(offer: &Offer, encoded: &[u8], base: &[u8]) -> Result<Vec<u8>> {
    let content = decompress(encoded, base, offer.content_size).context(CompressionSnafu)?;
    let is_expected = ContentId::of(&content) == offer.content;
    ensure!(
        is_expected,
        MismatchSnafu {
            content: offer.content
        }
    );
    Ok(content)
}

/// Returns a size as a number of 32 bits, if a content may have it.
pub(crate) fn checked_size(size: usize) -> Result<u32> {
    let limit = MAX_CONTENT_BYTES;
    let checked = u32::try_from(size).ok().filter(|_| size <= limit);
    Ok(checked.ok_or_else(|| TooLargeSnafu { size, limit }.build())?)
}

fn window_log(bytes: usize) -> u32 {
    let log = bytes.max(1).next_power_of_two().trailing_zeros();
    log.clamp(MIN_WINDOW_LOG, MAX_WINDOW_LOG)
}

fn compress(content: &[u8], base: &[u8]) -> std::io::Result<Vec<u8>> {
    let mut encoder = zstd::stream::write::Encoder::with_ref_prefix(Vec::new(), LEVEL, base)?;
    encoder.set_pledged_src_size(u64::try_from(content.len()).ok())?;
    encoder.window_log(window_log(content.len() + base.len()))?;
    encoder.long_distance_matching(true)?;
    encoder.write_all(content)?;
    encoder.finish()
}

fn decompress(encoded: &[u8], base: &[u8], size: u32) -> std::io::Result<Vec<u8>> {
    let mut decoder = zstd::stream::read::Decoder::with_ref_prefix(encoded, base)?;
    decoder.window_log_max(MAX_WINDOW_LOG)?;
    let mut content = Vec::with_capacity(usize::try_from(size).unwrap_or_default());
    // One byte more shows a content that is larger than it was said to be.
    decoder
        .take(u64::from(size) + 1)
        .read_to_end(&mut content)?;
    Ok(content)
}
