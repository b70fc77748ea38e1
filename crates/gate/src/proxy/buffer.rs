//! Buffering of response bodies within a budget of the whole process.
//!
//! Each response may take [`FREE_BYTES`]. What goes beyond that comes from one budget, so that servers
//! which send bytes without end can't use up the memory, however many requests they get. A body that
//! does not fit is left unread, so that it can be passed on as its caller reads.

use std::{
    collections::VecDeque,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use metrics::counter;

/// Number of bytes of a response that are buffered without a charge.
const FREE_BYTES: usize = 32 << 10;

/// Maximum number of bytes buffered beyond those without a charge, over all responses.
const BUDGET_BYTES: usize = 8 << 20;

/// Maximum size of a response body that is buffered.
pub(crate) const MAX_COMPLETE_BODY_BYTES: usize = 4 << 20;

/// Counter of responses that were given up because of their size.
const OVERSIZED: &str = "celerytally_oversized_responses_total";

/// Counter of responses that were passed on before their end because of their size.
const UNBUFFERED: &str = "celerytally_unbuffered_responses_total";

/// Budget of buffered bytes.
#[derive(Clone, Debug, Default)]
pub(crate) struct BufferBudget(Arc<AtomicUsize>);

impl BufferBudget {
    /// Returns a charge of zero bytes.
    pub(crate) fn charge(&self) -> Charge {
        Charge {
            budget: self.clone(),
            bytes: 0,
        }
    }
}

/// Part of the budget that one response takes until it is dropped.
#[derive(Debug)]
pub(crate) struct Charge {
    budget: BufferBudget,
    bytes: usize,
}

impl Charge {
    /// Adapts the charge to the number of buffered bytes. Returns whether the budget allows it.
    pub(crate) fn set(&mut self, buffered: usize) -> bool {
        let bytes = buffered.saturating_sub(FREE_BYTES);
        if bytes <= self.bytes {
            self.lower(buffered);
            return true;
        }
        let used = &self.budget.0;
        let more = bytes - self.bytes;
        let before = used.fetch_add(more, Ordering::Relaxed);
        if before + more > BUDGET_BYTES {
            used.fetch_sub(more, Ordering::Relaxed);
            return false;
        }
        self.bytes = bytes;
        true
    }

    /// Gives back what a smaller number of buffered bytes does not need.
    fn lower(&mut self, buffered: usize) {
        let bytes = self.bytes.min(buffered.saturating_sub(FREE_BYTES));
        let excess = self.bytes - bytes;
        self.budget.0.fetch_sub(excess, Ordering::Relaxed);
        self.bytes = bytes;
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.budget.0.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// Bytes with their charge.
struct Charged {
    bytes: Vec<u8>,
    _charge: Charge,
}

impl AsRef<[u8]> for Charged {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// First part of a body, with its charge.
#[derive(Debug)]
pub(crate) struct Beginning {
    pieces: VecDeque<Bytes>,
    len: usize,
    charge: Charge,
}

impl Beginning {
    fn new(budget: &BufferBudget) -> Self {
        Self {
            pieces: VecDeque::new(),
            len: 0,
            charge: budget.charge(),
        }
    }

    /// Appends data. Returns whether the budget allows it.
    fn push(&mut self, data: Bytes) -> bool {
        self.len += data.len();
        self.pieces.push_back(data);
        self.charge.set(self.len)
    }

    /// Removes the first piece and the part of the charge that it no longer needs.
    pub(crate) fn pop(&mut self) -> Option<Bytes> {
        let piece = self.pieces.pop_front()?;
        self.len -= piece.len();
        self.charge.lower(self.len);
        Some(piece)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.pieces.is_empty()
    }

    /// Joins the pieces. The charge lasts until the bytes are dropped.
    fn into_bytes(self) -> Bytes {
        let Self { pieces, charge, .. } = self;
        Bytes::from_owner(Charged {
            bytes: Vec::from(pieces).concat(),
            _charge: charge,
        })
    }
}

/// Why a body could not be read completely.
#[derive(Debug)]
pub(crate) enum Incomplete {
    /// The connection ended, or what came is no valid body.
    Broken,
    /// It has no stated length, and is larger than the limit.
    Oversized,
    /// The budget does not allow more, or the stated length exceeds the limit. The rest is unread.
    Unread(Beginning),
}

/// Counts a response that is given up because of its size.
pub(crate) fn count_oversized() {
    counter!(OVERSIZED).increment(1);
}

/// Counts a response that is passed on before its end because of its size.
pub(crate) fn count_unbuffered() {
    counter!(UNBUFFERED).increment(1);
}

/// Returns the length that the head of a response states for the unread part of its body.
pub(crate) fn stated_len(body: &Incoming) -> Option<u64> {
    body.size_hint().exact()
}

/// Reads a body completely. Its charge lasts until the bytes are dropped.
///
/// # Errors
/// The reason, if it is incomplete.
pub(crate) async fn read_whole(
    body: &mut Incoming,
    budget: &BufferBudget,
) -> Result<Bytes, Incomplete> {
    let mut read = Beginning::new(budget);
    if stated_len(body).is_some_and(|len| len > MAX_COMPLETE_BODY_BYTES as u64) {
        return Err(Incomplete::Unread(read));
    }
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| {
            tracing::debug!(error = %e, "response body broke off");
            Incomplete::Broken
        })?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if read.len + data.len() > MAX_COMPLETE_BODY_BYTES {
            return Err(Incomplete::Oversized);
        }
        if !read.push(data) {
            return Err(Incomplete::Unread(read));
        }
    }
    Ok(read.into_bytes())
}

/// Reads a body to its end without keeping it. Returns whether it ended within the limit.
pub(crate) async fn discard_whole(body: &mut Incoming) -> bool {
    let mut len = 0;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return false;
        };
        len += frame.data_ref().map_or(0, Bytes::len);
        if len > MAX_COMPLETE_BODY_BYTES {
            return false;
        }
    }
    true
}
