//! Weight-store slots under loss, lost answers, delay and restarts.
//!
//! Guards against more model loads at once, over all data centres, than the deployment allows.

use orders::{SlotAction, SlotEvent, SlotRecord, Slots};
use types::{AttemptId, DataCentreId, Instant, Micros};

const DURATION: u64 = 8_000_000;
const LIMIT: usize = 2;
const SCHEDULES: u64 = 20_000;
const STEP: u64 = 100_000;

type Write = (usize, u32, SlotRecord, Option<u64>);

struct Site {
    dc: DataCentreId,
    slots: Slots<u64>,
    /// Ends of the loads in flight.
    loads: Vec<u64>,
    /// Answers that are on their way, with the time of their arrival.
    inbox: Vec<(u64, SlotEvent<u64>)>,
    frozen_until: u64,
}

struct World {
    seed: u64,
    now: u64,
    objects: Vec<Option<(SlotRecord, u64)>>,
    revision: u64,
    sites: Vec<Site>,
    late: Vec<(u64, Write)>,
    started: u64,
}

fn slots(dc: &DataCentreId, attempt: u64) -> Slots<u64> {
    let mut slots = Slots::new(
        dc.clone(),
        AttemptId::new(u128::from(attempt)),
        Micros::new(DURATION),
    );
    let limit = u32::try_from(LIMIT).unwrap();
    slots.step(Instant::ZERO, SlotEvent::Limit(limit), &mut Vec::new());
    slots
}

impl World {
    fn new(seed: u64) -> Self {
        let site = |i: u64| {
            let dc: DataCentreId = format!("d{i}").parse().unwrap();
            Site {
                slots: slots(&dc, i),
                dc,
                loads: Vec::new(),
                inbox: Vec::new(),
                frozen_until: 0,
            }
        };
        Self {
            seed,
            now: DURATION,
            objects: vec![None; LIMIT],
            revision: 0,
            sites: (0..3).map(site).collect(),
            late: Vec::new(),
            started: 0,
        }
    }

    fn below(&mut self, n: u64) -> u64 {
        self.seed = self.seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let z = (self.seed ^ (self.seed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (z ^ (z >> 31)) % n
    }

    /// Runs one step of virtual time; returns the loads in flight.
    fn step(&mut self) -> usize {
        self.now += STEP;
        let now = self.now;
        while let Some(at) = self.late.iter().position(|(due, _)| *due <= now) {
            let (_, write) = self.late.swap_remove(at);
            self.commit(&write);
        }
        for i in 0..self.sites.len() {
            self.sites[i].loads.retain(|end| *end > now);
            if self.sites[i].frozen_until <= now {
                self.visit(i);
            }
        }
        self.sites.iter().map(|s| s.loads.len()).sum()
    }

    fn visit(&mut self, i: usize) {
        let now = self.now;
        while let Some(at) = self.sites[i].inbox.iter().position(|(due, _)| *due <= now) {
            let (_, ev) = self.sites[i].inbox.swap_remove(at);
            self.take(i, ev);
        }
        match self.below(400) {
            0 => self.sites[i].frozen_until = now + self.below(2 * DURATION),
            1 => {
                // A successor in the data centre knows the loads in flight from the records.
                let attempt = 1_000 + self.below(1 << 60);
                self.sites[i].slots = slots(&self.sites[i].dc, attempt);
                self.sites[i].inbox.clear();
            }
            _ => {}
        }
        let busy = self.sites[i].loads.len();
        let need = busy + usize::from(self.below(3) > 0);
        self.take(i, SlotEvent::Need(need));
        let ready = self.sites[i].slots.usable(Instant::from_micros(now));
        if ready > busy {
            let takes = self.below(DURATION / 2);
            self.sites[i].loads.push(now + takes);
            self.started += 1;
        }
    }

    fn take(&mut self, i: usize, ev: SlotEvent<u64>) {
        let mut out = Vec::new();
        let now = Instant::from_micros(self.now);
        self.sites[i].slots.step(now, ev, &mut out);
        for action in out {
            self.perform(i, action);
        }
    }

    fn perform(&mut self, i: usize, action: SlotAction<u64>) {
        let due = self.now + self.below(5) * STEP;
        let (write, slot) = match action {
            SlotAction::List => {
                let read = self.objects.iter().zip(0_u32..);
                let read = read.filter_map(|(o, at)| o.clone().map(|(r, v)| (at, r, v)));
                let read = read.collect();
                let ev = if self.below(8) == 0 {
                    SlotEvent::ListFailed
                } else {
                    SlotEvent::Listed(read)
                };
                return self.sites[i].inbox.push((due, ev));
            }
            SlotAction::Create(slot, record) => ((i, slot, record, None), slot),
            SlotAction::Update(slot, record, on) => ((i, slot, record, Some(on)), slot),
        };
        let ev = match self.below(10) {
            0 => SlotEvent::Unanswered(slot),
            1 => {
                let landing = self.now + self.below(2 * DURATION);
                self.late.push((landing, write));
                SlotEvent::Unanswered(slot)
            }
            2 => {
                self.commit(&write);
                SlotEvent::Unanswered(slot)
            }
            _ => self.commit(&write),
        };
        self.sites[i].inbox.push((due, ev));
    }

    fn commit(&mut self, (_, slot, record, on): &Write) -> SlotEvent<u64> {
        let object = &mut self.objects[usize::try_from(*slot).unwrap()];
        if object.as_ref().map(|(_, revision)| *revision) != *on {
            return SlotEvent::Refused(*slot);
        }
        self.revision += 1;
        *object = Some((record.clone(), self.revision));
        SlotEvent::Written(*slot, self.revision)
    }
}

#[test]
fn loads_at_once_never_exceed_the_slots() {
    let (mut started, mut full) = (0, 0);
    for seed in 0..SCHEDULES {
        let mut world = World::new(seed);
        for _ in 0..400 {
            let loads = world.step();
            assert!(loads <= LIMIT, "{loads} loads at once, seed {seed}");
            full += u64::from(loads == LIMIT);
        }
        started += world.started;
    }
    println!("{SCHEDULES} schedules (seeds 0..{SCHEDULES}): {started} loads, {full} full steps");
    assert!(full > 0, "the limit was never reached");
}
