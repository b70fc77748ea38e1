//! The platform's host list, which relays read and peers propagate.

use std::{collections::VecDeque, net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize};
use store::{HostEntry, HostRole, HostState};
use types::{DataCentreId, HostId, Instant, Micros};

use crate::{event::InvalidMessage, message::HostsDelta};

/// Number of recent versions kept, so that a lagging peer receives only the changes.
const MAX_LISTS: usize = 32;

/// Maximum number of names of removed hosts that are kept.
const MAX_REMOVED: usize = 512;

/// Unit in which the age of a list is sent, in microseconds.
const AGE_UNIT: u64 = 100_000;

/// Entry of the platform's host list.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Host {
    /// Name of an entry host or backend server.
    pub name: String,
    /// Role of the host.
    pub role: HostRole,
    /// Data centre of the host.
    pub dc: DataCentreId,
    /// State of the host.
    pub state: HostState,
    /// HTTP address.
    pub addr: SocketAddr,
    /// Address for peers.
    pub peer_addr: Option<SocketAddr>,
}

impl Host {
    pub(crate) fn new(name: String, entry: HostEntry) -> Self {
        Self {
            name,
            role: entry.role,
            dc: entry.dc,
            state: entry.state,
            addr: entry.addr,
            peer_addr: entry.peer_addr,
        }
    }

    fn hash(&self) -> u64 {
        let entry = (self.role as u8, self.state as u8);
        let addr = self.addr.to_string();
        let peer_addr = self.peer_addr.map(|a| a.to_string()).unwrap_or_default();
        crate::hash(&[
            self.name.as_bytes(),
            self.dc.as_str().as_bytes(),
            &[entry.0, entry.1],
            addr.as_bytes(),
            peer_addr.as_bytes(),
        ])
    }
}

/// The platform's host list, which may lag behind the actual hosts.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Inventory {
    /// Hosts, sorted by name.
    pub hosts: Vec<Host>,
    /// Names of hosts that were removed from the list, sorted.
    pub removed: Vec<String>,
}

impl Inventory {
    /// Returns the host with a name.
    #[must_use]
    pub fn find(&self, name: &str) -> Option<&Host> {
        find(&self.hosts, name)
    }

    /// Returns whether an entry host was removed from the list.
    #[must_use]
    pub fn was_removed(&self, host: &HostId) -> bool {
        let name = host.as_str();
        self.removed
            .binary_search_by(|g| g.as_str().cmp(name))
            .is_ok()
    }

    /// Returns the hosts of a role, sorted by name.
    pub fn of_role(&self, role: HostRole) -> impl Iterator<Item = &Host> {
        self.hosts.iter().filter(move |h| h.role == role)
    }
}

#[derive(Clone, Debug)]
struct ListVersion {
    hash: u64,
    hosts: Arc<Vec<Host>>,
}

/// Newest known host list and the time at which the platform confirmed it.
#[derive(Debug, Default)]
pub(crate) struct HostList {
    /// Newest first.
    lists: VecDeque<ListVersion>,
    confirmed: Instant,
    removed: Vec<String>,
}

/// Finds a host in a list that is sorted by name.
fn find<'a>(hosts: &'a [Host], name: &str) -> Option<&'a Host> {
    let index = hosts.binary_search_by(|h| h.name.as_str().cmp(name));
    index.ok().map(|index| &hosts[index])
}

fn hash_list(hosts: &[Host]) -> u64 {
    hosts.iter().map(Host::hash).fold(1, u64::wrapping_add)
}

fn age_in_tenths(age: Micros) -> u32 {
    // Rounded up, so that a list never gets younger in transit.
    u32::try_from(age.get().div_ceil(AGE_UNIT)).unwrap_or(u32::MAX)
}

fn time_before(now: Instant, age: u32) -> Instant {
    let age = u64::from(age) * AGE_UNIT;
    Instant::from_micros(now.as_micros().saturating_sub(age))
}

impl HostList {
    pub(crate) fn hosts(&self) -> &[Host] {
        self.lists.front().map_or(&[], |l| l.hosts.as_slice())
    }

