//! The gate with the real router.

mod fixture;

use std::sync::Arc;

use fixture::{Backend, Host, TestPeers, backend::Behaviour, code, json};
use gate::Checks;
use route::{Event, Router, Settings};
use serde_json::json;
use store::MemPlatform;

/// Starts a host with two workers and a booking server, all with recent load reports.
async fn start(acts: [&[Behaviour]; 3]) -> ([Backend; 3], Host<Router>) {
    let [b1, b2, b3] = acts.map(|acts| Backend::start(acts.to_vec()));
    let backends = [b1.await, b2.await, b3.await];
    let router = Router::new(Settings::default(), 7);
    let list: Vec<_> = backends.iter().collect();
    let host = Host::with_router(
        router,
        TestPeers::default(),
        &list,
        MemPlatform::new(),
        Checks::default(),
    )
    .await;
    host.gate
        .dispatcher()
        .feed(Event::Config(fixture::active_config()));
    report(&host, &backends);
    (backends, host)
}

fn report(host: &Host<Router>, backends: &[Backend; 3]) {
    for (n, backend) in backends.iter().enumerate() {
        let incarnation = backend
            .state
            .incarnation
            .load(std::sync::atomic::Ordering::SeqCst);
        let residents = if n < 2 {
            json!([{"name": "m1", "version": "v1", "bytes": 1}])
        } else {
            json!([])
        };
        let report = json!({"incarnation": incarnation, "in_flight": 0, "residents": residents});
        host.gate.dispatcher().feed(Event::Report {
            backend: format!("b{}", n + 1).parse().unwrap(),
            report: Arc::new(serde_json::from_value(report).unwrap()),
        });
    }
}

/// Guards against differing interpretations of events and actions in gate and router.
#[tokio::test]
async fn requests_of_all_kinds_are_served() {
    let ([b1, b2, b3], host) = start([&[Behaviour::Events(2)], &[Behaviour::Events(2)], &[]]).await;

    let stream = host.chat(true).send().await.unwrap().text().await.unwrap();
    let booked = host.book(Some("k"), "{}").send().await.unwrap();

    assert_eq!(stream, "data: 0\n\ndata: 1\n\ndata: [DONE]\n\n");
    assert_eq!(json(booked).await["ok"], true);
    assert_eq!(b1.received().len() + b2.received().len(), 1);
    assert_eq!(b3.received().len(), 1);
    assert_eq!(host.gate.dispatcher().with_router(Router::in_flight), 0);
}

/// Guards against a request that crashes more than two servers through retries or resends.
#[tokio::test]
async fn a_crashing_request_reaches_two_servers() {
    let crash = &[Behaviour::Crash; 4];
    let (backends, host) = start([crash, crash, &[]]).await;

    let mut codes = Vec::new();
    for _ in 0..4 {
        codes.push(code(host.chat(false)).await);
        report(&host, &backends);
    }

    let ran = backends.iter().map(|b| b.received().len()).sum::<usize>();
    assert_eq!(ran, 2, "{codes:?}");
    assert_eq!(codes, [503, 601, 601, 601]);
    assert!(*host.peers.shared.lock().unwrap() >= 2);
}

/// Guards against retrying a non-idempotent request, and against codes that differ from the table.
#[tokio::test]
async fn a_booking_that_may_have_run_is_not_retried() {
    for (act, expected) in [
        (Behaviour::Close, 502),
        (Behaviour::Truncate, 506),
        (Behaviour::Hang, 504),
    ] {
        let ([_, _, b3], host) = start([&[], &[], &[act]]).await;

        let limit = if act == Behaviour::Hang {
            "1500"
        } else {
            "10000"
        };
        let refused = code(host.book(None, "{}").header("x-deadline-ms", limit)).await;

        assert_eq!(refused, expected, "{act:?}");
        assert_eq!(b3.received().len(), 1);
    }
}
