//! Announcements of backend servers, which the proxy, the controller and other hosts learn.

use std::sync::{Arc, Mutex};

use peer::{LeavingServer, name_hash};
use tokio::sync::mpsc::Receiver;
use types::{Announcement, Deadline, HostId, Instant, Micros, NoticeSource, ServerNotice};

use crate::entry::fleet_state::{FleetState, lock};

/// Number of announcements that may wait to be applied.
pub(super) const ANNOUNCEMENT_CAPACITY: usize = 256;

/// Time for which a host repeats that a server leaves, because datagrams are lost and a host may
/// learn of the incarnation late.
const REPEAT_TIME: Micros = Micros::from_secs(5);

/// Server that announced to this host lately that it leaves.
#[derive(Debug)]
struct RecentServer {
    server: LeavingServer,
    until: Deadline,
    is_new: bool,
}

/// Servers that announced to this host that they leave, which it passes on to the other hosts.
#[derive(Debug, Default)]
pub(crate) struct LeavingServers(Mutex<Vec<RecentServer>>);

impl LeavingServers {
    fn add(&self, now: Instant, server: LeavingServer) {
        let mut recent = lock(&self.0);
        if recent.iter().all(|r| r.server != server) {
            recent.push(RecentServer {
                server,
                until: Deadline::after(now, REPEAT_TIME),
                is_new: true,
            });
        }
    }

    /// Returns the servers to pass on now: all recent ones if `repeat` is set or one of them is new,
    /// otherwise none.
    pub(super) fn take(&self, now: Instant, repeat: bool) -> Vec<LeavingServer> {
        let mut recent = lock(&self.0);
        recent.retain(|r| r.is_new || !r.until.is_past(now));
        if !repeat && recent.iter().all(|r| !r.is_new) {
            return Vec::new();
        }
        recent.iter_mut().for_each(|r| r.is_new = false);
        recent.iter().map(|r| r.server).collect()
    }
}

impl FleetState {
    /// Applies an announcement that this host got in a response.
    fn apply_announcement(&self, announcement: Announcement) {
        let is_new = match announcement.source {
            NoticeSource::Call => self.proxy().apply_announcement(&announcement),
            // The proxy has applied it.
            NoticeSource::Response | NoticeSource::Peer(_) => true,
        };
        if let (true, true, Some(incarnation)) = (
            is_new,
            announcement.notice.leaving,
            announcement.incarnation,
        ) {
            let server = LeavingServer {
                backend: name_hash(announcement.backend.as_str()),
                incarnation,
            };
            self.leaving_servers().add(self.proxy().now(), server);
        }
        // The controller has applied what came in the responses to its calls.
        if announcement.source == NoticeSource::Response {
            self.record_at_controller(announcement);
        }
    }

    /// Applies that servers leave, as another host says.
    pub(super) fn apply_peer_leaving(&self, from: &HostId, servers: &[LeavingServer]) {
        let names = self.name_hashes();
        for server in servers {
            let Some(backend) = names.backend(server.backend) else {
                tracing::debug!(%from, "an unknown server leaves");
                continue;
            };
            let announcement = Announcement {
                backend: backend.clone(),
                incarnation: Some(server.incarnation),
                notice: ServerNotice {
                    leaving: true,
                    hold_off: None,
                },
                source: NoticeSource::Peer(from.clone()),
            };
            if self.proxy().apply_announcement(&announcement) {
                self.record_at_controller(announcement);
            }
        }
    }
}

/// Applies the announcements that this host got in responses, for as long as the process runs.
pub(super) async fn apply_all(mut announcements: Receiver<Announcement>, fleet: Arc<FleetState>) {
    while let Some(announcement) = announcements.recv().await {
        fleet.apply_announcement(announcement);
    }
}
