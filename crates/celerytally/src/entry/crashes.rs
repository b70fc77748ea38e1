//! Dissemination of crash updates to the other hosts, by datagrams.
//!
//! Reports of crashes and responses go to all hosts and are sent again for a while, because
//! datagrams are lost ([`CrashOutbox`]). The suspects that this host blocks go to a few random hosts in each
//! period, so that hosts that started later, were paused or were disconnected learn of them.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use peer::{CrashOutbox, Datagram, DatagramSocket, MemberState};
use rand::seq::IndexedRandom;
use route::CrashUpdate;
use tokio::{
    sync::mpsc::Receiver,
    time::{MissedTickBehavior, interval, sleep},
};
use types::Instant;

use crate::entry::{fleet_state::FleetState, peers::Exchange};

/// Number of crash updates that may wait to be sent.
pub(super) const CRASH_UPDATE_CAPACITY: usize = 256;

/// Interval at which recent reports are sent again.
const REPEAT_INTERVAL: Duration = Duration::from_millis(700);

/// Number of hosts to which the blocked suspects are sent in each interval.
const GOSSIP_FANOUT: usize = 3;

/// Sender of crash updates to the other hosts.
pub(super) struct CrashBroadcaster {
    socket: Arc<DatagramSocket>,
    exchange: Exchange,
    fleet: Arc<FleetState>,
    outbox: CrashOutbox,
}

impl CrashBroadcaster {
    pub(super) fn new(
        socket: Arc<DatagramSocket>,
        exchange: Exchange,
        fleet: Arc<FleetState>,
    ) -> Self {
        Self {
            socket,
            exchange,
            fleet,
            outbox: CrashOutbox::default(),
        }
    }

    /// Sends updates until all senders of the channel are dropped.
    pub(super) async fn run(mut self, mut updates: Receiver<CrashUpdate>) {
        let mut repeats = interval(REPEAT_INTERVAL);
        repeats.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let next_send_at = self.outbox.next_send_at();
            let wait = next_send_at.map(|at| Duration::from(at.remaining(self.now())));
            tokio::select! {
                biased;
                received = updates.recv() => match received {
                    Some(update) => self.outbox.push(self.now(), update),
                    None => return,
                },
                () = sleep(wait.unwrap_or_default()), if wait.is_some() => self.send_next().await,
                _ = repeats.tick() => {
                    self.outbox.repeat(self.now(), self.other_hosts().len());
                    self.gossip_blocked_suspects().await;
                }
            }
        }
    }

    /// Sends the next update that waits.
    async fn send_next(&mut self) {
        let Some((update, recipients)) = self.outbox.pop(self.now()) else {
            return;
        };
        let hosts = recipients.of(&self.other_hosts());
        let (datagrams, bytes) = self.send(update, &hosts).await;
        let now = self.now();
        self.outbox.record_sent(now, datagrams, bytes);
    }

    /// Sends the suspects that this host blocks to some random hosts.
    async fn gossip_blocked_suspects(&self) {
        let now = self.now();
        let dispatcher = self.fleet.proxy().dispatcher();
        let blocked = dispatcher.with_router(|router| router.blocked_suspects(now));
        if blocked.is_empty() {
            return;
        }
        let hosts: Vec<SocketAddr> = self
            .other_hosts()
            .sample(&mut rand::rng(), GOSSIP_FANOUT)
            .copied()
            .collect();
        let update = CrashUpdate {
            blocked,
            ..CrashUpdate::default()
        };
        self.send(update, &hosts).await;
    }

    /// Sends an update to hosts. Returns the number of datagrams, and of their bytes.
    async fn send(&self, update: CrashUpdate, hosts: &[SocketAddr]) -> (usize, usize) {
        let (mut count, mut bytes) = (0, 0);
        for datagram in Datagram::crash_updates(self.exchange.host(), &update) {
            match self.socket.send(datagram, hosts).await {
                Ok(sent) => {
                    count += hosts.len();
                    bytes += sent;
                }
                Err(e) => tracing::warn!(error = %e, "crash update not sent to other hosts"),
            }
        }
        (count, bytes)
    }

    /// Returns the datagram addresses of all other hosts that have not left.
    fn other_hosts(&self) -> Vec<SocketAddr> {
        let members = self.exchange.members().borrow().clone();
        let port = self.fleet.datagram_port();
        let others = members
            .iter()
            .filter(|m| m.id != *self.exchange.host() && m.state != MemberState::Gone);
        others
            .map(|m| SocketAddr::new(m.peer_addr.ip(), port))
            .collect()
    }

    fn now(&self) -> Instant {
        self.fleet.proxy().now()
    }
}
