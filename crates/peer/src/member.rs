//! Membership of entry hosts by heartbeat counters.

use std::{collections::VecDeque, net::SocketAddr, sync::Arc};

use types::{ConfigVersion, DataCentreId, Epoch, HostId, Incarnation, Instant, Micros, Millicores};

use crate::{
    codec::{self, Reader},
    event::Garbage,
    message::{Readiness, Row, RowState},
};

/// Exchange periods without a heartbeat after which a host is suspected.
///
/// The oldest heartbeat seen in a simulation without losses was 3.0 periods old with 7 hosts and
/// 5.5 periods with 390.
const SUSPECT_PERIODS: u64 = 8;

/// Exchange periods without a heartbeat after which a host counts as gone.
const GONE_PERIODS: u64 = 20;

/// Exchange periods after which a host that is gone is forgotten.
const FORGET_PERIODS: u64 = 600;

/// Exchange periods for which a changed row is sent along with every exchange.
const HOT_PERIODS: u64 = 10;

/// Rows sent along with an exchange; more are pulled.
const MAX_HOT_ROWS: usize = 8;

/// Tables of host names that are remembered to read messages of peers that lag behind.
const PAST_TABLES: usize = 16;

/// Whether an entry host can be reached and takes work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MemberState {
    /// Its heartbeat arrives.
    Alive,
    /// Its heartbeat is late.
    Suspected,
    /// Its heartbeat stopped.
    Gone,
    /// The platform's list says that it leaves.
    Leaving,
    /// It finishes its requests before it stops.
    Draining,
}

/// Entry host as the others see it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    /// Name.
    pub id: HostId,
    /// Data centre that it is in.
    pub dc: DataCentreId,
    /// Address for HTTP.
    pub addr: SocketAddr,
    /// Address for other entry hosts.
    pub peer_addr: SocketAddr,
    /// Processor capacity of its machine.
    pub capacity: Millicores,
    /// Life of its process, as it says itself.
    pub incarnation: Incarnation,
    /// Whether it can be reached and takes work.
    pub state: MemberState,
    /// Whether it serves callers.
    pub ready: bool,
    /// Version in force on it, zero if none.
    pub version: ConfigVersion,
    /// Epoch of the lease that it holds.
    pub lease_epoch: Option<Epoch>,
    /// Highest epoch that it gave up.
    pub retired_epoch: Option<Epoch>,
}

#[derive(Clone, Debug)]
struct Known {
    row: Row,
    hash: u64,
    counter: u64,
    version: ConfigVersion,
    /// When the counter last rose.
    heard: Instant,
    /// When the row last changed.
    changed: Instant,
    leaving: bool,
}

/// Counters start at the clock's seconds, so a larger difference is no heartbeat.
const MAX_LAG: u64 = 1 << 40;

type Table = Arc<[(HostId, DataCentreId)]>;

