//! Guards against stand-ins that leave the wire formats of the design page, which would let the
//! tests of the clients pass against the wrong protocol.

use serde_json::{Value, json};
use standin::harness::Stage;

const ORDER: &str = "00000000000000000000000000000001";

fn load(id: &str, fence: u64, name: &str, bytes: u64) -> Value {
    json!({"id": id, "fence": fence, "op": "load", "name": name, "version": "1", "bytes": bytes})
}

#[tokio::test]
async fn the_platform_updates_conditionally_and_delivers_changes() {
    let stage = Stage::new().await;
    let platform = stage.platform().await;
    let chunk = json!({"metadata": {"name": "a"}, "spec": {"n": 1}});

    let (status, first) = platform.api("POST", "chunks", Some(&chunk)).await;
    assert_eq!(status, 201);
    let (again, _) = platform.api("POST", "chunks", Some(&chunk)).await;
    assert_eq!(again, 409);

    let update = json!({"metadata": first["metadata"], "spec": {"n": 2}});
    assert_eq!(platform.api("PUT", "chunks/a", Some(&update)).await.0, 200);
    assert_eq!(platform.api("PUT", "chunks/a", Some(&update)).await.0, 409);

    let version = first["metadata"]["resourceVersion"].as_str().unwrap();
    let watch = format!("chunks?watch=1&timeoutSeconds=0&resourceVersion={version}");
    let (status, event) = platform.api("GET", &watch, None).await;
    assert_eq!((status, &event["type"]), (200, &json!("MODIFIED")));
    assert_eq!(event["object"]["spec"]["n"], 2);

    let large = json!({"metadata": {"name": "b"}, "spec": "x".repeat(1_000_001)});
    assert_eq!(platform.api("POST", "chunks", Some(&large)).await.0, 413);
}

#[tokio::test]
async fn a_lost_answer_takes_effect() {
    let stage = Stage::new().await;
    let platform = stage.platform().await;
    let lose = json!({"faults": [{"effect": "lose_answer", "method": "POST", "count": 1}]});
    platform.set(&lose).await;

    let chunk = json!({"metadata": {"name": "a"}, "spec": 1});
    assert_eq!(platform.api("POST", "chunks", Some(&chunk)).await.0, 0);
    assert_eq!(platform.api("GET", "chunks/a", None).await.0, 200);
}

#[tokio::test]
async fn an_engine_counts_memory_and_fences() {
    let stage = Stage::new().await;
    let knobs = json!({"memory": 100, "enforce": true, "load_ms": 0});
    let engine = stage.engine("w0", &knobs).await;

    assert_eq!(
        engine.post("/orders", &load(ORDER, 5, "m", 60)).await.0,
        202
    );
    assert_eq!(
        engine.post("/orders", &load(ORDER, 5, "m", 60)).await.0,
        202
    );
    let second = ORDER.replace('1', "2");
    let (status, body) = engine.post("/orders", &load(&second, 4, "n", 10)).await;
    assert_eq!((status, &body["fence"]), (409, &json!(5)));
    assert_eq!(
        engine.post("/orders", &load(&second, 6, "n", 60)).await.0,
        507
    );

    let seen = engine.state().await;
    assert_eq!(seen["counts"]["overcommits"], 1);
    assert_eq!(seen["counts"]["max_asked"], 120);
    assert_eq!(seen["used"], 60);
}

#[tokio::test]
async fn an_engine_answers_whole_and_logs_a_crash() {
    let stage = Stage::new().await;
    let knobs = json!({"memory": 100, "poison": "boom"});
    let mut engine = stage.engine("w0", &knobs).await;
    engine
        .set_residents(&json!([{"name": "m", "version": "1", "bytes": 60}]))
        .await;

    let chat = |text: &str| json!({"model": "m", "max_tokens": 3, "messages": [{"content": text}]});
    let (status, body) = engine.post("/v1/chat/completions", &chat("hello")).await;
    assert_eq!(status, 200);
    let text = body["choices"][0]["message"]["content"].as_str().unwrap();
    assert!(standin::answer::is_whole("hello", 3, text));

    let (status, _) = engine.post("/v1/chat/completions", &chat("boom")).await;
    assert_eq!(status, 0);
    engine.wait_exit().await;
    let events: Vec<String> = engine.runs().into_iter().map(|run| run.event).collect();
    assert_eq!(events, ["start", "end", "start", "crash"]);
}

#[tokio::test]
async fn a_frozen_link_holds_and_a_healed_one_delivers() {
    let stage = Stage::new().await;
    let plain = stage.plain("b0").await;
    let link = stage.link(plain.addr()).await;

    stage.set_link(link, &json!({"mode": "freeze"})).await;
    let get = tokio::spawn(async move { standin::harness::get(link, "/bench/1").await.0 });
    stage.set_link(link, &json!({"mode": "pass"})).await;
    assert_eq!(get.await.unwrap(), 200);

    stage.set_link(link, &json!({"mode": "cut"})).await;
    assert_eq!(standin::harness::get(link, "/bench/1").await.0, 0);
}

#[tokio::test]
async fn a_link_refuses_while_its_process_is_dead() {
    let stage = Stage::new().await;
    let mut plain = stage.plain("b0").await;
    plain.set(&json!({"poison": "boom"})).await;
    let link = stage.link(plain.addr()).await;

    assert_eq!(
        standin::harness::post(link, "/bench/1", &json!("boom"))
            .await
            .0,
        0
    );
    tokio::net::TcpStream::connect(link).await.unwrap_err();

    plain.restart().await;
    let limit = std::time::Duration::from_secs(10);
    let answers = || async { standin::harness::get(link, "/bench/1").await.0 == 200 };
    standin::harness::eventually(limit, "the link accepts again", answers).await;
}
