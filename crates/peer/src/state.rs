//! State machine of the exchange: configuration versions, relays, suspect slots.

use std::sync::Arc;

use config::{Manifest, Snapshot};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use route::{Fingerprint, Suspect, TrialReply, TrialRequest};
use store::{HostRole, HostState};
use types::{BackendId, ConfigVersion, DataCentreId, Deadline, HostId, Instant, Micros};

use crate::{
    duty::rank_hosts,
    event::{Action, ConfigSource, Event, Params, Target},
    hosts::HostList,
    load::Loads,
    member::{Member, MemberState, Members},
    message::{Readiness, Row, RowState},
    residents::ResidentsTable,
    slot::Slots,
    trial::TrialGrants,
    version::Versions,
};

/// Period in which each host reads the manifest from the platform, in case no peer sends a change.
const MANIFEST_READ_PERIOD: Micros = Micros::from_secs(10);

/// Time in which peers may deliver a version that the periodic read has found.
const PEER_GRACE: Micros = Micros::from_secs(3);

/// Timeout of loading chunks from the platform, after which it may be retried.
const LOAD_TIMEOUT: Micros = Micros::from_secs(5);

/// Exchange rounds that a host starts at once when it drains, as it may stop before the next tick.
const DRAIN_EXCHANGES: usize = 3;

/// Number of hosts per data centre that watch the platform.
const RELAYS: usize = 2;

/// Number of hosts that must all grant a suspect slot.
///
/// When one of them fails or another host takes its place, the other still knows the slots granted
/// before.
const GRANTERS: usize = 2;

/// Exchange periods after a start before a host grants slots, since it does not know those that it
/// granted before.
const SLOT_HOLD_PERIODS: u64 = 5;

/// Exchange periods between two ticks above which this process is considered to have been paused.
const PAUSE_PERIODS: u64 = 3;

/// Duration of a suspect slot when no service is configured, whose longest deadline is used
/// otherwise.
const SLOT_DURATION: Micros = Micros::from_secs(60);

