//! Replies that take longer than the timeout of their request to arrive.

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::atomic::{AtomicU8, Ordering},
    time::Duration,
};

use config::Secret;
use peer::{ConfigSource, Facts, FailureReason, Handle, KnownFacts, Options, PeerHandler};
use store::MemPlatform;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, copy},
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};
use types::{AdapterId, BackendId, Epoch, Micros, ModelId, Monotonic, StoreRevision};

/// Bandwidth of the link, half of the slowest one of a host.
const LINK_BYTES_PER_S: usize = 625_000;

/// Number of backend servers in the reply, which then takes a second on the link.
const SERVERS: usize = 25_000;

const TEST_TIMEOUT: Duration = Duration::from_secs(20);
const FACTS_LIMIT: Duration = Duration::from_secs(1);

/// Handler whose facts contain many backend servers.
#[derive(Clone)]
struct ManyServers;

impl PeerHandler for ManyServers {
    async fn request_model(&self, _: ModelId, _: Option<AdapterId>) {}

    async fn has_retired_epoch(&self, _: Epoch) -> bool {
        false
    }

    async fn facts(&self, _: KnownFacts) -> Option<Facts> {
        let name = |number| format!("backend-server-{number:05}");
        let removed = (0..SERVERS).filter_map(|number| name(number).parse().ok());
        Some(Facts {
            revision: StoreRevision::default(),
            complete: true,
            set: Vec::new(),
            removed: removed.collect::<Vec<BackendId>>(),
            version: types::ConfigVersion::default(),
            config_revision: StoreRevision::default(),
            config: None,
            direct: true,
            age: Micros::ZERO,
            held: Micros::ZERO,
        })
    }
}

type Node = Handle<MemPlatform, Monotonic, ManyServers>;

async fn start(name: &str, listen: SocketAddr, link: SocketAddr, seeds: Vec<SocketAddr>) -> Node {
    let options = Options {
        host: name.parse().expect("a name"),
        dc: "north-a".parse().expect("a name"),
        listen,
        advertise: Some(link),
        http: link,
        capacity: types::Millicores::default(),
        seeds,
        token: Secret::new("right-token"),
        period: Micros::from_millis(50),
        config_source: ConfigSource::Process,
    };
    let started = peer::start(
        options,
        MemPlatform::default(),
        Monotonic::start(),
        ManyServers,
    );
    started.await.expect("a node").0
}

/// Starts a link to an address, of which responses stop after a number of bytes per connection.
async fn start_link(target: SocketAddr, sent_bytes: usize) -> SocketAddr {
    const PIECE_BYTES: usize = 8 << 10;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("a bound address");
    tokio::spawn(async move {
        while let Ok((near, _)) = listener.accept().await {
            let far = TcpStream::connect(target).await.expect("a connection");
            let ((mut near_rx, mut near_tx), (mut far_rx, mut far_tx)) =
                (near.into_split(), far.into_split());
            tokio::spawn(async move { drop(copy(&mut near_rx, &mut far_tx).await) });
            tokio::spawn(async move {
                let (mut sent, mut buf) = (0, [0; PIECE_BYTES]);
                while let Ok(len @ 1..) = far_rx.read(&mut buf).await {
                    sleep(
                        Duration::from_secs(1) * u32::try_from(len).unwrap_or(0)
                            / u32::try_from(LINK_BYTES_PER_S).unwrap_or(1),
                    )
                    .await;
                    sent += len;
                    if sent > sent_bytes || near_tx.write_all(&buf[..len]).await.is_err() {
                        return std::future::pending().await;
                    }
                }
            });
        }
    });
    addr
}

/// Returns an unused address, on a loopback address of its own.
///
/// Its port is free until the node listens there. On an address that others use, one of them could get it meanwhile.
async fn free_addr() -> SocketAddr {
    static CALLS: AtomicU8 = AtomicU8::new(1);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let ip = Ipv4Addr::new(127, high, low, CALLS.fetch_add(1, Ordering::Relaxed));
    let listener = TcpListener::bind((ip, 0)).await.expect("a free port");
    listener.local_addr().expect("a bound address")
}

/// Starts two hosts, of which the first is reached over a slow link.
async fn two_hosts(sent_bytes: usize) -> (Node, Node) {
    let (first_addr, second_addr) = (free_addr().await, free_addr().await);
    let link = start_link(first_addr, sent_bytes).await;
    let first = start("first", first_addr, link, Vec::new()).await;
    let second = start("second", second_addr, second_addr, vec![first_addr]).await;
    let mut members = second.members();
    let known = members.wait_for(|m| m.len() == 2);
    timeout(TEST_TIMEOUT, known)
        .await
        .expect("in time")
        .expect("members");
    (first, second)
}

/// Guards against a complete list of registrations that is sent anew for ever over a link that takes
/// longer than the timeout of the request to carry it.
#[tokio::test]
async fn a_large_reply_over_a_slow_link_arrives() {
    let (first, second) = two_hosts(usize::MAX).await;

    let facts = second
        .facts(first.host(), KnownFacts::default(), FACTS_LIMIT)
        .await;

    let facts = facts.expect("a reply").expect("facts");
    assert_eq!(facts.removed.len(), SERVERS);
}

/// Guards against a request that waits for the rest of a reply that makes no progress.
#[tokio::test]
async fn a_reply_that_stops_is_given_up() {
    let (first, second) = two_hosts(100_000).await;

    let asked = second.facts(first.host(), KnownFacts::default(), FACTS_LIMIT);
    let facts = timeout(Duration::from_secs(2), asked).await;

    let error = facts.expect("an end in time").expect_err("no reply");
    assert_eq!(error.reason(), FailureReason::Timeout);
    assert!(error.received() > 0);
}
