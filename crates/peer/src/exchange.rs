//! Gossip rounds: choice of peers, messages sent, and merging of what peers send.

use std::net::SocketAddr;

use rand::RngExt;
use store::HostRole;
use types::{Deadline, Instant, Micros};

use crate::{
    event::{Action, ConfigSource, InvalidMessage, Target},
    hosts::Host,
    load::ViewTimes,
    member::{Member, MemberState},
    message::{Exchange, Reply, Request},
    state::State,
};

/// Timeout of a configuration pull, after which another peer may be asked.
const PULL_TIMEOUT: Micros = Micros::from_secs(5);

/// Rounds between exchanges within the data centre that carry the heartbeats of all hosts.
const FULL_EXCHANGE_INTERVAL: u64 = 4;

/// One in this many exchanges probes a host that seems gone, which detects a healed partition.
const PROBE_ODDS: u32 = 8;

/// Rounds between attempts to reach a seed that is not a known member.
const SEED_INTERVAL: u64 = 16;

impl State {
    /// Starts the exchanges of this round: one within the data centre, one with any host and
    /// occasionally one with a seed.
    pub(crate) fn exchange(&mut self, now: Instant, members: &[Member], out: &mut Vec<Action>) {
        let others: Vec<&Member> = members
            .iter()
            .filter(|m| m.id != self.params.host)
            .collect();
        let is_local = |m: &&&Member| m.dc == self.params.dc && m.state != MemberState::Gone;
        let local: Vec<&Member> = others.iter().filter(is_local).copied().collect();
        if let Some(to) = self.pick_random(&local) {
            let full = self.round.is_multiple_of(FULL_EXCHANGE_INTERVAL);
            self.send_exchange(now, to, !full, true, out);
        }
        if let Some(to) = self.pick_any(&others) {
            self.send_exchange(now, to, false, false, out);
        }
        if (others.is_empty() || self.round.is_multiple_of(SEED_INTERVAL))
            && let Some(to) = self.pick_seed(members)
        {
            self.send_exchange(now, to, false, false, out);
        }
    }

    fn pick_random(&mut self, among: &[&Member]) -> Option<Target> {
        if among.is_empty() {
            return None;
        }
        let m = among[self.rng.random_range(0..among.len())];
        Some(Target {
            host: Some(m.id.clone()),
            addr: m.peer_addr,
        })
    }

    /// Picks a random host, occasionally one that seems gone or is only in the host list.
    fn pick_any(&mut self, others: &[&Member]) -> Option<Target> {
        let is_gone = |m: &&&Member| m.state == MemberState::Gone;
        let gone: Vec<&Member> = others.iter().filter(is_gone).copied().collect();
        let alive: Vec<&Member> = others.iter().filter(|m| !is_gone(m)).copied().collect();
        let probe = alive.is_empty() || self.rng.random_range(0..PROBE_ODDS) == 0;
        if !probe {
            return self.pick_random(&alive);
        }
        let mut targets: Vec<Target> = self.unknown_hosts(others);
        targets.extend(gone.iter().map(|m| Target {
            host: Some(m.id.clone()),
            addr: m.peer_addr,
        }));
        if targets.is_empty() {
            return self.pick_random(&alive);
        }
        let at = self.rng.random_range(0..targets.len());
        Some(targets.swap_remove(at))
    }

    /// Returns the entry hosts of the host list that are not members yet.
    fn unknown_hosts(&self, others: &[&Member]) -> Vec<Target> {
        let own = self.params.host.as_str();
        let known = |name: &str| name == own || others.iter().any(|m| m.id.as_str() == name);
        let listed = self.hosts.hosts().iter();
        let entry = listed.filter(|h| h.role == HostRole::Entry && !known(&h.name));
        let target = |h: &Host| {
            Some(Target {
                host: None,
                addr: h.peer_addr?,
            })
        };
        entry.filter_map(target).collect()
    }

    fn pick_seed(&mut self, members: &[Member]) -> Option<Target> {
        let known = |addr: &SocketAddr| members.iter().any(|m| m.peer_addr == *addr);
        let unknown = self.params.seeds.iter().filter(|addr| !known(addr));
        let unknown: Vec<SocketAddr> = unknown.copied().collect();
        if unknown.is_empty() {
            return None;
        }
        let addr = unknown[self.rng.random_range(0..unknown.len())];
        Some(Target { host: None, addr })
    }

    fn send_exchange(
        &self,
        now: Instant,
        to: Target,
        local: bool,
        loads: bool,
        out: &mut Vec<Action>,
    ) {
        let mut msg = self.build_exchange(now, local);
        if loads {
            msg.load_table = self.loads.hash();
            msg.loads = self.loads.encode(None, now);
        }
        let req = Request::Exchange(Box::new(msg));
        out.push(Action::Call { to, req });
    }

    fn build_exchange(&self, now: Instant, local: bool) -> Exchange {
        let (heartbeats, versions) = self.members.encode(local);
        Exchange {
            host: self.params.host.clone(),
            counter: self.members.own_counter(),
            version: self.members.own_version(),
            table: self.members.table(),
            rows_hash: self.members.rows_hash(),
            local,
            heartbeats,
            versions,
            rows: self.members.recent_rows(now),
            load_table: 0,
            loads: Vec::new(),
            residents_hash: self.residents.digest_hash(),
            hosts: self.hosts.summary(now),
        }
    }

