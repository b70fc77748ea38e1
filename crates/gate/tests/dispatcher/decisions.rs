//! Decisions of the router that arrive while an attempt goes on.

use std::sync::Arc;

use config::Priority;
use route::{Action, Event, Fingerprint, RequestOptions, RoutingRequest, Target};
use types::{Clock, Code, Deadline, Instant, Micros, Monotonic, RequestId};

use super::{Checks, Decision, Dispatcher, RequestHandle, StateMachine};
use crate::{counters::Counters, peers::NoPeers};

/// Router that dispatches each request and refuses it when its server is silent.
struct RefusesSilent;

impl StateMachine for RefusesSilent {
    fn step(&mut self, _now: Instant, ev: Event, out: &mut Vec<Action>) {
        match ev {
            Event::Arrive(request) => out.push(Action::Dispatch {
                id: request.id,
                backend: "b1".parse().expect("a name"),
                retry: None,
                first_byte: Micros::ZERO,
            }),
            Event::Stalled(id) => out.push(Action::Refuse {
                id,
                code: Code::Draining,
                retry_after: None,
            }),
            _ => {}
        }
    }
}

fn arrive() -> RequestHandle<RefusesSilent, NoPeers> {
    let clock = Monotonic::start();
    let request = RoutingRequest {
        id: RequestId::new(1),
        fingerprint: Fingerprint::new(1),
        service: "s1".parse().expect("a name"),
        target: Target::Plain,
        priority: Priority::new(1),
        deadline: Deadline::after(clock.now(), Micros::from_secs(5)),
        idempotent: true,
        prompt_tokens: 0,
        output_tokens: 0,
        prefixes: Vec::new(),
        forwarded: false,
        options: RequestOptions::default(),
    };
    let counters = Arc::new(Counters::register());
    let checks = Checks::default();
    Dispatcher::new(clock, RefusesSilent, NoPeers, counters, checks).arrive(request)
}

/// Guards against a request that gets neither a response nor a refusal until its deadline: the refusal was
/// read and dropped while its server was silent.
#[tokio::test(start_paused = true)]
async fn a_refusal_during_a_silent_attempt_is_kept_until_the_attempt_has_failed() {
    let mut handle = arrive();
    let dispatched = handle.decision().await;
    assert!(matches!(dispatched, Decision::Dispatch { .. }));

    assert_eq!(handle.stalled(), None);
    assert_eq!(handle.stalled(), None);
    let decided = tokio::time::timeout(Micros::from_secs(5).into(), handle.decision()).await;

    let refusal = Decision::Refuse {
        code: Code::Draining,
        retry_after: None,
    };
    assert_eq!(decided, Ok(refusal));
}
