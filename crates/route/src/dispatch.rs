//! Dispatch of a request to a backend server.

use types::{Instant, Micros};

use crate::{
    choose::Estimate,
    event::Action,
    requests::{Phase, ResponseProgress},
    router::Router,
};

impl Router {
    /// Sends a request to a backend server.
    pub(crate) fn dispatch(
        &mut self,
        now: Instant,
        slot: u32,
        backend: u32,
        estimate: Estimate,
        out: &mut Vec<Action>,
    ) {
        let b = &mut self.backends[backend as usize];
        b.add_own(now);
        let incarnation = b.incarnation;
        let Some(entry) = self.requests.get_mut(slot) else {
            return;
        };
        entry.phase = Phase::Running {
            backend,
            incarnation,
        };
        #[expect(
            clippy::cast_possible_truncation,
            reason = "single precision suffices for an estimate"
        )]
        let [baseline, expected, prefill_seconds] = [
            estimate.baseline,
            estimate.first_byte,
            estimate.prefill_seconds,
        ]
        .map(|s| s as f32);
        entry.baseline = baseline;
        entry.expected = expected;
        entry.prefill_seconds = prefill_seconds;
        b.own_work += prefill_seconds;
        entry.dispatched = now;
        entry.response = ResponseProgress::default();
        // A trial is one dispatch; a repetition needs another one.
        entry.trial = None;
        entry.attempts += 1;
        if self.cfg.prefix_hints {
            for &prefix in &entry.request.prefixes {
                b.prefixes.insert(prefix);
            }
        }
        if let Some(adapter) = entry.adapter
            && let Some(used) = self.adapter_uses.get_mut(usize::from(adapter))
        {
            *used = now;
        }
        let (id, retry) = (entry.request.id, entry.retry.take());
        let (priority, seq, first) = (entry.request.priority, entry.rank.seq, entry.attempts == 1);
        self.record_served(priority, seq);
        self.counts.dispatched += 1;
        if let Some(reason) = retry {
            self.counts.retry(reason);
        }
        if first {
            self.record_demand(now, slot, false);
            self.record_first_attempt(now, slot);
        }
        if let Some(names) = &self.names {
            out.push(Action::Dispatch {
                id,
                backend: names.backend_id(backend).clone(),
                retry,
                first_byte: micros(estimate.first_byte),
            });
        }
    }

    fn record_served(&mut self, priority: config::Priority, seq: u64) {
        match self.served.binary_search_by_key(&priority, |s| s.0) {
            Ok(at) => self.served[at].1 = self.served[at].1.max(seq),
            Err(at) => self.served.insert(at, (priority, seq)),
        }
    }
}

/// Converts estimated seconds to microseconds.
pub(crate) fn micros(seconds: f64) -> Micros {
    let time = std::time::Duration::try_from_secs_f64(seconds).unwrap_or_default();
    Micros::new(u64::try_from(time.as_micros()).unwrap_or(u64::MAX))
}
