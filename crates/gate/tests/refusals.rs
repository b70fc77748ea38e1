//! Invalid input is refused with the documented code and counted.

mod fixture;

use fixture::{Backend, Host, TestPeers, chat, code};
use gate::Counters;
use metrics_exporter_prometheus::PrometheusBuilder;
use reqwest::{Method, RequestBuilder};
use route::Event;
use store::MemPlatform;
use types::{Code, ExecutionStatus, RetryReason};

async fn check(host: &Host, cases: Vec<(RequestBuilder, Code)>) {
    for (req, expected) in cases {
        let before = host.gate.counters().refusals().map(|(_, n)| n).sum::<u64>();
        assert_eq!(code(req).await, u64::from(expected.number()), "{expected}");
        let counted: Vec<_> = host.gate.counters().refusals().collect();
        assert_eq!(counted.iter().map(|(_, n)| n).sum::<u64>(), before + 1);
        assert!(
            counted.iter().any(|(code, _)| *code == expected),
            "{expected}"
        );
    }
}

/// Guards against invalid input that reaches a backend server or is refused with an unspecific
/// code.
#[tokio::test]
async fn bad_input_is_refused_before_the_router() {
    let backend = Backend::start([]).await;
    let host = Host::start(&[&backend]).await;
    let chat_path = "/v1/chat/completions";
    let post = |body: &str| host.post(chat_path, body.to_owned());
    let cases = vec![
        (post("{"), Code::InvalidJson),
        (post("[]"), Code::InvalidField),
        (
            post(r#"{"messages": [{"role": "user"}]}"#),
            Code::InvalidField,
        ),
        (post(r#"{"model": "m1"}"#), Code::InvalidField),
        (
            post(r#"{"model": "m1", "messages": []}"#),
            Code::InvalidField,
        ),
        (
            post(r#"{"model": "m1", "messages": [{"role": "u"}], "stream": 1}"#),
            Code::InvalidField,
        ),
        (
            post(r#"{"model": "m1", "messages": [{"role": "u"}], "max_tokens": 0}"#),
            Code::InvalidField,
        ),
        (post(&chat("m9", false)), Code::UnknownModel),
        (host.post("/services/nope/x", ""), Code::UnknownService),
        (host.post("/services/sheets/x", ""), Code::UnknownPath),
        (host.get("/v2/anything"), Code::UnknownPath),
        (host.get(chat_path), Code::UnknownPath),
        (host.get("/"), Code::UnknownPath),
        (host.get("/%C3%A9//"), Code::UnknownPath),
        (
            host.post("/services/bookings/b", vec![b'x'; 65 << 10]),
            Code::BodyTooLarge,
        ),
        (
            host.chat(false).header("x-filler", "y".repeat(9 << 10)),
            Code::HeadersTooLarge,
        ),
        (
            host.chat(false).header("x-deadline-ms", "0"),
            Code::InvalidDeadline,
        ),
        (
            host.chat(false).header("x-deadline-ms", "soon"),
            Code::InvalidDeadline,
        ),
        (
            host.chat(false).header("x-deadline-ms", "99999999"),
            Code::InvalidDeadline,
        ),
        (host.book(Some(""), "{}"), Code::InvalidKey),
        (
            host.book(Some("k".repeat(256).as_str()), "{}"),
            Code::InvalidKey,
        ),
    ];

    check(&host, cases).await;

    assert!(backend.received().is_empty());
    assert_eq!(host.script.count(|ev| matches!(ev, Event::Arrive(_))), 0);
}

/// Guards against a chunked body that exceeds the limit.
#[tokio::test]
async fn a_chunked_body_is_limited() {
    let host = Host::start(&[]).await;
    let parts = futures::stream::iter([33 << 10; 2].map(|n| std::io::Result::Ok(vec![b'x'; n])));
    let req = host.post("/services/bookings/b", reqwest::Body::wrap_stream(parts));

    check(&host, vec![(req, Code::BodyTooLarge)]).await;
}

/// Guards against callers, hosts and operators impersonating one another.
#[tokio::test]
async fn tokens_are_checked() {
    let host = Host::start(&[]).await;
    let models = || host.anonymous(Method::GET, "/v1/models");
    let as_depot = host
        .anonymous(Method::POST, "/v1/completions")
        .bearer_auth("depot-token");
    let hop = |req: RequestBuilder, n: &str| req.header("x-celerytally-hop", n.to_owned());
    let cases = vec![
        (models(), Code::Unauthenticated),
        (models().bearer_auth("wrong"), Code::Unauthenticated),
        (
            models().header("authorization", "Basic shop-token"),
            Code::Unauthenticated,
        ),
        (models().bearer_auth("host-token"), Code::Unauthenticated),
        (
            hop(models().bearer_auth("host-token"), "1"),
            Code::Unauthenticated,
        ),
        (hop(models().bearer_auth("host-token"), "2"), Code::HopLimit),
        (
            as_depot.body(r#"{"model": "m1", "prompt": "x"}"#),
            Code::Forbidden,
        ),
        (
            host.anonymous(Method::GET, "/metrics"),
            Code::Unauthenticated,
        ),
        (
            host.anonymous(Method::GET, "/report?json"),
            Code::Unauthenticated,
        ),
    ];

    check(&host, cases).await;
    let short = host.anonymous(Method::GET, "/report").send().await.unwrap();
    let full = host
        .anonymous(Method::GET, "/report?format=json")
        .bearer_auth("operator-token");
    let metrics = host
        .anonymous(Method::GET, "/metrics")
        .bearer_auth("operator-token");

    assert_eq!(short.text().await.unwrap(), "OK\n");
    assert_eq!(full.send().await.unwrap().status(), 200);
    assert_eq!(metrics.send().await.unwrap().status(), 200);
}

/// Guards against one caller using all capacity of a host.
#[tokio::test]
async fn a_caller_is_limited_in_flight() {
    let host = Host::start(&[]).await;
    host.script.hold();
    let as_one = || {
        let req = host.anonymous(Method::POST, "/v1/chat/completions");
        req.bearer_auth("one-token").body(chat("m1", false))
    };
    let waiting = tokio::spawn(as_one().send());
    while host.gate.dispatcher().in_flight() == 0 {
        tokio::task::yield_now().await;
    }

    check(&host, vec![(as_one(), Code::TooManyRequests)]).await;
    waiting.abort();
}

/// Guards against a host that reports ready or serves requests without a configuration.
#[tokio::test]
async fn a_host_without_configuration_is_not_ready() {
    let host = Host::unconfigured(TestPeers::default(), &[], MemPlatform::new()).await;
    let ready = || host.anonymous(Method::GET, "/readyz").send();

    let before = ready().await.unwrap().status();
    assert_eq!(host.refusals(), [], "a probe is no refused request");
    check(&host, vec![(host.chat(false), Code::NotReady)]).await;
    host.gate
        .dispatcher()
        .feed(Event::Config(fixture::active_config()));

    assert_eq!(
        (before.as_u16(), ready().await.unwrap().status().as_u16()),
        (503, 200)
    );
    assert_eq!(
        host.anonymous(Method::GET, "/livez")
            .send()
            .await
            .unwrap()
            .status(),
        200
    );
}

/// Guards against losing the code or suggested delay of a router refusal.
#[tokio::test]
async fn a_refusal_of_the_router_reaches_the_caller() {
    let host = Host::start(&[]).await;

    let answer = host.chat(false).send().await.unwrap();

    assert_eq!(answer.status(), 503);
    assert_eq!(answer.headers()["retry-after"], "3");
    let error = &fixture::json(answer).await["error"];
    assert_eq!(error["type"], "no_backend");
    assert_eq!(error["ran"], ExecutionStatus::No.to_string());
    assert_eq!(error["resend"], true);
}

/// Guards against queueing a request past its deadline.
#[tokio::test]
async fn a_request_that_waits_to_its_deadline_is_refused_as_not_run() {
    let host = Host::start(&[]).await;
    host.script.hold();
    let req = host.chat(false).header("x-deadline-ms", "50");

    check(&host, vec![(req, Code::DeadlineUnreachable)]).await;

    assert_eq!(host.script.count(|ev| matches!(ev, Event::Cancel(_))), 1);
}

/// Guards against alerts on counters that do not exist before their first increment.
#[tokio::test]
async fn every_counter_exists_at_zero() {
    let recorder = PrometheusBuilder::new().build_recorder();
    let handle = recorder.handle();

    let counters = metrics::with_local_recorder(&recorder, Counters::register);

    assert_eq!(counters.refusals().count(), 0);
    let text = handle.render();
    for code in Code::ALL {
        let line = format!("celerytally_refusals_total{{code=\"{}\"}} 0", code.label());
        assert!(text.contains(&line), "{line}");
    }
    for reason in RetryReason::ALL {
        let line = format!(
            "celerytally_retries_total{{reason=\"{}\"}} 0",
            reason.label()
        );
        assert!(text.contains(&line), "{line}");
    }
    assert!(text.contains("celerytally_requests_total 0"));
    assert!(text.contains("celerytally_requests_in_time_total 0"));
}
