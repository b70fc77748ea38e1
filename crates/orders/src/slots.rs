//! Weight-store slots, which bound the model loads at once over all data centres.

use serde::{Deserialize, Serialize};
use types::{AttemptId, DataCentreId, Instant, Micros};

/// Renewals within one duration.
const RENEWALS: u64 = 3;

/// Time between two readings while slots are missing.
const LIST_EVERY: Micros = Micros::from_secs(1);

/// Slot object on the platform.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct SlotRecord {
    /// Data centre that holds the slot; absent while it is free.
    pub dc: Option<DataCentreId>,
    /// Time after which a slot that is not renewed is free.
    pub duration: Micros,
    /// Random id of the process that wrote the record.
    pub attempt: AttemptId,
    /// Number of the write within the process.
    pub renewal: u64,
}

/// Input of the slots; `R` is the platform's revision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SlotEvent<R> {
    /// Time passed.
    Tick,
    /// The number of slots that this data centre needs changed.
    Need(usize),
    /// The number of slots over all data centres changed.
    Limit(u32),
    /// All slot objects were read.
    Listed(Vec<(u32, SlotRecord, R)>),
    /// Reading failed.
    ListFailed,
    /// The write of a slot took effect at a revision.
    Written(u32, R),
    /// The write of a slot did not take effect.
    Refused(u32),
    /// The write of a slot got no answer.
    Unanswered(u32),
}

/// Output of the slots.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SlotAction<R> {
    /// Read all slot objects.
    List,
    /// Create a slot object.
    Create(u32, SlotRecord),
    /// Replace the slot object that is at a revision.
    Update(u32, SlotRecord, R),
}

/// Slots of one data centre for one term.
///
/// A slot is taken like a lease: when it is free, or unchanged for its whole duration on the
/// observer's clock. A load may start while [`Slots::usable`] exceeds the loads in flight, and must
/// take no longer than half of the duration.
#[derive(Clone, Debug)]
pub struct Slots<R> {
    dc: DataCentreId,
    attempt: AttemptId,
    duration: Micros,
    need: usize,
    all: Vec<Slot<R>>,
    listing: bool,
    listed: bool,
    next_list: Instant,
    renewal: u64,
}

#[derive(Clone, Debug)]
struct Slot<R> {
    object: Option<(SlotRecord, R)>,
    /// Instant since when the object is unchanged.
    since: Instant,
    /// Instant before the last renewal by this process was sent, while the slot is held.
    held: Option<Instant>,
    /// Write without an answer, or with an unknown outcome.
    write: Option<(SlotRecord, Instant)>,
    calling: bool,
    /// A write failed; the object is read before the next, which also paces them.
    stale: bool,
}

impl<R: Clone + Eq> Slots<R> {
    /// Makes the slots of a data centre for a term.
    #[must_use]
    pub fn new(dc: DataCentreId, attempt: AttemptId, duration: Micros) -> Self {
        Self {
            dc,
            attempt,
            duration,
            need: 0,
            all: Vec::new(),
            listing: false,
            listed: false,
            next_list: Instant::ZERO,
            renewal: 0,
        }
    }

    /// Returns the slots that stay held long enough for a load that starts now.
    #[must_use]
    pub fn usable(&self, now: Instant) -> usize {
        let half = Micros::new(self.duration.get() / 2);
        let held = self.all.iter().filter_map(|s| s.held);
        // Slots beyond the need may be given back at any time.
        held.filter(|from| now < *from + half)
            .count()
            .min(self.need)
    }

    /// Takes an event and appends the actions that follow from it.
    pub fn step(&mut self, now: Instant, ev: SlotEvent<R>, out: &mut Vec<SlotAction<R>>) {
        match ev {
            SlotEvent::Tick => {}
            SlotEvent::Need(need) => self.need = need,
            SlotEvent::Limit(limit) => self.resize(limit),
            SlotEvent::Listed(objects) => self.list(now, objects),
            SlotEvent::ListFailed => self.listing = false,
            SlotEvent::Written(at, revision) => self.written(now, at, revision),
            SlotEvent::Refused(at) => {
                if let Some(slot) = self.slot(at) {
                    (slot.calling, slot.write, slot.held) = (false, None, None);
                    slot.stale = true;
                }
            }
            SlotEvent::Unanswered(at) => {
                if let Some(slot) = self.slot(at) {
                    (slot.calling, slot.stale) = (false, true);
                }
            }
        }
        self.act(now, out);
    }

    fn slot(&mut self, at: u32) -> Option<&mut Slot<R>> {
        self.all.get_mut(usize::try_from(at).ok()?)
    }

    fn resize(&mut self, limit: u32) {
        let limit = usize::try_from(limit).unwrap_or(usize::MAX);
        self.listed &= limit <= self.all.len();
        self.all.resize_with(limit, || Slot {
            object: None,
            since: Instant::ZERO,
            held: None,
            write: None,
            calling: false,
            stale: false,
        });
    }

