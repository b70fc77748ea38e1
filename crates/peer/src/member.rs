//! Membership of entry hosts, based on heartbeat counters.

use std::{collections::VecDeque, net::SocketAddr, sync::Arc};

use types::{ConfigVersion, DataCentreId, Epoch, HostId, Incarnation, Instant, Micros, Millicores};

use crate::{
    codec::{self, Reader},
    event::InvalidMessage,
    message::{Readiness, Row, RowState},
};

/// Exchange periods without a heartbeat after which a host is suspected.
///
/// In a simulation without losses heartbeats were up to 3.0 periods old with 7 hosts and up to 5.5
/// periods with 390.
const SUSPECT_PERIODS: u64 = 8;

/// Exchange periods without a heartbeat after which a host is considered gone.
const GONE_PERIODS: u64 = 20;

/// Exchange periods without a heartbeat after which a host is removed.
const EXPIRE_PERIODS: u64 = 600;

/// Exchange periods for which a changed row is included in every exchange.
const RECENT_PERIODS: u64 = 10;

/// Maximum number of rows in an exchange; peers pull the others.
const MAX_RECENT_ROWS: usize = 8;

/// Number of recent host tables kept, for decoding messages of lagging peers.
const MAX_TABLES: usize = 16;

/// State of an entry host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MemberState {
    /// Heartbeats arrive.
    Alive,
    /// The heartbeat is late.
    Suspected,
    /// Heartbeats have stopped.
    Gone,
    /// The platform's host list marks it as leaving.
    Leaving,
    /// It finishes its requests before it stops.
    Draining,
}

/// Entry host as its peers see it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    /// Name of the host.
    pub id: HostId,
    /// Data centre of the host.
    pub dc: DataCentreId,
    /// HTTP address.
    pub addr: SocketAddr,
    /// Address for peers.
    pub peer_addr: SocketAddr,
    /// Processor capacity of the machine.
    pub capacity: Millicores,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Whether it is reachable and accepts work.
    pub state: MemberState,
    /// Whether it serves callers.
    pub ready: bool,
    /// Configuration version in force on it; zero if none.
    pub version: ConfigVersion,
    /// Epoch of the lease that it holds, if any.
    pub lease_epoch: Option<Epoch>,
    /// Highest epoch that it has retired.
    pub retired_epoch: Option<Epoch>,
}

#[derive(Clone, Debug)]
struct Entry {
    row: Row,
    hash: u64,
    counter: u64,
    version: ConfigVersion,
    /// When the counter last increased.
    last_heartbeat: Instant,
    /// When the row last changed.
    changed: Instant,
    leaving: bool,
}

/// Maximum difference of two heartbeat counters. Counters start at the wall clock divided by the
/// exchange period, so a larger difference is an invalid message.
const MAX_HEARTBEAT_LAG: u64 = 1 << 40;

type HostTable = Arc<[(HostId, DataCentreId)]>;

/// All known entry hosts, including this one.
#[derive(Debug)]
pub(crate) struct Members {
    own: HostId,
    dc: DataCentreId,
    period: Micros,
    /// Sorted by id.
    entries: Vec<Entry>,
    /// Tables with their hashes, newest first.
    tables: VecDeque<(u64, HostTable)>,
}

fn hash_row(row: &Row) -> u64 {
    let state = [row.state as u8];
    let epoch = |e: Option<Epoch>| e.map_or(0, |e| e.get().wrapping_add(1)).to_le_bytes();
    crate::hash(&[
        row.id.as_str().as_bytes(),
        &row.incarnation.get().to_le_bytes(),
        &row.stamp.to_le_bytes(),
        &state,
        &epoch(row.lease_epoch),
        &epoch(row.retired_epoch),
    ])
}

fn signed_difference(a: u64, b: u64) -> i64 {
    a.wrapping_sub(b).cast_signed()
}

impl Members {
    pub(crate) fn new(own: RowState, period: Micros, now: Instant) -> Self {
        let mut members = Self {
            own: own.row.id.clone(),
            dc: own.row.dc.clone(),
            period,
            entries: Vec::new(),
            tables: VecDeque::new(),
        };
        members.merge(own, now);
        members
    }

