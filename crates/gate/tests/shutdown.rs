//! A graceful shutdown interrupts no request.

mod fixture;

use std::time::Duration;

use fixture::{Backend, Host, backend::Act};
use reqwest::Method;

/// Guards against a balancer that sends requests to a host that refuses them already.
#[tokio::test]
async fn requests_are_served_while_the_balancer_takes_notice() {
    let backend = Backend::start([]).await;
    let host = Host::start(&[&backend]).await;
    let gate = std::sync::Arc::clone(&host.gate);
    let draining = tokio::spawn(async move { gate.drain(Duration::from_secs(30)).await });
    let ready = host.anonymous(Method::GET, "/readyz");
    while ready.try_clone().unwrap().send().await.unwrap().status() == 200 {
        tokio::task::yield_now().await;
    }

    let answer = host.chat(false).send().await.unwrap();

    assert_eq!(answer.status(), 200);
    draining.abort();
}

/// Guards against requests that are cut by a shutdown, and against a server that does not end.
#[tokio::test]
async fn in_flight_requests_end_before_the_server_does() {
    let backend = Backend::start([Act::Slow]).await;
    let host = Host::start(&[&backend]).await;
    let in_flight = tokio::spawn(host.chat(false).send());
    while backend.seen().is_empty() {
        tokio::task::yield_now().await;
    }

    host.gate.drain(Duration::ZERO).await;
    let answer = in_flight.await.unwrap().unwrap();
    host.task.await.unwrap().unwrap();

    assert_eq!(answer.status(), 200);
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
    let req = host.chat(true).header("x-deadline-ms", "1000");
    let stream = req.send().await.unwrap();

    host.gate.drain(Duration::ZERO).await;
    let text = stream.text().await.unwrap();
    host.task.await.unwrap().unwrap();

    assert!(text.starts_with("data: 0\n\nevent: error\n"), "{text}");
    assert!(text.contains(r#""code":504"#), "{text}");
}
