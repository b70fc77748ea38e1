//! End-to-end tests.
//!
//! Guards against components that pass their own tests but do not serve requests together.

use reqwest::Method;
use standin::{
    answer,
    harness::{Cluster, EntryHost, Layout, Reply, small},
};

fn assert_complete(prompt: &str, tokens: usize, reply: &Reply) {
    assert_eq!(reply.status, 200, "{reply:?}");
    assert!(answer::is_whole(prompt, tokens, &reply.text), "{reply:?}");
}

async fn assert_streams(host: &EntryHost, model: &str) {
    let prompt = format!("{model} through {}", host.name);
    let reply = host.stream(model, &prompt, 8).await;
    assert_complete(&prompt, 8, &reply);
    assert!(reply.done, "{reply:?}");
}

#[tokio::test]
async fn every_entry_host_serves_models_adapters_and_bookings() {
    let cluster = Cluster::small().await;

    for host in &cluster.hosts {
        let prompt = format!("whole answer through {}", host.name);
        assert_complete(&prompt, 8, &host.chat("alpha", &prompt, 8).await);
        for model in ["alpha", "beta", "gamma", "alpha-depot", "beta-depot"] {
            assert_streams(host, model).await;
        }
        let booked = host
            .plain(Method::POST, "bookings/slots", &host.name, "bit 7")
            .await;
        assert_eq!(
            (booked.status, &booked.body["echo"]),
            (201, &"bit 7".into())
        );
        let status = host.plain(Method::GET, "bookings/slots/7", "", "").await;
        assert_eq!(status.status, 200, "{status:?}");
    }

    cluster.wait_ok().await;
    assert_eq!(cluster.started("bit 7").len(), cluster.hosts.len());
    cluster.assert_memory().await;
}

/// Serves an example file with seven entry hosts and sends one request to every model.
async fn serve_example(file: &str, token: &str, service: &str) {
    let path = format!("{}/../../examples/{file}", env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read_to_string(path).unwrap();
    // At the weight store's configured rate the first loads alone would take half a minute.
    let text = text.replace(
        r#"weight_store_rate = "1.4/s""#,
        r#"weight_store_rate = "50/s""#,
    );
    let cluster = Cluster::start(Layout::of(&text, 7, token)).await;
    cluster.serve(&text).await;

    let file: toml::Table = text.parse().unwrap();
    let models = file["models"].as_array().unwrap();
    for (i, model) in models.iter().enumerate() {
        let host = &cluster.hosts[i % cluster.hosts.len()];
        assert_streams(host, model["name"].as_str().unwrap()).await;
    }
    for host in &cluster.hosts {
        let path = format!("{service}/slots");
        let booked = host.plain(Method::POST, &path, &host.name, "lot").await;
        assert_eq!(booked.status, 201, "{booked:?}");
    }
    cluster.wait_ok().await;
    cluster.assert_memory().await;
}

#[tokio::test]
async fn te_awa_is_served() {
    serve_example("te-awa.toml", "demo-counter", "bookings").await;
}

#[tokio::test]
async fn nour_is_served() {
    serve_example("nour.toml", "demo-dispatch", "orders").await;
}

#[tokio::test]
async fn callers_see_the_configured_models() {
    let cluster = Cluster::small().await;

    let models = cluster.hosts[0].request(Method::GET, "/v1/models");
    let body: serde_json::Value = models.send().await.unwrap().json().await.unwrap();

    let ids = body["data"].as_array().unwrap().iter();
    let mut ids: Vec<&str> = ids.map(|model| model["id"].as_str().unwrap()).collect();
    ids.sort_unstable();
    let text: toml::Table = small().parse().unwrap();
    assert!(text["models"].as_array().unwrap().len() <= ids.len());
    assert!(
        ids.contains(&"alpha") && ids.contains(&"alpha-depot"),
        "{ids:?}"
    );
}
