//! Order and pace in which a host tells the others of crashes.
//!
//! Every host tells all others what it had in flight at a crash. When many servers crash at once, the
//! datagrams of all hosts together would fill slow links, and everything else on these would wait.

use route::{CrashReport, CrashUpdate, ResponseReport};
use types::{Deadline, Instant, Micros};

use crate::datagram::{MAX_RESPONSES, crash_report_bytes};

/// Bytes a second in which a host sends reports. As many arrive at each host on average: a fifth of
/// the slowest link, which has 10 Mbit/s.
const BYTES_PER_S: u64 = 250_000;

/// Bytes of the headers of Ethernet, IP and UDP.
const HEADER_BYTES: u64 = 46;

/// Bytes of reports that are taken for one datagram.
const TARGET_BYTES: usize = 1_200;

/// Time for which reports are collected before the first is sent, as several requests fail in one crash.
const BATCH_TIME: Micros = Micros::from_millis(5);

/// Time for which a report is sent again.
const REPEAT_TIME: Micros = Micros::from_millis(2_500);

/// Largest number of recipients that get each repeat.
const MAX_FULL_REPEATS: usize = 12;

/// Number of repeats over which the recipients are distributed if there are more.
const REPEAT_GROUPS: usize = 3;

/// Maximum number of reports of each kind that are sent again.
const MAX_RECENT_REPORTS: usize = 64;

/// Report with the time at which it was made.
#[derive(Clone, Debug)]
struct Stamped<T> {
    report: T,
    at: Instant,
}

/// Recipients of an update among the other hosts, in their order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Recipients {
    /// All other hosts.
    All,
    /// Each third one, from the given position on.
    Third(usize),
}

impl Recipients {
    /// Returns the recipients among the other hosts.
    #[must_use]
    pub fn of<T: Clone>(self, others: &[T]) -> Vec<T> {
        match self {
            Self::All => others.to_vec(),
            Self::Third(first) => {
                let thirds = others.iter().skip(first).step_by(REPEAT_GROUPS);
                thirds.cloned().collect()
            }
        }
    }
}

/// Reports that wait to be sent, or to be sent again.
#[derive(Debug)]
pub struct CrashOutbox {
    crashes: Vec<Stamped<CrashReport>>,
    responses: Vec<Stamped<ResponseReport>>,
    recent_crashes: Vec<Stamped<CrashReport>>,
    recent_responses: Vec<Stamped<ResponseReport>>,
    /// Repeats that wait, and their recipients.
    repeats: Vec<(Stamped<CrashReport>, Recipients)>,
    repeated_responses: Vec<(Stamped<ResponseReport>, Recipients)>,
    /// Number of the next repeat.
    repeat: usize,
    may_send_at: Deadline,
}

impl Default for CrashOutbox {
    fn default() -> Self {
        Self {
            crashes: Vec::new(),
            responses: Vec::new(),
            recent_crashes: Vec::new(),
            recent_responses: Vec::new(),
            repeats: Vec::new(),
            repeated_responses: Vec::new(),
            repeat: 0,
            may_send_at: Deadline::at(Instant::ZERO),
        }
    }
}

impl CrashOutbox {
    /// Adds the reports of an update.
    pub fn push(&mut self, now: Instant, update: CrashUpdate) {
        if !self.has_waiting() {
            self.may_send_at = self.may_send_at.max(Deadline::after(now, BATCH_TIME));
        }
        let crashes = update.crashes.into_iter();
        self.crashes
            .extend(crashes.map(|report| Stamped { report, at: now }));
        let responses = update.responses.into_iter();
        self.responses
            .extend(responses.map(|report| Stamped { report, at: now }));
    }

    /// Prepares to send recent reports again, unless earlier repeats still wait.
    ///
    /// Of many hosts each gets one repeat of a report.
    pub fn repeat(&mut self, now: Instant, others: usize) {
        if self.has_repeats() {
            return;
        }
        let is_recent = |at: Instant| !Deadline::after(at, REPEAT_TIME).is_past(now);
        self.recent_crashes.retain(|sent| is_recent(sent.at));
        self.recent_responses.retain(|sent| is_recent(sent.at));
        let recipients = if others <= MAX_FULL_REPEATS {
            Recipients::All
        } else {
            Recipients::Third(self.repeat % REPEAT_GROUPS)
        };
        self.repeat += 1;
        let crashes = self.recent_crashes.iter().cloned();
        self.repeats = crashes.map(|sent| (sent, recipients)).collect();
        let responses = self.recent_responses.iter().cloned();
        self.repeated_responses = responses.map(|sent| (sent, recipients)).collect();
    }

