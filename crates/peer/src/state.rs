//! State of the exchange: versions, relays, suspect slots.

use std::sync::Arc;

use config::{Manifest, Snapshot};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use route::Fingerprint;
use store::{HostRole, HostState};
use types::{BackendId, ConfigVersion, DataCentreId, Deadline, HostId, Instant, Micros};

use crate::{
    event::{Action, ConfigSource, Event, Params, Target},
    hosts::HostList,
    load::Loads,
    member::{Member, MemberState, Members},
    message::{Readiness, Row, RowState},
    residents::AllResidents,
    slot::Slots,
    version::Versions,
};

/// Time between two reads of the manifest on the platform by each host.
const BACKSTOP: Micros = Micros::from_secs(10);

/// Time that peers get to bring a version which the backstop read has shown.
const BACKSTOP_GRACE: Micros = Micros::from_secs(3);

/// Bounds a load from the platform, after which it may be tried again.
const LOAD_TIMEOUT: Micros = Micros::from_secs(5);

/// Rounds of exchange started at once by a host that drains, which may stop before the next one.
const FAREWELLS: usize = 3;

/// Hosts of a data centre that watch the platform.
const RELAYS: usize = 2;

/// Hosts that must all grant a suspect slot.
///
/// When one of them fails or joins, another one still knows the slots granted before.
const GRANTERS: usize = 2;

/// Exchange periods after the start before a host grants, since it forgot what it granted before.
const SLOT_HOLD_PERIODS: u64 = 5;

/// Exchange periods between two ticks beyond which this process was paused.
const PAUSE_PERIODS: u64 = 3;

/// Duration of a suspect slot while no service gives its longest deadline.
const SLOT_DURATION: Micros = Micros::from_secs(60);

/// State of the exchange on one host.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) params: Params,
    pub(crate) rng: StdRng,
    pub(crate) members: Members,
    pub(crate) versions: Versions,
    pub(crate) hosts: HostList,
    pub(crate) loads: Loads,
    pub(crate) residents: AllResidents,
    pub(crate) slots: Slots,
    pub(crate) round: u64,
    pub(crate) watching: bool,
    pub(crate) next_read: Deadline,
    pub(crate) pulling: Option<Deadline>,
    pub(crate) loading: Option<Deadline>,
    /// Newer manifest and when its chunks are read unless a peer brings it first.
    pub(crate) wanted: Option<(Manifest, Deadline)>,
    /// Members that the process was told of.
    pub(crate) told: Vec<Member>,
    /// Start of the process or end of its last pause.
    pub(crate) started: Instant,
    pub(crate) last_tick: Instant,
}

impl State {
    pub(crate) fn new(params: Params, now: Instant) -> Self {
        let own = RowState {
            row: Row {
                id: params.host.clone(),
                dc: params.dc.clone(),
                addr: params.addr,
                peer_addr: params.peer_addr,
                capacity: params.capacity,
                incarnation: params.incarnation,
                stamp: 0,
                state: Readiness::Starting,
                lease_epoch: None,
                retired_epoch: None,
            },
            counter: params.counter,
            version: ConfigVersion::default(),
        };
        Self {
            rng: StdRng::seed_from_u64(params.seed),
            members: Members::new(own, params.period, now),
            versions: Versions::default(),
            hosts: HostList::default(),
            loads: Loads::default(),
            residents: AllResidents::default(),
            slots: Slots::default(),
            round: 0,
            watching: false,
            next_read: Deadline::at(now),
            pulling: None,
            loading: None,
            wanted: None,
            told: Vec::new(),
            started: now,
            last_tick: now,
            params,
        }
    }

