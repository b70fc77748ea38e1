//! Responses to callers when backend servers fail, and protection from running requests twice.

mod fixture;

use std::sync::atomic::Ordering;

use fixture::{Backend, Host, backend::Behaviour, code, json};
use route::{Event, Liveness};
use types::RetryReason;

/// Guards against forwarding a mismatched, truncated or failed response, and against retries
/// counted under the wrong reason.
#[tokio::test]
async fn an_idempotent_request_is_answered_by_another_server() {
    let cases = [
        (Behaviour::Close, RetryReason::ConnectionLost),
        (Behaviour::Crash, RetryReason::Crash),
        (Behaviour::Truncate, RetryReason::Truncated),
        (Behaviour::WrongId, RetryReason::Mismatch),
        (Behaviour::Leaving, RetryReason::Leaving),
        (Behaviour::Status(503), RetryReason::Refused),
        (Behaviour::Status(404), RetryReason::NotResident),
    ];
    for (act, reason) in cases {
        let (bad, good) = (Backend::start([act]).await, Backend::start([]).await);
        let host = Host::start(&[&bad, &good]).await;
        let answer = json(host.chat(false).send().await.unwrap()).await;

        assert_eq!(answer["ok"], true, "{act:?}");
        let retries: Vec<_> = host.gate.counters().retries().collect();
        assert_eq!(retries, [(reason, 1)], "{act:?}");
        let crashed = host.script.count(|ev| matches!(ev, Event::Crashed { .. }));
        assert_eq!(crashed, usize::from(act == Behaviour::Crash), "{act:?}");
    }
}

/// Guards against running a booking twice when the router requests a retry, and against a "not run"
/// code for a request that may have run.
#[tokio::test]
async fn a_non_idempotent_request_is_dispatched_once() {
    let cases = [
        (Behaviour::Close, 502, 1),
        (Behaviour::Crash, 503, 1),
        (Behaviour::Truncate, 506, 1),
        (Behaviour::WrongId, 505, 1),
        (Behaviour::Hang, 504, 1),
        (Behaviour::Leaving, 303, 2),
    ];
    for (act, expected, dispatches) in cases {
        let backend = Backend::start([act, Behaviour::Leaving]).await;
        let host = Host::start(&[&backend, &backend]).await;

        let limit = if act == Behaviour::Hang {
            "1500"
        } else {
            "10000"
        };
        let req = host.book(None, "{}").header("x-deadline-ms", limit);

        assert_eq!(code(req).await, expected, "{act:?}");
        assert_eq!(backend.received().len(), dispatches, "{act:?}");
    }
}

