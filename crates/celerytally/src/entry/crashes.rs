//! Sharing of what this host learns of crashes with the other hosts, by datagrams.
//!
//! News go to all hosts at once and are repeated for a while, because datagrams are lost. What a host
//! keeps from the backend servers goes to a few other hosts again and again, so that those learn of it
//! that start later, were paused or were cut off.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use peer::{Datagram, DatagramSocket, MemberState};
use rand::seq::IndexedRandom;
use route::{CrashNews, CrashReport, ResponseReport};
use tokio::{
    sync::mpsc::Receiver,
    time::{MissedTickBehavior, interval, sleep},
};
use types::{Deadline, Instant, Micros};

use crate::entry::{fleet_state::FleetState, peers::Exchange};

/// Number of news that may wait to be sent.
pub(super) const CRASH_NEWS_CAPACITY: usize = 256;

/// Time for which news are collected before they are sent, as several requests end in one crash.
const COLLECTION_TIME: Duration = Duration::from_millis(5);

/// Period in which recent news are repeated.
const REPEAT_PERIOD: Duration = Duration::from_millis(700);

/// Time for which news are repeated.
const REPEAT_TIME: Micros = Micros::from_millis(2_500);

/// Number of hosts to which the blocked suspects are sent in each period.
const GOSSIP_FANOUT: usize = 3;

/// Maximum number of recent news of each kind that are repeated.
const MAX_RECENT: usize = 64;

/// News with the time at which they were sent first.
#[derive(Debug)]
struct Recent<T> {
    news: T,
    at: Instant,
}

/// Sender of what this host learns of crashes.
pub(super) struct CrashSharing {
    socket: Arc<DatagramSocket>,
    exchange: Exchange,
    fleet: Arc<FleetState>,
    crashes: Vec<Recent<CrashReport>>,
    responses: Vec<Recent<ResponseReport>>,
}

impl CrashSharing {
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

    /// Sends news for as long as the process runs.
    pub(super) async fn run(mut self, mut news: Receiver<CrashNews>) {
        let mut repeats = interval(REPEAT_PERIOD);
        repeats.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                received = news.recv() => match received {
                    Some(first) => self.send_new(first, &mut news).await,
                    None => return,
                },
                _ = repeats.tick() => self.repeat().await,
            }
        }
    }

    fn now(&self) -> Instant {
        self.fleet.proxy().now()
    }

    async fn send_new(&mut self, first: CrashNews, waiting: &mut Receiver<CrashNews>) {
        sleep(COLLECTION_TIME).await;
        let mut news = first;
        while let Ok(more) = waiting.try_recv() {
            news.crashes.extend(more.crashes);
            news.responses.extend(more.responses);
            news.blocked.extend(more.blocked);
        }
        let at = self.now();
        remember(&mut self.crashes, &news.crashes, at);
        remember(&mut self.responses, &news.responses, at);
        self.send(news, &self.other_hosts()).await;
    }

    /// Repeats the recent news to all hosts, and sends the blocked suspects to some.
    async fn repeat(&mut self) {
        let now = self.now();
        self.crashes.retain(|r| is_recent(r.at, now));
        self.responses.retain(|r| is_recent(r.at, now));
        let crashes = self.crashes.iter().map(|r| CrashReport {
            age: now.since(r.at),
            ..r.news.clone()
        });
        let responses = self.responses.iter().map(|r| ResponseReport {
            age: now.since(r.at),
            ..r.news
        });
        let news = CrashNews {
            crashes: crashes.collect(),
            responses: responses.collect(),
            blocked: Vec::new(),
        };
        let hosts = self.other_hosts();
        if !news.is_empty() {
            self.send(news, &hosts).await;
        }
        let dispatcher = self.fleet.proxy().dispatcher();
        let blocked = dispatcher.with_router(|router| router.blocked_suspects(now));
        if blocked.is_empty() {
            return;
        }
        let some: Vec<SocketAddr> = hosts
            .sample(&mut rand::rng(), GOSSIP_FANOUT)
            .copied()
            .collect();
        let news = CrashNews {
            blocked,
            ..CrashNews::default()
        };
        self.send(news, &some).await;
    }

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

    async fn send(&self, news: CrashNews, hosts: &[SocketAddr]) {
        for datagram in Datagram::crash_news(self.exchange.host(), news) {
            if let Err(e) = self.socket.send(datagram, hosts).await {
                tracing::warn!(error = %e, "crash not told to other hosts");
            }
        }
    }
}

fn is_recent(at: Instant, now: Instant) -> bool {
    !Deadline::after(at, REPEAT_TIME).is_past(now)
}

/// Keeps news to be repeated; the oldest ones give way.
fn remember<T: Clone>(recent: &mut Vec<Recent<T>>, news: &[T], at: Instant) {
    recent.extend(news.iter().map(|news| Recent {
        news: news.clone(),
        at,
    }));
    let excess = recent.len().saturating_sub(MAX_RECENT);
    recent.drain(..excess);
}
