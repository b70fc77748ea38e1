//! Choice of the source of platform facts: the platform itself or another host.
//!
//! Calls of the platform cost money and are rate-limited. Therefore only the highest-ranked host of
//! each data centre reads the platform and serves the others there, which keeps working when links
//! between data centres fail. While these relays have no facts, a few more hosts read the platform at
//! once, and hosts ask any others that may have fresh facts. A host that still has none tries the
//! platform itself soon after, because the hosts before it may all be cut off. In an outage of the
//! platform that attempt fails, and only the first readers go on.

use types::{DataCentreId, HostId, Instant, Micros};

use crate::{duty::rank_hosts, member::Member};

/// Minimum number of relays, which applies when all hosts are in one data centre.
const RELAYS: usize = 2;

/// Fleet size up to which all hosts read the platform themselves, which recovers faster.
const SMALL_FLEET: usize = 12;

/// Name of the duty for which relays are ranked.
const DUTY: &str = "relay";

/// Time without any answer after which the next hosts read the platform.
const FALLBACK_STEP: Micros = Micros::from_millis(500);

/// Number of hosts of a data centre that start to read the platform in each step.
const HOSTS_PER_STEP: u64 = 6;

/// Hosts of each data centre that read the platform as soon as hosts answer that they cannot reach it,
/// the relay included.
const FIRST_READERS: u64 = 3;

/// Time without facts after which every other host tries to read the platform, too.
///
/// It is long enough to get the facts of the first readers. If these lack the platform as well, no host
/// may wait for others any longer, because its own bounds hold.
const OWN_READ_DELAY: Micros = Micros::from_millis(400);

/// Delay after a failed read of such a host; shorter than the time after which bounds hold again for a
/// host that was cut off.
const FAILED_READ_DELAY: Micros = Micros::from_secs(3);

/// Time for which a host that started to read the platform continues.
const DIRECT_READ_PERIOD: Micros = Micros::from_secs(3);

/// Maximum number of hosts asked in one round.
const MAX_ASKED: usize = 6;

/// Number of hosts of the same data centre asked, and of any others, while relays have no facts.
const LOCAL_ASKED: usize = 3;
const OTHERS_ASKED: usize = 2;

/// How a host obtains platform facts next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReadPlan {
    /// Read the platform. The hosts may be asked if the platform does not answer.
    Direct(Vec<HostId>),
    /// Ask these hosts in turn.
    Ask {
        /// The hosts.
        hosts: Vec<HostId>,
        /// Whether the first host, which provided facts before, may delay its answer until
        /// something changes.
        wait: bool,
    },
}

/// Why a round of requests gave no facts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NoFacts {
    /// A host answered that it cannot reach the platform.
    Answered,
    /// No host answered.
    Silent,
}

/// Selects the source of platform facts of one host.
#[derive(Debug)]
pub struct SourceSelector {
    own: HostId,
    dc: DataCentreId,
    /// Host that last provided facts.
    last_source: Option<HostId>,
    /// Start of the time without facts and the reason from the last round.
    no_facts: Option<(Instant, NoFacts)>,
    /// Number of rounds without facts, by which the other hosts to ask rotate.
    failed_rounds: usize,
    direct_until: Instant,
    /// Whether this host reads the platform although it is not one of the first readers.
    is_own_read: bool,
    /// Earliest time of the next such read after a failed one.
    next_own_read: Instant,
}

/// Reason why it is a host's turn to read the platform.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Turn {
    /// It is one of the hosts that read it for others.
    First,
    /// It has no facts, and the hosts before it had time to get some.
    Own,
}

impl SourceSelector {
    /// Creates a selector for a host that has no facts yet.
    #[must_use]
    pub fn new(own: HostId, dc: DataCentreId) -> Self {
        Self {
            own,
            dc,
            last_source: None,
            no_facts: None,
            failed_rounds: 0,
            direct_until: Instant::ZERO,
            is_own_read: false,
            next_own_read: Instant::ZERO,
        }
    }

    /// Chooses between the platform and other hosts.
    pub fn choose(&mut self, now: Instant, members: &[Member]) -> ReadPlan {
        let order = rank_hosts(members.iter(), &self.own, DUTY);
        let relays = relays(&order);
        let is_reader = !uses_relays(order.len()) || relays.contains(&&self.own);
        let hosts = self.hosts_to_ask(&order, &relays);
        if !is_reader && let Some(turn) = self.turn(now, &order) {
            self.is_own_read = turn == Turn::Own;
            self.direct_until = now + DIRECT_READ_PERIOD;
            // Other hosts are asked again afterwards, so that not all hosts read the platform for good.
            self.no_facts = None;
        }
        if is_reader || now < self.direct_until {
            return ReadPlan::Direct(hosts);
        }
        let wait = self.last_source.is_some() && hosts.first() == self.last_source.as_ref();
        ReadPlan::Ask { hosts, wait }
    }

