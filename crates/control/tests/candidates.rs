//! Time in which the lease of a holder that ends is taken over, on virtual time.

use control::lease_poll_interval;
use lease::{Action, Checks, Event, Lease, Params, Record};
use types::{AttemptId, HostId, Instant, Micros};

const DURATION: Micros = Micros::from_millis(2_500);

/// Maximum time from the end of a holder to the next term: the lease, a poll before it and one after it, and
/// the last renewal that other hosts have not read yet.
const TAKEOVER_BOUND: Micros = Micros::from_millis(4_000);

/// Hosts that compete for the lease; they go on to count as members when they have ended.
struct Candidates {
    now: Instant,
    members: Vec<HostId>,
    leases: Vec<Option<Lease<u64>>>,
    object: Option<(Record, u64)>,
    /// Host that began the last term.
    holder: Option<usize>,
    processes: u128,
    reads: usize,
}

impl Candidates {
    fn new(hosts: usize) -> Self {
        let members = (0..hosts).map(|n| format!("h{n:03}").parse().expect("a name"));
        let mut all = Self {
            now: Instant::from_micros(1_000_000),
            members: members.collect(),
            leases: (0..hosts).map(|_| None).collect(),
            object: None,
            holder: None,
            processes: 0,
            reads: 0,
        };
        (0..hosts).for_each(|host| all.start(host));
        all
    }

    fn start(&mut self, host: usize) {
        self.processes += 1;
        self.leases[host] = Some(Lease::new(Params {
            host: self.members[host].clone(),
            process: AttemptId::new(self.processes),
            duration: DURATION,
            poll_interval: lease_poll_interval(&self.members[host], None, &[]),
            predecessors_ended: true,
            checks: Checks::default(),
        }));
    }

    fn advance(&mut self, time: Micros) {
        const STEP: Micros = Micros::from_millis(50);
        for _ in 0..time.get() / STEP.get() {
            self.now = self.now + STEP;
            (0..self.leases.len()).for_each(|host| self.tick(host));
        }
    }

    fn tick(&mut self, host: usize) {
        let Some(mut lease) = self.leases[host].take() else {
            return;
        };
        let holder = lease.holder().map(|(host, _)| host);
        let interval = lease_poll_interval(&self.members[host], holder, &self.members);
        lease.set_poll_interval(interval);
        let mut events = vec![Event::Tick];
        while let Some(event) = events.pop() {
            let mut actions = Vec::new();
            lease.step(self.now, event, &mut actions);
            events.extend(actions.into_iter().filter_map(|a| self.perform(host, a)));
        }
        self.leases[host] = Some(lease);
    }

    fn perform(&mut self, host: usize, action: Action<u64>) -> Option<Event<u64>> {
        let revision = self.object.as_ref().map_or(0, |o| o.1);
        let (record, is_current) = match action {
            Action::Read => {
                self.reads += 1;
                return Some(Event::Read(self.object.clone()));
            }
            Action::Create(record) => (record, self.object.is_none()),
            Action::Update(record, expected) => (record, expected == revision),
            Action::Acquired(_) => {
                self.holder = Some(host);
                return None;
            }
            Action::Lost(_) => return None,
        };
        if !is_current {
            return Some(Event::Refused);
        }
        self.object = Some((record, revision + 1));
        Some(Event::Written(revision + 1))
    }

    /// Ends hosts, and returns the time until the next term begins.
    fn time_to_takeover(&mut self, ended: &[usize]) -> Micros {
        for host in ended {
            self.leases[*host] = None;
        }
        let at = self.now;
        self.holder = None;
        while self.holder.is_none() {
            self.advance(Micros::from_millis(50));
        }
        self.now.since(at)
    }
}

/// Guards against requests for missing models that are refused for many seconds because the next candidates
/// ended together with the holder.
#[test]
fn a_lease_is_taken_over_soon_though_the_next_candidates_end_with_the_holder() {
    for hosts in [8, 70, 195] {
        for offset in 0..8 {
            let mut all = Candidates::new(hosts);
            all.advance(Micros::from_millis(20_000 + 130 * offset));
            let holder = all.holder.expect("a holder");
            let ended: Vec<usize> = (0..4).chain([holder]).collect();

            let time = all.time_to_takeover(&ended);

            assert!(time <= TAKEOVER_BOUND, "{hosts} hosts: {time:?}");
        }
    }
}

/// Guards against a fleet without a holder for the rest of a lease whose process was restarted.
#[test]
fn a_restarted_host_takes_over_its_own_lease_at_once() {
    for hosts in [8, 195] {
        let mut all = Candidates::new(hosts);
        all.advance(Micros::from_secs(20));
        let holder = all.holder.expect("a holder");
        all.leases[holder] = None;
        all.advance(Micros::from_millis(200));

        all.start(holder);
        all.holder = None;
        all.advance(Micros::from_millis(100));

        assert_eq!(all.holder, Some(holder), "{hosts} hosts");
    }
}

/// Guards against a host that restarts, needs no takeover delay, and reads the lease rarely.
#[test]
fn a_host_whose_process_held_the_lease_reads_it_often() {
    let members: Vec<HostId> = (0..195)
        .map(|n| format!("h{n:03}").parse().expect("a name"))
        .collect();
    let host = &members[190];

    let own = lease_poll_interval(host, Some(host), &members);
    let other = lease_poll_interval(host, Some(&members[3]), &members);

    assert!(own < other);
}

/// Guards against reads of the lease that grow with the fleet, as each call to the platform is paid.
#[test]
fn the_reads_of_the_lease_do_not_grow_in_proportion_to_the_fleet() {
    let reads = |hosts| {
        let mut all = Candidates::new(hosts);
        all.advance(Micros::from_secs(20));
        all.reads = 0;
        all.advance(Micros::from_secs(60));
        all.reads
    };

    assert!(reads(195) < 195 * 60 / 3, "{}", reads(195));
}
