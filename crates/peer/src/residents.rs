//! Models that are resident in each data centre.

use types::{DataCentreId, Instant, Micros, ModelId};

use crate::{
    codec::{self, Reader},
    event::{Garbage, Outgoing},
    message::Residents,
};

/// Shortest time between two changes that a data centre publishes.
///
/// At design size the weight store starts 1.4 loads a second; unthrottled, each would reach all
/// 390 hosts by itself.
const PUBLISH_PERIOD: Micros = Micros::from_secs(10);

const BITMAP: u8 = 0;
const GAPS: u8 = 1;

#[derive(Debug)]
struct Record {
    residents: Residents,
    hash: u64,
    /// Hash of the record that the router was told, zero when it was told of none.
    told: Option<u64>,
}

/// Models that are resident in each data centre, as its first-ranked host publishes them.
#[derive(Debug, Default)]
pub(crate) struct AllResidents {
    /// Sorted by data centre.
    records: Vec<Record>,
    /// Sorted.
    table: Vec<ModelId>,
    hash: u32,
    own: Vec<ModelId>,
    published: Option<Instant>,
}

impl AllResidents {
    /// Replaces the sorted list of models of the configuration.
    pub(crate) fn set_table(&mut self, table: Vec<ModelId>) {
        let names: Vec<&[u8]> = table.iter().map(|id| id.as_str().as_bytes()).collect();
        self.hash = crate::short_hash(&names);
        self.table = table;
    }

    /// Sets the models that are resident in the own data centre.
    pub(crate) fn set_own(&mut self, mut models: Vec<ModelId>) {
        models.sort();
        models.dedup();
        self.own = models;
    }

    fn find(&self, dc: &DataCentreId) -> Result<usize, usize> {
        self.records.binary_search_by(|r| r.residents.dc.cmp(dc))
    }

    /// Publishes the own residents if they changed and the last change is long enough ago.
    pub(crate) fn publish(&mut self, dc: &DataCentreId, now: Instant) {
        if self
            .published
            .is_some_and(|at| now.since(at) < PUBLISH_PERIOD)
        {
            return;
        }
        let models = encode(&self.table, &self.own);
        let found = self.find(dc);
        let known = found.ok().map(|at| &self.records[at].residents);
        if known.is_some_and(|r| r.table == self.hash && r.models == models) {
            return;
        }
        let stamp = known.map_or(1, |r| r.stamp.saturating_add(1));
        self.published = Some(now);
        self.put(Residents {
            dc: dc.clone(),
            stamp,
            table: self.hash,
            models,
        });
    }

    fn put(&mut self, new: Residents) {
        let stamp = new.stamp.to_le_bytes();
        let hash = crate::hash(&[new.dc.as_str().as_bytes(), &stamp, &new.models]).max(1);
        match self.find(&new.dc) {
            Ok(at) => {
                self.records[at].residents = new;
                self.records[at].hash = hash;
            }
            Err(at) => self.records.insert(
                at,
                Record {
                    residents: new,
                    hash,
                    told: None,
                },
            ),
        }
    }

    /// Takes over records that are newer.
    pub(crate) fn merge(&mut self, records: Vec<Residents>) {
        for new in records {
            let known = self
                .find(&new.dc)
                .ok()
                .map(|at| &self.records[at].residents);
            let order = |r: &Residents| (r.stamp, r.table, r.models.clone());
            if known.is_none_or(|k| order(k) < order(&new)) {
                self.put(new);
            }
        }
    }

    pub(crate) fn digest_hash(&self) -> u32 {
        let parts = self.records.iter().map(|r| r.hash);
        let sum = parts.fold(0_u64, u64::wrapping_add).to_le_bytes();
        u32::from_le_bytes([sum[0], sum[1], sum[2], sum[3]])
    }

    pub(crate) fn stamps(&self) -> Vec<(DataCentreId, u64)> {
        let records = self.records.iter().map(|r| &r.residents);
        records.map(|r| (r.dc.clone(), r.stamp)).collect()
    }

    /// Returns the records that are not older than a peer's stamps.
    pub(crate) fn beyond(&self, stamps: &[(DataCentreId, u64)]) -> Vec<Residents> {
        let newer = |r: &&Residents| {
            let theirs = stamps.iter().find(|(dc, _)| *dc == r.dc);
            theirs.is_none_or(|(_, stamp)| *stamp < r.stamp)
        };
        let records = self.records.iter().map(|r| &r.residents);
        records.filter(newer).cloned().collect()
    }

    /// Tells the router what changed; a data centre that can't be reached holds nothing.
    pub(crate) fn tell(
        &mut self,
        own: &DataCentreId,
        reachable: impl Fn(&DataCentreId) -> bool,
        out: &mut Vec<Outgoing>,
    ) -> Result<(), Garbage> {
        let mut garbage = false;
        let others = self.records.iter_mut();
        for r in others.filter(|r| r.residents.dc != *own) {
            let reachable = reachable(&r.residents.dc);
            let state = Some(if reachable { r.hash } else { 0 });
            // A record of another list of models can't be read; a new one follows.
            if state == r.told || (reachable && r.residents.table != self.hash) {
                continue;
            }
            r.told = state;
            let models = if reachable {
                decode(&self.table, &r.residents.models)
            } else {
                Some(Vec::new())
            };
            let dc = r.residents.dc.clone();
            match models {
                Some(models) => out.push(Outgoing::Remote { dc, models }),
                None => garbage = true,
            }
        }
        if garbage { Err(Garbage) } else { Ok(()) }
    }
}

/// Encodes which of the sorted `table` are in `models`, as a bitmap or as gaps.
fn encode(table: &[ModelId], models: &[ModelId]) -> Vec<u8> {
    let mut bitmap = vec![0; table.len().div_ceil(8) + 1];
    bitmap[0] = BITMAP;
    let mut gaps = vec![GAPS];
    let mut next = 0;
    for at in models.iter().filter_map(|m| table.binary_search(m).ok()) {
        bitmap[1 + at / 8] |= 1 << (at % 8);
        codec::put(&mut gaps, (at - next) as u64);
        next = at + 1;
    }
    if gaps.len() < bitmap.len() {
        gaps
    } else {
        bitmap
    }
}

fn decode(table: &[ModelId], bytes: &[u8]) -> Option<Vec<ModelId>> {
    let mut r = Reader::new(bytes);
    let mut models = Vec::new();
    let mut at = 0;
    match r.byte()? {
        BITMAP => {
            while let Some(byte) = r.byte() {
                let set = (0..8).filter(|bit| byte & (1 << bit) != 0);
                for bit in set {
                    models.push(table.get(at + bit)?.clone());
                }
                at += 8;
            }
        }
        GAPS => {
            while !r.is_empty() {
                at = at.checked_add(usize::try_from(r.number()?).ok()?)?;
                models.push(table.get(at)?.clone());
                at += 1;
            }
        }
        _ => return None,
    }
    Some(models)
}
