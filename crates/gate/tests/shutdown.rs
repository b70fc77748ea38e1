//! A graceful shutdown does not interrupt requests.

mod fixture;

use std::time::Duration;

use fixture::{Backend, Host, backend::Behaviour};
use reqwest::Method;

/// Guards against refusing requests before the load balancer has noticed the shutdown.
#[tokio::test]
async fn requests_are_served_until_the_balancer_sees_not_ready() {
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

/// Guards against a shutdown that cuts off requests, and against a server that does not stop.
#[tokio::test]
async fn in_flight_requests_end_before_the_server_does() {
    let backend = Backend::start([Behaviour::Slow]).await;
    let host = Host::start(&[&backend]).await;
    let in_flight = tokio::spawn(host.chat(false).send());
    while backend.received().is_empty() {
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

/// Guards against running a new request on a kept-alive connection after the host has closed.
#[tokio::test]
async fn a_closed_host_refuses_new_requests_as_not_run() {
    let backend = Backend::start([]).await;
    let host = Host::start(&[&backend]).await;
    host.gate.drain(Duration::ZERO).await;

    let late = host.chat(false).send().await;

    let served = late.is_ok_and(|answer| answer.status() == 200);
    assert!(!served, "neither a closed connection nor a refusal");
    assert!(backend.received().is_empty());
}

/// Guards against a shutdown that ends a stream without an error event.
#[tokio::test]
async fn a_stream_runs_to_its_deadline() {
    let backend = Backend::start([Behaviour::Stall]).await;
    let host = Host::start(&[&backend]).await;
    let req = host.chat(true).header("x-deadline-ms", "1000");
    let stream = req.send().await.unwrap();

    host.gate.drain(Duration::ZERO).await;
    let text = stream.text().await.unwrap();
    host.task.await.unwrap().unwrap();

    assert!(text.starts_with("data: 0\n\nevent: error\n"), "{text}");
    assert!(text.contains(r#""code":504"#), "{text}");
}
