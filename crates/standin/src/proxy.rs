//! A TCP proxy with links that can be delayed, cut, frozen and healed.

use std::{
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::watch,
    time::{sleep, timeout},
};

use crate::http::{self, Answer, Call, Service};

/// Bytes that are forwarded at once.
const BUF: usize = 16 << 10;

/// Pause between two looks at a target that refuses connections.
const PROBE: Duration = Duration::from_millis(20);

/// What a link does with its traffic.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
enum Mode {
    /// Forwards both directions.
    #[default]
    Pass,
    /// Accepts and holds connections and forwards nothing.
    Freeze,
    /// Closes every connection, new ones too.
    Cut,
    /// Holds back what goes to the target, as when packets of that direction are lost.
    DropUp,
    /// Holds back what comes from the target.
    DropDown,
}

#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
struct Knobs {
    mode: Mode,
    /// Time by which each piece is held back, in each direction.
    delay_ms: u64,
    /// Bandwidth of each connection in each direction; 0 if it is not limited.
    bytes_per_s: u64,
}

impl Knobs {
    /// Returns the time for which a piece of a number of bytes is held back.
    fn hold(&self, bytes: usize) -> Duration {
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        let transfer = bytes
            .saturating_mul(1_000_000)
            .checked_div(self.bytes_per_s);
        Duration::from_millis(self.delay_ms) + Duration::from_micros(transfer.unwrap_or(0))
    }
}

#[derive(Clone, Debug)]
struct Link {
    addr: SocketAddr,
    target: Arc<Mutex<SocketAddr>>,
    knobs: Arc<watch::Sender<Knobs>>,
    refusing: Arc<watch::Sender<Target>>,
}

/// Whether the target of a link accepts connections.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum Target {
    #[default]
    Accepts,
    Refuses,
    /// The target refuses and the link does not listen.
    Closed,
}

#[derive(Default)]
struct Proxy {
    links: Mutex<Vec<Link>>,
}

/// Runs the fault proxy until SIGTERM; its links are added through its admin calls.
///
/// # Errors
/// When the address can't be bound.
pub async fn serve(listen: SocketAddr) -> io::Result<()> {
    http::serve(Proxy::default(), listen).await
}

/// Runs the fault proxy on a bound listener until SIGTERM, within a process that has reserved the port.
///
/// # Errors
/// When the listener fails.
pub async fn serve_on(listener: TcpListener) -> io::Result<()> {
    http::serve_on(Proxy::default(), listener).await
}

#[derive(Deserialize)]
struct NewLink {
    target: SocketAddr,
    /// Address on which the link listens.
    #[serde(default = "loopback")]
    ip: IpAddr,
}

fn loopback() -> IpAddr {
    Ipv4Addr::LOCALHOST.into()
}

impl Service for Proxy {
    async fn call(&self, call: Call) -> Answer {
        match (call.method.as_str(), call.segments().as_slice()) {
            ("POST", ["admin", "links"]) => match self.add(&call).await {
                Some(link) => Answer::json(201, json!({"addr": link.addr})),
                None => Answer::error(400, "no link"),
            },
            ("POST", ["admin", "links", addr, change]) => {
                let done = self.change(addr, change, &call);
                done.map_or_else(
                    || Answer::error(400, "no change"),
                    |()| Answer::json(200, json!({})),
                )
            }
            _ => Answer::error(404, "no such admin call"),
        }
    }
}

impl Proxy {
    async fn add(&self, call: &Call) -> Option<Link> {
        let new: NewLink = serde_json::from_slice(&call.body).ok()?;
        let listener = TcpListener::bind((new.ip, 0)).await.ok()?;
        let link = Link {
            addr: listener.local_addr().ok()?,
            target: Arc::new(Mutex::new(new.target)),
            knobs: Arc::default(),
            refusing: Arc::default(),
        };
        tokio::spawn(accept(listener, link.clone()));
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        links.push(link.clone());
        Some(link)
    }

    fn change(&self, addr: &str, change: &str, call: &Call) -> Option<()> {
        let links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        let link = links.iter().find(|link| link.addr.to_string() == addr)?;
        match change {
            "set" => {
                let knobs = http::merge(&*link.knobs.borrow(), &call.json())?;
                link.knobs.send_replace(knobs);
            }
            "target" => {
                let new: NewLink = serde_json::from_slice(&call.body).ok()?;
                *link.target.lock().unwrap_or_else(PoisonError::into_inner) = new.target;
            }
            _ => return None,
        }
        Some(())
    }
}