    fn find(&self, id: &HostId) -> Result<usize, usize> {
        self.entries.binary_search_by(|e| e.row.id.cmp(id))
    }

    fn entry(&self, id: &HostId) -> Option<&Entry> {
        self.find(id).ok().map(|index| &self.entries[index])
    }

    fn own_entry(&mut self) -> &mut Entry {
        let index = self.find(&self.own).expect("the host knows itself");
        &mut self.entries[index]
    }

    /// Increments this host's heartbeat counter.
    pub(crate) fn increment_heartbeat(&mut self, version: ConfigVersion, now: Instant) {
        let own = self.own_entry();
        own.counter = own.counter.saturating_add(1);
        own.version = version;
        own.last_heartbeat = now;
    }

    /// Changes this host's row.
    pub(crate) fn change_own(&mut self, now: Instant, change: impl FnOnce(&mut Row)) {
        let own = self.own_entry();
        let before = own.row.clone();
        change(&mut own.row);
        if own.row != before {
            own.row.stamp += 1;
            own.hash = hash_row(&own.row);
            own.changed = now;
        }
    }

    pub(crate) fn own_counter(&self) -> u64 {
        self.entry(&self.own).map_or(0, |e| e.counter)
    }

    pub(crate) fn own_version(&self) -> ConfigVersion {
        self.entry(&self.own).map(|e| e.version).unwrap_or_default()
    }

    pub(crate) fn set_own_version(&mut self, version: ConfigVersion) {
        self.own_entry().version = version;
    }

    /// Merges a row and its heartbeat. Returns whether the row was newer.
    pub(crate) fn merge(&mut self, new: RowState, now: Instant) -> bool {
        let recency = |row: &Row| (row.incarnation, row.stamp);
        match self.find(&new.row.id) {
            Ok(index) if new.row.id == self.own => {
                self.refute(index, &new, now);
                false
            }
            Ok(index) => {
                let entry = &mut self.entries[index];
                let newer = recency(&new.row) > recency(&entry.row);
                if newer {
                    entry.hash = hash_row(&new.row);
                    entry.row = new.row;
                    entry.changed = now;
                }
                if new.counter > entry.counter {
                    entry.counter = new.counter;
                    entry.version = new.version;
                    entry.last_heartbeat = now;
                }
                newer
            }
            Err(index) => {
                let entry = Entry {
                    hash: hash_row(&new.row),
                    row: new.row,
                    counter: new.counter,
                    version: new.version,
                    last_heartbeat: now,
                    changed: now,
                    leaving: false,
                };
                self.entries.insert(index, entry);
                self.push_table();
                true
            }
        }
    }

    /// Supersedes a row of an earlier incarnation of this host, whose clock may have been ahead.
    fn refute(&mut self, index: usize, other: &RowState, now: Instant) {
        let own = &mut self.entries[index];
        let (theirs, ours) = (&other.row, &mut own.row);
        if (theirs.incarnation, theirs.stamp) > (ours.incarnation, ours.stamp) {
            ours.incarnation = theirs.incarnation.next();
            own.hash = hash_row(&own.row);
            own.changed = now;
        }
        own.counter = own.counter.max(other.counter.saturating_add(1));
    }

    fn push_table(&mut self) {
        let ids = self.entries.iter().map(|e| e.row.id.as_str().as_bytes());
        let hash = crate::hash(&ids.collect::<Vec<_>>());
        let table = self
            .entries
            .iter()
            .map(|e| (e.row.id.clone(), e.row.dc.clone()));
        self.tables.push_front((hash, table.collect()));
        self.tables.truncate(MAX_TABLES);
    }

    pub(crate) fn table(&self) -> u64 {
        self.tables.front().map_or(0, |(hash, _)| *hash)
    }

    /// Returns a hash of all rows that does not depend on their order.
    pub(crate) fn rows_hash(&self) -> u64 {
        self.entries
            .iter()
            .fold(0, |sum, e| sum.wrapping_add(e.hash))
    }

