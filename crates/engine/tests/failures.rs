//! Each way in which a call can fail is told apart.

mod backend;

use std::time::Duration;

use backend::{Act, Backend};
use engine::{BufferedResponse, Call, Category, Client, Error, Protocol, Server};
use reqwest::Method;
use types::RequestId;

fn call(n: u128) -> Call {
    Call {
        method: Method::POST,
        body: "{}".into(),
        ..Call::get(RequestId::new(n), "/run")
    }
}

async fn read(client: &Client, server: &Server, call: Call) -> Result<BufferedResponse, Error> {
    match client.send(server, call).await {
        Ok(answer) => answer.read(1 << 20).await.map(|whole| whole.unwrap()),
        Err(e) => Err(e),
    }
}

async fn fail(act: Act, protocol: Protocol) -> Error {
    // Only the response that never comes may reach the deadline, however busy the machine is.
    let limit = Duration::from_secs(if matches!(act, Act::Hang) { 2 } else { 60 });
    let backend = Backend::start([act]).await;
    let (client, server) = (Client::new().unwrap(), backend.server("w1"));
    let call = Call {
        protocol,
        deadline: tokio::time::Instant::now() + limit,
        ..call(2)
    };
    let err = read(&client, &server, call).await.unwrap_err();
    client.diagnose(&server, err).await
}

/// Guards against a failure that is taken for another one, so that a caller is told a wrong result
/// code or a request is run twice.
#[tokio::test]
async fn each_failure_has_its_category() {
    let cases = [
        (Act::Cut, Category::ConnectionLost, true),
        (Act::Crash, Category::Crashed, true),
        (Act::Truncate, Category::Truncated, true),
        (Act::WrongId, Category::Mismatch, true),
        (Act::Hang, Category::Timeout, true),
        (Act::Leave, Category::Leaving, false),
        (Act::Status(503), Category::Refused, false),
        (Act::Status(429), Category::Refused, false),
        (Act::Status(404), Category::NotResident, false),
    ];
    for (act, category, may_have_run) in cases {
        let err = fail(act, Protocol::Model).await;
        assert_eq!(
            (err.category(), err.may_have_run()),
            (category, may_have_run),
            "{act:?}"
        );
    }
}

/// Guards against a plain service's own 503 being taken for a refusal before running, after which
/// a booking would be sent again.
#[tokio::test]
async fn a_plain_service_refuses_only_when_leaving() {
    let backend = Backend::start([Act::Status(503), Act::Leave]).await;
    let (client, server) = (Client::new().unwrap(), backend.server("b1"));

    let own = read(&client, &server, call(1)).await.unwrap();
    let leaving = read(&client, &server, call(2)).await.unwrap_err();

    assert_eq!(own.status.as_u16(), 503);
    assert_eq!(leaving.category(), Category::Leaving);
}

/// Guards against a crash that is taken for a broken connection once nothing listens any more.
#[tokio::test]
async fn a_refused_connection_after_a_cut_is_a_crash() {
    let backend = Backend::start([Act::Cut]).await;
    let (client, server) = (Client::new().unwrap(), backend.server("w1"));
    let cut = read(&client, &server, call(1)).await.unwrap_err();
    backend.stop();
    while tokio::net::TcpStream::connect(backend.addr).await.is_ok() {
        tokio::task::yield_now().await;
    }

    let diagnosed = client.diagnose(&server, cut).await;
    let next = read(&client, &server, call(2)).await.unwrap_err();

    assert_eq!(diagnosed.category(), Category::Crashed);
    assert_eq!(next.category(), Category::Unreachable);
    assert!(!next.may_have_run());
}

/// Guards against a late response on a reused connection reaching the wrong request.
#[tokio::test]
async fn a_connection_is_not_reused_after_a_mismatch_or_an_abandoned_request() {
    let backend = Backend::start([Act::Complete, Act::WrongId, Act::Complete, Act::Hang]).await;
    let (client, server) = (Client::new().unwrap(), backend.server("w1"));

    read(&client, &server, call(1)).await.unwrap();
    read(&client, &server, call(2)).await.unwrap_err();
    read(&client, &server, call(3)).await.unwrap();
    let hang = tokio::spawn({
        let (client, server) = (client.clone(), server.clone());
        async move { read(&client, &server, call(4)).await.map(drop) }
    });
    while backend.seen().len() < 4 {
        tokio::task::yield_now().await;
    }
    hang.abort();
    hang.await.unwrap_err();
    read(&client, &server, call(5)).await.unwrap();

    let peers: Vec<_> = backend.seen().into_iter().map(|s| s.peer).collect();
    assert_eq!(peers[0], peers[1], "a healthy connection is kept");
    assert_ne!(peers[1], peers[2], "closed after the mismatch");
    assert_eq!(peers[2], peers[3]);
    assert_ne!(peers[3], peers[4], "closed after the abandoned request");
}

/// Guards against a non-idempotent request on a kept connection that the server is closing.
#[tokio::test]
async fn a_non_idempotent_request_has_its_own_connection() {
    let backend = Backend::start([]).await;
    let (client, server) = (Client::new().unwrap(), backend.server("b1"));
    let once = || Call {
        idempotent: false,
        ..call(2)
    };

    read(&client, &server, call(1)).await.unwrap();
    read(&client, &server, once()).await.unwrap();
    read(&client, &server, once()).await.unwrap();

    let peers: Vec<_> = backend.seen().into_iter().map(|s| s.peer).collect();
    assert!(peers[0] != peers[1] && peers[1] != peers[2]);
}