/// Guards against a truncated stream that appears complete.
#[tokio::test]
async fn a_cut_stream_is_resumed_or_ends_with_an_error_event() {
    for act in [Behaviour::CloseAfter(2), Behaviour::OmitFinalEvent(2)] {
        let backend =
            Backend::start([act, Behaviour::Events(4), act, Behaviour::Status(404)]).await;
        let resumed = Host::start(&[&backend, &backend]).await;
        let lost = Host::start(&[&backend, &backend]).await;

        let whole = resumed
            .chat(true)
            .send()
            .await
            .unwrap()
            .text()
            .await
            .unwrap();
        let cut = lost.chat(true).send().await.unwrap().text().await.unwrap();

        let events = "data: 0\n\ndata: 1\n\ndata: 2\n\ndata: 3\n\ndata: [DONE]\n\n";
        assert_eq!(whole, events);
        assert!(
            cut.starts_with("data: 0\n\ndata: 1\n\nevent: error\n"),
            "{cut}"
        );
        assert!(
            cut.contains(r#""code":507"#) && !cut.contains("[DONE]"),
            "{cut}"
        );
        assert_eq!(lost.refusals().len(), 1);
    }
}

/// Guards against not retrying a stream that fails before its first event.
#[tokio::test]
async fn a_stream_without_an_event_is_retried_or_refused() {
    let backend = Backend::start([
        Behaviour::CloseAfter(0),
        Behaviour::Events(1),
        Behaviour::CloseAfter(0),
    ])
    .await;
    let host = Host::start(&[&backend, &backend]).await;
    let single = Host::start(&[&backend]).await;

    let whole = host.chat(true).send().await.unwrap().text().await.unwrap();
    let refused = code(single.chat(true)).await;

    assert_eq!(whole, "data: 0\n\ndata: [DONE]\n\n");
    assert!(
        backend
            .received()
            .iter()
            .all(|s| s.path == "/v1/chat/completions")
    );
    assert_eq!(refused, 506);
}

/// Guards against a truncated large response that appears complete.
#[tokio::test]
async fn a_large_truncated_response_is_visibly_cut() {
    let backend = Backend::start([
        Behaviour::Large { complete: true },
        Behaviour::Large { complete: false },
    ]);
    let backend = backend.await;
    let host = Host::start(&[&backend]).await;

    let whole = host.get("/services/bookings/export").send().await.unwrap();
    let whole = whole.bytes().await.unwrap();
    let cut = host.get("/services/bookings/export").send().await.unwrap();

    assert_eq!(whole.len(), 6 << 20);
    assert!(
        cut.bytes().await.is_err(),
        "the cut is an error at the caller"
    );
}

/// Guards against continuing work for callers that have disconnected.
#[tokio::test]
async fn a_caller_that_leaves_cancels_its_stream() {
    let backend = Backend::start([Behaviour::Stall, Behaviour::Hang]).await;
    let host = Host::start(&[&backend]).await;

    let mut stream = host.chat(true).send().await.unwrap();
    assert_eq!(stream.chunk().await.unwrap().unwrap(), "data: 0\n\n");
    drop(stream);
    while backend.state.dropped.load(Ordering::SeqCst) == 0 {
        tokio::task::yield_now().await;
    }
    let waiting = tokio::spawn(host.chat(false).send());
    while backend.received().len() < 2 {
        tokio::task::yield_now().await;
    }
    waiting.abort();
    while host.gate.dispatcher().in_flight() > 0 {
        tokio::task::yield_now().await;
    }

    assert_eq!(host.script.count(|ev| matches!(ev, Event::Cancel(_))), 2);
}

/// Guards against a stream that continues past the deadline.
#[tokio::test]
async fn a_stalled_stream_ends_at_the_deadline() {
    let backend = Backend::start([Behaviour::Stall]).await;
    let host = Host::start(&[&backend]).await;

    let req = host.chat(true).header("x-deadline-ms", "1000");
    let text = req.send().await.unwrap().text().await.unwrap();

    assert!(
        text.contains("event: error") && text.contains(r#""code":504"#),
        "{text}"
    );
    assert!(!text.contains("[DONE]"));
}

/// Guards against a planned stop that counts as a crash, for which the requests in flight are suspected.
#[tokio::test]
async fn the_end_of_a_leaving_server_is_no_crash() {
    for (leaving, reason) in [
        (false, RetryReason::Crash),
        (true, RetryReason::ConnectionLost),
    ] {
        let backend = Backend::start([Behaviour::Complete, Behaviour::Crash]).await;
        let host = Host::start(&[&backend]).await;
        host.chat(false).send().await.unwrap();
        if leaving {
            host.gate.dispatcher().feed(Event::Liveness {
                backend: "b1".parse().unwrap(),
                liveness: Liveness::Leaving,
            });
        }

        code(host.chat(false)).await;

        let failed =
            |ev: &Event| matches!(ev, Event::Failed { failure, .. } if failure.reason == reason);
        let crashed = |ev: &Event| matches!(ev, Event::Crashed { .. });
        assert_eq!(host.script.count(failed), 1, "leaving: {leaving}");
        assert_eq!(host.script.count(crashed), usize::from(!leaving));
    }
}
