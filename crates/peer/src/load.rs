//! Load digests of the backend servers of this data centre.

use std::collections::BTreeMap;

use route::{BackendLoad, Liveness};
use types::{BackendId, Incarnation, Instant, Micros};

use crate::{
    codec::{self, Reader},
    event::{InvalidMessage, Update},
};

/// Age above which a view is not sent, since by then every host of the data centre has received it
/// several times.
const MAX_SEND_AGE: Micros = Micros::from_millis(2_000);

/// Minimum age difference for which a reply includes a newer view than the requester's.
const MIN_AGE_GAIN: Micros = Micros::from_millis(250);

/// Unit in which the age of a view is sent, in microseconds.
const AGE_UNIT: u64 = 20_000;

/// Time for which a new incarnation of a server is sent in full; later a check byte replaces it.
const FULL_INCARNATION_PERIOD: Micros = Micros::from_secs(30);

/// Time for which changed residents are sent; a host that misses them polls the server later.
const RESIDENTS_SEND_PERIOD: Micros = Micros::from_secs(10);

/// Flag of a view that holds the full incarnation.
const FLAG_FULL_INCARNATION: u8 = 4;

/// Flag of a view that holds the checksum of the residents.
const FLAG_RESIDENTS: u8 = 8;

#[derive(Clone, Copy, Debug)]
struct LoadView {
    load: BackendLoad,
    /// When the reporting host observed it.
    seen: Instant,
    incarnation_since: Instant,
    residents_since: Instant,
}

/// Newest view of the load of each backend server of this data centre.
#[derive(Debug, Default)]
pub(crate) struct Loads {
    /// Backend servers, sorted.
    table: Vec<BackendId>,
    hash: u32,
    views: Vec<Option<LoadView>>,
}

/// Times at which the views of a peer's message were observed, by index of the backend server.
pub(crate) type ViewTimes = BTreeMap<usize, Instant>;

impl Loads {
    pub(crate) fn hash(&self) -> u32 {
        self.hash
    }

    /// Replaces the sorted list of backend servers and keeps the views of those that remain.
    pub(crate) fn set_table(&mut self, table: Vec<BackendId>) {
        if table == self.table && !table.is_empty() {
            return;
        }
        let views = table
            .iter()
            .map(|id| self.find(id).and_then(|index| self.views[index]));
        self.views = views.collect();
        let names: Vec<&[u8]> = table.iter().map(|id| id.as_str().as_bytes()).collect();
        self.hash = crate::short_hash(&names);
        self.table = table;
    }

    fn find(&self, id: &BackendId) -> Option<usize> {
        self.table.binary_search(id).ok()
    }

    /// Records a load that this host observed.
    pub(crate) fn report(&mut self, id: &BackendId, load: BackendLoad, seen: Instant) {
        if let Some(index) = self.find(id) {
            self.set(index, load, seen);
        }
    }

    fn set(&mut self, index: usize, load: BackendLoad, seen: Instant) -> bool {
        let view = &mut self.views[index];
        if view.is_some_and(|v| v.seen >= seen) {
            return false;
        }
        let same_incarnation = view.filter(|v| v.load.incarnation == load.incarnation);
        let same_residents = view.filter(|v| v.load.residents == load.residents);
        *view = Some(LoadView {
            load,
            seen,
            incarnation_since: same_incarnation.map_or(seen, |v| v.incarnation_since),
            residents_since: same_residents.map_or(seen, |v| v.residents_since),
        });
        true
    }

    /// Encodes the recent views, except those that are about as recent in `theirs`.
    pub(crate) fn encode(&self, theirs: Option<&ViewTimes>, now: Instant) -> Vec<u8> {
        let mut buf = Vec::new();
        let mut next = 0;
        for (index, view) in self.views.iter().enumerate() {
            let Some(view) = view else { continue };
            let expired = now.since(view.seen) > MAX_SEND_AGE;
            let known = theirs.and_then(|t| t.get(&index));
            if expired || known.is_some_and(|seen| *seen + MIN_AGE_GAIN > view.seen) {
                continue;
            }
            codec::write_varint(&mut buf, (index - next) as u64);
            next = index + 1;
            view.encode(&mut buf, now);
        }
        buf
    }

