//! The asynchronous driver of idempotency claims.

use std::fmt;

use store::Platform;
use types::{Code, Monotonic};

use crate::{
    attempt::Runner, dispatcher::Step, job::Job, peers::Peers, refusal::Refusal, reply::Reply,
};

/// Claims of keyed requests on the platform.
pub(crate) struct Claims<P> {
    _platform: P,
    _clock: Monotonic,
}

impl<P> fmt::Debug for Claims<P> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Claims").finish_non_exhaustive()
    }
}

impl<P: Platform> Claims<P> {
    pub(crate) fn new(platform: P, clock: Monotonic) -> Self {
        Self {
            _platform: platform,
            _clock: clock,
        }
    }

    pub(crate) fn pending(&self) -> usize {
        0
    }

    pub(crate) async fn run<R: Step, N: Peers>(
        &self,
        _runner: &Runner<R, N>,
        _key: String,
        _job: Job,
    ) -> Result<Reply, Refusal> {
        Err(Code::ClaimStoreAway.into())
    }
}