    fn list(&mut self, now: Instant, objects: Vec<(u32, SlotRecord, R)>) {
        self.listing = false;
        self.listed = true;
        let mut read: Vec<Option<(SlotRecord, R)>> = self.all.iter().map(|_| None).collect();
        for (at, record, revision) in objects {
            let place = usize::try_from(at).ok().and_then(|at| read.get_mut(at));
            if let Some(place) = place {
                *place = Some((record, revision));
            }
        }
        for (slot, object) in self.all.iter_mut().zip(read) {
            // A write under way changes the object after it was read.
            if !slot.calling {
                slot.observe(now, object);
            }
        }
    }

    fn written(&mut self, now: Instant, at: u32, revision: R) {
        if let Some(slot) = self.slot(at) {
            slot.calling = false;
            if let Some((record, sent)) = slot.write.take() {
                slot.held = record.dc.is_some().then_some(sent);
                slot.object = Some((record, revision));
                slot.since = now;
            }
        }
    }

    fn act(&mut self, now: Instant, out: &mut Vec<SlotAction<R>>) {
        let duration = self.duration;
        for slot in &mut self.all {
            slot.held = slot.held.filter(|from| now < *from + duration);
        }
        let taken = |s: &Slot<R>| s.held.is_some() || s.calling || s.write.is_some();
        let mut count = self.all.iter().filter(|s| taken(s)).count();
        let missing = count < self.need;
        let stale = self.all.iter().any(|s| s.stale);
        if (missing || stale) && !self.listing && now >= self.next_list {
            self.listing = true;
            self.next_list = now + LIST_EVERY;
            out.push(SlotAction::List);
        }
        count -= self.release(now, out);
        for at in 0..self.all.len() {
            let slot = &self.all[at];
            if slot.calling || slot.write.is_some() || slot.stale {
                continue;
            }
            if let Some(from) = slot.held {
                if now >= from + Micros::new(duration.get() / RENEWALS) {
                    self.write(now, at, true, out);
                }
            } else if count < self.need && self.listed && slot.is_free(now, &self.dc) {
                count += 1;
                self.write(now, at, true, out);
            } else if self.need == 0 && slot.is_left_by(self.attempt) {
                // While loads are in flight, one of them may count on this slot.
                self.write(now, at, false, out);
            }
        }
    }

    /// Gives back surplus slots, those that end first, and returns their number.
    ///
    /// Loads in flight count on the slots that are kept, so a slot whose renewal is under way is
    /// neither given back nor relied on.
    fn release(&mut self, now: Instant, out: &mut Vec<SlotAction<R>>) -> usize {
        let settled = |s: &Slot<R>| !s.calling && s.write.is_none() && !s.stale;
        let held = self.all.iter().enumerate().filter(|(_, s)| settled(s));
        let mut held: Vec<_> = held.filter_map(|(at, s)| Some((s.held?, at))).collect();
        held.sort_unstable();
        let surplus = held.len().saturating_sub(self.need);
        for (_, at) in &held[..surplus] {
            self.write(now, *at, false, out);
        }
        surplus
    }

    fn write(&mut self, now: Instant, at: usize, hold: bool, out: &mut Vec<SlotAction<R>>) {
        self.renewal += 1;
        let record = SlotRecord {
            dc: hold.then(|| self.dc.clone()),
            duration: self.duration,
            attempt: self.attempt,
            renewal: self.renewal,
        };
        let slot = &mut self.all[at];
        slot.calling = true;
        slot.write = Some((record.clone(), now));
        if !hold {
            slot.held = None;
        }
        let number = u32::try_from(at).unwrap_or(u32::MAX);
        out.push(match &slot.object {
            Some((_, revision)) => SlotAction::Update(number, record, revision.clone()),
            None => SlotAction::Create(number, record),
        });
    }
}

impl<R: Clone + Eq> Slot<R> {
    /// Takes the object as read, and with it the outcome of a write without an answer.
    fn observe(&mut self, now: Instant, object: Option<(SlotRecord, R)>) {
        self.stale = false;
        let changed = self.object != object;
        if let Some((record, sent)) = self.write.take() {
            let took_effect = object.as_ref().is_some_and(|(found, _)| *found == record);
            if took_effect && record.dc.is_some() {
                self.held = Some(sent);
            } else if took_effect || changed {
                self.held = None;
            }
        } else if changed {
            self.held = None;
        }
        if changed {
            (self.object, self.since) = (object, now);
        }
    }

    /// Tells whether a process still occupies the slot, although it no longer counts on it.
    fn is_left_by(&self, attempt: AttemptId) -> bool {
        let object = self.object.as_ref();
        object.is_some_and(|(record, _)| record.dc.is_some() && record.attempt == attempt)
    }

    /// Tells whether the slot may be taken by a data centre.
    ///
    /// A slot of the same data centre is left over from its former lease holder.
    fn is_free(&self, now: Instant, dc: &DataCentreId) -> bool {
        let Some((record, _)) = &self.object else {
            return true;
        };
        match &record.dc {
            None => true,
            Some(holder) => holder == dc || now.since(self.since) >= record.duration,
        }
    }
}
