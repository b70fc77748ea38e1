//! Closing and reuse of pooled connections.

use std::{
    io::{ErrorKind, Read, Write},
    net::TcpStream as BlockingStream,
    time::Duration,
};

use bytes::Bytes;
use engine::{Connection, Pool, SendOutcome};
use http::Request;
use http_body_util::{BodyExt, Full};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

/// Server side of a connection. It blocks, so that it writes without a turn of the event loop.
struct Server(BlockingStream);

impl Server {
    fn read_request(&mut self) -> String {
        let mut buf = [0; 1_000];
        let len = self.0.read(&mut buf).expect("a request");
        String::from_utf8_lossy(&buf[..len]).into_owned()
    }
}

fn request() -> Request<Full<Bytes>> {
    Request::get("/x").body(Full::default()).expect("a request")
}

/// Opens a connection, exchanges a request and its response on it, and returns it to the pool.
async fn exchange_once(pool: &Pool, listener: &TcpListener) -> Server {
    let addr = listener.local_addr().expect("a bound address");
    let (opened, accepted) = tokio::join!(pool.open(addr), listener.accept());
    let mut connection = opened.expect("a connection");
    let server = accepted.expect("a connection").0;
    let server = server.into_std().expect("a stream");
    server.set_nonblocking(false).expect("a blocking stream");
    let mut server = Server(server);
    let serving = tokio::task::spawn_blocking(move || {
        server.read_request();
        server.0.write_all(RESPONSE).expect("a write");
        server
    });
    let SendOutcome::Response(response) = connection.send(request()).await else {
        panic!("a response");
    };
    response.into_body().collect().await.expect("a body");
    pool.release(connection, None);
    serving.await.expect("a server")
}

async fn reused(pool: &Pool, listener: &TcpListener) -> Connection {
    let addr = listener.local_addr().expect("a bound address");
    let connection = pool.get(addr).await.expect("a connection");
    assert!(connection.is_reused());
    connection
}

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

/// Guards against taking bytes that arrived before a request for its response: the connection's task
/// learns of them only at the next turn of the event loop.
#[tokio::test]
async fn nothing_is_sent_on_a_connection_with_unread_bytes() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let pool = Pool::new();
    let mut server = exchange_once(&pool, &listener).await;
    let mut connection = reused(&pool, &listener).await;

    server.0.write_all(RESPONSE).expect("a write");
    let outcome = connection.send(request()).await;

    assert!(matches!(outcome, SendOutcome::NotSent), "{outcome:?}");
    drop(connection);
    server
        .0
        .read(&mut [0; 1])
        .expect_err("a reset and no request");
}

/// Guards against an unknown outcome for a request on a connection that its server has just closed.
#[tokio::test]
async fn nothing_is_sent_on_a_connection_that_its_server_has_closed() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let pool = Pool::new();
    let server = exchange_once(&pool, &listener).await;
    let mut connection = reused(&pool, &listener).await;

    drop(server);
    let outcome = connection.send(request()).await;

    assert!(matches!(outcome, SendOutcome::NotSent), "{outcome:?}");
}

/// Guards against a refused request whose server writes the refusal, which has the right id, once
/// more when the request is sent again on the same connection.
#[tokio::test]
async fn a_connection_is_not_reused_for_a_request_that_was_refused_on_it() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("a bound address");
    let pool = Pool::new();
    let _server = exchange_once(&pool, &listener).await;
    let mut connection = reused(&pool, &listener).await;
    connection.record_refusal("a1");
    pool.release(connection, None);

    let again = pool.get_for(addr, "a1").await.expect("a connection");
    let other = pool.get_for(addr, "a2").await.expect("a connection");

    assert!(!again.is_reused());
    assert!(other.is_reused());
}

/// Guards against memory that grows with the refusals on a connection.
#[tokio::test]
async fn a_connection_with_many_refusals_is_closed() {
    const REFUSALS: usize = 100;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("a bound address");
    let pool = Pool::new();
    let _server = exchange_once(&pool, &listener).await;
    for at in 0..REFUSALS {
        let id = format!("a{at}");
        let mut connection = pool.get_for(addr, &id).await.expect("a connection");
        if !connection.is_reused() {
            return;
        }
        connection.record_refusal(&id);
        pool.release(connection, None);
    }
    panic!("the connection is still open");
}

/// Guards against a server that is taken for alive because a connection that it has closed still counts.
#[tokio::test]
async fn a_connection_counts_as_open_until_its_server_closes_it() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("a bound address");
    let pool = Pool::new();
    let (first, accepted) = tokio::join!(pool.open(addr), listener.accept());
    let (first, server) = (first.expect("a connection"), accepted.expect("one").0);
    let (second, accepted) = tokio::join!(pool.open(addr), listener.accept());
    let (second, other) = (second.expect("a connection"), accepted.expect("one").0);
    let settled = || tokio::time::sleep(Duration::from_millis(20));
    settled().await;
    assert!(pool.has_open_connection(addr) && pool.has_other_open_connection(&first));

    drop(other);
    settled().await;

    assert!(pool.has_open_connection(addr) && !pool.has_other_open_connection(&first));
    drop(server);
    settled().await;
    assert!(!pool.has_open_connection(addr), "{second:?}");
}

/// Guards against taking a connection for open whose unread data may hide its end.
#[tokio::test]
async fn a_connection_with_unread_data_does_not_count_as_open() {
    const BODY_BYTES: usize = 8 << 20;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("a bound address");
    let pool = Pool::new();
    let (connection, accepted) = tokio::join!(pool.open(addr), listener.accept());
    let (mut connection, mut server) =
        (connection.expect("a connection"), accepted.expect("one").0);
    let writing = tokio::spawn(async move {
        let read = server.read(&mut [0; 1_000]).await;
        assert!(read.expect("a request") > 0);
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {BODY_BYTES}\r\n\r\n");
        server.write_all(head.as_bytes()).await.expect("a write");
        drop(server.write_all(&vec![0; BODY_BYTES]).await);
    });

    let outcome = connection.send(request()).await;
    tokio::time::sleep(Duration::from_millis(20)).await;

    assert!(!pool.has_open_connection(addr), "{outcome:?}");
    writing.abort();
}