/// Accepts connections, and stops listening while the target refuses them.
///
/// A client tells a crash from a broken connection by a refused connection, so a link to a process
/// that ended must refuse, too.
async fn accept(mut listener: TcpListener, link: Link) {
    let mut refusing = link.refusing.subscribe();
    loop {
        let refused = async {
            let refused = refusing.wait_for(|state| *state == Target::Refuses).await;
            refused.is_ok()
        };
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted.ok(),
            _ = refused => None,
        };
        if let Some((near, _)) = accepted {
            tokio::spawn(forward(near, link.clone()));
        } else {
            drop(listener);
            link.refusing.send_replace(Target::Closed);
            listener = reopen(&link).await;
            link.refusing.send_replace(Target::Accepts);
        }
    }
}

/// Waits until the target accepts again, and listens again.
async fn reopen(link: &Link) -> TcpListener {
    loop {
        sleep(PROBE).await;
        if TcpStream::connect(link.target()).await.is_ok()
            && let Ok(listener) = TcpListener::bind(link.addr).await
        {
            return listener;
        }
    }
}

impl Link {
    fn target(&self) -> SocketAddr {
        *self.target.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Looks whether the target still accepts; when it refuses, the link has stopped listening.
    ///
    /// The kernel closes the connections of a process that ends before its listener, so a
    /// connection may be accepted and reset at once.
    async fn probe(&self) {
        while let Some(mut stream) = self.connect().await {
            if timeout(PROBE, stream.read(&mut [0])).await.is_err() {
                return;
            }
        }
    }

    /// Connects to the target; when it refuses, returns after the link has stopped listening.
    async fn connect(&self) -> Option<TcpStream> {
        match TcpStream::connect(self.target()).await {
            Ok(stream) => return Some(stream),
            Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => {}
            Err(_e) => return None,
        }
        self.refusing.send_if_modified(|state| {
            let first = *state == Target::Accepts;
            if first {
                *state = Target::Refuses;
            }
            first
        });
        let mut state = self.refusing.subscribe();
        drop(state.wait_for(|state| *state != Target::Refuses).await);
        None
    }
}

async fn forward(near: TcpStream, link: Link) {
    let mut cut = link.knobs.subscribe();
    drop(cut.wait_for(|knobs| knobs.mode != Mode::Freeze).await);
    if cut.borrow().mode == Mode::Cut {
        return;
    }
    let Some(far) = link.connect().await else {
        return;
    };
    drop((near.set_nodelay(true), far.set_nodelay(true)));
    let (near_rx, near_tx) = near.into_split();
    let (far_rx, far_tx) = far.into_split();
    let up = async {
        let mut far_tx = far_tx;
        copy(near_rx, &mut far_tx, link.knobs.subscribe(), Mode::DropUp).await;
        drop(far_tx.shutdown().await);
    };
    let down = async {
        let mut near_tx = near_tx;
        copy(far_rx, &mut near_tx, link.knobs.subscribe(), Mode::DropDown).await;
        // The client must not see the end before the link refuses, if the process ended.
        link.probe().await;
        drop(near_tx.shutdown().await);
    };
    tokio::select! {
        _ = async { tokio::join!(up, down) } => {}
        _ = cut.wait_for(|knobs| knobs.mode == Mode::Cut) => {}
    }
}

/// Forwards one direction until its end.
async fn copy<R, W>(mut from: R, to: &mut W, mut knobs: watch::Receiver<Knobs>, lossy: Mode)
where
    R: AsyncRead + Unpin,
    W: AsyncWrite + Unpin,
{
    let mut buf = vec![0; BUF];
    while let Ok(n @ 1..) = from.read(&mut buf).await {
        let hold = knobs.borrow().hold(n);
        if !hold.is_zero() {
            sleep(hold).await;
        }
        let open = |knobs: &Knobs| knobs.mode != Mode::Freeze && knobs.mode != lossy;
        if knobs.wait_for(open).await.is_err() || to.write_all(&buf[..n]).await.is_err() {
            return;
        }
    }
}
