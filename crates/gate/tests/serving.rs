//! End-to-end tests of streamed and buffered requests.

mod fixture;

use fixture::{Backend, Host, backend::Behaviour, json};
use reqwest::Method;
use route::Event;

/// Guards against losing or leaking headers, body or path in either direction.
#[tokio::test]
async fn a_completion_reaches_the_server_and_its_answer_the_caller() {
    let backend = Backend::start([]).await;
    let host = Host::start(&[&backend]).await;
    let parent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";

    let answer = host
        .chat(false)
        .header("traceparent", parent)
        .send()
        .await
        .unwrap();

    assert_eq!(answer.status(), 200);
    let timing = answer.headers()["server-timing"].to_str().unwrap();
    assert!(timing.starts_with("queue;dur="), "{timing}");
    assert!(!answer.headers().contains_key("x-incarnation"));
    assert_eq!(json(answer).await["ok"], true);
    let seen = backend.received().remove(0);
    assert_eq!(seen.path, "/v1/chat/completions");
    assert_eq!(seen.headers["traceparent"], parent);
    assert!(
        !seen.headers.contains_key("authorization"),
        "the caller's token stays here"
    );
    let body: serde_json::Value = serde_json::from_slice(&seen.body).unwrap();
    assert_eq!(body["priority"], 256 + 2);
    assert_eq!(
        (
            host.gate.counters().requests(),
            host.gate.counters().requests_in_time()
        ),
        (1, 1)
    );
    assert_eq!(
        host.script
            .count(|ev| matches!(ev, Event::Finished { ok: true, .. })),
        1
    );
    assert_eq!(
        host.script
            .count(|ev| matches!(ev, Event::LoadHeaders { in_flight: 3, .. })),
        1
    );
}

/// Guards against a stream that is modified, delayed or counted incorrectly.
#[tokio::test]
async fn a_stream_passes_through() {
    let backend = Backend::start([Behaviour::Events(3)]).await;
    let host = Host::start(&[&backend]).await;

    let text = host.chat(true).send().await.unwrap().text().await.unwrap();

    assert_eq!(text, "data: 0\n\ndata: 1\n\ndata: 2\n\ndata: [DONE]\n\n");
    let finished = |ev: &Event| {
        matches!(
            ev,
            Event::Finished {
                tokens: 3,
                ok: true,
                ..
            }
        )
    };
    assert_eq!(host.script.count(finished), 1);
}

/// Guards against changing the path, query or status of a plain service.
#[tokio::test]
async fn a_plain_call_passes_through() {
    let backend = Backend::start([Behaviour::Complete, Behaviour::Status(409)]).await;
    let host = Host::start(&[&backend]).await;

    let found = host
        .get("/services/bookings/slots?day=2")
        .send()
        .await
        .unwrap();
    let conflict = host.book(None, "{}").send().await.unwrap();

    assert_eq!(
        (found.status().as_u16(), conflict.status().as_u16()),
        (200, 409)
    );
    let paths: Vec<_> = backend.received().into_iter().map(|s| s.path).collect();
    assert_eq!(paths, ["/slots?day=2", "/book"]);
}

/// Guards against listing models of services that the caller may not use.
#[tokio::test]
async fn models_and_adapters_are_listed() {
    let host = Host::start(&[]).await;

    let list = json(host.get("/v1/models").send().await.unwrap()).await;
    let other = host
        .anonymous(Method::GET, "/v1/models")
        .bearer_auth("depot-token");
    let other = json(other.send().await.unwrap()).await;

    let ids: Vec<_> = list["data"]
        .as_array()
        .unwrap()
        .iter()
        .map(|m| &m["id"])
        .collect();
    assert_eq!(ids, ["m1", "once", "a1"]);
    assert_eq!(other["data"], serde_json::json!([]));
}
