//! Contents that a host can pass on.

use std::collections::VecDeque;

use snafu::{OptionExt, ensure};

use crate::{
    content::{ContentId, Offer, PartId},
    download::Download,
    encoding::{self, Encoding, checked_size},
    error::{IncompleteSnafu, Result, UnknownBaseSnafu},
};

/// Number of contents of a library. Changes that follow each other must not interrupt transfers.
const MAX_CONTENTS: usize = 3;

/// Number of encodings, for receivers that have different contents.
const MAX_ENCODINGS: usize = 12;

#[derive(Clone, Debug)]
struct Content {
    id: ContentId,
    bytes: Vec<u8>,
}

/// Newest contents of one kind and the encodings in which they were offered.
#[derive(Clone, Debug, Default)]
pub struct Library {
    /// Newest content first.
    contents: VecDeque<Content>,
    /// Newest encoding first.
    encodings: VecDeque<Encoding>,
}

impl Library {
    /// Creates an empty library.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a content, which becomes the newest one, and drops the oldest one if there are too many.
    pub fn insert(&mut self, bytes: Vec<u8>) {
        let id = ContentId::of(&bytes);
        self.contents.retain(|c| c.id != id);
        self.contents.push_front(Content { id, bytes });
        self.contents.truncate(MAX_CONTENTS);
        let contents = &self.contents;
        self.encodings
            .retain(|e| contents.iter().any(|c| c.id == e.offer.content));
    }

    /// Returns the id of the newest content.
    #[must_use]
    pub fn newest(&self) -> Option<ContentId> {
        self.contents.front().map(|c| c.id)
    }

    fn content(&self, id: ContentId) -> Option<(ContentId, &[u8])> {
        let content = self.contents.iter().find(|c| c.id == id)?;
        Some((content.id, &content.bytes))
    }

    /// Offers the newest content to a receiver that has another one; `None` if there is none.
    ///
    /// # Errors
    /// Fails if the content is too large or can't be compressed.
    pub fn offer(&mut self, known: Option<ContentId>) -> Result<Option<Offer>> {
        let Some(newest) = self.newest().filter(|id| Some(*id) != known) else {
            return Ok(None);
        };
        let base = known.and_then(|id| self.content(id));
        let base_id = base.map(|(id, _)| id);
        let is_wanted = |e: &&Encoding| e.offer.content == newest && e.offer.base == base_id;
        if let Some(found) = self.encodings.iter().find(is_wanted) {
            return Ok(Some(found.offer));
        }
        let Some(content) = self.content(newest) else {
            return Ok(None);
        };
        checked_size(content.1.len())?;
        let encoding = Encoding::new(content, base)?;
        let offer = encoding.offer;
        self.encodings.push_front(encoding);
        self.encodings.truncate(MAX_ENCODINGS);
        Ok(Some(offer))
    }

    /// Returns a part of an encoding, or `None` if the library does not have it.
    #[must_use]
    pub fn part(&self, part: PartId) -> Option<Vec<u8>> {
        let mut encodings = self.encodings.iter();
        let encoding = encodings.find(|e| e.offer.encoding == part.encoding)?;
        encoding.part(part).map(<[u8]>::to_vec)
    }

    /// Decodes a downloaded content, which is not added to the library.
    ///
    /// # Errors
    /// Fails if the download is incomplete, the library does not have the base, or the content is
    /// not the offered one.
    pub fn decode(&self, download: &Download) -> Result<Vec<u8>> {
        let offer = download.offer();
        let encoding = offer.encoding;
        ensure!(download.is_complete(), IncompleteSnafu { encoding });
        let base = match offer.base {
            Some(base) => self.content(base).context(UnknownBaseSnafu { base })?.1,
            None => &[],
        };
        encoding::decode(offer, download.received(), base)
    }
}
