//! Weight-store slots: a distributed semaphore that limits the number of concurrent model loads
//! across all data centres.

use serde::{Deserialize, Serialize};
use types::{AttemptId, DataCentreId, Instant, Micros};

/// Number of renewals of a held slot per duration.
const RENEWALS_PER_DURATION: u64 = 3;

/// Interval between two listings while slots are missing or have to be read again.
const LIST_INTERVAL: Micros = Micros::from_secs(1);

/// Record of a slot, stored on the platform.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct SlotRecord {
    /// Data centre that holds the slot; `None` while it is free.
    pub dc: Option<DataCentreId>,
    /// Time after which a slot that is not renewed is considered free.
    pub duration: Micros,
    /// Randomly generated id of the process that wrote the record.
    pub attempt: AttemptId,
    /// Sequence number of the write within the process.
    pub renewal: u64,
}

/// Event for the slots; `R` is the revision type of the platform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SlotEvent<R> {
    /// Time passed.
    Tick,
    /// This data centre now needs this number of slots.
    Need(usize),
    /// All data centres together may now use this number of slots.
    Limit(u32),
    /// All slot records were read, given as index, record and revision.
    Listed(Vec<(u32, SlotRecord, R)>),
    /// Reading the slot records failed.
    ListFailed,
    /// The write of a slot took effect and produced this revision.
    Written(u32, R),
    /// The write of a slot was rejected and did not take effect.
    Refused(u32),
    /// The write of a slot got no response; it may have taken effect or may still do so.
    Unanswered(u32),
}

/// Action that the slots request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SlotAction<R> {
    /// Read all slot records.
    List,
    /// Create the record of a slot.
    Create(u32, SlotRecord),
    /// Replace the record of a slot if it is still at this revision.
    Update(u32, SlotRecord, R),
}

/// Slots of one data centre for one term.
///
/// A slot is acquired like a lease: when it is free, or when its record has not changed for its
/// whole duration on the observer's clock. A load may start while [`Slots::usable`] exceeds the
/// number of loads in flight, and must finish within half of the duration.
#[derive(Clone, Debug)]
pub struct Slots<R> {
    dc: DataCentreId,
    attempt: AttemptId,
    duration: Micros,
    needed: usize,
    entries: Vec<Slot<R>>,
    /// Whether a listing is in flight.
    listing: bool,
    /// Whether every slot was covered by a listing.
    has_listing: bool,
    next_list: Instant,
    renewal: u64,
}

#[derive(Clone, Debug)]
struct Slot<R> {
    /// Stored record and its revision, as last read or written.
    object: Option<(SlotRecord, R)>,
    /// Instant since which the stored record is unchanged.
    unchanged_since: Instant,
    /// While this process holds the slot, the instant before its last acquisition or renewal was
    /// sent.
    held_from: Option<Instant>,
    /// Write whose outcome is unknown, with the instant before it was sent.
    unsettled_write: Option<(SlotRecord, Instant)>,
    /// Whether a write is in flight.
    writing: bool,
    /// Whether a write failed. The record is then read before the next write, which also limits the
    /// rate of retries.
    needs_read: bool,
}

impl<R: Clone + Eq> Slots<R> {
    /// Creates the slots of a data centre for a term, without any slot until the limit is known.
    #[must_use]
    pub fn new(dc: DataCentreId, attempt: AttemptId, duration: Micros) -> Self {
        Self {
            dc,
            attempt,
            duration,
            needed: 0,
            entries: Vec::new(),
            listing: false,
            has_listing: false,
            next_list: Instant::ZERO,
            renewal: 0,
        }
    }

    /// Returns the number of slots that are held for long enough to start a load now.
    #[must_use]
    pub fn usable(&self, now: Instant) -> usize {
        let half = Micros::new(self.duration.get() / 2);
        let held = self.entries.iter().filter_map(|s| s.held_from);
        // Slots beyond the number needed may be released at any time.
        held.filter(|from| now < *from + half)
            .count()
            .min(self.needed)
    }

    /// Handles an event and appends the resulting actions to `out`.
    pub fn step(&mut self, now: Instant, event: SlotEvent<R>, out: &mut Vec<SlotAction<R>>) {
        match event {
            SlotEvent::Tick => {}
            SlotEvent::Need(needed) => self.needed = needed,
            SlotEvent::Limit(limit) => self.resize(limit),
            SlotEvent::Listed(objects) => self.handle_listed(now, objects),
            SlotEvent::ListFailed => self.listing = false,
            SlotEvent::Written(index, revision) => self.handle_written(now, index, revision),
            SlotEvent::Refused(index) => {
                if let Some(slot) = self.slot_mut(index) {
                    (slot.writing, slot.unsettled_write, slot.held_from) = (false, None, None);
                    slot.needs_read = true;
                }
            }
            SlotEvent::Unanswered(index) => {
                if let Some(slot) = self.slot_mut(index) {
                    (slot.writing, slot.needs_read) = (false, true);
                }
            }
        }
        self.emit_actions(now, out);
    }

    fn slot_mut(&mut self, index: u32) -> Option<&mut Slot<R>> {
        self.entries.get_mut(usize::try_from(index).ok()?)
    }

    fn resize(&mut self, limit: u32) {
        let limit = usize::try_from(limit).unwrap_or(usize::MAX);
        self.has_listing &= limit <= self.entries.len();
        self.entries.resize_with(limit, || Slot {
            object: None,
            unchanged_since: Instant::ZERO,
            held_from: None,
            unsettled_write: None,
            writing: false,
            needs_read: false,
        });
    }

