//! Digests of the load of the data centre's backend servers.

use std::collections::BTreeMap;

use route::{BackendLoad, Liveness};
use types::{BackendId, Incarnation, Instant, Micros};

use crate::{
    codec::{self, Reader},
    event::{Garbage, Outgoing},
};

/// A view older than this is not sent: every host of the data centre has had it several times.
const SEND_AGE: Micros = Micros::from_millis(2_000);

/// A reply omits views that are newer than the asker's by less than this.
const MIN_GAIN: Micros = Micros::from_millis(250);

/// Unit in which the age of a view is sent.
const AGE_UNIT: u64 = 20_000;

/// Time for which a new life of a server process is sent in full; afterwards a check byte is.
const LIFE_NEWS: Micros = Micros::from_secs(30);

/// Time for which new residents are told; a host that misses it polls the server in its turn.
const RESIDENTS_NEWS: Micros = Micros::from_secs(10);

const LIFE_IN_FULL: u8 = 4;

const RESIDENTS_TOLD: u8 = 8;

#[derive(Clone, Copy, Debug)]
struct View {
    load: BackendLoad,
    /// When the reporting host saw it.
    seen: Instant,
    life_since: Instant,
    residents_since: Instant,
}

/// Newest views of the load of the data centre's backend servers.
#[derive(Debug, Default)]
pub(crate) struct Loads {
    /// Sorted.
    table: Vec<BackendId>,
    hash: u32,
    views: Vec<Option<View>>,
}

/// Views of a peer's message by the index of their backend server.
pub(crate) type Seen = BTreeMap<usize, Instant>;

impl Loads {
    pub(crate) fn hash(&self) -> u32 {
        self.hash
    }

    /// Replaces the sorted list of backend servers, keeping the views of those that stay.
    pub(crate) fn set_table(&mut self, table: Vec<BackendId>) {
        if table == self.table && !table.is_empty() {
            return;
        }
        let views = table
            .iter()
            .map(|id| self.find(id).and_then(|at| self.views[at]));
        self.views = views.collect();
        let names: Vec<&[u8]> = table.iter().map(|id| id.as_str().as_bytes()).collect();
        self.hash = crate::short_hash(&names);
        self.table = table;
    }

    fn find(&self, id: &BackendId) -> Option<usize> {
        self.table.binary_search(id).ok()
    }

    /// Takes over what this host saw itself.
    pub(crate) fn report(&mut self, id: &BackendId, load: BackendLoad, seen: Instant) {
        if let Some(at) = self.find(id) {
            self.set(at, load, seen);
        }
    }

    fn set(&mut self, at: usize, load: BackendLoad, seen: Instant) -> bool {
        let view = &mut self.views[at];
        if view.is_some_and(|v| v.seen >= seen) {
            return false;
        }
        let same_life = view.filter(|v| v.load.incarnation == load.incarnation);
        let same_residents = view.filter(|v| v.load.residents == load.residents);
        *view = Some(View {
            load,
            seen,
            life_since: same_life.map_or(seen, |v| v.life_since),
            residents_since: same_residents.map_or(seen, |v| v.residents_since),
        });
        true
    }

    /// Encodes the young views, leaving out those that `theirs` has about as new.
    pub(crate) fn encode(&self, theirs: Option<&Seen>, now: Instant) -> Vec<u8> {
        let mut buf = Vec::new();
        let mut next = 0;
        for (at, view) in self.views.iter().enumerate() {
            let Some(view) = view else { continue };
            let old = now.since(view.seen) > SEND_AGE;
            let known = theirs.and_then(|t| t.get(&at));
            if old || known.is_some_and(|seen| *seen + MIN_GAIN > view.seen) {
                continue;
            }
            codec::put(&mut buf, (at - next) as u64);
            next = at + 1;
            view.encode(&mut buf, now);
        }
        buf
    }

    /// Takes over newer views and returns the ages of all views in the message.
    pub(crate) fn decode(
        &mut self,
        bytes: &[u8],
        now: Instant,
        out: &mut Vec<Outgoing>,
    ) -> Result<Seen, Garbage> {
        let mut r = Reader::new(bytes);
        let mut seen = Seen::new();
        let mut at = 0;
        while !r.is_empty() {
            let skip = r.number().and_then(|n| usize::try_from(n).ok());
            at = skip.and_then(|n| n.checked_add(at)).ok_or(Garbage)?;
            let known = *self.views.get(at).ok_or(Garbage)?;
            let (load, age) = decode_view(&mut r, known).ok_or(Garbage)?;
            let then = before(now, age);
            seen.insert(at, then);
            if let Some(load) = load
                && self.set(at, load, then)
            {
                let backend = self.table[at].clone();
                out.push(Outgoing::Digest { backend, load, age });
            }
            at += 1;
        }
        Ok(seen)
    }
}

impl View {
    fn encode(&self, buf: &mut Vec<u8>, now: Instant) {
        let in_full = now.since(self.life_since) < LIFE_NEWS;
        let liveness = match self.load.liveness {
            Liveness::Live => 0,
            Liveness::Leaving => 1,
            Liveness::Dead => 2,
        };
        let tell = now.since(self.residents_since) < RESIDENTS_NEWS;
        let life = if in_full { LIFE_IN_FULL } else { 0 };
        buf.push(liveness | life | if tell { RESIDENTS_TOLD } else { 0 });
        if in_full {
            codec::put(buf, self.load.incarnation.get());
        } else {
            buf.push(check_byte(self.load.incarnation));
        }
        codec::put(buf, u64::from(self.load.in_flight));
        codec::put(buf, u64::from(self.load.own));
        codec::put(buf, u64::from(self.load.tokens_per_second));
        if tell {
            buf.extend_from_slice(&self.load.residents.to_le_bytes());
        }
        // Rounding up keeps a view from becoming younger on its way.
        codec::put(buf, now.since(self.seen).get().div_ceil(AGE_UNIT));
    }
}

fn check_byte(life: Incarnation) -> u8 {
    crate::hash(&[&life.get().to_le_bytes()]).to_le_bytes()[0]
}

/// Decodes a view; the load is absent when it is of a life that is not known in full.
fn decode_view(r: &mut Reader<'_>, known: Option<View>) -> Option<(Option<BackendLoad>, Micros)> {
    let flags = r.byte()?;
    let liveness = match flags & !(LIFE_IN_FULL | RESIDENTS_TOLD) {
        0 => Liveness::Live,
        1 => Liveness::Leaving,
        2 => Liveness::Dead,
        _ => return None,
    };
    let incarnation = if flags & LIFE_IN_FULL == 0 {
        let check = r.byte()?;
        known
            .map(|v| v.load.incarnation)
            .filter(|life| check_byte(*life) == check)
    } else {
        Some(Incarnation::new(r.number()?))
    };
    let in_flight = u16::try_from(r.number()?).ok()?;
    let own = u16::try_from(r.number()?).ok()?;
    let tokens_per_second = u32::try_from(r.number()?).ok()?;
    let residents = if flags & RESIDENTS_TOLD == 0 {
        known.map(|v| v.load.residents).unwrap_or_default()
    } else {
        u16::from_le_bytes([r.byte()?, r.byte()?])
    };
    let age = Micros::new(r.number()?.checked_mul(AGE_UNIT)?);
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

fn before(now: Instant, age: Micros) -> Instant {
    Instant::from_micros(now.as_micros().saturating_sub(age.get()))
}
