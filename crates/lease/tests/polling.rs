//! Candidates that rarely read the lease object.

use lease::{Action, Checks, Event, Lease, Params, Record};
use types::{AttemptId, Epoch, Instant, Micros};

const DURATION: Micros = Micros::from_millis(2_500);
const POLL_INTERVAL: Micros = Micros::from_secs(4);

fn candidate() -> Lease<u64> {
    Lease::new(Params {
        host: "h2".parse().expect("a valid name"),
        process: AttemptId::new(2),
        duration: DURATION,
        poll_interval: POLL_INTERVAL,
        predecessors_ended: false,
        checks: Checks::default(),
    })
}

fn record_with(renewal: u64) -> Record {
    Record {
        holder: Some("h1".parse().expect("a valid name")),
        epoch: Epoch::new(1),
        duration: DURATION,
        process: AttemptId::new(1),
        renewal,
    }
}

/// Runs a candidate for a minute against a holder that renews once a second, or never.
///
/// Returns the number of its reads and writes.
fn run(renews: bool) -> (usize, usize) {
    let mut lease = candidate();
    let (mut reads, mut writes) = (0, 0);
    for millis in (0..60_000).step_by(100) {
        let now = Instant::from_micros(millis * 1_000);
        let mut pending = vec![Event::Tick];
        while let Some(ev) = pending.pop() {
            let mut out = Vec::new();
            lease.step(now, ev, &mut out);
            let renewal = if renews { millis / 1_000 } else { 0 };
            for action in out {
                pending.push(if action == Action::Read {
                    reads += 1;
                    Event::Read(Some((record_with(renewal), renewal)))
                } else {
                    writes += 1;
                    Event::Refused
                });
            }
        }
    }
    (reads, writes)
}

/// Guards against writes of candidates that miss the renewals between two reads: with 70 hosts,
/// such writes were most of the calls to the platform.
#[test]
fn a_candidate_that_rarely_reads_does_not_write_while_the_holder_renews() {
    let (reads, writes) = run(true);

    assert_eq!(writes, 0);
    assert!(reads <= 16, "{reads}");
}

/// Guards against a candidate that never takes over from a holder that has stopped.
#[test]
fn a_candidate_acquires_the_lease_after_two_reads_a_duration_apart_without_a_renewal() {
    let (_, writes) = run(false);

    assert!(writes > 0);
}
