//! Tests of the exchange over real connections.

use std::{
    net::SocketAddr,
    path::PathBuf,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use config::{Deployment, Secret};
use peer::{ConfigSource, Handle, Options, PeerHandler, PeerUpdate};
use route::{Fingerprint, SuspectRecord, SuspectState};
use store::MemPlatform;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::mpsc,
    time::timeout,
};
use types::{AdapterId, Epoch, Incarnation, Micros, ModelId, Monotonic};

const TOKEN: &str = "right-token";
const LIMIT: Duration = Duration::from_secs(20);

#[derive(Clone)]
struct Process;

impl PeerHandler for Process {
    async fn request_model(&self, _: ModelId, _: Option<AdapterId>) {}

    async fn has_retired_epoch(&self, epoch: Epoch) -> bool {
        epoch == Epoch::new(3)
    }
}

type Node = Handle<MemPlatform, Monotonic, Process>;

async fn start(
    platform: &MemPlatform,
    name: &str,
    token: &str,
    seeds: Vec<SocketAddr>,
) -> (Node, mpsc::Receiver<PeerUpdate>) {
    start_behind(platform, name, token, seeds, None).await
}

async fn start_behind(
    platform: &MemPlatform,
    name: &str,
    token: &str,
    seeds: Vec<SocketAddr>,
    advertise: Option<SocketAddr>,
) -> (Node, mpsc::Receiver<PeerUpdate>) {
    let options = Options {
        host: name.parse().unwrap(),
        dc: "akl-north".parse().unwrap(),
        listen: "127.0.0.1:0".parse().unwrap(),
        advertise,
        http: "127.0.0.1:9".parse().unwrap(),
        capacity: types::Millicores::default(),
        seeds,
        token: Secret::new(token),
        period: Micros::from_millis(50),
        config_source: ConfigSource::Relay,
    };
    let clock = Monotonic::start();
    peer::start(options, platform.clone(), clock, Process)
        .await
        .unwrap()
}

async fn group(platform: &MemPlatform, n: usize) -> (Vec<Node>, Vec<mpsc::Receiver<PeerUpdate>>) {
    let (first, updates) = start(platform, "entry-0", TOKEN, Vec::new()).await;
    let seed = first.peer_addr();
    let (mut nodes, mut all_updates) = (vec![first], vec![updates]);
    for i in 1..n {
        let (node, updates) = start(platform, &format!("entry-{i}"), TOKEN, vec![seed]).await;
        nodes.push(node);
        all_updates.push(updates);
    }
    for node in &nodes {
        let mut members = node.members();
        let complete = members.wait_for(|m| m.len() == n);
        timeout(LIMIT, complete)
            .await
            .expect("all members are known")
            .unwrap();
    }
    (nodes, all_updates)
}

fn te_awa() -> Deployment {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    config::from_path(root.join("../../examples/te-awa.toml")).unwrap()
}

async fn in_force(node: &Node, version: u64) {
    let mut rx = node.active_config();
    let reached = rx.wait_for(|c| c.as_ref().is_some_and(|c| c.version.get() >= version));
    timeout(LIMIT, reached)
        .await
        .expect("the version spreads")
        .unwrap();
}

/// Every host receives every change, also from peers while the platform is down.
#[tokio::test]
async fn changes_reach_every_host() {
    let platform = MemPlatform::new();
    let (nodes, _updates) = group(&platform, 4).await;
    let mut d = te_awa();
    for version in 1..=3 {
        d.limits.queue += 1;
        config::apply(&platform, &d, "ana", None).await.unwrap();
        for node in &nodes {
            in_force(node, version).await;
        }
    }
    platform.set_down(true);
    let (late, _updates) = start(&platform, "entry-9", TOKEN, vec![nodes[0].peer_addr()]).await;
    in_force(&late, 3).await;
    let got = late.active_config().borrow().clone().unwrap();
    assert_eq!(*got.deployment, d);
    assert!(nodes.iter().all(|n| n.invalid_messages() == 0));
}

