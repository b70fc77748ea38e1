//! A keyed request that must not be repeated runs at most once.

mod fixture;

use fixture::{Backend, Host, TestPeers, backend::Act, code, json};
use route::Event;
use store::{Fault, MemPlatform, Platform};

async fn start(acts: impl IntoIterator<Item = Act>) -> (Backend, Host) {
    let backend = Backend::start(acts).await;
    let host = Host::start(&[&backend]).await;
    (backend, host)
}

/// Starts another entry host of the same deployment, which sees the first one alive.
async fn second(backend: &Backend, host: &Host) -> Host {
    let platform = host.platform.clone();
    let other = Host::unconfigured(TestPeers::default(), &[backend], platform).await;
    let in_force = fixture::in_force();
    other.gate.dispatcher().feed(Event::Config(in_force));
    other
}

async fn settled(host: &Host) {
    while host.gate.pending_claims() > 0 {
        tokio::time::sleep(std::time::Duration::from_millis(5)).await;
    }
}

/// Guards against a resend that runs again or gets another answer.
#[tokio::test]
async fn a_resend_gets_the_stored_answer_on_every_host() {
    let (backend, host) = start([]).await;
    let other = second(&backend, &host).await;

    let first = json(host.book(Some("k"), "{}").send().await.unwrap()).await;
    settled(&host).await;
    let second = json(host.book(Some("k"), "{}").send().await.unwrap()).await;
    let third = json(other.book(Some("k"), "{}").send().await.unwrap()).await;

    assert_eq!((&first, &first), (&second, &third));
    assert_eq!(backend.seen().len(), 1);
    assert_eq!(backend.seen()[0].headers["idempotency-key"], "k");
}

