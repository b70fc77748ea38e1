//! Guards against a client and an engine that interpret the same call differently.

use engine::{Call, Category, Client, Protocol, Server};
use reqwest::Method;
use serde_json::{Value, json};
use standin::{
    answer,
    harness::{Stage, StandIn},
};
use types::{Bytes, Epoch, Order, OrderId, OrderOp, OrderState, RequestId};

async fn start(knobs: Value) -> (Stage, StandIn, Client, Server) {
    let stage = Stage::new().await;
    let engine = stage.engine("w0", &knobs).await;
    let addr = stage.link(engine.addr()).await;
    let residents = json!([{"name": "m", "version": "1", "bytes": 60}]);
    engine.set_residents(&residents).await;
    let id = "w0".parse().unwrap();
    (stage, engine, Client::new().unwrap(), Server { id, addr })
}

fn chat(id: u128, prompt: &str, stream: bool) -> Call {
    let body = json!({"model": "m", "stream": stream, "max_tokens": 6,
        "messages": [{"role": "user", "content": prompt}]});
    Call {
        method: Method::POST,
        body: body.to_string().into(),
        protocol: Protocol::Model,
        ..Call::get(RequestId::new(id), "/v1/chat/completions")
    }
}

fn load(id: u128, fence: u64, bytes: u64) -> Order {
    Order {
        id: OrderId::new(id),
        fence: Epoch::new(fence),
        op: OrderOp::Load,
        name: format!("n{id}"),
        version: "1".parse().unwrap(),
        bytes: Bytes::new(bytes),
    }
}

#[tokio::test]
async fn orders_are_fenced_and_reported() {
    let (_stage, _engine, client, server) = start(json!({"memory": 100, "enforce": true})).await;

    client.post_order(&server, &load(1, 5, 30)).await.unwrap();
    let stale = client
        .post_order(&server, &load(2, 4, 1))
        .await
        .unwrap_err();
    assert_eq!(stale.category(), Category::Fenced);
    let large = client
        .post_order(&server, &load(3, 6, 30))
        .await
        .unwrap_err();
    assert_eq!(large.category(), Category::OutOfMemory);

    let report = client.load_report(&server).await.unwrap();
    assert_eq!(
        (report.memory, report.fence),
        (Bytes::new(100), Epoch::new(6))
    );
    let order_state = |id| {
        report
            .orders
            .iter()
            .find(|o| o.id == OrderId::new(id))
            .map(|o| o.state)
    };
    assert_ne!(order_state(1), Some(OrderState::Failed));
    assert_eq!(order_state(3), Some(OrderState::Failed));
}

#[tokio::test]
async fn a_truncated_stream_is_detected_and_can_be_resumed() {
    let (_stage, _engine, client, server) = start(json!({"truncated": 1})).await;

    let answer = client.send(&server, chat(1, "hello", true)).await.unwrap();
    let (start, mut events) = (tokio::time::Instant::now(), answer.events());
    let mut all = String::new();
    let mut count = 0;
    let cut = loop {
        match events.next().await {
            Ok(Some((event, _))) => {
                all.push_str(&String::from_utf8_lossy(&event));
                count += 1;
            }
            Ok(None) => panic!("a truncated stream ended without an error"),
            Err(e) => break e,
        }
    };
    assert_eq!(cut.category(), Category::Truncated);

    let headers = reqwest::header::HeaderMap::new();
    let until = start + std::time::Duration::from_secs(20);
    let rest = client
        .resume(&server, RequestId::new(1), count, headers, until)
        .await;
    let mut events = rest.unwrap().events();
    while let Some((event, _)) = events.next().await.unwrap() {
        all.push_str(&String::from_utf8_lossy(&event));
    }
    let at = |i| all.find(answer::token("hello", i).as_str());
    assert!((0..6).all(|i| at(i).is_some()), "{all}");
}

#[tokio::test]
async fn failures_map_to_categories() {
    let knobs = json!({"wrong_ids": 1, "poison": "boom"});
    let (_stage, engine, client, server) = start(knobs).await;

    let mismatched = client.send(&server, chat(1, "a", false)).await.unwrap_err();
    assert_eq!(mismatched.category(), Category::Mismatch);
    engine.set(&json!({"leaving": true})).await;
    let leaving = client.send(&server, chat(2, "b", false)).await.unwrap_err();
    assert_eq!(leaving.category(), Category::Leaving);
    engine.set(&json!({"leaving": false})).await;
    engine.set_residents(&json!([])).await;
    let missing = client.send(&server, chat(3, "c", false)).await.unwrap_err();
    assert_eq!(missing.category(), Category::NotResident);
}

#[tokio::test]
async fn a_crash_is_distinguished_from_a_lost_connection() {
    let knobs = json!({"poison": "boom", "cuts": 1});
    let (_stage, mut engine, client, server) = start(knobs).await;

    let cut = client
        .send(&server, chat(1, "fine", false))
        .await
        .unwrap_err();
    let cut = client.diagnose(&server, cut).await;
    assert_eq!(cut.category(), Category::ConnectionLost);

    let crashed = client
        .send(&server, chat(2, "boom", false))
        .await
        .unwrap_err();
    let crashed = client.diagnose(&server, crashed).await;
    assert_eq!(crashed.category(), Category::Crashed);
    assert!(!engine.wait_exit().await);
}