    fn has_repeats(&self) -> bool {
        !self.repeats.is_empty() || !self.repeated_responses.is_empty()
    }

    fn has_waiting(&self) -> bool {
        !self.crashes.is_empty() || !self.responses.is_empty() || self.has_repeats()
    }

    /// Returns the time from which on the next update may be sent, if one waits.
    #[must_use]
    pub fn next_send_at(&self) -> Option<Deadline> {
        self.has_waiting().then_some(self.may_send_at)
    }

    /// Takes the next update, of about one datagram for each kind of report. Reports that were not sent
    /// yet precede repeats.
    pub fn pop(&mut self, now: Instant) -> Option<(CrashUpdate, Recipients)> {
        if !self.crashes.is_empty() || !self.responses.is_empty() {
            let crashes = take_crashes(&mut self.crashes, |sent| &sent.report);
            let len = self.responses.len().min(MAX_RESPONSES);
            let responses: Vec<_> = self.responses.drain(..len).collect();
            let update = update(now, &crashes, &responses);
            keep_recent(&mut self.recent_crashes, crashes);
            keep_recent(&mut self.recent_responses, responses);
            return Some((update, Recipients::All));
        }
        let first = self.repeats.first().map(|(_, to)| *to);
        let recipients = first.or_else(|| self.repeated_responses.first().map(|(_, to)| *to))?;
        let crashes = take_crashes(&mut self.repeats, |(sent, _)| &sent.report);
        let crashes: Vec<_> = crashes.into_iter().map(|(sent, _)| sent).collect();
        let len = self.repeated_responses.len().min(MAX_RESPONSES);
        let responses = self.repeated_responses.drain(..len);
        let responses: Vec<_> = responses.map(|(sent, _)| sent).collect();
        Some((update(now, &crashes, &responses), recipients))
    }

    /// Records that a number of datagrams with a number of bytes were sent.
    pub fn record_sent(&mut self, now: Instant, datagrams: usize, bytes: usize) {
        let headers = (datagrams as u64).saturating_mul(HEADER_BYTES);
        let total = headers.saturating_add(bytes as u64);
        let time = Micros::new(total.saturating_mul(1_000_000) / BYTES_PER_S);
        self.may_send_at = Deadline::after(now, time);
    }
}

/// Takes the first reports, as many as fit in a datagram, and at least one.
fn take_crashes<T>(waiting: &mut Vec<T>, report: impl Fn(&T) -> &CrashReport) -> Vec<T> {
    let mut bytes = 0;
    let fits = |waiting: &&T| {
        bytes += crash_report_bytes(report(waiting));
        bytes <= TARGET_BYTES
    };
    let len = waiting.iter().take_while(fits).count();
    let len = len.max(1).min(waiting.len());
    waiting.drain(..len).collect()
}

/// Returns an update with the reports and their present ages.
fn update(
    now: Instant,
    crashes: &[Stamped<CrashReport>],
    responses: &[Stamped<ResponseReport>],
) -> CrashUpdate {
    let crashes = crashes.iter().map(|sent| CrashReport {
        age: aged(sent.report.age, now.since(sent.at)),
        ..sent.report.clone()
    });
    let responses = responses.iter().map(|sent| ResponseReport {
        age: aged(sent.report.age, now.since(sent.at)),
        ..sent.report
    });
    CrashUpdate {
        crashes: crashes.collect(),
        responses: responses.collect(),
        blocked: Vec::new(),
    }
}

fn aged(age: Micros, waited: Micros) -> Micros {
    Micros::new(age.get().saturating_add(waited.get()))
}

fn keep_recent<T>(recent: &mut Vec<Stamped<T>>, sent: Vec<Stamped<T>>) {
    recent.extend(sent);
    let excess = recent.len().saturating_sub(MAX_RECENT_REPORTS);
    recent.drain(..excess);
}
