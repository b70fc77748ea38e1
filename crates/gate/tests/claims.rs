//! Requests with an idempotency key that must not be repeated run at most once.

mod fixture;

use fixture::{Backend, Host, TestPeers, backend::Behaviour, code, json};
use route::Event;
use store::{Fault, MemPlatform, Platform};

async fn start(acts: impl IntoIterator<Item = Behaviour>) -> (Backend, Host) {
    let backend = Backend::start(acts).await;
    let host = Host::start(&[&backend]).await;
    (backend, host)
}

/// Starts a second entry host of the same deployment, to which the first one appears alive.
async fn start_second_host(backend: &Backend, host: &Host) -> Host {
    let platform = host.platform.clone();
    let other = Host::unconfigured(TestPeers::default(), &[backend], platform).await;
    let config = fixture::active_config();
    other.gate.dispatcher().feed(Event::Config(config));
    other
}

async fn wait_until_settled(host: &Host) {
    while host.gate.pending_claims() > 0 {
        tokio::time::sleep(std::time::Duration::from_millis(5)).await;
    }
}

/// Guards against a resend that runs again or gets a different answer.
#[tokio::test]
async fn a_resend_gets_the_stored_answer_on_every_host() {
    let (backend, host) = start([]).await;
    let other = start_second_host(&backend, &host).await;

    let first = json(host.book(Some("k"), "{}").send().await.unwrap()).await;
    wait_until_settled(&host).await;
    let second = json(host.book(Some("k"), "{}").send().await.unwrap()).await;
    let third = json(other.book(Some("k"), "{}").send().await.unwrap()).await;

    assert_eq!((&first, &first), (&second, &third));
    assert_eq!(backend.received().len(), 1);
    assert_eq!(backend.received()[0].headers["idempotency-key"], "k");
}