    pub(crate) fn step(&mut self, now: Instant, ev: Event, out: &mut Vec<Action>) {
        match ev {
            Event::Tick => self.tick(now, out),
            Event::Own(state) => self.change_state(now, state, out),
            Event::Loads(views) => {
                for (id, load, age) in views {
                    let seen = now.as_micros().saturating_sub(age.get());
                    self.loads.report(&id, load, Instant::from_micros(seen));
                }
            }
            Event::Residents(models) => self.residents.set_own(models),
            Event::Holds(epoch) => self.members.change_own(now, |row| row.lease_epoch = epoch),
            Event::Yielded(epoch) => self.members.change_own(now, |row| {
                row.retired_epoch = row.retired_epoch.max(Some(epoch));
                row.lease_epoch = row.lease_epoch.filter(|held| *held > epoch);
            }),
            Event::Suspects(marks) => self.slots.hear(&marks),
            Event::Replied { from, reply } => self.replied(now, from, reply, out),
            Event::PullFailed => self.pulling = None,
            Event::Read(manifest) => {
                let grace = match self.params.config_source {
                    ConfigSource::Relay if self.versions.current().is_some() => BACKSTOP_GRACE,
                    _ => Micros::ZERO,
                };
                self.want(now, manifest, grace, out);
            }
            Event::Watched(manifest) => self.want(now, manifest, Micros::ZERO, out),
            Event::Loaded(snapshot) => {
                self.loading = None;
                if let Some(snapshot) = snapshot {
                    self.offer(snapshot, out);
                }
                self.load_wanted(now, out);
            }
            Event::Listed(hosts) => {
                let changed = self.hosts.set(hosts, now);
                self.hosts_changed(changed, out);
            }
            Event::HostChanged { name, host } => {
                let changed = self.hosts.change(&name, host, now);
                self.hosts_changed(changed, out);
            }
        }
    }

    fn change_state(&mut self, now: Instant, state: Readiness, out: &mut Vec<Action>) {
        self.members.change_own(now, |row| row.state = state);
        if state == Readiness::Draining {
            let members = self.members.list(now);
            for _ in 0..FAREWELLS {
                self.exchange(now, &members, out);
            }
        }
    }

    fn tick(&mut self, now: Instant, out: &mut Vec<Action>) {
        self.round += 1;
        self.notice_pause(now);
        self.members.beat(self.versions.version(), now);
        self.members.forget(now);
        let listed = self.hosts.hosts().iter();
        let leaving = listed.filter(|h| h.role == HostRole::Entry && h.state == HostState::Leaving);
        let leaving: Vec<&str> = leaving.map(|h| h.name.as_str()).collect();
        self.members.set_leaving(&leaving);
        self.choose_relays(now, out);
        let reads = matches!(
            self.params.config_source,
            ConfigSource::Relay | ConfigSource::Poll
        );
        if self.next_read.is_past(now) && reads {
            // The random part keeps the reads of a fleet that started together apart.
            let first = self.round == 1;
            let span = if first {
                self.rng.random_range(0..BACKSTOP.get())
            } else {
                0
            };
            let wait = if first { Micros::new(span) } else { BACKSTOP };
            self.next_read = Deadline::after(now, wait);
            out.push(Action::ReadManifest);
        }
        self.load_wanted(now, out);
        let members = self.members.list(now);
        self.tell_residents(&members, out);
        self.exchange(now, &members, out);
        if members != self.told {
            self.told.clone_from(&members);
            out.push(Action::Members(members));
        }
    }

    /// After a pause of this process the others are not silent; it has not listened.
    fn notice_pause(&mut self, now: Instant) {
        let gap = now.since(self.last_tick);
        self.last_tick = now;
        if gap > Micros::new(self.params.period.get() * PAUSE_PERIODS) {
            self.members.forgive(gap);
            self.started = now;
        }
    }

    fn choose_relays(&mut self, now: Instant, out: &mut Vec<Action>) {
        let dc = &self.params.dc;
        let ranked = self.members.ranked(&format!("relay/{dc}"), dc, now);
        let rank = ranked.iter().position(|id| **id == self.params.host);
        let watch = match self.params.config_source {
            ConfigSource::Relay => rank.is_some_and(|rank| rank < RELAYS),
            ConfigSource::Watch => true,
            ConfigSource::Poll | ConfigSource::Process => false,
        };
        if rank == Some(0) {
            self.residents.publish(dc, now);
        }
        if watch != self.watching {
            self.watching = watch;
            out.push(Action::Watch(watch));
        }
    }

    fn tell_residents(&mut self, members: &[Member], out: &mut Vec<Action>) {
        let mut news = Vec::new();
        let reachable = |dc: &DataCentreId| {
            let answers = |m: &Member| m.dc == *dc && m.state != MemberState::Gone;
            members.iter().any(answers)
        };
        if self
            .residents
            .tell(&self.params.dc, reachable, &mut news)
            .is_err()
        {
            out.push(Action::Garbage);
        }
        out.extend(news.into_iter().map(Action::Out));
    }

