//! Guards against invalid input that crashes an entry host or is run although it is invalid.

use std::time::Duration;

use reqwest::{Method, RequestBuilder};
use serde_json::{Value, json};
use standin::harness::Cluster;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

const TIMEOUT: Duration = Duration::from_secs(30);

async fn refusal(req: RequestBuilder) -> (u16, u64) {
    let res = req.send().await.unwrap();
    let status = res.status().as_u16();
    let body: Value = res.json().await.unwrap_or_default();
    let error = &body["error"];
    assert_eq!(error["ran"], "no", "{body}");
    (status, error["code"].as_u64().unwrap_or_default())
}

#[tokio::test]
async fn bad_requests_get_their_code_and_are_not_run() {
    let cluster = Cluster::small().await;
    let host = &cluster.hosts[0];
    let chat = || host.request(Method::POST, "/v1/chat/completions");
    let body =
        |model: &str| json!({"model": model, "messages": [{"role": "user", "content": "x"}]});
    let booking = || host.request(Method::POST, "/services/bookings/slots");
    let anonymous = reqwest::Client::new().post(format!("http://{}/v1/completions", host.http));

    assert_eq!(refusal(chat().body("{")).await, (400, 101));
    assert_eq!(refusal(chat().json(&body("no-such"))).await, (404, 102));
    assert_eq!(
        refusal(chat().json(&json!({"messages": 7}))).await,
        (400, 108)
    );
    let service = host.request(Method::POST, "/services/no-such/x");
    assert_eq!(refusal(service).await, (404, 103));
    let deadline = chat().header("x-deadline-ms", "0").json(&body("alpha"));
    assert_eq!(refusal(deadline).await, (400, 106));
    let key = booking().header("idempotency-key", "k".repeat(10_000));
    assert_eq!(refusal(key.body("x")).await.0 / 100, 4);
    assert_eq!(refusal(chat().body("x".repeat(2 << 20))).await, (413, 104));
    assert_eq!(refusal(anonymous.json(&body("alpha"))).await, (401, 201));
    assert_eq!(
        refusal(host.request(Method::GET, "/no/such/path")).await,
        (404, 109)
    );

    assert!(cluster.started("").is_empty(), "{:?}", cluster.started(""));
    assert!(host.is_ready().await);
}

#[tokio::test]
async fn garbage_on_the_peer_port_changes_nothing() {
    let cluster = Cluster::small().await;
    let host = &cluster.hosts[0];

    for garbage in [
        &b"GET / HTTP/1.1\r\n\r\n"[..],
        &[0xff; 4096],
        &[0; 64],
        b"\x7f\xff\xff\xff",
    ] {
        let mut peer = TcpStream::connect(cluster.links[0].peer).await.unwrap();
        peer.write_all(garbage).await.unwrap();
        peer.shutdown().await.unwrap();
        let mut rest = Vec::new();
        // The host may close or reset the connection.
        drop(
            timeout(TIMEOUT, peer.read_to_end(&mut rest))
                .await
                .expect("the host closes the connection"),
        );
    }

    cluster.wait_ok().await;
    assert_eq!(host.chat("alpha", "after the garbage", 4).await.status, 200);
}

#[tokio::test]
async fn garbage_from_the_platform_changes_nothing() {
    let cluster = Cluster::small().await;
    let garbage = json!({"effect": "garbage", "count": 200});

    cluster.platform.set(&json!({"faults": [garbage]})).await;
    cluster
        .platform
        .put_object("manifests", "current", &json!({"version": "no"}))
        .await;
    cluster
        .platform
        .put_object("hosts", "w-north-1", &json!({"role": 7}))
        .await;

    for host in &cluster.hosts {
        assert_eq!(host.chat("alpha", "amid the garbage", 4).await.status, 200);
        host.wait_report(TIMEOUT, "small v1").await;
        assert!(host.is_ready().await);
    }
}
