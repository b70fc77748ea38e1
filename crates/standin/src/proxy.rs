//! A TCP proxy with links that can be delayed, cut, frozen and healed.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::watch,
    time::sleep,
};

use crate::http::{self, Answer, Call, Service};

/// Bytes that are forwarded at once.
const BUF: usize = 16 << 10;

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
}

#[derive(Clone, Debug)]
struct Link {
    addr: SocketAddr,
    target: Arc<Mutex<SocketAddr>>,
    knobs: Arc<watch::Sender<Knobs>>,
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

#[derive(Deserialize)]
struct NewLink {
    target: SocketAddr,
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
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.ok()?;
        let link = Link {
            addr: listener.local_addr().ok()?,
            target: Arc::new(Mutex::new(new.target)),
            knobs: Arc::default(),
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

async fn accept(listener: TcpListener, link: Link) {
    while let Ok((near, _)) = listener.accept().await {
        tokio::spawn(forward(near, link.clone()));
    }
}

async fn forward(mut near: TcpStream, link: Link) {
    let mut cut = link.knobs.subscribe();
    let _open = cut
        .wait_for(|knobs| knobs.mode != Mode::Freeze)
        .await
        .is_ok();
    if cut.borrow().mode == Mode::Cut {
        return;
    }
    let target = *link.target.lock().unwrap_or_else(PoisonError::into_inner);
    let Ok(mut far) = TcpStream::connect(target).await else {
        return;
    };
    drop((near.set_nodelay(true), far.set_nodelay(true)));
    let (near_rx, near_tx) = near.split();
    let (far_rx, far_tx) = far.split();
    let up = pump(near_rx, far_tx, link.knobs.subscribe(), Mode::DropUp);
    let down = pump(far_rx, near_tx, link.knobs.subscribe(), Mode::DropDown);
    tokio::select! {
        _ = async { tokio::join!(up, down) } => {}
        _ = cut.wait_for(|knobs| knobs.mode == Mode::Cut) => {}
    }
}

/// Forwards one direction until its end, and then closes it.
async fn pump<R, W>(mut from: R, mut to: W, mut knobs: watch::Receiver<Knobs>, lossy: Mode)
where
    R: AsyncRead + Unpin,
    W: AsyncWrite + Unpin,
{
    let mut buf = vec![0; BUF];
    while let Ok(n @ 1..) = from.read(&mut buf).await {
        let delay = knobs.borrow().delay_ms;
        if delay > 0 {
            sleep(Duration::from_millis(delay)).await;
        }
        let open = |knobs: &Knobs| knobs.mode != Mode::Freeze && knobs.mode != lossy;
        if knobs.wait_for(open).await.is_err() || to.write_all(&buf[..n]).await.is_err() {
            return;
        }
    }
    drop(to.shutdown().await);
}
