//! Responses of attempts, one of which may run beside another.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use route::Failure;
use tokio::time::timeout_at;
use types::RetryReason;

use crate::{
    dispatcher::StateMachine,
    peers::Peers,
    proxy::{
        Shared,
        attempt::{Attempt, OpenResponse, keep, may_have_run_failure, not_run_failure},
        buffer::{Incomplete, count_oversized, read_whole},
        codec::HeaderCodec,
        exchange::CompleteResponse,
        implies_not_run,
        liveness::{Destination, ends_with_connection},
    },
};

/// Response to an attempt.
#[derive(Debug)]
pub(crate) enum Responded {
    /// Response with an unread body.
    Open(OpenResponse),
    /// Server error that is returned only if the other attempt fails, too.
    Error(CompleteResponse),
}

/// Whether an attempt has another one beside it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Hedged(Arc<AtomicBool>);

impl Hedged {
    pub(crate) fn set(&self, hedged: bool) {
        self.0.store(hedged, Ordering::Relaxed);
    }

    fn get(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// Runs an attempt. An error of its server is read completely if another attempt runs then, at the longest
/// until the deadline.
///
/// A response that promises "not run" counts as failed: the server of the other attempt may run the
/// request.
///
/// # Errors
/// The failure of the attempt.
pub(crate) async fn run_hedged<R: StateMachine, N: Peers, C: HeaderCodec>(
    attempt: Attempt<R, N, C>,
    hedged: Hedged,
) -> Result<Responded, Failure> {
    let (shared, inbound) = (Arc::clone(&attempt.shared), Arc::clone(&attempt.inbound));
    let mut response = attempt.run().await?;
    let is_refusal = implies_not_run(response.head.status);
    let is_error = is_refusal || response.head.status.is_server_error();
    if !is_error || !hedged.get() {
        return Ok(Responded::Open(response));
    }
    let read = read_whole(&mut response.body, &shared.buffers);
    let body = match timeout_at(inbound.deadline_at, read).await {
        Ok(Ok(body)) => body,
        Ok(Err(incomplete)) => {
            let reason = shared.reason_of(incomplete, &response.destination).await;
            return Err(may_have_run_failure(reason));
        }
        Err(_elapsed) => return Err(may_have_run_failure(RetryReason::Silent)),
    };
    let (backend, head) = (response.backend, response.head);
    keep(&shared.pool, response.connection, &head);
    if is_refusal {
        return Err(not_run_failure(RetryReason::Refused));
    }
    if ends_with_connection(&inbound.head.method, &head) {
        let end = shared.unmarked_end(&response.destination, response.port);
        if let Some(reason) = end.await.failure() {
            return Err(may_have_run_failure(reason));
        }
    }
    Ok(Responded::Error(CompleteResponse {
        backend,
        head,
        body,
        is_harmless: false,
    }))
}

impl<R: StateMachine, N: Peers, C: HeaderCodec> Shared<R, N, C> {
    /// Returns the reason of a failure to read a body.
    pub(crate) async fn reason_of(
        &self,
        incomplete: Incomplete,
        from: &Destination,
    ) -> RetryReason {
        let reason = RetryReason::Truncated;
        match incomplete {
            Incomplete::Broken => self.diagnose(from, reason).await,
            Incomplete::Oversized | Incomplete::Unread(_) => {
                count_oversized();
                reason
            }
        }
    }
}