/// All entry hosts that were heard of, this one included.
#[derive(Debug)]
pub(crate) struct Members {
    own: HostId,
    dc: DataCentreId,
    period: Micros,
    /// Sorted by id.
    known: Vec<Known>,
    /// Tables with their hashes, newest first.
    tables: VecDeque<(u64, Table)>,
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
            known: Vec::new(),
            tables: VecDeque::new(),
        };
        members.merge(own, now);
        members
    }

    fn find(&self, id: &HostId) -> Result<usize, usize> {
        self.known.binary_search_by(|k| k.row.id.cmp(id))
    }

    fn get(&self, id: &HostId) -> Option<&Known> {
        self.find(id).ok().map(|at| &self.known[at])
    }

    fn own(&mut self) -> &mut Known {
        let at = self.find(&self.own).expect("the host knows itself");
        &mut self.known[at]
    }

    /// Counts the own heartbeat.
    pub(crate) fn beat(&mut self, version: ConfigVersion, now: Instant) {
        let own = self.own();
        own.counter = own.counter.saturating_add(1);
        own.version = version;
        own.heard = now;
    }

    /// Changes the own row.
    pub(crate) fn change_own(&mut self, now: Instant, change: impl FnOnce(&mut Row)) {
        let own = self.own();
        let before = own.row.clone();
        change(&mut own.row);
        if own.row != before {
            own.row.stamp += 1;
            own.hash = hash_row(&own.row);
            own.changed = now;
        }
    }

    pub(crate) fn own_counter(&self) -> u64 {
        self.get(&self.own).map_or(0, |k| k.counter)
    }

    pub(crate) fn own_version(&self) -> ConfigVersion {
        self.get(&self.own).map(|k| k.version).unwrap_or_default()
    }

    pub(crate) fn set_own_version(&mut self, version: ConfigVersion) {
        self.own().version = version;
    }

    /// Takes over a row if it is newer; returns whether it was.
    pub(crate) fn merge(&mut self, new: RowState, now: Instant) -> bool {
        let life = |row: &Row| (row.incarnation, row.stamp);
        match self.find(&new.row.id) {
            Ok(at) if new.row.id == self.own => {
                self.refute(at, &new, now);
                false
            }
            Ok(at) => {
                let known = &mut self.known[at];
                let newer = life(&new.row) > life(&known.row);
                if newer {
                    known.hash = hash_row(&new.row);
                    known.row = new.row;
                    known.changed = now;
                }
                if new.counter > known.counter {
                    known.counter = new.counter;
                    known.version = new.version;
                    known.heard = now;
                }
                newer
            }
            Err(at) => {
                let known = Known {
                    hash: hash_row(&new.row),
                    row: new.row,
                    counter: new.counter,
                    version: new.version,
                    heard: now,
                    changed: now,
                    leaving: false,
                };
                self.known.insert(at, known);
                self.remember_table();
                true
            }
        }
    }

    /// Outbids a row of this host's former life, whose clock may have been ahead.
    fn refute(&mut self, at: usize, claim: &RowState, now: Instant) {
        let own = &mut self.known[at];
        let (theirs, ours) = (&claim.row, &mut own.row);
        if (theirs.incarnation, theirs.stamp) > (ours.incarnation, ours.stamp) {
            ours.incarnation = theirs.incarnation.next();
            own.hash = hash_row(&own.row);
            own.changed = now;
        }
        own.counter = own.counter.max(claim.counter.saturating_add(1));
    }

    fn remember_table(&mut self) {
        let ids = self.known.iter().map(|k| k.row.id.as_str().as_bytes());
        let hash = crate::hash(&ids.collect::<Vec<_>>());
        let table = self
            .known
            .iter()
            .map(|k| (k.row.id.clone(), k.row.dc.clone()));
        self.tables.push_front((hash, table.collect()));
        self.tables.truncate(PAST_TABLES);
    }

    pub(crate) fn table(&self) -> u64 {
        self.tables.front().map_or(0, |(hash, _)| *hash)
    }

    /// Hash over all rows, independent of their order.
    pub(crate) fn rows_hash(&self) -> u64 {
        self.known.iter().fold(0, |sum, k| sum.wrapping_add(k.hash))
    }

    /// Encodes the counters and versions of all hosts or those of the own data centre.
    pub(crate) fn encode(&self, local: bool) -> (Vec<u8>, Vec<u8>) {
        let (counter, version) = self
            .get(&self.own)
            .map_or((0, 0), |k| (k.counter, k.version.get()));
        let included = || self.known.iter().filter(|k| !local || k.row.dc == self.dc);
        let mut beats = Vec::with_capacity(self.known.len());
        for k in included() {
            codec::put_signed(&mut beats, signed_difference(counter, k.counter));
        }
        let mut versions = Vec::new();
        let lags = included().map(|k| signed_difference(version, k.version.get()));
        codec::put_sparse(&mut versions, lags);
        (beats, versions)
    }

    /// Takes over the counters and versions that are newer.
    pub(crate) fn decode(
        &mut self,
        msg: &crate::message::Exchange,
        dc: Option<&DataCentreId>,
        now: Instant,
    ) -> Result<(), Garbage> {
        if let Ok(at) = self.find(&msg.host) {
            self.heard(at, msg.counter, msg.version, now);
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
            .sparse(included().count())
            .ok_or(Garbage)?;
        let mut beats = Reader::new(&msg.beats);
        // Both lists are sorted, so one walk over them replaces a search for each host.
        let mut at = 0;
        for ((id, _), lag) in included().zip(lags) {
            let behind = beats.signed().ok_or(Garbage)?;
            if behind.unsigned_abs() > MAX_LAG {
                return Err(Garbage);
            }
            let counter = msg.counter.wrapping_sub(behind.cast_unsigned());
            let version = msg.version.get().wrapping_sub(lag.cast_unsigned());
            while self.known.get(at).is_some_and(|k| k.row.id < *id) {
                at += 1;
            }
            if self.known.get(at).is_some_and(|k| k.row.id == *id) {
                self.heard(at, counter, ConfigVersion::new(version), now);
            }
        }
        if beats.is_empty() {
            Ok(())
        } else {
            Err(Garbage)
        }
    }

    fn heard(&mut self, at: usize, counter: u64, version: ConfigVersion, now: Instant) {
        let known = &mut self.known[at];
        if counter <= known.counter {
            return;
        }
        known.counter = counter;
        if known.row.id == self.own {
            // A former life of this host counted further; the next heartbeat continues from there.
            return;
        }
        known.version = version;
        known.heard = now;
    }

    /// Returns rows that changed lately, newest first.
    pub(crate) fn hot_rows(&self, now: Instant) -> Vec<RowState> {
        let limit = self.periods(HOT_PERIODS);
        let mut hot: Vec<&Known> = self.known.iter().collect();
        hot.retain(|k| now.since(k.changed) < limit);
        hot.sort_by_key(|k| std::cmp::Reverse(k.changed));
        hot.truncate(MAX_HOT_ROWS);
        hot.into_iter().map(Known::wire).collect()
    }

    /// Returns a digest of all rows: four bytes for the name and two for the content.
    pub(crate) fn digest(&self) -> Vec<u8> {
        let mut bytes: Vec<[u8; 6]> = self.known.iter().map(Known::digest).collect();
        bytes.sort_unstable();
        bytes.concat()
    }

    /// Returns the rows that are not in a peer's digest.
    pub(crate) fn rows_beyond(&self, digest: &[u8]) -> Vec<RowState> {
        let (theirs, _) = digest.as_chunks::<6>();
        let lacking = self
            .known
            .iter()
            .filter(|k| theirs.binary_search(&k.digest()).is_err());
        lacking.map(Known::wire).collect()
    }

    fn periods(&self, n: u64) -> Micros {
        Micros::new(self.period.get() * n)
    }

    fn state(&self, k: &Known, now: Instant) -> MemberState {
        let silent = now.since(k.heard);
        if k.row.id != self.own && silent >= self.periods(GONE_PERIODS) {
            MemberState::Gone
        } else if k.row.state == Readiness::Draining {
            MemberState::Draining
        } else if k.row.id != self.own && silent >= self.periods(SUSPECT_PERIODS) {
            MemberState::Suspected
        } else if k.leaving {
            MemberState::Leaving
        } else {
            MemberState::Alive
        }
    }

    /// Returns the hosts in rising order of their names.
    pub(crate) fn list(&self, now: Instant) -> Vec<Member> {
        let member = |k: &Known| Member {
            id: k.row.id.clone(),
            dc: k.row.dc.clone(),
            addr: k.row.addr,
            peer_addr: k.row.peer_addr,
            capacity: k.row.capacity,
            incarnation: k.row.incarnation,
            state: self.state(k, now),
            ready: k.row.state == Readiness::Ready,
            version: k.version,
            lease_epoch: k.row.lease_epoch,
            retired_epoch: k.row.retired_epoch,
        };
        self.known.iter().map(member).collect()
    }

    /// Leaves a time out of the silence of every host.
    pub(crate) fn forgive(&mut self, gap: Micros) {
        for k in &mut self.known {
            k.heard = k.heard + gap;
        }
    }

    /// Notes which hosts the platform's list says are leaving; the list is sorted.
    pub(crate) fn set_leaving(&mut self, leaving: &[&str]) {
        for k in &mut self.known {
            k.leaving = leaving.binary_search(&k.row.id.as_str()).is_ok();
        }
    }

    /// Returns the live hosts of a data centre in falling order of their rank for a key.
    pub(crate) fn ranked(&self, key: &str, dc: &DataCentreId, now: Instant) -> Vec<&HostId> {
        let live = |k: &&Known| k.row.dc == *dc && self.state(k, now) == MemberState::Alive;
        let live: Vec<&str> = self
            .known
            .iter()
            .filter(live)
            .map(|k| k.row.id.as_str())
            .collect();
        let ranked = types::rank(key, &live);
        let id = |name: &str| {
            let at = self.known.binary_search_by(|k| k.row.id.as_str().cmp(name));
            at.ok().map(|at| &self.known[at].row.id)
        };
        ranked.into_iter().filter_map(id).collect()
    }

    pub(crate) fn dc_of(&self, id: &HostId) -> Option<DataCentreId> {
        self.get(id).map(|k| k.row.dc.clone())
    }

    pub(crate) fn addr_of(&self, id: &HostId) -> Option<SocketAddr> {
        self.get(id).map(|k| k.row.peer_addr)
    }

    /// Forgets hosts that have been gone for long, so that replaced hosts do not pile up.
    pub(crate) fn forget(&mut self, now: Instant) {
        let limit = self.periods(FORGET_PERIODS);
        let before = self.known.len();
        let own = self.own.clone();
        self.known
            .retain(|k| k.row.id == own || now.since(k.heard) < limit);
        if self.known.len() < before {
            self.remember_table();
        }
    }
}

impl Known {
    fn wire(&self) -> RowState {
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
