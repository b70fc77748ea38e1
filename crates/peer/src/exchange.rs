//! Whom to exchange with, what to send, what to take over.

use std::net::SocketAddr;

use rand::RngExt;
use store::HostRole;
use types::{Deadline, Instant, Micros};

use crate::{
    event::{Action, ConfigSource, Garbage, Target},
    hosts::Host,
    load::Seen,
    member::{Member, MemberState},
    message::{Exchange, Reply, Request},
    state::State,
};

/// Bounds the pull of a configuration, after which another peer may be asked.
const PULL_TIMEOUT: Micros = Micros::from_secs(5);

/// Of the exchanges within the data centre, every fourth carries the heartbeats of all hosts.
const FULL_EVERY: u64 = 4;

/// One exchange in eight tries a host that seems gone, so that a healed partition is noticed.
const PROBE_ONE_IN: u32 = 8;

/// One round in sixteen tries a seed that is not a known member.
const SEED_EVERY: u64 = 16;

impl State {
    /// Starts the exchanges of this round.
    pub(crate) fn exchange(&mut self, now: Instant, members: &[Member], out: &mut Vec<Action>) {
        let others: Vec<&Member> = members
            .iter()
            .filter(|m| m.id != self.params.host)
            .collect();
        let near = |m: &&&Member| m.dc == self.params.dc && m.state != MemberState::Gone;
        let local: Vec<&Member> = others.iter().filter(near).copied().collect();
        if let Some(to) = self.pick(&local) {
            let full = self.round.is_multiple_of(FULL_EVERY);
            self.call(now, to, !full, true, out);
        }
        if let Some(to) = self.pick_any(&others) {
            self.call(now, to, false, false, out);
        }
        if (others.is_empty() || self.round.is_multiple_of(SEED_EVERY))
            && let Some(to) = self.pick_seed(members)
        {
            self.call(now, to, false, false, out);
        }
    }

    fn pick(&mut self, among: &[&Member]) -> Option<Target> {
        if among.is_empty() {
            return None;
        }
        let m = among[self.rng.random_range(0..among.len())];
        Some(Target {
            host: Some(m.id.clone()),
            addr: m.peer_addr,
        })
    }

    /// Picks a host anywhere, now and then one that seems gone or was only listed.
    fn pick_any(&mut self, others: &[&Member]) -> Option<Target> {
        let is_gone = |m: &&&Member| m.state == MemberState::Gone;
        let gone: Vec<&Member> = others.iter().filter(is_gone).copied().collect();
        let alive: Vec<&Member> = others.iter().filter(|m| !is_gone(m)).copied().collect();
        let probe = alive.is_empty() || self.rng.random_range(0..PROBE_ONE_IN) == 0;
        if !probe {
            return self.pick(&alive);
        }
        let mut targets: Vec<Target> = self.unheard(others);
        targets.extend(gone.iter().map(|m| Target {
            host: Some(m.id.clone()),
            addr: m.peer_addr,
        }));
        if targets.is_empty() {
            return self.pick(&alive);
        }
        let at = self.rng.random_range(0..targets.len());
        Some(targets.swap_remove(at))
    }