    /// Encodes the counters and versions of all hosts, or of those in this data centre.
    pub(crate) fn encode(&self, local: bool) -> (Vec<u8>, Vec<u8>) {
        let (counter, version) = self
            .entry(&self.own)
            .map_or((0, 0), |e| (e.counter, e.version.get()));
        let included = || {
            self.entries
                .iter()
                .filter(|e| !local || e.row.dc == self.dc)
        };
        let mut heartbeats = Vec::with_capacity(self.entries.len());
        for e in included() {
            codec::write_zigzag(&mut heartbeats, signed_difference(counter, e.counter));
        }
        let mut versions = Vec::new();
        let lags = included().map(|e| signed_difference(version, e.version.get()));
        codec::write_sparse(&mut versions, lags);
        (heartbeats, versions)
    }

    /// Merges newer counters and versions of a peer's message.
    pub(crate) fn decode(
        &mut self,
        msg: &crate::message::Exchange,
        dc: Option<&DataCentreId>,
        now: Instant,
    ) -> Result<(), InvalidMessage> {
        if let Ok(index) = self.find(&msg.host) {
            self.record_heartbeat(index, msg.counter, msg.version, now);
        }
        let Some((_, table)) = self.tables.iter().find(|(hash, _)| *hash == msg.table) else {
            return Ok(());
        };
        if msg.local && dc.is_none() {
            return Ok(());
        }
        let table = Arc::clone(table);
        let included = || table.iter().filter(|(_, of)| !msg.local || Some(of) == dc);
        let lags = Reader::new(&msg.versions)
            .read_sparse(included().count())
            .ok_or(InvalidMessage)?;
        let mut heartbeats = Reader::new(&msg.heartbeats);
        // Both lists are sorted, so a single pass merges them.
        let mut index = 0;
        for ((id, _), lag) in included().zip(lags) {
            let behind = heartbeats.read_zigzag().ok_or(InvalidMessage)?;
            if behind.unsigned_abs() > MAX_HEARTBEAT_LAG {
                return Err(InvalidMessage);
            }
            let counter = msg.counter.wrapping_sub(behind.cast_unsigned());
            let version = msg.version.get().wrapping_sub(lag.cast_unsigned());
            while self.entries.get(index).is_some_and(|e| e.row.id < *id) {
                index += 1;
            }
            if self.entries.get(index).is_some_and(|e| e.row.id == *id) {
                self.record_heartbeat(index, counter, ConfigVersion::new(version), now);
            }
        }
        if heartbeats.is_empty() {
            Ok(())
        } else {
            Err(InvalidMessage)
        }
    }

    fn record_heartbeat(
        &mut self,
        index: usize,
        counter: u64,
        version: ConfigVersion,
        now: Instant,
    ) {
        let entry = &mut self.entries[index];
        if counter <= entry.counter {
            return;
        }
        entry.counter = counter;
        if entry.row.id == self.own {
            // An earlier incarnation of this host counted further; continue from its counter.
            return;
        }
        entry.version = version;
        entry.last_heartbeat = now;
    }

    /// Returns the rows that changed recently, newest first.
    pub(crate) fn recent_rows(&self, now: Instant) -> Vec<RowState> {
        let limit = self.periods(RECENT_PERIODS);
        let mut recent: Vec<&Entry> = self.entries.iter().collect();
        recent.retain(|e| now.since(e.changed) < limit);
        recent.sort_by_key(|e| std::cmp::Reverse(e.changed));
        recent.truncate(MAX_RECENT_ROWS);
        recent.into_iter().map(Entry::to_row_state).collect()
    }

    /// Returns a digest of all rows: per row, four bytes of the hash of the name and two of the
    /// hash of the content, sorted.
    pub(crate) fn digest(&self) -> Vec<u8> {
        let mut bytes: Vec<[u8; 6]> = self.entries.iter().map(Entry::digest).collect();
        bytes.sort_unstable();
        bytes.concat()
    }

    /// Returns the rows that are missing from a peer's digest.
    pub(crate) fn rows_missing_from(&self, digest: &[u8]) -> Vec<RowState> {
        let (theirs, _) = digest.as_chunks::<6>();
        let missing = self
            .entries
            .iter()
            .filter(|e| theirs.binary_search(&e.digest()).is_err());
        missing.map(Entry::to_row_state).collect()
    }

