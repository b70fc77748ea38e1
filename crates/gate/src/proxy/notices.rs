//! Announcements of backend servers, from responses to requests and from elsewhere.

use std::sync::PoisonError;

use metrics::counter;
use route::Event;
use types::{Announcement, BackendId, Incarnation};

use crate::{
    dispatcher::StateMachine,
    peers::Peers,
    proxy::{Proxy, Shared, codec::HeaderCodec, log},
};

/// Counter of announcements of backend servers that leave or name a time.
const NOTICES: &str = "celerytally_server_notices_total";

impl<R: StateMachine, N: Peers, C: HeaderCodec> Shared<R, N, C> {
    /// Passes on to the router what a backend server announced, unless another incarnation is
    /// registered. Returns whether it was unknown so far.
    pub(crate) fn apply_announcement(&self, announcement: &Announcement) -> bool {
        let Announcement {
            backend,
            incarnation,
            notice,
            ..
        } = announcement;
        let registered = self.incarnation(backend);
        if incarnation.is_some() && registered != *incarnation {
            return false;
        }
        let mut is_new = false;
        if let Some(time) = notice.hold_off {
            counter!(NOTICES, "notice" => "hold_off").increment(1);
            log::held_off(announcement, time);
            is_new = true;
        }
        if notice.leaving {
            counter!(NOTICES, "notice" => "leaving").increment(1);
            if self.record_leaving(backend, registered) {
                log::leaving(announcement);
                is_new = true;
            }
        }
        self.dispatcher.feed(Event::Announced {
            backend: backend.clone(),
            incarnation: *incarnation,
            notice: *notice,
        });
        is_new
    }

    /// Returns whether an incarnation of a backend server has announced that it leaves.
    pub(crate) fn has_announced_leaving(
        &self,
        backend: &BackendId,
        incarnation: Option<Incarnation>,
    ) -> bool {
        let leaving = self.leaving.lock().unwrap_or_else(PoisonError::into_inner);
        let found = leaving.binary_search_by(|(id, _)| id.cmp(backend));
        found.is_ok_and(|at| leaving[at].1 == incarnation)
    }

    /// Records that a backend server announced that it leaves. Returns whether this is new.
    fn record_leaving(&self, backend: &BackendId, incarnation: Option<Incarnation>) -> bool {
        let mut leaving = self.leaving.lock().unwrap_or_else(PoisonError::into_inner);
        match leaving.binary_search_by(|(id, _)| id.cmp(backend)) {
            Ok(at) => std::mem::replace(&mut leaving[at].1, incarnation) != incarnation,
            Err(at) => {
                leaving.insert(at, (backend.clone(), incarnation));
                true
            }
        }
    }
}

impl<R: StateMachine, N: Peers, C: HeaderCodec> Proxy<R, N, C> {
    /// Applies an announcement that did not come with the response to a caller's request. Returns
    /// whether it was unknown so far.
    #[must_use]
    pub fn apply_announcement(&self, announcement: &Announcement) -> bool {
        self.0.apply_announcement(announcement)
    }
}