    /// Handles a request of a peer. Returns `None` for requests that the process handles.
    pub(crate) fn serve(
        &mut self,
        now: Instant,
        req: &Request,
        out: &mut Vec<Action>,
    ) -> Option<Reply> {
        Some(match req {
            Request::Exchange(msg) => Reply::Exchange(Box::new(self.serve_exchange(now, msg, out))),
            Request::Config(from) => Reply::Config(self.versions.delta(*from).map(Box::new)),
            Request::Rows(digest) => Reply::Rows(self.members.rows_missing_from(digest)),
            Request::Residents(stamps) => Reply::Residents(self.residents.newer_than(stamps)),
            Request::Hosts(from) => Reply::Hosts(self.hosts.delta(*from, now)),
            Request::Slot(suspect, backend) => Reply::Bool(self.grant(now, *suspect, backend)),
            Request::Trial(trial) => Reply::Trial(self.grant_trial(now, *trial)),
            Request::Suspects(_)
            | Request::CrashUpdate(_)
            | Request::Demand(..)
            | Request::RetiredEpoch(_)
            | Request::Place(..)
            | Request::Replica(..)
            | Request::Facts(_)
            | Request::Part(_) => return None,
        })
    }

    fn serve_exchange(&mut self, now: Instant, msg: &Exchange, out: &mut Vec<Action>) -> Exchange {
        let seen = self
            .merge_exchange(now, msg, out)
            .unwrap_or_else(|InvalidMessage| {
                out.push(Action::InvalidMessage);
                ViewTimes::new()
            });
        let from = self.members.addr_of(&msg.host).map(|addr| Target {
            host: Some(msg.host.clone()),
            addr,
        });
        if let Some(from) = from {
            self.pull_newer(now, &from, msg, out);
        }
        let mut reply = self.build_exchange(now, msg.local);
        if msg.load_table != 0 {
            reply.load_table = self.loads.hash();
            reply.loads = self.loads.encode(Some(&seen), now);
        }
        reply
    }

    /// Merges the newer parts of a peer's message. Returns when each load in it was observed.
    fn merge_exchange(
        &mut self,
        now: Instant,
        msg: &Exchange,
        out: &mut Vec<Action>,
    ) -> Result<ViewTimes, InvalidMessage> {
        for row in &msg.rows {
            self.members.merge(row.clone(), now);
        }
        let dc = self.members.dc_of(&msg.host);
        self.members.decode(msg, dc.as_ref(), now)?;
        if msg.load_table != self.loads.hash() || dc.as_ref() != Some(&self.params.dc) {
            return Ok(ViewTimes::new());
        }
        let mut updates = Vec::new();
        let seen = self.loads.decode(&msg.loads, now, &mut updates);
        out.extend(updates.into_iter().map(Action::Update));
        seen
    }

    /// Requests the host list and the configuration from a peer that has newer ones.
    fn pull_newer(&mut self, now: Instant, from: &Target, msg: &Exchange, out: &mut Vec<Action>) {
        let mut send = |req| {
            let to = from.clone();
            out.push(Action::Call { to, req });
        };
        if self.hosts.compare(msg.hosts, now) {
            send(Request::Hosts(self.hosts.hash()));
        }
        let pulling = self.pull_deadline.is_some_and(|until| !until.is_past(now));
        let follows = self.params.config_source == ConfigSource::Relay;
        if follows && msg.version > self.versions.version() && !pulling {
            self.pull_deadline = Some(Deadline::after(now, PULL_TIMEOUT));
            send(Request::Config(self.versions.delta_base()));
        }
    }

    pub(crate) fn on_reply(
        &mut self,
        now: Instant,
        from: Target,
        reply: Reply,
        out: &mut Vec<Action>,
    ) {
        let applied = match reply {
            Reply::Exchange(msg) => self.on_exchange_reply(now, from, &msg, out),
            Reply::Config(delta) => {
                self.pull_deadline = None;
                delta.map_or(Ok(()), |delta| self.apply_config_delta(&delta, out))
            }
            Reply::Rows(rows) => {
                for row in rows {
                    self.members.merge(row, now);
                }
                Ok(())
            }
            Reply::Residents(records) => {
                self.residents.merge(records);
                Ok(())
            }
            Reply::Hosts(delta) => delta.map_or(Ok(()), |delta| {
                let changed = self.hosts.apply(&delta, now)?;
                self.hosts_changed(changed, out);
                Ok(())
            }),
            Reply::Bool(_)
            | Reply::Placed(_)
            | Reply::Facts(_)
            | Reply::Part(_)
            | Reply::Trial(_)
            | Reply::Denied => Ok(()),
        };
        if applied == Err(InvalidMessage) {
            out.push(Action::InvalidMessage);
        }
    }

    fn on_exchange_reply(
        &mut self,
        now: Instant,
        mut from: Target,
        msg: &Exchange,
        out: &mut Vec<Action>,
    ) -> Result<(), InvalidMessage> {
        self.merge_exchange(now, msg, out)?;
        from.host = Some(msg.host.clone());
        self.pull_newer(now, &from, msg, out);
        if msg.rows_hash != self.members.rows_hash() {
            let req = Request::Rows(self.members.digest());
            out.push(Action::Call {
                to: from.clone(),
                req,
            });
        }
        // Compared once per round, in the exchange that may cross data centres.
        if !msg.local && msg.residents_hash != self.residents.digest_hash() {
            let req = Request::Residents(self.residents.stamps());
            out.push(Action::Call { to: from, req });
        }
        Ok(())
    }

    fn apply_config_delta(
        &mut self,
        delta: &config::Delta,
        out: &mut Vec<Action>,
    ) -> Result<(), InvalidMessage> {
        match self.versions.apply(delta) {
            Ok(true) => {
                self.on_config_changed(out);
                Ok(())
            }
            Ok(false) => Ok(()),
            Err(_) => Err(InvalidMessage),
        }
    }
}