    fn periods(&self, n: u64) -> Micros {
        Micros::new(self.period.get() * n)
    }

    fn state(&self, e: &Entry, now: Instant) -> MemberState {
        let silence = now.since(e.last_heartbeat);
        if e.row.id != self.own && silence >= self.periods(GONE_PERIODS) {
            MemberState::Gone
        } else if e.row.state == Readiness::Draining {
            MemberState::Draining
        } else if e.row.id != self.own && silence >= self.periods(SUSPECT_PERIODS) {
            MemberState::Suspected
        } else if e.leaving {
            MemberState::Leaving
        } else {
            MemberState::Alive
        }
    }

    /// Returns the time since the last heartbeat of a host that this host knows of.
    pub(crate) fn silence(&self, host: &HostId, now: Instant) -> Option<Micros> {
        let at = self.entries.binary_search_by(|e| e.row.id.cmp(host)).ok()?;
        Some(now.since(self.entries[at].last_heartbeat))
    }

    /// Returns all hosts, sorted by name.
    pub(crate) fn list(&self, now: Instant) -> Vec<Member> {
        let member = |e: &Entry| Member {
            id: e.row.id.clone(),
            dc: e.row.dc.clone(),
            addr: e.row.addr,
            peer_addr: e.row.peer_addr,
            capacity: e.row.capacity,
            incarnation: e.row.incarnation,
            state: self.state(e, now),
            ready: e.row.state == Readiness::Ready,
            version: e.version,
            lease_epoch: e.row.lease_epoch,
            retired_epoch: e.row.retired_epoch,
        };
        self.entries.iter().map(member).collect()
    }

    /// Excludes a time span, in which this host did not listen, from the silence of all hosts.
    pub(crate) fn extend_heartbeats(&mut self, gap: Micros) {
        for e in &mut self.entries {
            e.last_heartbeat = e.last_heartbeat + gap;
        }
    }

    /// Sets the hosts that the host list marks as leaving; `leaving` is sorted.
    pub(crate) fn set_leaving(&mut self, leaving: &[&str]) {
        for e in &mut self.entries {
            e.leaving = leaving.binary_search(&e.row.id.as_str()).is_ok();
        }
    }

    /// Returns the live hosts of a data centre, ranked by rendezvous hash for a key.
    pub(crate) fn ranked(&self, key: &str, dc: &DataCentreId, now: Instant) -> Vec<&HostId> {
        let live = |e: &&Entry| e.row.dc == *dc && self.state(e, now) == MemberState::Alive;
        let live: Vec<&str> = self
            .entries
            .iter()
            .filter(live)
            .map(|e| e.row.id.as_str())
            .collect();
        let ranked = types::rendezvous_rank(key, &live);
        let id = |name: &str| {
            let index = self
                .entries
                .binary_search_by(|e| e.row.id.as_str().cmp(name));
            index.ok().map(|index| &self.entries[index].row.id)
        };
        ranked.into_iter().filter_map(id).collect()
    }

    pub(crate) fn dc_of(&self, id: &HostId) -> Option<DataCentreId> {
        self.entry(id).map(|e| e.row.dc.clone())
    }

    pub(crate) fn addr_of(&self, id: &HostId) -> Option<SocketAddr> {
        self.entry(id).map(|e| e.row.peer_addr)
    }

    /// Removes hosts that have been gone for a long time, so that replaced hosts do not accumulate.
    pub(crate) fn remove_expired(&mut self, now: Instant) {
        let limit = self.periods(EXPIRE_PERIODS);
        let before = self.entries.len();
        let own = self.own.clone();
        self.entries
            .retain(|e| e.row.id == own || now.since(e.last_heartbeat) < limit);
        if self.entries.len() < before {
            self.push_table();
        }
    }
}

impl Entry {
    fn to_row_state(&self) -> RowState {
        RowState {
            row: self.row.clone(),
            counter: self.counter,
            version: self.version,
        }
    }

    fn digest(&self) -> [u8; 6] {
        let name = crate::hash(&[self.row.id.as_str().as_bytes()]).to_le_bytes();
        let content = self.hash.to_le_bytes();
        [name[0], name[1], name[2], name[3], content[0], content[1]]
    }
}
