//! Dissemination of crash updates to the other hosts, by datagrams.
//!
//! Reports of crashes and responses go to all hosts at once and are sent again for a while, because
//! datagrams are lost. The suspects that this host blocks go to a few random hosts in each period, so
//! that hosts that started later, were paused or were disconnected learn of them.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use peer::{Datagram, DatagramSocket, MemberState};
use rand::seq::IndexedRandom;
use route::{CrashReport, CrashUpdate, ResponseReport};
use tokio::{
    sync::mpsc::Receiver,
    time::{MissedTickBehavior, interval, sleep},
};
use types::{Deadline, Instant, Micros};

use crate::entry::{fleet_state::FleetState, peers::Exchange};

/// Number of crash updates that may wait to be sent.
pub(super) const CRASH_UPDATE_CAPACITY: usize = 256;

/// Time for which updates are collected before they are sent, as several requests fail in one crash.
const BATCH_TIME: Duration = Duration::from_millis(5);

/// Interval at which recent reports are sent again.
const REPEAT_INTERVAL: Duration = Duration::from_millis(700);

/// Time for which a report is sent again.
const REPEAT_TIME: Micros = Micros::from_millis(2_500);

/// Number of hosts to which the blocked suspects are sent in each interval.
const GOSSIP_FANOUT: usize = 3;

/// Maximum number of recent reports of each kind that are sent again.
const MAX_RECENT_REPORTS: usize = 64;

/// Report with the time at which it was first sent.
#[derive(Debug)]
struct SentReport<T> {
    report: T,
    at: Instant,
}

/// Sender of crash updates to the other hosts.
pub(super) struct CrashBroadcaster {
    socket: Arc<DatagramSocket>,
    exchange: Exchange,
    fleet: Arc<FleetState>,
    /// Recent crash reports, oldest first.
    crashes: Vec<SentReport<CrashReport>>,
    /// Recent response reports, oldest first.
    responses: Vec<SentReport<ResponseReport>>,
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
            crashes: Vec::new(),
            responses: Vec::new(),
        }
    }

    /// Sends updates until all senders of the channel are dropped.
    pub(super) async fn run(mut self, mut updates: Receiver<CrashUpdate>) {
        let mut repeats = interval(REPEAT_INTERVAL);
        repeats.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                received = updates.recv() => match received {
                    Some(first) => self.send_batch(first, &mut updates).await,
                    None => return,
                },
                _ = repeats.tick() => {
                    self.repeat_recent_reports().await;
                    self.gossip_blocked_suspects().await;
                }
            }
        }
    }

    /// Sends an update, merged with those that arrive within [`BATCH_TIME`], to all hosts.
    async fn send_batch(&mut self, first: CrashUpdate, updates: &mut Receiver<CrashUpdate>) {
        sleep(BATCH_TIME).await;
        let mut batch = first;
        while let Ok(more) = updates.try_recv() {
            batch.crashes.extend(more.crashes);
            batch.responses.extend(more.responses);
            batch.blocked.extend(more.blocked);
        }
        let now = self.now();
        add_recent(&mut self.crashes, &batch.crashes, now);
        add_recent(&mut self.responses, &batch.responses, now);
        self.send(batch, &self.other_hosts()).await;
    }

    /// Sends the recent reports to all hosts again.
    async fn repeat_recent_reports(&mut self) {
        let now = self.now();
        self.crashes.retain(|sent| is_recent(sent.at, now));
        self.responses.retain(|sent| is_recent(sent.at, now));
        let crashes = self.crashes.iter().map(|sent| CrashReport {
            age: now.since(sent.at),
            ..sent.report.clone()
        });
        let responses = self.responses.iter().map(|sent| ResponseReport {
            age: now.since(sent.at),
            ..sent.report
        });
        let update = CrashUpdate {
            crashes: crashes.collect(),
            responses: responses.collect(),
            blocked: Vec::new(),
        };
        if !update.is_empty() {
            self.send(update, &self.other_hosts()).await;
        }
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

    async fn send(&self, update: CrashUpdate, hosts: &[SocketAddr]) {
        for datagram in Datagram::crash_updates(self.exchange.host(), &update) {
            if let Err(e) = self.socket.send(datagram, hosts).await {
                tracing::warn!(error = %e, "crash update not sent to other hosts");
            }
        }
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

fn is_recent(at: Instant, now: Instant) -> bool {
    !Deadline::after(at, REPEAT_TIME).is_past(now)
}

/// Adds reports that are to be sent again, and drops the oldest above [`MAX_RECENT_REPORTS`].
fn add_recent<T: Clone>(recent: &mut Vec<SentReport<T>>, reports: &[T], at: Instant) {
    recent.extend(reports.iter().map(|report| SentReport {
        report: report.clone(),
        at,
    }));
    let excess = recent.len().saturating_sub(MAX_RECENT_REPORTS);
    recent.drain(..excess);
}
