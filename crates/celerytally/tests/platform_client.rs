//! Guards against a platform client and a platform that interpret the same call differently.

use futures::StreamExt;
use serde::{Deserialize, Serialize};
use serde_json::json;
use standin::harness::{Stage, StandIn};
use store::{Category, Change, HttpPlatform, Kind, Platform};

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct Note {
    n: u32,
}

impl Kind for Note {
    const PLURAL: &'static str = "notes";
}

async fn start() -> (Stage, StandIn, HttpPlatform) {
    let stage = Stage::new().await;
    let platform = stage.platform().await;
    let link = stage.link(platform.addr()).await;
    let client = HttpPlatform::new(&format!("http://{link}"), "platform-token").unwrap();
    (stage, platform, client)
}

async fn fail_next(platform: &StandIn, effect: &str) {
    let fault = json!({"effect": effect, "count": 1});
    platform.set(&json!({"faults": [fault]})).await;
}

#[tokio::test]
async fn writes_are_conditional() {
    let (_stage, _platform, client) = start().await;

    let first = client.create("a", &Note { n: 1 }).await.unwrap();
    let exists = client.create("a", &Note { n: 1 }).await.unwrap_err();
    assert_eq!(exists.category(), Category::Conflict);
    let second = client.update("a", &Note { n: 2 }, &first).await.unwrap();
    let stale = client
        .update("a", &Note { n: 3 }, &first)
        .await
        .unwrap_err();
    assert_eq!(stale.category(), Category::Conflict);
    assert_eq!(client.get::<Note>("a").await.unwrap().unwrap().value.n, 2);
    client.delete::<Note>("a", &second).await.unwrap();
    assert_eq!(client.get::<Note>("a").await.unwrap(), None);
}

#[tokio::test]
async fn a_watch_continues_from_a_listing() {
    let (_stage, platform, client) = start().await;
    let listing = client.list::<Note>().await.unwrap();
    let mut watch = client.watch::<Note>(&listing.revision).await.unwrap();

    let revision = client.create("a", &Note { n: 1 }).await.unwrap();
    client.delete::<Note>("a", &revision).await.unwrap();

    assert!(matches!(watch.next().await, Some(Ok(Change::Set(o))) if o.value.n == 1));
    assert!(matches!(watch.next().await, Some(Ok(Change::Deleted(name))) if name == "a"));
    platform.post("/admin/compact", &json!({})).await;
    let old = client.watch::<Note>(&listing.revision).await.err().unwrap();
    assert_eq!(old.category(), Category::Expired);
}

#[tokio::test]
async fn a_write_without_an_answer_has_an_unknown_outcome() {
    let (_stage, platform, client) = start().await;

    fail_next(&platform, "lose_answer").await;
    let lost = client.create("a", &Note { n: 1 }).await.unwrap_err();
    assert_eq!(lost.category(), Category::Unknown);
    assert!(client.get::<Note>("a").await.unwrap().is_some());

    fail_next(&platform, "unavailable").await;
    let failed = client.create("b", &Note { n: 1 }).await.unwrap_err();
    assert_eq!(failed.category(), Category::Unknown);
    fail_next(&platform, "cut").await;
    let failed = client.get::<Note>("b").await.unwrap_err();
    assert_eq!(failed.category(), Category::Unavailable);
    fail_next(&platform, "garbage").await;
    let garbage = client.get::<Note>("a").await.unwrap_err();
    assert_eq!(garbage.category(), Category::Malformed);
}

#[tokio::test]
async fn a_dead_platform_is_unavailable_to_writes() {
    let (_stage, mut platform, client) = start().await;

    platform.kill().await;
    // The first connection lets the link detect that its target is gone.
    drop(client.get::<Note>("a").await);

    let refused = client.create("a", &Note { n: 1 }).await.unwrap_err();
    assert_eq!(refused.category(), Category::Unavailable);
}
