//! Randomized simulation of weight-store slots under lost writes, lost responses, delay and
//! restarts.
//!
//! Guards against more concurrent model loads across all data centres than the deployment allows.

use orders::{SlotAction, SlotEvent, SlotRecord, Slots};
use types::{AttemptId, DataCentreId, Instant, Micros};

const SLOT_DURATION_US: u64 = 8_000_000;
const LIMIT: usize = 2;
const SCHEDULES: u64 = 20_000;
const STEP_US: u64 = 100_000;

/// Data centre, slot, new record, and the revision to replace.
type SlotWrite = (usize, u32, SlotRecord, Option<u64>);

struct DataCentre {
    dc: DataCentreId,
    slots: Slots<u64>,
    /// End times of the loads in flight.
    loads: Vec<u64>,
    /// Responses in transit, with their arrival times.
    responses: Vec<(u64, SlotEvent<u64>)>,
    frozen_until: u64,
}

struct World {
    seed: u64,
    now: u64,
    objects: Vec<Option<(SlotRecord, u64)>>,
    revision: u64,
    data_centres: Vec<DataCentre>,
    delayed_writes: Vec<(u64, SlotWrite)>,
    started: u64,
}

fn new_slots(dc: &DataCentreId, attempt: u64) -> Slots<u64> {
    let mut slots = Slots::new(
        dc.clone(),
        AttemptId::new(u128::from(attempt)),
        Micros::new(SLOT_DURATION_US),
    );
    let limit = u32::try_from(LIMIT).unwrap();
    slots.step(Instant::ZERO, SlotEvent::Limit(limit), &mut Vec::new());
    slots
}

impl World {
    fn new(seed: u64) -> Self {
        let data_centre = |i: u64| {
            let dc: DataCentreId = format!("d{i}").parse().unwrap();
            DataCentre {
                slots: new_slots(&dc, i),
                dc,
                loads: Vec::new(),
                responses: Vec::new(),
                frozen_until: 0,
            }
        };
        Self {
            seed,
            now: SLOT_DURATION_US,
            objects: vec![None; LIMIT],
            revision: 0,
            data_centres: (0..3).map(data_centre).collect(),
            delayed_writes: Vec::new(),
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
        self.now += STEP_US;
        let now = self.now;
        while let Some(at) = self.delayed_writes.iter().position(|(due, _)| *due <= now) {
            let (_, write) = self.delayed_writes.swap_remove(at);
            self.commit(&write);
        }
        for i in 0..self.data_centres.len() {
            self.data_centres[i].loads.retain(|end| *end > now);
            if self.data_centres[i].frozen_until <= now {
                self.run_data_centre(i);
            }
        }
        self.data_centres.iter().map(|s| s.loads.len()).sum()
    }

    fn run_data_centre(&mut self, i: usize) {
        let now = self.now;
        while let Some(at) = self.data_centres[i]
            .responses
            .iter()
            .position(|(due, _)| *due <= now)
        {
            let (_, event) = self.data_centres[i].responses.swap_remove(at);
            self.handle(i, event);
        }
        match self.below(400) {
            0 => self.data_centres[i].frozen_until = now + self.below(2 * SLOT_DURATION_US),
            1 => {
                // A successor in the data centre learns the loads in flight from the records.
                let attempt = 1_000 + self.below(1 << 60);
                self.data_centres[i].slots = new_slots(&self.data_centres[i].dc, attempt);
                self.data_centres[i].responses.clear();
            }
            _ => {}
        }
        let busy = self.data_centres[i].loads.len();
        let need = busy + usize::from(self.below(3) > 0);
        self.handle(i, SlotEvent::Need(need));
        let ready = self.data_centres[i].slots.usable(Instant::from_micros(now));
        if ready > busy {
            let load_time = self.below(SLOT_DURATION_US / 2);
            self.data_centres[i].loads.push(now + load_time);
            self.started += 1;
        }
    }

    fn handle(&mut self, i: usize, event: SlotEvent<u64>) {
        let mut out = Vec::new();
        let now = Instant::from_micros(self.now);
        self.data_centres[i].slots.step(now, event, &mut out);
        for action in out {
            self.perform(i, action);
        }
    }

    fn perform(&mut self, i: usize, action: SlotAction<u64>) {
        let arrival = self.now + self.below(5) * STEP_US;
        let (write, slot) = match action {
            SlotAction::List => {
                let read = self.objects.iter().zip(0_u32..);
                let read = read.filter_map(|(o, at)| o.clone().map(|(r, v)| (at, r, v)));
                let read = read.collect();
                let event = if self.below(8) == 0 {
                    SlotEvent::ListFailed
                } else {
                    SlotEvent::Listed(read)
                };
                return self.data_centres[i].responses.push((arrival, event));
            }
            SlotAction::Create(slot, record) => ((i, slot, record, None), slot),
            SlotAction::Update(slot, record, on) => ((i, slot, record, Some(on)), slot),
        };
        let event = match self.below(10) {
            0 => SlotEvent::Unanswered(slot),
            1 => {
                let applied_at = self.now + self.below(2 * SLOT_DURATION_US);
                self.delayed_writes.push((applied_at, write));
                SlotEvent::Unanswered(slot)
            }
            2 => {
                self.commit(&write);
                SlotEvent::Unanswered(slot)
            }
            _ => self.commit(&write),
        };
        self.data_centres[i].responses.push((arrival, event));
    }

    fn commit(&mut self, (_, slot, record, on): &SlotWrite) -> SlotEvent<u64> {
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
fn concurrent_loads_never_exceed_the_slots() {
    let (mut started, mut steps_at_limit) = (0, 0);
    for seed in 0..SCHEDULES {
        let mut world = World::new(seed);
        for _ in 0..400 {
            let loads = world.step();
            assert!(loads <= LIMIT, "{loads} concurrent loads, seed {seed}");
            steps_at_limit += u64::from(loads == LIMIT);
        }
        started += world.started;
    }
    println!(
        "{SCHEDULES} schedules (seeds 0..{SCHEDULES}): {started} loads, \
         {steps_at_limit} steps at the limit"
    );
    assert!(steps_at_limit > 0, "the limit was never reached");
}