    /// Returns listed entry hosts of which nothing was heard.
    fn unheard(&self, others: &[&Member]) -> Vec<Target> {
        let own = self.params.host.as_str();
        let heard = |name: &str| name == own || others.iter().any(|m| m.id.as_str() == name);
        let listed = self.hosts.hosts().iter();
        let entry = listed.filter(|h| h.role == HostRole::Entry && !heard(&h.name));
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

    fn call(&self, now: Instant, to: Target, local: bool, loads: bool, out: &mut Vec<Action>) {
        let mut msg = self.message(now, local);
        if loads {
            msg.load_table = self.loads.hash();
            msg.loads = self.loads.encode(None, now);
        }
        let req = Request::Exchange(Box::new(msg));
        out.push(Action::Call { to, req });
    }

    fn message(&self, now: Instant, local: bool) -> Exchange {
        let (beats, versions) = self.members.encode(local);
        Exchange {
            host: self.params.host.clone(),
            counter: self.members.own_counter(),
            version: self.members.own_version(),
            table: self.members.table(),
            rows_hash: self.members.rows_hash(),
            local,
            beats,
            versions,
            rows: self.members.hot_rows(now),
            load_table: 0,
            loads: Vec::new(),
            residents_hash: self.residents.digest_hash(),
            hosts: self.hosts.summary(now),
        }
    }

    /// Answers a peer; `None` leaves the answer to the process.
    pub(crate) fn serve(
        &mut self,
        now: Instant,
        req: &Request,
        out: &mut Vec<Action>,
    ) -> Option<Reply> {
        Some(match req {
            Request::Exchange(msg) => Reply::Exchange(Box::new(self.serve_exchange(now, msg, out))),
            Request::Config(from) => Reply::Config(self.versions.delta(*from).map(Box::new)),
            Request::Rows(digest) => Reply::Rows(self.members.rows_beyond(digest)),
            Request::Residents(stamps) => Reply::Residents(self.residents.beyond(stamps)),
            Request::Hosts(from) => Reply::Hosts(self.hosts.delta(*from, now)),
            Request::Slot(suspect, backend) => Reply::Told(self.grant(now, *suspect, backend)),
            Request::Suspects(_)
            | Request::Demand(..)
            | Request::RetiredEpoch(_)
            | Request::Place(..)
            | Request::Replica(..)
            | Request::Facts(_) => return None,
        })
    }

    fn serve_exchange(&mut self, now: Instant, msg: &Exchange, out: &mut Vec<Action>) -> Exchange {
        let seen = self.absorb(now, msg, out).unwrap_or_else(|Garbage| {
            out.push(Action::Garbage);
            Seen::new()
        });
        let from = self.members.addr_of(&msg.host).map(|addr| Target {
            host: Some(msg.host.clone()),
            addr,
        });
        if let Some(from) = from {
            self.pull(now, &from, msg, out);
        }
        let mut reply = self.message(now, msg.local);
        if msg.load_table != 0 {
            reply.load_table = self.loads.hash();
            reply.loads = self.loads.encode(Some(&seen), now);
        }
        reply
    }

    /// Takes over what is newer in a peer's message.
    fn absorb(
        &mut self,
        now: Instant,
        msg: &Exchange,
        out: &mut Vec<Action>,
    ) -> Result<Seen, Garbage> {
        for row in &msg.rows {
            self.members.merge(row.clone(), now);
        }
        let dc = self.members.dc_of(&msg.host);
        self.members.decode(msg, dc.as_ref(), now)?;
        if msg.load_table != self.loads.hash() || dc.as_ref() != Some(&self.params.dc) {
            return Ok(Seen::new());
        }
        let mut news = Vec::new();
        let seen = self.loads.decode(&msg.loads, now, &mut news);
        out.extend(news.into_iter().map(Action::Out));
        seen
    }

    /// Asks a peer for what it has and this host lacks.
    fn pull(&mut self, now: Instant, from: &Target, msg: &Exchange, out: &mut Vec<Action>) {
        let mut ask = |req| {
            let to = from.clone();
            out.push(Action::Call { to, req });
        };
        if self.hosts.compare(msg.hosts, now) {
            ask(Request::Hosts(self.hosts.hash()));
        }
        let pulling = self.pulling.is_some_and(|until| !until.is_past(now));
        let follows = self.params.config_source == ConfigSource::Relay;
        if follows && msg.version > self.versions.version() && !pulling {
            self.pulling = Some(Deadline::after(now, PULL_TIMEOUT));
            ask(Request::Config(self.versions.base()));
        }
    }

    pub(crate) fn replied(
        &mut self,
        now: Instant,
        from: Target,
        reply: Reply,
        out: &mut Vec<Action>,
    ) {
        let taken = match reply {
            Reply::Exchange(msg) => self.exchanged(now, from, &msg, out),
            Reply::Config(delta) => {
                self.pulling = None;
                delta.map_or(Ok(()), |delta| self.patch(&delta, out))
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
            Reply::Told(_) | Reply::Placed(_) | Reply::Facts(_) | Reply::Denied => Ok(()),
        };
        if taken == Err(Garbage) {
            out.push(Action::Garbage);
        }
    }

    fn exchanged(
        &mut self,
        now: Instant,
        mut from: Target,
        msg: &Exchange,
        out: &mut Vec<Action>,
    ) -> Result<(), Garbage> {
        self.absorb(now, msg, out)?;
        from.host = Some(msg.host.clone());
        self.pull(now, &from, msg, out);
        if msg.rows_hash != self.members.rows_hash() {
            let req = Request::Rows(self.members.digest());
            out.push(Action::Call {
                to: from.clone(),
                req,
            });
        }
        // Residents are compared once a round, in the exchange that may cross data centres.
        if !msg.local && msg.residents_hash != self.residents.digest_hash() {
            let req = Request::Residents(self.residents.stamps());
            out.push(Action::Call { to: from, req });
        }
        Ok(())
    }

    fn patch(&mut self, delta: &config::Delta, out: &mut Vec<Action>) -> Result<(), Garbage> {
        match self.versions.apply(delta) {
            Ok(true) => {
                self.entered(out);
                Ok(())
            }
            Ok(false) => Ok(()),
            Err(_) => Err(Garbage),
        }
    }
}
