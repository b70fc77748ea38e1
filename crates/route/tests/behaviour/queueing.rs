//! Admission queue and early refusal.

use config::Priority;
use types::{Code, Deadline, Micros, RequestId};

use crate::fixture::{Host, LIMIT, LOCAL};

/// Fills all capacity and returns the running requests.
fn fill(host: &mut Host) -> Vec<RequestId> {
    let places = LOCAL.len() * LIMIT as usize;
    (0..places).map(|_| host.send(|_| {})).collect()
}

fn in_millis(host: &Host, millis: u64) -> Deadline {
    Deadline::after(host.now, Micros::from_millis(millis))
}

/// Returns the order in which four queued requests are served: (priority, deadline in ms).
fn served_order(ordered: bool) -> Vec<usize> {
    let mut host = Host::new(|cfg| cfg.ordered_queue = ordered);
    let running = fill(&mut host);
    let kinds = [(2, 4_000), (1, 9_000), (1, 5_000), (0, 9_000)];
    let waiting: Vec<_> = kinds
        .map(|(priority, millis)| {
            let deadline = in_millis(&host, millis);
            host.send(|t| {
                t.priority = Priority::new(priority);
                t.deadline = deadline;
            })
        })
        .into();
    let mut order = Vec::new();
    for id in running.into_iter().take(4) {
        host.finish(id);
        let next = host.dispatched()[0].0;
        order.extend(waiting.iter().position(|w| *w == next));
    }
    order
}

/// Under load, requests must not be served in the order of arrival.
#[test]
fn priority_then_deadline_decides_who_is_served() {
    assert_eq!(served_order(true), [3, 2, 1, 0]);
}

#[test]
fn without_order_the_first_to_arrive_is_served_first() {
    assert_eq!(served_order(false), [0, 1, 2, 3]);
}

/// The queue is bounded, and the request of lower rank is refused.
#[test]
fn a_full_queue_refuses_the_request_of_lowest_rank() {
    let mut host = Host::new(|_| {});
    fill(&mut host);
    let waiting: Vec<_> = (0..8).map(|_| host.send(|_| {})).collect();
    let last = host.send(|_| {});
    assert_eq!(host.refused(), [(last, Code::QueueFull)]);
    host.send(|t| t.priority = Priority::new(0));
    assert_eq!(host.refused(), [(waiting[7], Code::QueueFull)]);
    assert_eq!(host.router.queue_len(), 8);
}

/// No work is spent on requests that cannot finish in time.
#[test]
fn an_unreachable_deadline_is_refused_at_once() {
    let mut host = Host::new(|_| {});
    let deadline = in_millis(&host, 100);
    let unservable = host.send(|t| {
        t.output_tokens = 5_000;
        t.deadline = deadline;
    });
    assert_eq!(host.refused(), [(unservable, Code::DeadlineUnreachable)]);
}

#[test]
fn without_early_refusal_unservable_requests_are_dispatched() {
    let mut host = Host::new(|cfg| cfg.early_refusal = false);
    let deadline = in_millis(&host, 100);
    host.send(|t| {
        t.output_tokens = 5_000;
        t.deadline = deadline;
    });
    assert_eq!(host.dispatched().len(), 1);
}

/// Requests must not wait beyond their deadline.
#[test]
fn an_expired_request_is_refused_by_the_next_tick() {
    let mut host = Host::new(|cfg| cfg.early_refusal = false);
    fill(&mut host);
    let deadline = in_millis(&host, 300);
    let late = host.send(|t| t.deadline = deadline);
    host.advance(299);
    assert!(host.refused().is_empty());
    host.advance(1);
    assert_eq!(host.refused(), [(late, Code::DeadlineUnreachable)]);
}

/// Starvation must be visible in the counters.
#[test]
fn a_starved_request_is_counted() {
    let mut host = Host::new(|cfg| cfg.early_refusal = false);
    let running = fill(&mut host);
    let deadline = in_millis(&host, 300);
    host.send(|t| {
        t.priority = Priority::new(3);
        t.deadline = deadline;
    });
    host.send(|t| t.priority = Priority::new(0));
    host.finish(running[0]);
    host.advance(400);
    assert_eq!(host.router.counts().starved, 1);
}

/// A cancelled request must not keep its place in the queue.
#[test]
fn a_cancelled_request_leaves_queue_and_server() {
    let mut host = Host::new(|_| {});
    let running = fill(&mut host);
    let waiting = host.send(|_| {});
    let second = host.send(|_| {});
    host.step(route::Event::Cancel(waiting));
    assert_eq!(host.router.queue_len(), 1);
    host.step(route::Event::Cancel(running[0]));
    assert_eq!(host.dispatched()[0].0, second);
}