/// Guards against treating requests with the same key but different bodies as equal.
#[tokio::test]
async fn another_body_under_the_same_key_is_refused() {
    let (backend, host) = start([]).await;
    host.book(Some("k"), "{}").send().await.unwrap();

    assert_eq!(code(host.book(Some("k"), r#"{"slot": 2}"#)).await, 402);
    assert_eq!(backend.received().len(), 1);
}

/// Guards against a second run while the first outcome is pending or unknown.
#[tokio::test]
async fn a_resend_of_a_running_or_unknown_request_is_not_run() {
    let (backend, host) = start([Behaviour::Hang, Behaviour::Close]).await;
    let hanging = host.book(Some("k1"), "{}").header("x-deadline-ms", "1500");
    let hanging = tokio::spawn(code(hanging));
    while backend.received().is_empty() {
        tokio::task::yield_now().await;
    }

    let other = start_second_host(&backend, &host).await;
    let running = [
        code(host.book(Some("k1"), "{}")).await,
        code(other.book(Some("k1"), "{}")).await,
    ];
    let timed_out = hanging.await.unwrap();
    let cut = code(host.book(Some("k2"), "{}")).await;
    wait_until_settled(&host).await;
    let unknown = [
        code(other.book(Some("k1"), "{}")).await,
        code(host.book(Some("k2"), "{}")).await,
    ];

    assert_eq!(
        (running, timed_out, cut, unknown),
        ([404, 404], 504, 502, [405, 405])
    );
    assert_eq!(backend.received().len(), 2);
}

/// Guards against a caller's disconnect that cancels a claimed request or loses its outcome.
#[tokio::test]
async fn a_claimed_request_outlives_its_caller() {
    let (backend, host) = start([Behaviour::Slow]).await;
    let caller = tokio::spawn(host.book(Some("k"), "{}").send());
    while backend.received().is_empty() {
        tokio::task::yield_now().await;
    }

    caller.abort();
    wait_until_settled(&host).await;
    let answer = json(host.book(Some("k"), "{}").send().await.unwrap()).await;

    assert_eq!(answer["ok"], true);
    assert_eq!(backend.received().len(), 1);
}

/// Guards against running a keyed request without a claim, and against a platform outage that
/// blocks other requests.
#[tokio::test]
async fn without_the_platform_only_keyed_requests_are_refused() {
    let (backend, host) = start([]).await;
    host.platform.set_down(true);

    let keyed = host.book(Some("k"), "{}").send().await.unwrap();
    let plain = host.book(None, "{}").send().await.unwrap();
    host.platform.set_down(false);
    let resent = host.book(Some("k"), "{}").send().await.unwrap();

    assert_eq!(keyed.headers()["x-celerytally-code"], "401");
    assert!(keyed.headers().contains_key("retry-after"));
    assert_eq!(
        (plain.status(), resent.status()),
        (200.try_into().unwrap(), 200.try_into().unwrap())
    );
    assert_eq!(backend.received().len(), 2);
}

/// Guards against treating a claim as lost or foreign when its write succeeded but the answer was
/// lost.
#[tokio::test]
async fn a_claim_without_an_answer_is_read_back() {
    let (backend, host) = start([]).await;
    host.platform.push_faults([Some(Fault::ResponseLost)]);

    let answer = host.book(Some("k"), "{}").send().await.unwrap();

    assert_eq!(answer.status(), 200);
    assert_eq!(backend.received().len(), 1);
}

/// Guards against running a request that was refused as not run, and against a claim that blocks
/// its key forever.
#[tokio::test]
async fn a_claim_that_can_not_be_read_back_is_withdrawn() {
    let (backend, host) = start([]).await;
    // The create succeeds without an answer, and the read-back fails.
    let faults = [Fault::ResponseLost, Fault::Unavailable];
    host.platform.push_faults(faults.map(Some));

    let first = code(host.book(Some("k"), "{}")).await;
    host.platform.set_down(true);
    let meanwhile = code(host.book(Some("k"), "{}")).await;
    host.platform.set_down(false);
    let before = backend.received().len();
    wait_until_settled(&host).await;
    let after = host.book(Some("k"), "{}").send().await.unwrap();

    assert_eq!((first, meanwhile, before), (406, 406, 0));
    assert_eq!(after.status(), 200);
    assert_eq!(backend.received().len(), 1);
}

/// Guards against losing an outcome because the platform was unavailable when it was stored.
#[tokio::test]
async fn an_outcome_is_stored_when_the_platform_is_back() {
    let (backend, host) = start([]).await;
    host.platform
        .push_faults([None, Some(Fault::ResponseLost), Some(Fault::Unavailable)]);

    let first = json(host.book(Some("k"), "{}").send().await.unwrap()).await;
    wait_until_settled(&host).await;
    let second = json(host.book(Some("k"), "{}").send().await.unwrap()).await;

    assert_eq!(first, second);
    assert_eq!(backend.received().len(), 1);
}

/// Guards against a key that remains claimed although its request was not run.
#[tokio::test]
async fn a_request_that_was_not_run_frees_its_key() {
    let (backend, host) = start([Behaviour::Leaving]).await;

    let refused = code(host.book(Some("k"), "{}")).await;
    wait_until_settled(&host).await;
    let again = host.book(Some("k"), "{}").send().await.unwrap();

    assert_eq!(refused, 303);
    assert_eq!(again.status(), 200);
    assert_eq!(backend.received().len(), 2);
}

/// Guards against storing a truncated stream as the answer of a claimed request.
#[tokio::test]
async fn a_claimed_stream_is_kept_only_when_it_is_complete() {
    let (backend, host) = start([Behaviour::Events(2), Behaviour::CloseAfter(2)]).await;
    let draft = |key: &str| {
        let req = host.post("/v1/chat/completions", fixture::chat("once", true));
        req.header("idempotency-key", key.to_owned())
    };

    let first = draft("k1").send().await.unwrap().text().await.unwrap();
    let cut = code(draft("k2")).await;
    wait_until_settled(&host).await;
    let again = draft("k1").send().await.unwrap();
    let unknown = code(draft("k2")).await;

    assert_eq!(again.headers()["content-type"], "text/event-stream");
    assert_eq!(first, "data: 0\n\ndata: 1\n\ndata: [DONE]\n\n");
    assert_eq!(first, again.text().await.unwrap());
    assert_eq!((cut, unknown, backend.received().len()), (506, 405, 2));
}

/// Guards against finished claims that accumulate on the platform, and against a sweep that deletes
/// a claim with an unknown outcome.
#[tokio::test]
async fn a_sweep_deletes_finished_claims_after_the_retention() {
    let (_backend, host) = start([Behaviour::Complete, Behaviour::Close]).await;
    host.book(Some("done"), "{}").send().await.unwrap();
    host.book(Some("unknown"), "{}").send().await.unwrap();
    wait_until_settled(&host).await;
    let count = |platform: MemPlatform| async move {
        let list = platform.list::<Raw>().await.unwrap();
        list.items.len()
    };

    let early = host.gate.sweep_claims().await.unwrap();
    tokio::time::pause();
    tokio::time::advance(std::time::Duration::from_secs(61)).await;
    let late = host.gate.sweep_claims().await.unwrap();

    assert_eq!((early, late), (0, 1));
    assert_eq!(count(host.platform.clone()).await, 1);
}

#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
struct Raw(serde_json::Value);

impl store::Kind for Raw {
    const PLURAL: &'static str = "claims";
}
