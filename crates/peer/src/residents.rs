//! Propagation of the models that are resident in each data centre.

use types::{DataCentreId, Instant, Micros, ModelId};

use crate::{
    codec::{self, Reader},
    event::{InvalidMessage, Update},
    message::Residents,
};

/// Minimum time between two changes that a data centre publishes.
///
/// At design size the weight store starts 1.4 loads per second; without throttling, each would be
/// sent to all 390 hosts separately.
const PUBLISH_PERIOD: Micros = Micros::from_secs(10);

const BITMAP: u8 = 0;
const DELTAS: u8 = 1;

#[derive(Debug)]
struct Record {
    residents: Residents,
    hash: u64,
    /// Hash of the record that was last reported to the router; zero if an empty one was.
    reported: Option<u64>,
}

/// Models that are resident in each data centre, as published by its highest-ranked host.
#[derive(Debug, Default)]
pub(crate) struct ResidentsTable {
    /// Records, sorted by data centre.
    records: Vec<Record>,
    /// Models of the configuration, sorted.
    table: Vec<ModelId>,
    hash: u32,
    own: Vec<ModelId>,
    published: Option<Instant>,
}

impl ResidentsTable {
    /// Replaces the sorted list of models of the configuration.
    pub(crate) fn set_table(&mut self, table: Vec<ModelId>) {
        let names: Vec<&[u8]> = table.iter().map(|id| id.as_str().as_bytes()).collect();
        self.hash = crate::short_hash(&names);
        self.table = table;
    }

    /// Sets the models that are resident in this data centre.
    pub(crate) fn set_own(&mut self, mut models: Vec<ModelId>) {
        models.sort();
        models.dedup();
        self.own = models;
    }

    fn find(&self, dc: &DataCentreId) -> Result<usize, usize> {
        self.records.binary_search_by(|r| r.residents.dc.cmp(dc))
    }

    /// Publishes the residents of this data centre if they changed, at most once per
    /// [`PUBLISH_PERIOD`].
    pub(crate) fn publish(&mut self, dc: &DataCentreId, now: Instant) {
        if self
            .published
            .is_some_and(|at| now.since(at) < PUBLISH_PERIOD)
        {
            return;
        }
        let models = encode(&self.table, &self.own);
        let found = self.find(dc);
        let known = found.ok().map(|index| &self.records[index].residents);
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
            Ok(index) => {
                self.records[index].residents = new;
                self.records[index].hash = hash;
            }
            Err(index) => self.records.insert(
                index,
                Record {
                    residents: new,
                    hash,
                    reported: None,
                },
            ),
        }
    }

    /// Merges newer records.
    pub(crate) fn merge(&mut self, records: Vec<Residents>) {
        for new in records {
            let known = self
                .find(&new.dc)
                .ok()
                .map(|index| &self.records[index].residents);
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

    /// Returns the records that are newer than a peer's stamps.
    pub(crate) fn newer_than(&self, stamps: &[(DataCentreId, u64)]) -> Vec<Residents> {
        let newer = |r: &&Residents| {
            let theirs = stamps.iter().find(|(dc, _)| *dc == r.dc);
            theirs.is_none_or(|(_, stamp)| *stamp < r.stamp)
        };
        let records = self.records.iter().map(|r| &r.residents);
        records.filter(newer).cloned().collect()
    }

    /// Reports changed records to the router; an unreachable data centre has no resident models.
    pub(crate) fn report_changes(
        &mut self,
        own: &DataCentreId,
        reachable: impl Fn(&DataCentreId) -> bool,
        out: &mut Vec<Update>,
    ) -> Result<(), InvalidMessage> {
        let mut invalid = false;
        let others = self.records.iter_mut();
        for r in others.filter(|r| r.residents.dc != *own) {
            let reachable = reachable(&r.residents.dc);
            let state = Some(if reachable { r.hash } else { 0 });
            // A record that refers to another model list cannot be decoded; a new one follows.
            if state == r.reported || (reachable && r.residents.table != self.hash) {
                continue;
            }
            r.reported = state;
            let models = if reachable {
                decode(&self.table, &r.residents.models)
            } else {
                Some(Vec::new())
            };
            let dc = r.residents.dc.clone();
            match models {
                Some(models) => out.push(Update::RemoteModels { dc, models }),
                None => invalid = true,
            }
        }
        if invalid { Err(InvalidMessage) } else { Ok(()) }
    }
}

/// Encodes the positions of `models` in the sorted `table`, as a bitmap or as deltas, whichever is
/// shorter.
fn encode(table: &[ModelId], models: &[ModelId]) -> Vec<u8> {
    let mut bitmap = vec![0; table.len().div_ceil(8) + 1];
    bitmap[0] = BITMAP;
    let mut deltas = vec![DELTAS];
    let mut next = 0;
    for index in models.iter().filter_map(|m| table.binary_search(m).ok()) {
        bitmap[1 + index / 8] |= 1 << (index % 8);
        codec::write_varint(&mut deltas, (index - next) as u64);
        next = index + 1;
    }
    if deltas.len() < bitmap.len() {
        deltas
    } else {
        bitmap
    }
}

fn decode(table: &[ModelId], bytes: &[u8]) -> Option<Vec<ModelId>> {
    let mut reader = Reader::new(bytes);
    let mut models = Vec::new();
    let mut index = 0;
    match reader.read_byte()? {
        BITMAP => {
            while let Some(byte) = reader.read_byte() {
                let set = (0..8).filter(|bit| byte & (1 << bit) != 0);
                for bit in set {
                    models.push(table.get(index + bit)?.clone());
                }
                index += 8;
            }
        }
        DELTAS => {
            while !reader.is_empty() {
                index = index.checked_add(usize::try_from(reader.read_varint()?).ok()?)?;
                models.push(table.get(index)?.clone());
                index += 1;
            }
        }
        _ => return None,
    }
    Some(models)
}