/// A process without the token can neither join nor obtain the configuration.
#[tokio::test]
async fn a_wrong_token_is_refused() {
    let platform = MemPlatform::new();
    let (nodes, _updates) = group(&platform, 2).await;
    config::apply(&platform, &te_awa(), "ana", None)
        .await
        .unwrap();
    in_force(&nodes[0], 1).await;
    let elsewhere = MemPlatform::new();
    let seeds = vec![nodes[0].peer_addr()];
    let (stranger, _updates) = start(&elsewhere, "stranger", "wrong-token", seeds).await;
    let refused = async {
        while nodes[0].refused_connections() < 3 {
            tokio::task::yield_now().await;
        }
    };
    timeout(LIMIT, refused).await.expect("attempts are refused");
    let traffic = stranger.traffic();
    assert!(traffic.iter().all(|t| t.sent == 0 && t.received == 0));
    assert!(stranger.active_config().borrow().is_none());
    assert_eq!(stranger.members().borrow().len(), 1);
    assert_eq!(nodes[0].members().borrow().len(), 2);
}

/// Invalid messages of a peer are counted and do not stop the process.
#[tokio::test]
async fn invalid_messages_are_counted_and_dropped() {
    let platform = MemPlatform::new();
    let (nodes, _updates) = group(&platform, 2).await;
    let frames: [&[u8]; 3] = [
        b"\x00\x00\x00\x08\xff\xff\xff\xff\xff\xff\xff\xff",
        b"\xff\xff\xff\xff",
        b"\x00\x00\x00\x05\x00\x09\x09\x09\x09",
    ];
    for frame in frames {
        let mut stream = TcpStream::connect(nodes[0].peer_addr()).await.unwrap();
        stream.write_all(frame).await.unwrap();
        stream.flush().await.unwrap();
    }
    let counted = async {
        while nodes[0].invalid_messages() < 3 {
            tokio::task::yield_now().await;
        }
    };
    timeout(LIMIT, counted)
        .await
        .expect("invalid messages are counted");
    config::apply(&platform, &te_awa(), "ana", None)
        .await
        .unwrap();
    in_force(&nodes[0], 1).await;
    in_force(&nodes[1], 1).await;
}

/// Suspects are acknowledged only after the router has processed them.
#[tokio::test]
async fn suspects_are_acknowledged_once_processed() {
    let platform = MemPlatform::new();
    let (nodes, mut updates) = group(&platform, 2).await;
    let record = SuspectRecord {
        fingerprint: Fingerprint::new(7),
        state: SuspectState::Suspected,
        backend: "w-north-1".parse().unwrap(),
        incarnation: Incarnation::new(1),
    };
    let router = async {
        while let Some(item) = updates[1].recv().await {
            if let PeerUpdate::Suspects { records, ack } = item {
                drop(ack);
                return records;
            }
        }
        Vec::new()
    };
    let (shared, records) = tokio::join!(nodes[0].share_suspects(vec![record.clone()]), router);
    assert_eq!((shared.acknowledged, records), (1, vec![record.clone()]));
    // Without a router that processes them, the acknowledgement is missing.
    let shared = nodes[0].share_suspects(vec![record]).await;
    assert_eq!(shared.missed, ["entry-1".parse().unwrap()]);
}

