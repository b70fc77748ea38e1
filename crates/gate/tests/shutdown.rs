//! A graceful shutdown interrupts no request.

mod fixture;

use std::time::Duration;

use fixture::{Backend, Host, backend::Act};
use reqwest::Method;

/// Guards against requests that are cut by a shutdown, and against a balancer that sends new ones
/// because the host still looks ready.
#[tokio::test]
async fn in_flight_requests_end_before_the_server_does() {
    let backend = Backend::start([Act::Slow, Act::Complete]).await;
    let host = Host::start(&[&backend]).await;
    let in_flight = tokio::spawn(host.chat(false).send());
    while backend.seen().is_empty() {
        tokio::task::yield_now().await;
    }

    let draining = tokio::spawn({
        let gate = std::sync::Arc::clone(&host.gate);
        async move { gate.drain(Duration::from_millis(50)).await }
    });
    let ready = host.anonymous(Method::GET, "/readyz");
    while ready.try_clone().unwrap().send().await.unwrap().status() == 200 {
        tokio::task::yield_now().await;
    }
    let within_notice = host.chat(false).send().await.unwrap();
    draining.await.unwrap();
    let answer = in_flight.await.unwrap().unwrap();
    host.task.await.unwrap().unwrap();

    assert_eq!(
        (within_notice.status().as_u16(), answer.status().as_u16()),
        (200, 200)
    );
    assert_eq!(answer.text().await.unwrap(), r#"{"ok":true}"#);
    let connect = tokio::net::TcpStream::connect(host.addr);
    connect.await.unwrap_err();
}

/// Guards against a new request that runs on a kept connection after the host has closed.
#[tokio::test]
async fn a_closed_host_refuses_new_requests_as_not_run() {
    let backend = Backend::start([]).await;
    let host = Host::start(&[&backend]).await;
    host.gate.drain(Duration::ZERO).await;

    let late = host.chat(false).send().await;

    let served = late.is_ok_and(|answer| answer.status() == 200);
    assert!(!served, "neither a closed connection nor a refusal");
    assert!(backend.seen().is_empty());
}

/// Guards against a stream that is cut without a word when the host shuts down.
#[tokio::test]
async fn a_stream_runs_to_its_deadline() {
    let backend = Backend::start([Act::Stall]).await;
    let host = Host::start(&[&backend]).await;
    let req = host.chat(true).header("x-deadline-ms", "300");
    let stream = req.send().await.unwrap();

    host.gate.drain(Duration::ZERO).await;
    let text = stream.text().await.unwrap();
    host.task.await.unwrap().unwrap();

    assert!(text.starts_with("data: 0\n\nevent: error\n"), "{text}");
    assert!(text.contains(r#""code":504"#), "{text}");
}
