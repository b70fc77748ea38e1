//! Invariants of the explored world.

use orders::{Copy, CopyState};
use types::{Bytes, OrderOp};

use crate::world::{Ev, MEMORY, World};

impl World {
    pub(crate) fn check(&mut self) {
        let reserved = self
            .record
            .as_ref()
            .map_or(Bytes::ZERO, |(r, _)| r.reserved());
        let used = self.engine.used();
        let holders = (0..2).filter(|h| {
            let host = &self.hosts[*h];
            host.alive && host.lease.authority(self.local(*h)).is_some()
        });
        let found = if used > MEMORY {
            format!("{used} in use, {MEMORY} present")
        } else if used > reserved {
            format!("{used} in use, {reserved} reserved")
        } else if reserved > MEMORY {
            format!("{reserved} reserved, {MEMORY} present")
        } else if holders.count() > 1 {
            "two hosts have authority".to_owned()
        } else if let Some(name) = self.counted_in_error() {
            format!("copy of {name} counted while its unload is open")
        } else {
            return;
        };
        let at = self.now;
        self.violation.get_or_insert(format!("{found} at {at} us"));
    }

    /// Finds a copy that a holder counts although an unload of it can still take effect.
    pub(crate) fn counted_in_error(&self) -> Option<String> {
        let open = |name: &str| {
            let leaving = self.hosts.iter().flat_map(|h| &h.sending).map(|(_, o)| o);
            let queued = self.queue.iter().filter_map(|(_, _, _, ev)| match ev {
                Ev::Arrive(_, order, life) if *life == self.engine.incarnation => Some(order),
                _ => None,
            });
            let mut all = leaving.chain(queued).chain(&self.engine.running);
            all.any(|o| {
                let running = self.engine.running.iter().any(|r| r.id == o.id);
                let new = !self.engine.knows(o.id) && !self.engine.refuses(o);
                o.op == OrderOp::Unload && o.name == name && (running || new)
            })
        };
        let (record, _) = self.record.as_ref()?;
        for host in &self.hosts {
            if host.term != Some(record.epoch) || !host.alive {
                continue;
            }
            let copies: Vec<Copy> = host.ledger.as_ref()?.copies();
            let mut ready = copies.iter().filter(|c| c.state == CopyState::Ready);
            if let Some(copy) = ready.find(|c| open(&c.name)) {
                return Some(copy.name.clone());
            }
        }
        None
    }

    /// Checks that orders are closed once nothing fails any more.
    pub(crate) fn check_progress(&mut self) {
        let holder = (0..2).find(|h| self.hosts[*h].lease.authority(self.local(*h)).is_some());
        let foreign = self.record.as_ref().is_some_and(|(record, _)| {
            let epoch = record.epoch;
            record
                .pending()
                .any(|p| p.senders.iter().any(|s| s.epoch != epoch))
        });
        if holder.is_none() {
            self.violation = Some("nobody holds the lease after the faults".to_owned());
        } else if foreign {
            self.violation = Some("a former holder's order stays open".to_owned());
        }
    }
}
