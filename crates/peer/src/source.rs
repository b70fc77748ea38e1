//! From whom a host learns what the platform holds: the platform itself, or another host.
//!
//! Each call of the platform is priced and its rate is bounded, so only a few hosts read it and
//! tell the others. While these know nothing, more hosts read it step by step.

use types::{DataCentreId, HostId, Instant, Micros};

use crate::{duty::ranked, member::Member};

/// Hosts that read the platform for the others in a large fleet.
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

/// Hosts that are asked in one round.
const MAX_ASKED: usize = 4;

/// What a host does next to learn what the platform holds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Reading {
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
pub enum Without {
    /// Some host answered that it does not reach the platform.
    Answered,
    /// All were silent.
    Silent,
}

/// Choice of the source of facts on one host.
#[derive(Debug)]
pub struct Source {
    own: HostId,
    dc: DataCentreId,
    /// Host that told facts last.
    last: Option<HostId>,
    /// Since when nobody tells facts, and how the last round ended.
    without: Option<(Instant, Without)>,
    direct_until: Instant,
}

impl Source {
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
    pub fn choose(&mut self, now: Instant, members: &[Member]) -> Reading {
        let order = ranked(members.iter(), &self.own, DUTY);
        let local = order.iter().find(|m| m.dc == self.dc).map(|m| &m.id);
        let rank = order.iter().position(|m| m.id == self.own);
        let rank = match rank {
            // The first host of a data centre reads for it if the relays are cut off.
            Some(rank) if local == Some(&self.own) => rank.min(RELAYS),
            rank => rank.unwrap_or(0),
        };
        let reads = order.len() <= SMALL_FLEET || rank < RELAYS;
        if !reads && self.is_next(now, rank) {
            self.direct_until = now + FALL_BACK;
        }
        let hosts = self.hosts(now, &order, local);
        if reads || now < self.direct_until {
            return Reading::Direct(hosts);
        }
        let wait = self.last.is_some() && hosts.first() == self.last.as_ref();
        Reading::Ask { hosts, wait }
    }

    /// Returns the hosts to ask; once the relays were asked in vain, those after them come first.
    fn hosts(&self, now: Instant, order: &[&Member], local: Option<&HostId>) -> Vec<HostId> {
        let relays = order.iter().take(RELAYS).map(|m| &m.id);
        let readers = order.iter().take(self.readers(now)).map(|m| &m.id);
        let mut hosts: Vec<HostId> = if self.without.is_some() {
            local.into_iter().chain(readers.rev()).cloned().collect()
        } else {
            self.last
                .iter()
                .chain(relays)
                .chain(local)
                .cloned()
                .collect()
        };
        hosts.retain(|h| *h != self.own && order.iter().any(|m| m.id == *h));
        dedup(&mut hosts);
        hosts.truncate(MAX_ASKED);
        hosts
    }

    /// Takes that a host told facts.
    pub fn told(&mut self, by: HostId) {
        self.last = Some(by);
        self.without = None;
    }

    /// Takes that no host told facts in a round.
    pub fn nothing(&mut self, now: Instant, how: Without) {
        self.last = None;
        let since = self.without.map_or(now, |(since, _)| since);
        self.without = Some((since, how));
    }

    /// Returns the number of hosts that read the platform by now.
    fn readers(&self, now: Instant) -> usize {
        let Some((since, how)) = self.without else {
            return RELAYS;
        };
        let waited = now.since(since).get();
        if waited < STEP.get() {
            return RELAYS;
        }
        let step = match how {
            Without::Answered => STEP.get() * SLOW_FACTOR,
            Without::Silent => STEP.get(),
        };
        let steps = waited / step;
        let more = usize::try_from(steps * HOSTS_PER_STEP).unwrap_or(usize::MAX);
        (RELAYS + 1).saturating_add(more)
    }

    fn is_next(&self, now: Instant, rank: usize) -> bool {
        self.without.is_some() && rank < self.readers(now)
    }
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
