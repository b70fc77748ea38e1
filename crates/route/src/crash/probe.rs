//! Probes of backend servers that seem to have crashed.
//!
//! A connection that ends while new ones are refused looks like a crash. A network that resets connections for a
//! while looks the same, and its server runs on. As long as the platform lists the same process, the
//! server gets a single request now and then, and is back in use once it responds.

use types::{Deadline, Instant, Micros};

use crate::{backend::Backend, event::Liveness, router::Router};

/// Time from a crash, or from a probe that failed, to the next probe. A probe of a process that has ended costs
/// its request a refused connection.
const PROBE_INTERVAL: Micros = Micros::from_secs(1);

/// Whether a server that seemed to crash is probed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum ProbeState {
    /// It did not seem to crash, or has responded since.
    #[default]
    None,
    /// It gets no requests until a time.
    Waiting(Deadline),
    /// It gets one request at a time.
    Probed,
}

impl Backend {
    /// Starts to wait for the next probe.
    pub(crate) fn await_probe(&mut self, now: Instant) {
        self.probe = ProbeState::Waiting(Deadline::after(now, PROBE_INTERVAL));
    }

    /// Records that the server has responded to this host.
    pub(crate) fn record_response(&mut self, now: Instant) {
        self.last_response = now;
        self.lost_response = None;
        if self.probe == ProbeState::Probed {
            self.probe = ProbeState::None;
        }
    }

    /// Returns whether the server gets no request because one already probes it.
    pub(crate) fn awaits_probe_response(&self) -> bool {
        self.probe == ProbeState::Probed && self.own > 0
    }

    /// Returns whether the server may be probed: it is due, and the platform lists the process that seemed to
    /// crash.
    fn is_probe_due(&self, now: Instant) -> bool {
        let ProbeState::Waiting(until) = self.probe else {
            return false;
        };
        until.is_past(now)
            && self.ended_incarnation.is_some()
            && self.ended_incarnation == self.incarnation
            && self.registered_incarnation == self.incarnation
    }
}

impl Router {
    /// Lets the servers whose probe is due get a request.
    pub(crate) fn start_probes(&mut self, now: Instant) {
        for b in &mut self.backends {
            if b.is_probe_due(now) {
                b.probe = ProbeState::Probed;
                b.ended_incarnation = None;
                b.liveness = match b.leaving_by {
                    Some(_) => Liveness::Leaving,
                    None => Liveness::Live,
                };
            }
        }
    }

    /// Takes a server out of use again if the attempt that probed it failed.
    pub(crate) fn record_failed_probe(&mut self, now: Instant, backend: u32) {
        let b = &mut self.backends[backend as usize];
        if b.probe == ProbeState::Probed {
            b.ended_incarnation = b.incarnation;
            b.await_probe(now);
            self.set_dead(backend);
        }
    }
}
