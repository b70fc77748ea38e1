//! Invariants that hold after every simulated event.

use orders::{Copy, CopyState};
use types::{Bytes, OrderOp};

use crate::world::{MEMORY, SimEvent, World};

impl World {
    /// Records the first violation of an invariant.
    pub(crate) fn check(&mut self) {
        let reserved = self
            .record
            .as_ref()
            .map_or(Bytes::ZERO, |(r, _)| r.reserved());
        let used = self.engine.used();
        let holders = (0..2).filter(|h| {
            let host = &self.hosts[*h];
            host.alive && host.lease.authority(self.local_time(*h)).is_some()
        });
        let found = if used > MEMORY {
            format!("{used} in use, {MEMORY} present")
        } else if used > reserved {
            format!("{used} in use, {reserved} reserved")
        } else if reserved > MEMORY {
            format!("{reserved} reserved, {MEMORY} present")
        } else if holders.count() > 1 {
            "two hosts have authority".to_owned()
        } else if let Some(name) = self.unloading_copy_counted_as_ready() {
            format!("copy of {name} counted as ready while its unload is pending")
        } else {
            return;
        };
        let at = self.now;
        self.violation.get_or_insert(format!("{found} at {at} us"));
    }

    /// Returns a copy that a lease holder counts as ready although an unload of it can still take
    /// effect.
    pub(crate) fn unloading_copy_counted_as_ready(&self) -> Option<String> {
        let may_be_unloaded = |name: &str| {
            let sending = self.hosts.iter().flat_map(|h| &h.sending).map(|(_, o)| o);
            let in_transit = self
                .queue
                .iter()
                .filter_map(|(_, _, _, event)| match event {
                    SimEvent::OrderArrived(_, order, incarnation)
                        if *incarnation == self.engine.incarnation =>
                    {
                        Some(order)
                    }
                    _ => None,
                });
            let mut all = sending.chain(in_transit).chain(&self.engine.running);
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
            if let Some(copy) = ready.find(|c| may_be_unloaded(&c.name)) {
                return Some(copy.name.clone());
            }
        }
        None
    }

    /// Checks that a lease holder exists and that no order of a former holder is pending after a
    /// period without faults.
    pub(crate) fn check_orders_closed(&mut self) {
        let holder = (0..2).find(|h| {
            self.hosts[*h]
                .lease
                .authority(self.local_time(*h))
                .is_some()
        });
        let foreign_pending = self.record.as_ref().is_some_and(|(record, _)| {
            let epoch = record.epoch;
            record
                .pending()
                .any(|p| p.senders.iter().any(|s| s.epoch != epoch))
        });
        if holder.is_none() {
            self.violation = Some("no host holds the lease after the faults".to_owned());
        } else if foreign_pending {
            self.violation = Some("an order of a former holder is still pending".to_owned());
        }
    }
}