    pub(crate) fn offer(&mut self, snapshot: Arc<Snapshot>, out: &mut Vec<Action>) {
        if self.versions.offer(snapshot) {
            self.entered(out);
        }
    }

    /// Follows up on a new configuration in force.
    pub(crate) fn entered(&mut self, out: &mut Vec<Action>) {
        let Some(current) = self.versions.current() else {
            return;
        };
        let in_force = Arc::clone(&current.in_force);
        let d = &in_force.deployment;
        let near = d.backends.iter().filter(|b| b.dc == self.params.dc);
        self.loads.set_table(near.map(|b| b.id.clone()).collect());
        let models = d.models.iter().map(|m| m.id.clone()).collect();
        self.residents.set_table(models);
        self.members.set_own_version(in_force.version);
        out.push(Action::InForce(in_force));
    }

    fn want(&mut self, now: Instant, manifest: Manifest, wait: Micros, out: &mut Vec<Action>) {
        let known = self.wanted.as_ref().map(|(m, _)| m.version);
        let newer = known.is_none_or(|known| manifest.version > known || wait == Micros::ZERO);
        if newer && manifest.version > self.versions.version() {
            self.wanted = Some((manifest, Deadline::after(now, wait)));
        }
        self.load_wanted(now, out);
    }

    fn load_wanted(&mut self, now: Instant, out: &mut Vec<Action>) {
        let current = self.versions.version();
        self.wanted = self.wanted.take().filter(|(m, _)| m.version > current);
        let loading = self.loading.is_some_and(|until| !until.is_past(now));
        let due = |(manifest, at): (Manifest, Deadline)| at.is_past(now).then_some(manifest);
        if loading {
            return;
        }
        if let Some(manifest) = self.wanted.clone().and_then(due) {
            self.wanted = None;
            self.loading = Some(Deadline::after(now, LOAD_TIMEOUT));
            out.push(Action::Load {
                manifest: Box::new(manifest),
                known: self.versions.current().cloned(),
            });
        }
    }

    pub(crate) fn hosts_changed(&mut self, changed: bool, out: &mut Vec<Action>) {
        if !changed {
            return;
        }
        out.push(Action::Inventory(self.hosts.inventory()));
    }

    /// Returns the hosts that must all grant the suspect slot of a backend server.
    pub(crate) fn granters(&self, now: Instant, backend: &BackendId) -> Vec<Target> {
        let Some(current) = self.versions.current() else {
            return Vec::new();
        };
        let backends = &current.in_force.deployment.backends;
        let Ok(at) = backends.binary_search_by(|b| b.id.cmp(backend)) else {
            return Vec::new();
        };
        let key = format!("slot/{backend}");
        let ranked = self.members.ranked(&key, &backends[at].dc, now);
        let target = |host: &HostId| {
            let addr = self.members.addr_of(host)?;
            let host = Some(host.clone());
            Some(Target { host, addr })
        };
        let first = ranked.into_iter().take(GRANTERS);
        first.filter_map(target).collect()
    }

    /// Grants the suspect slot of a backend server if this host is one of those that grant it.
    pub(crate) fn grant(
        &mut self,
        now: Instant,
        suspect: Fingerprint,
        backend: &BackendId,
    ) -> bool {
        let hold = Micros::new(self.params.period.get() * SLOT_HOLD_PERIODS);
        let own = Some(&self.params.host);
        let granters = self.granters(now, backend);
        if granters.iter().all(|t| t.host.as_ref() != own) || now.since(self.started) < hold {
            return false;
        }
        let services = self
            .versions
            .current()
            .map(|s| &s.in_force.deployment.services);
        let longest = services.and_then(|s| s.iter().map(|s| s.max_deadline).max());
        let duration = longest.unwrap_or(SLOT_DURATION);
        self.slots.ask(backend, suspect, duration, now)
    }

    /// Returns the members as of now.
    pub(crate) fn members(&self, now: Instant) -> Vec<Member> {
        self.members.list(now)
    }
}
