//! Reads of the platform from which this host's configuration and registrations come.

use std::fmt;

use types::{HostId, Instant, Micros, StoreRevision};

/// Origin of a read of the platform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum ReadBy {
    /// This host read the platform itself.
    Own,
    /// Another host read it and passed on the result.
    Peer(HostId),
}

impl fmt::Display for ReadBy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Own => f.write_str("platform"),
            Self::Peer(host) => host.fmt(f),
        }
    }
}

/// State of the platform that a host read, directly or through another host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Read {
    pub(crate) by: ReadBy,
    /// Latest time by which everything acknowledged is certain to be included.
    pub(crate) at: Instant,
    /// Revision of the platform.
    pub(crate) revision: StoreRevision,
}

impl Read {
    pub(crate) fn age(&self, now: Instant) -> Micros {
        now.since(self.at)
    }
}

/// Last reads of the two kinds of objects.
#[derive(Debug, Default)]
pub(crate) struct LastReads {
    pub(crate) configuration: Option<Read>,
    pub(crate) registrations: Option<Read>,
}

/// Replaces a read by a later one.
fn replace_older(last: &mut Option<Read>, new: Read) {
    if last.as_ref().is_none_or(|last| last.at <= new.at) {
        *last = Some(new);
    }
}

impl LastReads {
    pub(crate) fn record_configuration(&mut self, read: Read) {
        replace_older(&mut self.configuration, read);
    }

    pub(crate) fn record_registrations(&mut self, read: Read) {
        replace_older(&mut self.registrations, read);
    }

    /// Returns the time from the read of the configuration, or `None` if it is missing.
    pub(crate) fn configuration_age(&self, now: Instant) -> Option<Micros> {
        Some(self.configuration.as_ref()?.age(now))
    }

    /// Returns the time from the older of the two reads, or `None` if one is missing.
    pub(crate) fn age(&self, now: Instant) -> Option<Micros> {
        let configuration = self.configuration_age(now)?;
        Some(configuration.max(self.registrations.as_ref()?.age(now)))
    }
}
