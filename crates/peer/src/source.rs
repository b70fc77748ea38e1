//! From whom a host learns what the platform holds: the platform itself, or another host.
//!
//! Each call of the platform is priced and its rate is bounded, so only the first host of each data
//! centre reads it and tells the others there, whatever happens to the links between data centres.
//! While these know nothing, more hosts read it step by step.

use types::{DataCentreId, HostId, Instant, Micros};

use crate::{duty::rank_hosts, member::Member};

/// Hosts that read the platform for the others where all are in one data centre.
const RELAYS: usize = 2;

/// Hosts up to which all read the platform themselves, which recovers faster.
const SMALL_FLEET: usize = 12;

/// Duty under which hosts are ranked.
const DUTY: &str = "relay";

/// Time after which the next hosts read the platform if nobody tells anything.
const STEP: Micros = Micros::from_millis(500);

/// Steps for one, while hosts answer that they do not reach the platform either.
const SLOW_FACTOR: u64 = 4;

/// Hosts that begin to read the platform in one step.
const HOSTS_PER_STEP: u64 = 6;

/// Time for which a host that began to read the platform goes on.
const FALL_BACK: Micros = Micros::from_secs(3);

/// Hosts that are asked in one round, and those of them in the own data centre.
const MAX_ASKED: usize = 5;
const LOCAL_ASKED: usize = 3;

/// What a host does next to learn what the platform holds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReadPlan {
    /// It reads the platform itself; the hosts may be asked if the platform does not answer.
    Direct(Vec<HostId>),
    /// It asks these hosts in turn.
    Ask {
        /// The hosts.
        hosts: Vec<HostId>,
        /// Whether the first one told facts before and may wait for news.
        wait: bool,
    },
}

/// How a round of questions without facts ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NoFacts {
    /// Some host answered that it does not reach the platform.
    Answered,
    /// All were silent.
    Silent,
}

/// Choice of the source of facts on one host.
#[derive(Debug)]
pub struct SourceSelector {
    own: HostId,
    dc: DataCentreId,
    /// Host that told facts last.
    last: Option<HostId>,
    /// Since when nobody tells facts, and how the last round ended.
    without: Option<(Instant, NoFacts)>,
    direct_until: Instant,
}

impl SourceSelector {
    /// Makes a choice for a host that knows nothing yet.
    #[must_use]
    pub fn new(own: HostId, dc: DataCentreId) -> Self {
        Self {
            own,
            dc,
            last: None,
            without: None,
            direct_until: Instant::ZERO,
        }
    }

    /// Chooses between the platform and other hosts.
    pub fn choose(&mut self, now: Instant, members: &[Member]) -> ReadPlan {
        let order = rank_hosts(members.iter(), &self.own, DUTY);
        let relays = relays(&order);
        let reads = order.len() <= SMALL_FLEET || relays.contains(&&self.own);
        if !reads && self.is_next(now, &order) {
            self.direct_until = now + FALL_BACK;
        }
        let hosts = self.hosts(&order, &relays);
        if reads || now < self.direct_until {
            return ReadPlan::Direct(hosts);
        }
        let wait = self.last.is_some() && hosts.first() == self.last.as_ref();
        ReadPlan::Ask { hosts, wait }
    }

    /// Returns the hosts to ask: those of the own data centre first.
    ///
    /// Once the relays told nothing, the hosts that read the platform after them are asked too.
    fn hosts(&self, order: &[&Member], relays: &[&HostId]) -> Vec<HostId> {
        let here = order.iter().filter(|m| m.dc == self.dc).map(|m| &m.id);
        let here = here.take(if self.without.is_some() {
            LOCAL_ASKED
        } else {
            1
        });
        let known = |h: &&HostId| order.iter().any(|m| m.id == **h);
        let last = self.last.iter().filter(known);
        let all = last.chain(here).chain(relays.iter().copied());
        let mut hosts: Vec<HostId> = all.filter(|h| **h != self.own).cloned().collect();
        dedup(&mut hosts);
        hosts.truncate(MAX_ASKED);
        hosts
    }

    /// Takes that a host told facts.
    pub fn record_facts(&mut self, from: HostId) {
        self.last = Some(from);
        self.without = None;
    }

    /// Takes that no host told facts in a round.
    pub fn record_no_facts(&mut self, now: Instant, how: NoFacts) {
        self.last = None;
        let since = self.without.map_or(now, |(since, _)| since);
        self.without = Some((since, how));
    }

    /// Tells whether this host's turn to read the platform has come.
    ///
    /// If all are silent, the hosts of each data centre follow its first one. While others answer that
    /// they do not reach the platform either, fewer do so, over all data centres.
    fn is_next(&self, now: Instant, order: &[&Member]) -> bool {
        let Some((since, how)) = self.without else {
            return false;
        };
        let same = |m: &&&Member| how == NoFacts::Answered || m.dc == self.dc;
        let mut before = order.iter().filter(same);
        let rank = before.position(|m| m.id == self.own).unwrap_or(0);
        let step = match how {
            NoFacts::Answered => STEP.get() * SLOW_FACTOR,
            NoFacts::Silent => STEP.get(),
        };
        let steps = now.since(since).get() / step;
        u64::try_from(rank).unwrap_or(u64::MAX) < steps * HOSTS_PER_STEP
    }
}

/// Returns the hosts that read the platform in calm times: the first one of each data centre.
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

/// Removes all but the first of equal hosts.
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
