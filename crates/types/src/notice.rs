//! Announcements that backend servers make in their responses.

use std::fmt;

use crate::{
    id::{BackendId, HostId, Incarnation},
    time::Micros,
};

/// Announcements of a backend server in one of its responses.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ServerNotice {
    /// Whether it is leaving and must get no new requests.
    pub leaving: bool,
    /// Time for which it wants no requests from this host.
    pub hold_off: Option<Micros>,
}

impl ServerNotice {
    /// Longest time for which a server that names one gets no requests.
    ///
    /// A longer one is taken for a mistake, and its end would not be noticed.
    pub const MAX_HOLD_OFF: Micros = Micros::from_secs(60);

    /// Returns whether the response announced nothing.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// Source from which a host has an announcement.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum NoticeSource {
    /// Response to a caller's request.
    Response,
    /// Response to an order or a call for a report.
    Call,
    /// Another entry host.
    Peer(HostId),
}

impl fmt::Display for NoticeSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Response => f.write_str("response"),
            Self::Call => f.write_str("call"),
            Self::Peer(host) => host.fmt(f),
        }
    }
}

/// Announcement of one incarnation of a backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Announcement {
    /// The backend server.
    pub backend: BackendId,
    /// The incarnation that the request was sent to, if known.
    pub incarnation: Option<Incarnation>,
    /// What it announced.
    pub notice: ServerNotice,
    /// Source of the announcement.
    pub source: NoticeSource,
}
