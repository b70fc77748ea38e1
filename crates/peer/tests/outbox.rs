//! Order and pace of reports of crashes.

use peer::{CrashOutbox, Datagram, Recipients};
use route::{CrashReport, CrashUpdate, Suspect};
use types::{HostId, Incarnation, Instant, Micros, PromptPart};

/// Number of other hosts of a large installation.
const OTHERS: usize = 69;

/// A fifth of the slowest link of large installations, in bytes a second.
const SHARE_OF_SLOWEST_LINK: usize = 250_000;

fn host() -> HostId {
    "front-amman-c-11".parse().expect("a name")
}

fn report(number: usize) -> CrashReport {
    let part = |at: usize| Suspect::Part(PromptPart::new((number * 4 + at) as u64));
    CrashReport {
        backend: format!("i-{number:010}").parse().expect("a name"),
        incarnation: Incarnation::new(1),
        age: Micros::ZERO,
        suspects: (0..4).map(part).collect(),
    }
}

fn crashes(numbers: impl Iterator<Item = usize>) -> CrashUpdate {
    CrashUpdate {
        crashes: numbers.map(report).collect(),
        ..CrashUpdate::default()
    }
}

const fn at(millis: u64) -> Instant {
    Instant::from_micros(millis * 1_000)
}

/// Sends what may be sent until a time; returns the updates and the number of bytes to all recipients.
fn drain(outbox: &mut CrashOutbox, until: Instant) -> (Vec<(CrashUpdate, Recipients)>, usize) {
    let (mut sent, mut total) = (Vec::new(), 0);
    let hosts = [(); OTHERS];
    while let Some(now) = outbox.next_send_at().filter(|next| next.is_past(until)) {
        let now = now.instant();
        let (update, to) = outbox.pop(now).expect("an update that waits");
        let recipients = to.of(&hosts).len();
        let datagrams = Datagram::crash_updates(&host(), &update);
        let bytes = datagrams
            .iter()
            .map(|d| bincode::serialized_size(d).expect("a size"));
        let bytes = usize::try_from(bytes.sum::<u64>()).expect("a size") * recipients;
        outbox.record_sent(now, datagrams.len() * recipients, bytes);
        total += bytes;
        sent.push((update, to));
    }
    (sent, total)
}

fn reports(sent: &[(CrashUpdate, Recipients)]) -> Vec<CrashReport> {
    sent.iter()
        .flat_map(|(update, _)| update.crashes.clone())
        .collect()
}

/// Guards against reports of many crashes that fill slow links, so that cancellations of requests and all else
/// on them arrive late.
#[test]
fn reports_of_many_crashes_take_a_fifth_of_the_slowest_link() {
    let mut outbox = CrashOutbox::default();
    outbox.push(at(0), crashes(0..93));

    for second in 1..=6 {
        for tick in 0..2 {
            outbox.repeat(at((second - 1) * 1_000 + tick * 500), OTHERS);
        }
        let (_, bytes) = drain(&mut outbox, at(second * 1_000));

        // The datagram that is under way at the beginning of a second counts in full.
        assert!(
            bytes <= SHARE_OF_SLOWEST_LINK + OTHERS * 1_400,
            "{second} s: {bytes}"
        );
    }
}

/// Guards against a single crash that the other hosts learn of late because its report waits for a pace.
#[test]
fn the_report_of_a_single_crash_is_sent_at_once() {
    let mut outbox = CrashOutbox::default();
    outbox.push(at(0), crashes(0..1));

    let (sent, _) = drain(&mut outbox, at(5));

    let expected = CrashReport {
        age: Micros::from_millis(5),
        ..report(0)
    };
    assert_eq!(reports(&sent), [expected]);
    assert_eq!(sent[0].1, Recipients::All);
}

/// Guards against reports that are lost, or told with the age that they had before they waited.
#[test]
fn each_report_is_sent_with_its_age() {
    let mut outbox = CrashOutbox::default();
    outbox.push(at(0), crashes(0..93));

    let (sent, _) = drain(&mut outbox, at(10_000));

    let sent = reports(&sent);
    let backends = |all: &[CrashReport]| all.iter().map(|r| r.backend.clone()).collect::<Vec<_>>();
    assert_eq!(backends(&sent), backends(&crashes(0..93).crashes));
    let last = sent.last().expect("a report");
    assert!(last.age >= Micros::from_millis(1_000), "{:?}", last.age);
}

/// Guards against hosts of a large installation that never get the repeat of a report.
#[test]
fn each_of_many_hosts_gets_one_repeat() {
    let hosts: Vec<usize> = (0..OTHERS).collect();
    let mut outbox = CrashOutbox::default();
    outbox.push(at(0), crashes(0..1));
    drain(&mut outbox, at(100));

    let mut repeated: Vec<usize> = Vec::new();
    for tick in 1..=3 {
        outbox.repeat(at(tick * 700), OTHERS);
        let (sent, _) = drain(&mut outbox, at(tick * 700 + 600));
        repeated.extend(sent.iter().flat_map(|(_, to)| to.of(&hosts)));
    }

    repeated.sort_unstable();
    assert_eq!(repeated, hosts);
}

/// Guards against small installations in which a lost report is not repeated to each host.
#[test]
fn each_of_few_hosts_gets_every_repeat() {
    let mut outbox = CrashOutbox::default();
    outbox.push(at(0), crashes(0..1));
    drain(&mut outbox, at(100));

    outbox.repeat(at(700), 6);
    let (sent, _) = drain(&mut outbox, at(1_000));

    assert_eq!(sent.len(), 1);
    assert_eq!(sent[0].1, Recipients::All);
}

/// Guards against a datagram for each of many reports, whose headers take more than the reports.
#[test]
fn several_reports_share_a_datagram() {
    let datagrams = Datagram::crash_updates(&host(), &crashes(0..20));

    assert!(datagrams.len() <= 3, "{}", datagrams.len());
    for datagram in &datagrams {
        assert!(bincode::serialized_size(datagram).expect("a size") <= 1_400);
    }
}