/// State of the exchange of one host.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) params: Params,
    pub(crate) rng: StdRng,
    pub(crate) members: Members,
    pub(crate) versions: Versions,
    pub(crate) hosts: HostList,
    pub(crate) loads: Loads,
    pub(crate) residents: ResidentsTable,
    pub(crate) slots: Slots,
    pub(crate) trial_grants: TrialGrants,
    pub(crate) round: u64,
    pub(crate) watching: bool,
    pub(crate) next_read: Deadline,
    pub(crate) pull_deadline: Option<Deadline>,
    pub(crate) load_deadline: Option<Deadline>,
    /// Newer manifest and the time to read its chunks unless a peer delivers the version first.
    pub(crate) pending_manifest: Option<(Manifest, Deadline)>,
    /// Members that were last published.
    pub(crate) reported_members: Vec<Member>,
    /// Start of the process, or end of its last pause.
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
            residents: ResidentsTable::default(),
            slots: Slots::default(),
            trial_grants: TrialGrants::default(),
            round: 0,
            watching: false,
            next_read: Deadline::at(now),
            pull_deadline: None,
            load_deadline: None,
            pending_manifest: None,
            reported_members: Vec::new(),
            started: now,
            last_tick: now,
            params,
        }
    }

    pub(crate) fn step(&mut self, now: Instant, ev: Event, out: &mut Vec<Action>) {
        match ev {
            Event::Tick => self.tick(now, out),
            Event::Readiness(state) => self.set_readiness(now, state, out),
            Event::Loads(views) => {
                for (id, load, age) in views {
                    let seen = now.as_micros().saturating_sub(age.get());
                    self.loads.report(&id, load, Instant::from_micros(seen));
                }
            }
            Event::Residents(models) => self.residents.set_own(models),
            Event::LeaseEpoch(epoch) => self.members.change_own(now, |row| row.lease_epoch = epoch),
            Event::RetiredEpoch(epoch) => self.members.change_own(now, |row| {
                row.retired_epoch = row.retired_epoch.max(Some(epoch));
                row.lease_epoch = row.lease_epoch.filter(|held| *held > epoch);
            }),
            Event::Suspects(records) => self.slots.release(&records),
            Event::Replied { from, reply } => self.on_reply(now, from, reply, out),
            Event::PullFailed => self.pull_deadline = None,
            Event::ManifestRead(manifest) => {
                let grace = match self.params.config_source {
                    ConfigSource::Relay if self.versions.current().is_some() => PEER_GRACE,
                    _ => Micros::ZERO,
                };
                self.schedule_load(now, manifest, grace, out);
            }
            Event::ManifestChanged(manifest) => {
                self.schedule_load(now, manifest, Micros::ZERO, out);
            }
            Event::SnapshotLoaded(snapshot) => {
                self.load_deadline = None;
                if let Some(snapshot) = snapshot {
                    self.install(snapshot, out);
                }
                self.load_pending(now, out);
            }
            Event::HostsListed(hosts) => {
                let changed = self.hosts.set(hosts, now);
                self.hosts_changed(changed, out);
            }
            Event::HostChanged { name, host } => {
                let changed = self.hosts.change(&name, host, now);
                self.hosts_changed(changed, out);
            }
        }
    }

    fn set_readiness(&mut self, now: Instant, state: Readiness, out: &mut Vec<Action>) {
        self.members.change_own(now, |row| row.state = state);
        if state == Readiness::Draining {
            let members = self.members.list(now);
            for _ in 0..DRAIN_EXCHANGES {
                self.exchange(now, &members, out);
            }
        }
    }

    fn tick(&mut self, now: Instant, out: &mut Vec<Action>) {
        self.round += 1;
        self.detect_pause(now);
        self.members
            .increment_heartbeat(self.versions.version(), now);
        self.members.remove_expired(now);
        let listed = self.hosts.hosts().iter();
        let leaving = listed.filter(|h| h.role == HostRole::Entry && h.state == HostState::Leaving);
        let leaving: Vec<&str> = leaving.map(|h| h.name.as_str()).collect();
        self.members.set_leaving(&leaving);
        self.update_relay_role(now, out);
        let reads = matches!(
            self.params.config_source,
            ConfigSource::Relay | ConfigSource::Poll
        );
        if self.next_read.is_past(now) && reads {
            // The first interval is random, so that hosts that start together read at different times
            // afterwards.
            let first = self.round == 1;
            let span = if first {
                self.rng.random_range(0..MANIFEST_READ_PERIOD.get())
            } else {
                0
            };
            let wait = if first {
                Micros::new(span)
            } else {
                MANIFEST_READ_PERIOD
            };
            self.next_read = Deadline::after(now, wait);
            out.push(Action::ReadManifest);
        }
        self.load_pending(now, out);
        let members = self.members.list(now);
        self.report_residents(&members, out);
        self.exchange(now, &members, out);
        if members != self.reported_members {
            self.reported_members.clone_from(&members);
            out.push(Action::Members(members));
        }
    }

    /// Detects a pause of this process, during which it received no heartbeats, and excludes it
    /// from the silence of the other hosts.
    fn detect_pause(&mut self, now: Instant) {
        let gap = now.since(self.last_tick);
        self.last_tick = now;
        if gap > Micros::new(self.params.period.get() * PAUSE_PERIODS) {
            self.members.extend_heartbeats(gap);
            self.started = now;
        }
    }

    fn update_relay_role(&mut self, now: Instant, out: &mut Vec<Action>) {
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

    fn report_residents(&mut self, members: &[Member], out: &mut Vec<Action>) {
        let mut updates = Vec::new();
        let reachable = |dc: &DataCentreId| {
            let answers = |m: &Member| m.dc == *dc && m.state != MemberState::Gone;
            members.iter().any(answers)
        };
        if self
            .residents
            .report_changes(&self.params.dc, reachable, &mut updates)
            .is_err()
        {
            out.push(Action::InvalidMessage);
        }
        out.extend(updates.into_iter().map(Action::Update));
    }

    pub(crate) fn install(&mut self, snapshot: Arc<Snapshot>, out: &mut Vec<Action>) {
        if self.versions.install(snapshot) {
            self.on_config_changed(out);
        }
    }

    /// Updates the tables that depend on the configuration and publishes the configuration.
    pub(crate) fn on_config_changed(&mut self, out: &mut Vec<Action>) {
        let Some(current) = self.versions.current() else {
            return;
        };
        let in_force = Arc::clone(&current.config);
        let d = &in_force.deployment;
        let local = d.backends.iter().filter(|b| b.dc == self.params.dc);
        self.loads.set_table(local.map(|b| b.id.clone()).collect());
        let models = d.models.iter().map(|m| m.id.clone()).collect();
        self.residents.set_table(models);
        self.members.set_own_version(in_force.version);
        out.push(Action::InForce(in_force));
    }

    fn schedule_load(
        &mut self,
        now: Instant,
        manifest: Manifest,
        wait: Micros,
        out: &mut Vec<Action>,
    ) {
        let known = self.pending_manifest.as_ref().map(|(m, _)| m.version);
        let newer = known.is_none_or(|known| manifest.version > known || wait == Micros::ZERO);
        if newer && manifest.version > self.versions.version() {
            self.pending_manifest = Some((manifest, Deadline::after(now, wait)));
        }
        self.load_pending(now, out);
    }

    fn load_pending(&mut self, now: Instant, out: &mut Vec<Action>) {
        let current = self.versions.version();
        self.pending_manifest = self
            .pending_manifest
            .take()
            .filter(|(m, _)| m.version > current);
        let loading = self.load_deadline.is_some_and(|until| !until.is_past(now));
        let due = |(manifest, at): (Manifest, Deadline)| at.is_past(now).then_some(manifest);
        if loading {
            return;
        }
        if let Some(manifest) = self.pending_manifest.clone().and_then(due) {
            self.pending_manifest = None;
            self.load_deadline = Some(Deadline::after(now, LOAD_TIMEOUT));
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
        let backends = &current.config.deployment.backends;
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

    /// Grants the suspect slot of a backend server if this host is one of its granters and the slot
    /// is free. Returns whether it did.
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
            .map(|s| &s.config.deployment.services);
        let longest = services.and_then(|s| s.iter().map(|s| s.max_deadline).max());
        let duration = longest.unwrap_or(SLOT_DURATION);
        self.slots.grant(backend, suspect, duration, now)
    }

    /// Returns the hosts that must all grant a trial of a suspect.
    pub(crate) fn trial_granters(&self, now: Instant, suspect: Suspect) -> Vec<Target> {
        let members = self.members.list(now);
        let ranked = rank_hosts(
            members.iter(),
            &self.params.host,
            &format!("trial/{suspect}"),
        );
        let target = |m: &&Member| Target {
            host: Some(m.id.clone()),
            addr: m.peer_addr,
        };
        ranked.iter().take(GRANTERS).map(target).collect()
    }

    /// Grants a trial of a suspect, unless this host may not know those that it granted before.
    pub(crate) fn grant_trial(&mut self, now: Instant, trial: TrialRequest) -> TrialReply {
        let hold = Micros::new(self.params.period.get() * SLOT_HOLD_PERIODS);
        if now.since(self.started) < hold {
            return TrialReply::Denied;
        }
        self.trial_grants.grant(now, trial)
    }

    /// Returns the time since the last heartbeat of a host that this host knows of.
    pub(crate) fn silence(&self, now: Instant, host: &HostId) -> Option<Micros> {
        self.members.silence(host, now)
    }

    /// Returns the members as of now.
    pub(crate) fn members(&self, now: Instant) -> Vec<Member> {
        self.members.list(now)
    }
}
