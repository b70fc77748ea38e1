//! Candidates that look at the lease seldom.

use lease::{Action, Checks, Event, Lease, Params, Record};
use types::{AttemptId, Epoch, Instant, Micros};

const DURATION: Micros = Micros::from_millis(2_500);
const SELDOM: Micros = Micros::from_secs(4);

fn candidate() -> Lease<u64> {
    Lease::new(Params {
        host: "h2".parse().expect("a name"),
        process: AttemptId::new(2),
        duration: DURATION,
        poll_interval: SELDOM,
        checks: Checks::default(),
    })
}

fn renewed(renewal: u64) -> Record {
    Record {
        holder: Some("h1".parse().expect("a name")),
        epoch: Epoch::new(1),
        duration: DURATION,
        process: AttemptId::new(1),
        renewal,
    }
}

/// Runs a candidate against a holder that renews once a second; returns its reads and writes.
fn run(renews: bool) -> (usize, usize) {
    let mut lease = candidate();
    let (mut reads, mut writes) = (0, 0);
    for millis in (0..60_000).step_by(100) {
        let now = Instant::from_micros(millis * 1_000);
        let mut todo = vec![Event::Tick];
        while let Some(ev) = todo.pop() {
            let mut out = Vec::new();
            lease.step(now, ev, &mut out);
            let renewal = if renews { millis / 1_000 } else { 0 };
            for action in out {
                todo.push(if action == Action::Read {
                    reads += 1;
                    Event::Read(Some((renewed(renewal), renewal)))
                } else {
                    writes += 1;
                    Event::Refused
                });
            }
        }
    }
    (reads, writes)
}

/// Guards against writes of hosts that do not know of renewals between two reads: on 70 hosts they
/// were most of the calls of the platform.
#[test]
fn a_candidate_that_reads_seldom_does_not_write_while_the_holder_renews() {
    let (reads, writes) = run(true);

    assert_eq!(writes, 0);
    assert!(reads <= 16, "{reads}");
}

#[test]
fn it_takes_over_once_two_reads_show_no_renewal_for_the_whole_duration() {
    let (_, writes) = run(false);

    assert!(writes > 0);
}
