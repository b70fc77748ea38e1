//! Closing and reuse of pooled connections.

use std::{io::ErrorKind, time::Duration};

use engine::Pool;
use tokio::{io::AsyncReadExt, net::TcpListener};

/// Guards against a request that is abandoned during a network partition and arrives after it: the
/// kernel still sends queued bytes after an orderly close and discards them only on a reset.
#[tokio::test]
async fn a_dropped_connection_is_reset() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("a bound address");
    let pool = Pool::new();
    let (opened, accepted) = tokio::join!(pool.open(addr), listener.accept());
    let (mut server, _) = accepted.expect("a connection");

    drop(opened.expect("a connection"));
    let read = server.read(&mut [0; 1]).await;

    assert_eq!(
        read.expect_err("a reset").kind(),
        ErrorKind::ConnectionReset
    );
}

/// Guards against reusing a connection that its server closes at the same time.
#[tokio::test]
async fn an_idle_connection_is_reused_only_before_its_server_closes_it() {
    const KEEP_ALIVE: Duration = Duration::from_millis(500);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("a bound address");
    let pool = Pool::new();
    let (opened, accepted) = tokio::join!(pool.open(addr), listener.accept());
    let _server = accepted.expect("a connection");

    pool.release(opened.expect("a connection"), Some(KEEP_ALIVE));
    let (next, again) = tokio::join!(pool.get(addr), listener.accept());

    assert!(!next.expect("a connection").is_reused());
    assert!(again.is_ok_and(|(_, from)| from.port() > 0));
    assert_eq!(pool.opened(), 2);
}