/// Guards against a key that is taken for the same request though the body differs.
#[tokio::test]
async fn another_body_under_the_same_key_is_refused() {
    let (backend, host) = start([]).await;
    host.book(Some("k"), "{}").send().await.unwrap();

    assert_eq!(code(host.book(Some("k"), r#"{"slot": 2}"#)).await, 402);
    assert_eq!(backend.seen().len(), 1);
}

/// Guards against a second run while the first one's outcome is open or unknown.
#[tokio::test]
async fn a_resend_of_a_running_or_unknown_request_is_not_run() {
    let (backend, host) = start([Act::Hang, Act::Cut]).await;
    let hanging = host.book(Some("k1"), "{}").header("x-deadline-ms", "1500");
    let hanging = tokio::spawn(code(hanging));
    while backend.seen().is_empty() {
        tokio::task::yield_now().await;
    }

    let other = second(&backend, &host).await;
    let running = [
        code(host.book(Some("k1"), "{}")).await,
        code(other.book(Some("k1"), "{}")).await,
    ];
    let timed_out = hanging.await.unwrap();
    let cut = code(host.book(Some("k2"), "{}")).await;
    settled(&host).await;
    let unknown = [
        code(other.book(Some("k1"), "{}")).await,
        code(host.book(Some("k2"), "{}")).await,
    ];

    assert_eq!(
        (running, timed_out, cut, unknown),
        ([404, 404], 504, 502, [405, 405])
    );
    assert_eq!(backend.seen().len(), 2);
}

/// Guards against a caller that leaves and thereby cancels a claimed request or loses its outcome.
#[tokio::test]
async fn a_claimed_request_outlives_its_caller() {
    let (backend, host) = start([Act::Slow]).await;
    let caller = tokio::spawn(host.book(Some("k"), "{}").send());
    while backend.seen().is_empty() {
        tokio::task::yield_now().await;
    }

    caller.abort();
    settled(&host).await;
    let answer = json(host.book(Some("k"), "{}").send().await.unwrap()).await;

    assert_eq!(answer["ok"], true);
    assert_eq!(backend.seen().len(), 1);
}

/// Guards against a keyed request that runs without a claim, and against an outage of the platform
/// that stops other requests.
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
    assert_eq!(backend.seen().len(), 2);
}

/// Guards against a claim whose write took effect without an answer, and that is taken for lost or
/// for another's.
#[tokio::test]
async fn a_claim_without_an_answer_is_read_back() {
    let (backend, host) = start([]).await;
    host.platform.push_faults([Some(Fault::AnswerLost)]);

    let answer = host.book(Some("k"), "{}").send().await.unwrap();

    assert_eq!(answer.status(), 200);
    assert_eq!(backend.seen().len(), 1);
}

/// Guards against a request that is refused as not run and yet runs, and against a claim that
/// blocks its key for ever.
#[tokio::test]
async fn a_claim_that_can_not_be_read_back_is_withdrawn() {
    let (backend, host) = start([]).await;
    // The claim takes effect, and the read-back does not get through.
    let faults = [Fault::AnswerLost, Fault::Unavailable];
    host.platform.push_faults(faults.map(Some));

    let first = code(host.book(Some("k"), "{}")).await;
    host.platform.set_down(true);
    let meanwhile = code(host.book(Some("k"), "{}")).await;
    host.platform.set_down(false);
    let before = backend.seen().len();
    settled(&host).await;
    let after = host.book(Some("k"), "{}").send().await.unwrap();

    assert_eq!((first, meanwhile, before), (406, 406, 0));
    assert_eq!(after.status(), 200);
    assert_eq!(backend.seen().len(), 1);
}

/// Guards against an outcome that is lost because the platform was away when it was stored.
#[tokio::test]
async fn an_outcome_is_stored_when_the_platform_is_back() {
    let (backend, host) = start([]).await;
    host.platform
        .push_faults([None, Some(Fault::AnswerLost), Some(Fault::Unavailable)]);

    let first = json(host.book(Some("k"), "{}").send().await.unwrap()).await;
    settled(&host).await;
    let second = json(host.book(Some("k"), "{}").send().await.unwrap()).await;

    assert_eq!(first, second);
    assert_eq!(backend.seen().len(), 1);
}

/// Guards against a key that stays used though its request was not run.
#[tokio::test]
async fn a_request_that_was_not_run_frees_its_key() {
    let (backend, host) = start([Act::Leave]).await;

    let refused = code(host.book(Some("k"), "{}")).await;
    settled(&host).await;
    let again = host.book(Some("k"), "{}").send().await.unwrap();

    assert_eq!(refused, 303);
    assert_eq!(again.status(), 200);
    assert_eq!(backend.seen().len(), 2);
}

/// Guards against a claimed stream whose cut is stored as its answer.
#[tokio::test]
async fn a_claimed_stream_is_kept_only_when_it_is_complete() {
    let (backend, host) = start([Act::Events(2), Act::Break(2)]).await;
    let draft = |key: &str| {
        let req = host.post("/v1/chat/completions", fixture::chat("once", true));
        req.header("idempotency-key", key.to_owned())
    };

    let first = draft("k1").send().await.unwrap().text().await.unwrap();
    let cut = code(draft("k2")).await;
    settled(&host).await;
    let again = draft("k1").send().await.unwrap();
    let unknown = code(draft("k2")).await;

    assert_eq!(again.headers()["content-type"], "text/event-stream");
    assert_eq!(first, "data: 0\n\ndata: 1\n\ndata: [DONE]\n\n");
    assert_eq!(first, again.text().await.unwrap());
    assert_eq!((cut, unknown, backend.seen().len()), (506, 405, 2));
}

/// Guards against finished claims that fill the platform, and against a sweep that forgets a
/// request whose outcome is unknown.
#[tokio::test]
async fn a_sweep_deletes_finished_claims_after_the_retention() {
    let (_backend, host) = start([Act::Complete, Act::Cut]).await;
    host.book(Some("done"), "{}").send().await.unwrap();
    host.book(Some("unknown"), "{}").send().await.unwrap();
    settled(&host).await;
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