    /// Merges newer views. Returns when each view of the message was observed.
    pub(crate) fn decode(
        &mut self,
        bytes: &[u8],
        now: Instant,
        out: &mut Vec<Update>,
    ) -> Result<ViewTimes, InvalidMessage> {
        let mut reader = Reader::new(bytes);
        let mut seen = ViewTimes::new();
        let mut index = 0;
        while !reader.is_empty() {
            let skip = reader.read_varint().and_then(|n| usize::try_from(n).ok());
            index = skip
                .and_then(|n| n.checked_add(index))
                .ok_or(InvalidMessage)?;
            let known = *self.views.get(index).ok_or(InvalidMessage)?;
            let (load, age) = decode_view(&mut reader, known).ok_or(InvalidMessage)?;
            let seen_at = time_before(now, age);
            seen.insert(index, seen_at);
            if let Some(load) = load
                && self.set(index, load, seen_at)
            {
                let backend = self.table[index].clone();
                out.push(Update::Digest { backend, load, age });
            }
            index += 1;
        }
        Ok(seen)
    }
}

impl LoadView {
    fn encode(&self, buf: &mut Vec<u8>, now: Instant) {
        let in_full = now.since(self.incarnation_since) < FULL_INCARNATION_PERIOD;
        let liveness = match self.load.liveness {
            Liveness::Live => 0,
            Liveness::Leaving => 1,
            Liveness::Dead => 2,
        };
        let send_residents = now.since(self.residents_since) < RESIDENTS_SEND_PERIOD;
        let full_flag = if in_full { FLAG_FULL_INCARNATION } else { 0 };
        buf.push(liveness | full_flag | if send_residents { FLAG_RESIDENTS } else { 0 });
        if in_full {
            codec::write_varint(buf, self.load.incarnation.get());
        } else {
            buf.push(check_byte(self.load.incarnation));
        }
        codec::write_varint(buf, u64::from(self.load.in_flight));
        codec::write_varint(buf, u64::from(self.load.own));
        codec::write_varint(buf, u64::from(self.load.tokens_per_second));
        if send_residents {
            buf.extend_from_slice(&self.load.residents.to_le_bytes());
        }
        // Rounded up, so that a view never gets younger in transit.
        codec::write_varint(buf, now.since(self.seen).get().div_ceil(AGE_UNIT));
    }
}

fn check_byte(incarnation: Incarnation) -> u8 {
    crate::hash(&[&incarnation.get().to_le_bytes()]).to_le_bytes()[0]
}

/// Decodes a view. The load is `None` when only the check byte of an unknown incarnation was sent.
fn decode_view(
    reader: &mut Reader<'_>,
    known: Option<LoadView>,
) -> Option<(Option<BackendLoad>, Micros)> {
    let flags = reader.read_byte()?;
    let liveness = match flags & !(FLAG_FULL_INCARNATION | FLAG_RESIDENTS) {
        0 => Liveness::Live,
        1 => Liveness::Leaving,
        2 => Liveness::Dead,
        _ => return None,
    };
    let incarnation = if flags & FLAG_FULL_INCARNATION == 0 {
        let check = reader.read_byte()?;
        known
            .map(|v| v.load.incarnation)
            .filter(|known| check_byte(*known) == check)
    } else {
        Some(Incarnation::new(reader.read_varint()?))
    };
    let in_flight = u16::try_from(reader.read_varint()?).ok()?;
    let own = u16::try_from(reader.read_varint()?).ok()?;
    let tokens_per_second = u32::try_from(reader.read_varint()?).ok()?;
    let residents = if flags & FLAG_RESIDENTS == 0 {
        known.map(|v| v.load.residents).unwrap_or_default()
    } else {
        u16::from_le_bytes([reader.read_byte()?, reader.read_byte()?])
    };
    let age = Micros::new(reader.read_varint()?.checked_mul(AGE_UNIT)?);
    let load = incarnation.map(|incarnation| BackendLoad {
        incarnation,
        liveness,
        in_flight,
        own,
        tokens_per_second,
        residents,
    });
    Some((load, age))
}

fn time_before(now: Instant, age: Micros) -> Instant {
    Instant::from_micros(now.as_micros().saturating_sub(age.get()))
}
