//! The platform's list of hosts, kept by relays and passed on.

use std::{collections::VecDeque, net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize};
use store::{HostEntry, HostRole, HostState};
use types::{DataCentreId, HostId, Instant, Micros};

use crate::{event::Garbage, message::HostsDelta};

/// Earlier lists that are remembered, so that a peer which lags behind gets changes only.
const PAST_LISTS: usize = 32;

/// Hosts that left the list and are remembered by name.
const MAX_REMOVED: usize = 512;

/// Unit in which the age of a list is sent.
const AGE_UNIT: u64 = 100_000;

/// Host in the platform's list.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Host {
    /// Name of an entry host or backend server.
    pub name: String,
    /// Role.
    pub role: HostRole,
    /// Data centre that it is in.
    pub dc: DataCentreId,
    /// State.
    pub state: HostState,
    /// Address for HTTP.
    pub addr: SocketAddr,
    /// Address for other entry hosts.
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

/// The platform's list of hosts, which lags.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Inventory {
    /// Hosts in rising order of their names.
    pub hosts: Vec<Host>,
    /// Names that were in the list and no longer are, sorted.
    pub removed: Vec<String>,
}

impl Inventory {
    /// Returns a host by its name.
    #[must_use]
    pub fn find(&self, name: &str) -> Option<&Host> {
        find(&self.hosts, name)
    }

    /// Tells whether an entry host was in the list and no longer is.
    #[must_use]
    pub fn was_removed(&self, host: &HostId) -> bool {
        let name = host.as_str();
        self.removed
            .binary_search_by(|g| g.as_str().cmp(name))
            .is_ok()
    }

    /// Returns the hosts of a role in rising order of their names.
    pub fn of_role(&self, role: HostRole) -> impl Iterator<Item = &Host> {
        self.hosts.iter().filter(move |h| h.role == role)
    }
}

#[derive(Clone, Debug)]
struct Listed {
    hash: u64,
    hosts: Arc<Vec<Host>>,
}

/// Newest host list that is known and when the platform confirmed it.
#[derive(Debug, Default)]
pub(crate) struct HostList {
    /// Newest first.
    lists: VecDeque<Listed>,
    confirmed: Instant,
    removed: Vec<String>,
}

/// Finds a host in a list that is sorted by name.
fn find<'a>(hosts: &'a [Host], name: &str) -> Option<&'a Host> {
    let at = hosts.binary_search_by(|h| h.name.as_str().cmp(name));
    at.ok().map(|at| &hosts[at])
}

fn hash_list(hosts: &[Host]) -> u64 {
    hosts.iter().map(Host::hash).fold(1, u64::wrapping_add)
}

fn tenths(age: Micros) -> u32 {
    // Rounding up keeps a list from becoming younger on its way.
    u32::try_from(age.get().div_ceil(AGE_UNIT)).unwrap_or(u32::MAX)
}

fn before(now: Instant, age: u32) -> Instant {
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

    /// Takes over a list; returns whether it differs from the one before.
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
        self.lists.push_front(Listed { hash, hosts });
        self.lists.truncate(PAST_LISTS);
        true
    }

    /// Takes over a change that a watch delivered.
    pub(crate) fn change(&mut self, name: &str, host: Option<Host>, now: Instant) -> bool {
        let mut hosts = self.hosts().to_vec();
        hosts.retain(|h| h.name != name);
        hosts.extend(host);
        self.set(hosts, now)
    }

    /// Returns hash and age for an exchange.
    pub(crate) fn summary(&self, now: Instant) -> Option<(u64, u32)> {
        let hash = self.hash()?;
        Some((hash, tenths(now.since(self.confirmed))))
    }

    /// Looks at a peer's summary; returns whether the peer has another list that is newer.
    pub(crate) fn compare(&mut self, theirs: Option<(u64, u32)>, now: Instant) -> bool {
        let Some((hash, age)) = theirs else {
            return false;
        };
        let confirmed = before(now, age);
        if self.hash() == Some(hash) {
            self.confirmed = self.confirmed.max(confirmed);
            return false;
        }
        self.hash().is_none() || confirmed > self.confirmed
    }

    /// Returns what a peer that has the list `from` needs.
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
            age: tenths(now.since(self.confirmed)),
            set: set.collect(),
            removed: removed.collect(),
        })
    }

    /// Applies a peer's changes if they are newer; returns whether the list changed.
    pub(crate) fn apply(&mut self, delta: &HostsDelta, now: Instant) -> Result<bool, Garbage> {
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
            return Err(Garbage);
        }
        Ok(self.set(hosts, before(now, delta.age)))
    }
}