/// Requests for models, retired epochs and suspect slots reach the host that is responsible.
#[tokio::test]
async fn requests_reach_the_responsible_host() {
    let platform = MemPlatform::new();
    let (nodes, _updates) = group(&platform, 3).await;
    let model: ModelId = "crack-spotter".parse().unwrap();
    assert!(
        !nodes[0].request_model(model.clone(), None).await,
        "no controller"
    );
    nodes[2].set_lease(Some(Epoch::new(4)));
    let mut members = nodes[0].members();
    let held = members.wait_for(|m| m.iter().any(|m| m.lease_epoch.is_some()));
    timeout(LIMIT, held).await.unwrap().unwrap();
    assert!(nodes[0].request_model(model, None).await);
    let host = "entry-1".parse().unwrap();
    assert!(nodes[0].has_retired_epoch(&host, Epoch::new(3)).await);
    assert!(!nodes[0].has_retired_epoch(&host, Epoch::new(9)).await);

    config::apply(&platform, &te_awa(), "ana", None)
        .await
        .unwrap();
    for node in &nodes {
        in_force(node, 1).await;
    }
    let worker = "w-north-1".parse().unwrap();
    let granted = async {
        while !nodes[0]
            .request_suspect_slot(Fingerprint::new(1), &worker)
            .await
        {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(LIMIT, granted).await.expect("a slot is granted");
    for node in &nodes {
        assert!(
            !node
                .request_suspect_slot(Fingerprint::new(2), &worker)
                .await,
            "the slot is taken"
        );
    }
}

/// Forwards connections to an address and counts the bytes in both directions.
async fn counting_forwarder(listener: TcpListener, to: SocketAddr, bytes: Arc<AtomicU64>) {
    while let Ok((mut client, _)) = listener.accept().await {
        let bytes = Arc::clone(&bytes);
        tokio::spawn(async move {
            let mut server = TcpStream::connect(to).await.unwrap();
            let (mut from, mut back) = client.split();
            let (mut answers, mut into) = server.split();
            let up = forward(&mut from, &mut into, &bytes);
            let down = forward(&mut answers, &mut back, &bytes);
            tokio::join!(up, down);
        });
    }
}

async fn forward<R, W>(from: &mut R, to: &mut W, bytes: &AtomicU64)
where
    R: AsyncReadExt + Unpin,
    W: AsyncWriteExt + Unpin,
{
    let mut buf = [0; 4_096];
    while let Ok(n) = from.read(&mut buf).await {
        if n == 0 || to.write_all(&buf[..n]).await.is_err() {
            return;
        }
        bytes.fetch_add(n as u64, Ordering::Relaxed);
    }
}

/// Starts a host that peers reach through a counting forwarder.
async fn start_counted(
    platform: &MemPlatform,
    name: &str,
    seeds: Vec<SocketAddr>,
    bytes: &Arc<AtomicU64>,
) -> (Node, mpsc::Receiver<PeerUpdate>) {
    let public = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let outside = public.local_addr().unwrap();
    let started = start_behind(platform, name, TOKEN, seeds, Some(outside)).await;
    let inside = started.0.listen_addr();
    tokio::spawn(counting_forwarder(public, inside, Arc::clone(bytes)));
    started
}

/// The traffic counters match the bytes on the connections within 5 %.
#[tokio::test]
async fn bytes_are_counted_as_they_are_sent() {
    let platform = MemPlatform::new();
    let bytes = Arc::new(AtomicU64::new(0));
    let (first, _updates) = start_counted(&platform, "entry-0", Vec::new(), &bytes).await;
    let seeds = vec![first.peer_addr()];
    let (second, _more) = start_counted(&platform, "entry-1", seeds, &bytes).await;
    let sum = |node: &Node| {
        node.traffic()
            .iter()
            .map(|t| t.sent + t.received)
            .sum::<u64>()
    };
    let busy = async {
        while sum(&second) < 40_000 {
            tokio::task::yield_now().await;
        }
    };
    timeout(LIMIT, busy).await.expect("the hosts exchange");
    let (counted, seen) = (sum(&second) as f64, bytes.load(Ordering::Relaxed) as f64);
    println!("counted {counted}, seen {seen}");
    assert!(
        (0.95..1.05).contains(&(counted / seen)),
        "{counted} of {seen}"
    );
}

/// Guards against suspects of a crash that are cut off because they do not fit in one datagram.
#[test]
fn a_report_of_a_crash_is_split_into_datagrams() {
    let suspects: Vec<route::Suspect> = (0..200)
        .map(|n| route::Suspect::Part(types::PromptPart::new(n)))
        .collect();
    let report = route::CrashReport {
        backend: "w1".parse().expect("a name"),
        incarnation: types::Incarnation::new(1),
        age: types::Micros::ZERO,
        suspects: suspects.clone(),
    };
    let update = route::CrashUpdate {
        crashes: vec![report],
        ..route::CrashUpdate::default()
    };

    let datagrams = peer::Datagram::crash_updates(&"h1".parse().expect("a name"), &update);

    let reported = datagrams.iter().flat_map(|datagram| match datagram {
        peer::Datagram::Crashes { update, .. } => update.crashes.clone(),
        other => panic!("{other:?}"),
    });
    let reported: Vec<Vec<route::Suspect>> = reported.map(|r| r.suspects).collect();
    assert!(reported.len() > 1 && reported.iter().all(|part| part.len() <= 48));
    assert_eq!(reported.concat(), suspects);
}