    /// Returns the hosts to ask: the last source, then hosts of the same data centre, then relays.
    ///
    /// When the relays have no facts, this includes the hosts that read the platform after them, and
    /// other hosts in turn, whose source may still reach the platform.
    fn hosts_to_ask(&self, order: &[&Member], relays: &[&HostId]) -> Vec<HostId> {
        let (local, others) = match self.no_facts {
            Some(_) => (LOCAL_ASKED, OTHERS_ASKED),
            None => (1, 0),
        };
        let known = |h: &&HostId| order.iter().any(|m| m.id == **h);
        let last = self.last_source.iter().filter(known);
        let local = order.iter().filter(|m| m.dc == self.dc).take(local);
        let first_other = self.failed_rounds.wrapping_mul(OTHERS_ASKED);
        let others = order
            .iter()
            .cycle()
            .skip(first_other % order.len().max(1))
            .take(others);
        let all = last.chain(local.chain(others).map(|m| &m.id));
        let all = all.chain(relays.iter().copied());
        let mut hosts: Vec<HostId> = all.filter(|h| **h != self.own).cloned().collect();
        dedup(&mut hosts);
        hosts.truncate(MAX_ASKED);
        hosts
    }

    /// Records that a host provided facts that it read from the platform.
    pub fn record_facts(&mut self, from: HostId) {
        self.last_source = Some(from);
        self.no_facts = None;
    }

    /// Records that a host provided facts that it got from another one; it does not become the source.
    pub fn record_indirect_facts(&mut self) {
        self.last_source = None;
        self.no_facts = None;
    }

    /// Records that no host provided facts in a round that started at a time.
    pub fn record_no_facts(&mut self, started_at: Instant, how: NoFacts) {
        self.last_source = None;
        self.failed_rounds = self.failed_rounds.wrapping_add(1);
        let since = self.no_facts.map_or(started_at, |(since, _)| since);
        self.no_facts = Some((since, how));
    }

    /// Records that the platform does not answer this host.
    ///
    /// A host that is not one of the first readers asks others again, and tries the platform later.
    pub fn record_failed_read(&mut self, now: Instant) {
        if self.is_own_read && now < self.direct_until {
            self.direct_until = now;
            self.next_own_read = now + FAILED_READ_DELAY;
        }
    }

    /// Returns whether and why it is this host's turn to read the platform.
    ///
    /// The turns follow the ranks within each data centre, so that hosts find a reader among the
    /// first ones of their own.
    fn turn(&self, now: Instant, order: &[&Member]) -> Option<Turn> {
        let (since, how) = self.no_facts?;
        let mut local = order.iter().filter(|m| m.dc == self.dc);
        let rank = local.position(|m| m.id == self.own).unwrap_or(0);
        let rank = u64::try_from(rank).unwrap_or(u64::MAX);
        let elapsed = now.since(since);
        match how {
            NoFacts::Answered if rank < FIRST_READERS => Some(Turn::First),
            NoFacts::Answered => {
                let is_due = elapsed >= OWN_READ_DELAY && now >= self.next_own_read;
                is_due.then_some(Turn::Own)
            }
            NoFacts::Silent => {
                let steps = elapsed.get() / FALLBACK_STEP.get();
                (rank < steps * HOSTS_PER_STEP).then_some(Turn::First)
            }
        }
    }
}

/// Returns the other hosts in the order in which to ask them for a configuration: in turn one of a data
/// centre and one of the others, whose relay works if that of the data centre was lost.
#[must_use]
pub fn hosts_by_distance(members: &[Member], own: &HostId, dc: &DataCentreId) -> Vec<HostId> {
    let order = rank_hosts(members.iter(), own, DUTY);
    let (local, others): (Vec<&Member>, Vec<&Member>) = order.iter().partition(|m| m.dc == *dc);
    let is_other = |m: &&Member| m.id != *own;
    let mut local = local.into_iter().filter(is_other);
    let mut others = others.into_iter();
    let mut hosts = Vec::with_capacity(order.len());
    loop {
        let pair = [local.next(), others.next()];
        if pair == [None, None] {
            return hosts;
        }
        hosts.extend(pair.into_iter().flatten().map(|m| m.id.clone()));
    }
}

/// Returns whether a fleet of this number of hosts reads the platform through relays.
#[must_use]
pub fn uses_relays(hosts: usize) -> bool {
    hosts > SMALL_FLEET
}

/// Returns the hosts that normally read the platform: the highest-ranked one of each data centre.
fn relays<'a>(order: &[&'a Member]) -> Vec<&'a HostId> {
    let mut seen: Vec<&DataCentreId> = Vec::new();
    let mut relays: Vec<&HostId> = Vec::new();
    for member in order {
        if !seen.contains(&&member.dc) {
            seen.push(&member.dc);
            relays.push(&member.id);
        }
    }
    if relays.len() < RELAYS {
        relays = order.iter().take(RELAYS).map(|m| &m.id).collect();
    }
    relays
}

/// Removes duplicates, keeping the first occurrence of each host.
fn dedup(hosts: &mut Vec<HostId>) {
    let mut seen: Vec<HostId> = Vec::with_capacity(hosts.len());
    hosts.retain(|h| {
        let new = !seen.contains(h);
        if new {
            seen.push(h.clone());
        }
        new
    });
}
