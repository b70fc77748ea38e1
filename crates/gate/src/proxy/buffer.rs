//! Buffering of response bodies within a budget of the whole process.
//!
//! Each response may take [`FREE_BYTES`]. What goes beyond that comes from one budget, so that servers
//! which send bytes without end can't use up the memory, however many requests they get.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use metrics::counter;

/// Number of bytes of a response that are buffered without a charge.
const FREE_BYTES: usize = 32 << 10;

/// Maximum number of bytes buffered beyond those without a charge, over all responses.
const BUDGET_BYTES: usize = 8 << 20;

/// Maximum size of a response body that is buffered.
pub(crate) const MAX_COMPLETE_BODY_BYTES: usize = 4 << 20;

/// Counter of responses that were given up because of their size.
const OVERSIZED: &str = "celerytally_oversized_responses_total";

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
        let used = &self.budget.0;
        if bytes <= self.bytes {
            used.fetch_sub(self.bytes - bytes, Ordering::Relaxed);
            self.bytes = bytes;
            return true;
        }
        let more = bytes - self.bytes;
        let before = used.fetch_add(more, Ordering::Relaxed);
        if before + more > BUDGET_BYTES {
            used.fetch_sub(more, Ordering::Relaxed);
            counter!(OVERSIZED).increment(1);
            return false;
        }
        self.bytes = bytes;
        true
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

/// Why a body could not be read completely.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Incomplete {
    /// The connection ended, or what came is no valid body.
    Broken,
    /// It is larger than the limit, or than the budget allows.
    Oversized,
}

/// Reads a body completely. Its charge lasts until the bytes are dropped.
///
/// # Errors
/// The reason, if it is incomplete.
pub(crate) async fn read_whole(
    body: &mut Incoming,
    budget: &BufferBudget,
) -> Result<Bytes, Incomplete> {
    let mut charge = budget.charge();
    let mut pieces: Vec<Bytes> = Vec::new();
    let mut len = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| {
            tracing::debug!(error = %e, "response body broke off");
            Incomplete::Broken
        })?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        len += data.len();
        if len > MAX_COMPLETE_BODY_BYTES || !charge.set(len) {
            return Err(Incomplete::Oversized);
        }
        pieces.push(data);
    }
    Ok(Bytes::from_owner(Charged {
        bytes: pieces.concat(),
        _charge: charge,
    }))
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
