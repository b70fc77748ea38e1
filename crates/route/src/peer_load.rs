//! Load that other entry hosts have sent to backend servers.

use serde::{Deserialize, Serialize};
use types::{BackendId, Deadline, HostId, Instant};

use crate::router::Router;

/// Load of one entry host, or of several, on one backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct SentLoad {
    /// Requests that wait or run on the server.
    pub requests: u16,
    /// Prefill time of their prompts, in seconds.
    pub prefill_seconds: f32,
    /// Number of these hosts that report the server as unreachable.
    pub unreachable_reports: u16,
    /// Number of these hosts that lost the last response of the server.
    pub lost_reports: u16,
    /// Number of these hosts to which the server has responded a short time ago.
    pub response_reports: u16,
}

/// Load sent by one peer or by all peers, with its expiry time.
#[derive(Debug)]
pub(crate) struct PeerLoad {
    /// The peer; `None` for the sum over all peers.
    host: Option<HostId>,
    until: Deadline,
    sent: Vec<(BackendId, SentLoad)>,
}

impl Router {
    /// Applies the load that a peer has sent; it is valid until a deadline or the next update.
    ///
    /// While a sum over all peers is valid, loads of single peers are ignored.
    pub(crate) fn peer_load(
        &mut self,
        host: Option<HostId>,
        sent: Vec<(BackendId, SentLoad)>,
        until: Deadline,
    ) {
        if host.is_none() {
            self.peer_loads.clear();
        } else if self.peer_loads.first().is_some_and(|p| p.host.is_none()) {
            return;
        }
        match self.peer_loads.binary_search_by(|p| p.host.cmp(&host)) {
            Ok(at) => self.peer_loads[at] = PeerLoad { host, until, sent },
            Err(at) => self.peer_loads.insert(at, PeerLoad { host, until, sent }),
        }
        self.sum_peer_loads();
    }

    /// Removes expired loads of peers.
    pub(crate) fn expire_peer_loads(&mut self, now: Instant) {
        let before = self.peer_loads.len();
        self.peer_loads.retain(|p| !p.until.is_past(now));
        if self.peer_loads.len() != before {
            self.sum_peer_loads();
        }
    }

    /// Sums the loads of all peers for each backend server.
    pub(crate) fn sum_peer_loads(&mut self) {
        let Some(names) = &self.names else {
            return;
        };
        for b in &mut self.backends {
            b.others = 0;
            b.others_work = 0.0;
            b.unreachable_reports = 0;
            b.lost_reports = 0;
            b.response_reports = 0;
        }
        for (id, load) in self.peer_loads.iter().flat_map(|p| &p.sent) {
            if let Some(at) = names.backend(id) {
                let b = &mut self.backends[at as usize];
                b.others = b.others.saturating_add(load.requests);
                b.others_work += load.prefill_seconds;
                b.unreachable_reports = b
                    .unreachable_reports
                    .saturating_add(load.unreachable_reports);
                b.lost_reports = b.lost_reports.saturating_add(load.lost_reports);
                b.response_reports = b.response_reports.saturating_add(load.response_reports);
            }
        }
    }

    /// Returns the load that this host has sent to each backend server, and which servers it cannot
    /// reach.
    #[must_use]
    pub fn sent_loads(&self, now: Instant) -> Vec<(BackendId, SentLoad)> {
        let Some(names) = &self.names else {
            return Vec::new();
        };
        let known = (0_u32..).zip(&self.backends);
        let reported = known.filter(|(_, b)| {
            let is_used = b.own > 0 || b.has_responded(now);
            is_used || b.is_unreachable(now) || b.has_lost_response(now)
        });
        reported
            .map(|(at, b)| {
                let load = SentLoad {
                    requests: b.own,
                    prefill_seconds: b.own_work.max(0.0),
                    unreachable_reports: u16::from(b.is_unreachable(now)),
                    lost_reports: u16::from(b.has_lost_response(now)),
                    response_reports: u16::from(b.has_responded(now)),
                };
                (names.backend_id(at).clone(), load)
            })
            .collect()
    }
}