    pub(crate) fn hash(&self) -> Option<u64> {
        self.lists.front().map(|l| l.hash)
    }

    pub(crate) fn inventory(&self) -> Inventory {
        Inventory {
            hosts: self.hosts().to_vec(),
            removed: self.removed.clone(),
        }
    }

    /// Replaces the list. Returns whether it changed.
    pub(crate) fn set(&mut self, mut hosts: Vec<Host>, confirmed: Instant) -> bool {
        hosts.sort_by(|a, b| a.name.cmp(&b.name));
        self.confirmed = self.confirmed.max(confirmed);
        let hash = hash_list(&hosts);
        if self.hash() == Some(hash) {
            return false;
        }
        let listed = |name: &str| find(&hosts, name).is_some();
        let mut removed = std::mem::take(&mut self.removed);
        removed.extend(self.hosts().iter().map(|h| h.name.clone()));
        removed.retain(|name| !listed(name));
        removed.sort();
        removed.dedup();
        removed.truncate(MAX_REMOVED);
        self.removed = removed;
        let hosts = Arc::new(hosts);
        self.lists.push_front(ListVersion { hash, hosts });
        self.lists.truncate(MAX_LISTS);
        true
    }

    /// Applies the change of one host. Returns whether the list changed.
    pub(crate) fn change(&mut self, name: &str, host: Option<Host>, now: Instant) -> bool {
        let mut hosts = self.hosts().to_vec();
        hosts.retain(|h| h.name != name);
        hosts.extend(host);
        self.set(hosts, now)
    }

    /// Returns the hash and age of the list.
    pub(crate) fn summary(&self, now: Instant) -> Option<(u64, u32)> {
        let hash = self.hash()?;
        Some((hash, age_in_tenths(now.since(self.confirmed))))
    }

    /// Compares with a peer's summary. Returns whether the peer has a different and newer list.
    pub(crate) fn compare(&mut self, theirs: Option<(u64, u32)>, now: Instant) -> bool {
        let Some((hash, age)) = theirs else {
            return false;
        };
        let confirmed = time_before(now, age);
        if self.hash() == Some(hash) {
            self.confirmed = self.confirmed.max(confirmed);
            return false;
        }
        self.hash().is_none() || confirmed > self.confirmed
    }

    /// Returns the changes since the list with hash `from`, or the whole list if it is not known.
    pub(crate) fn delta(&self, from: Option<u64>, now: Instant) -> Option<HostsDelta> {
        let newest = self.lists.front()?;
        let base = self.lists.iter().find(|l| Some(l.hash) == from);
        let old = base.map_or(&[][..], |l| l.hosts.as_slice());
        let changed = |h: &&Host| find(old, &h.name).is_none_or(|known| known != *h);
        let set = newest.hosts.iter().filter(changed).cloned();
        let listed = |name: &String| find(&newest.hosts, name).is_some();
        let removed = old.iter().map(|h| h.name.clone()).filter(|n| !listed(n));
        Some(HostsDelta {
            from: base.map(|l| l.hash),
            hash: newest.hash,
            age: age_in_tenths(now.since(self.confirmed)),
            set: set.collect(),
            removed: removed.collect(),
        })
    }

    /// Applies a peer's changes if they are newer. Returns whether the list changed.
    pub(crate) fn apply(
        &mut self,
        delta: &HostsDelta,
        now: Instant,
    ) -> Result<bool, InvalidMessage> {
        if !self.compare(Some((delta.hash, delta.age)), now) {
            return Ok(false);
        }
        let base = match delta.from {
            None => Vec::new(),
            from if from == self.hash() => self.hosts().to_vec(),
            Some(_) => return Ok(false),
        };
        let replaced = |h: &Host| {
            delta.removed.contains(&h.name) || delta.set.iter().any(|s| s.name == h.name)
        };
        let mut hosts: Vec<Host> = base.into_iter().filter(|h| !replaced(h)).collect();
        hosts.extend(delta.set.iter().cloned());
        if hash_list(&hosts) != delta.hash {
            return Err(InvalidMessage);
        }
        Ok(self.set(hosts, time_before(now, delta.age)))
    }
}