    fn handle_listed(&mut self, now: Instant, objects: Vec<(u32, SlotRecord, R)>) {
        self.listing = false;
        self.has_listing = true;
        let mut read: Vec<Option<(SlotRecord, R)>> = self.entries.iter().map(|_| None).collect();
        for (index, record, revision) in objects {
            let entry = usize::try_from(index).ok().and_then(|i| read.get_mut(i));
            if let Some(entry) = entry {
                *entry = Some((record, revision));
            }
        }
        for (slot, object) in self.entries.iter_mut().zip(read) {
            // A write in flight may change the record after it was read.
            if !slot.writing {
                slot.observe(now, object);
            }
        }
    }

    fn handle_written(&mut self, now: Instant, index: u32, revision: R) {
        if let Some(slot) = self.slot_mut(index) {
            slot.writing = false;
            if let Some((record, sent)) = slot.unsettled_write.take() {
                slot.held_from = record.dc.is_some().then_some(sent);
                slot.object = Some((record, revision));
                slot.unchanged_since = now;
            }
        }
    }

    fn emit_actions(&mut self, now: Instant, out: &mut Vec<SlotAction<R>>) {
        let duration = self.duration;
        for slot in &mut self.entries {
            slot.held_from = slot.held_from.filter(|from| now < *from + duration);
        }
        let counted =
            |s: &Slot<R>| s.held_from.is_some() || s.writing || s.unsettled_write.is_some();
        let mut count = self.entries.iter().filter(|s| counted(s)).count();
        let missing = count < self.needed;
        let needs_read = self.entries.iter().any(|s| s.needs_read);
        if (missing || needs_read) && !self.listing && now >= self.next_list {
            self.listing = true;
            self.next_list = now + LIST_INTERVAL;
            out.push(SlotAction::List);
        }
        count -= self.release_surplus(now, out);
        for index in 0..self.entries.len() {
            let slot = &self.entries[index];
            if slot.writing || slot.unsettled_write.is_some() || slot.needs_read {
                continue;
            }
            if let Some(from) = slot.held_from {
                if now >= from + Micros::new(duration.get() / RENEWALS_PER_DURATION) {
                    self.write(now, index, true, out);
                }
            } else if count < self.needed && self.has_listing && slot.is_free(now, &self.dc) {
                count += 1;
                self.write(now, index, true, out);
            } else if self.needed == 0 && slot.is_occupied_by(self.attempt) {
                // Released only now, because a load in flight may still rely on this slot.
                self.write(now, index, false, out);
            }
        }
    }

    /// Releases surplus slots, those that expire first, and returns their number.
    ///
    /// Loads in flight rely on the slots that remain. A slot whose renewal is unsettled may not
    /// remain held, so it is neither released nor counted among the slots that remain.
    fn release_surplus(&mut self, now: Instant, out: &mut Vec<SlotAction<R>>) -> usize {
        let settled = |s: &Slot<R>| !s.writing && s.unsettled_write.is_none() && !s.needs_read;
        let held = self.entries.iter().enumerate().filter(|(_, s)| settled(s));
        let mut held: Vec<_> = held
            .filter_map(|(index, s)| Some((s.held_from?, index)))
            .collect();
        held.sort_unstable();
        let surplus = held.len().saturating_sub(self.needed);
        for (_, index) in &held[..surplus] {
            self.write(now, *index, false, out);
        }
        surplus
    }

    /// Writes a slot that is to be held or released.
    fn write(&mut self, now: Instant, index: usize, hold: bool, out: &mut Vec<SlotAction<R>>) {
        self.renewal += 1;
        let record = SlotRecord {
            dc: hold.then(|| self.dc.clone()),
            duration: self.duration,
            attempt: self.attempt,
            renewal: self.renewal,
        };
        let slot = &mut self.entries[index];
        slot.writing = true;
        slot.unsettled_write = Some((record.clone(), now));
        if !hold {
            slot.held_from = None;
        }
        let number = u32::try_from(index).unwrap_or(u32::MAX);
        out.push(match &slot.object {
            Some((_, revision)) => SlotAction::Update(number, record, revision.clone()),
            None => SlotAction::Create(number, record),
        });
    }
}

impl<R: Clone + Eq> Slot<R> {
    /// Adopts the record as read, which also settles a write whose outcome was unknown.
    fn observe(&mut self, now: Instant, object: Option<(SlotRecord, R)>) {
        self.needs_read = false;
        let changed = self.object != object;
        if let Some((record, sent)) = self.unsettled_write.take() {
            let took_effect = object.as_ref().is_some_and(|(found, _)| *found == record);
            if took_effect && record.dc.is_some() {
                self.held_from = Some(sent);
            } else if took_effect || changed {
                self.held_from = None;
            }
        } else if changed {
            self.held_from = None;
        }
        if changed {
            (self.object, self.unchanged_since) = (object, now);
        }
    }

    /// Returns whether the stored record names the process `attempt` as holder.
    fn is_occupied_by(&self, attempt: AttemptId) -> bool {
        let object = self.object.as_ref();
        object.is_some_and(|(record, _)| record.dc.is_some() && record.attempt == attempt)
    }

    /// Returns whether a data centre may acquire the slot.
    ///
    /// A slot of the same data centre is left over from its former lease holder and counts as free.
    fn is_free(&self, now: Instant, dc: &DataCentreId) -> bool {
        let Some((record, _)) = &self.object else {
            return true;
        };
        match &record.dc {
            None => true,
            Some(holder) => holder == dc || now.since(self.unchanged_since) >= record.duration,
        }
    }
}
