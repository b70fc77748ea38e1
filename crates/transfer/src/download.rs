//! Collection of the parts of an encoded content.

use snafu::ensure;

use crate::{
    content::{Offer, PartId},
    encoding::{PART_BYTES, checked_size},
    error::{Result, UnexpectedPartSnafu},
};

/// Parts of an offered content that have been received.
#[derive(Clone, Debug)]
pub struct Download {
    offer: Offer,
    received: Vec<u8>,
}

impl Download {
    /// Starts a download without parts.
    ///
    /// # Errors
    /// Fails if the offered content is too large.
    pub fn new(offer: Offer) -> Result<Self> {
        for size in [offer.encoded_size, offer.content_size] {
            checked_size(usize::try_from(size).unwrap_or(usize::MAX))?;
        }
        Ok(Self {
            offer,
            received: Vec::new(),
        })
    }

    /// Returns the offer.
    #[must_use]
    pub fn offer(&self) -> &Offer {
        &self.offer
    }

    /// Returns the number of bytes received.
    #[must_use]
    pub fn received_size(&self) -> usize {
        self.received.len()
    }

    pub(crate) fn received(&self) -> &[u8] {
        &self.received
    }

    /// Returns whether all parts have been received.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.missing_parts().next().is_none()
    }

    /// Returns the parts that are missing, in order.
    pub fn missing_parts(&self) -> impl Iterator<Item = PartId> + use<> {
        let encoding = self.offer.encoding;
        let size = usize::try_from(self.offer.encoded_size).unwrap_or_default();
        let offsets = (self.received.len()..size).step_by(PART_BYTES);
        offsets.filter_map(move |offset| {
            let offset = u32::try_from(offset).ok()?;
            Some(PartId { encoding, offset })
        })
    }

    /// Adds the first missing part.
    ///
    /// # Errors
    /// Fails if it is another part or has a wrong size.
    pub fn push(&mut self, part: PartId, bytes: &[u8]) -> Result<()> {
        let size = usize::try_from(self.offer.encoded_size).unwrap_or_default();
        let expected_size = size.saturating_sub(self.received.len()).min(PART_BYTES);
        let is_expected = self.missing_parts().next() == Some(part);
        ensure!(
            is_expected && bytes.len() == expected_size,
            UnexpectedPartSnafu {
                encoding: part.encoding,
                offset: part.offset
            }
        );
        self.received.extend_from_slice(bytes);
        Ok(())
    }
}
