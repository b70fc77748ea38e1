//! Text of a report.

use std::fmt;

use serde_json::{Value, json};

use crate::facts::DeploymentStatus;

/// Lines of a report at most.
pub const MAX_LINES: usize = 12;

/// Columns of a line at most.
pub const MAX_COLUMNS: usize = 40;

/// Refusal codes that a report names; the counters hold the rest.
const MAX_CODES: usize = 3;

/// Short report for an operator.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    ok: bool,
    lines: Vec<String>,
    facts: DeploymentStatus,
}

/// Something that does not hold: the first line says what, the second why.
struct Problem {
    what: String,
    why: String,
}

impl Report {
    /// Writes the report of some facts.
    #[must_use]
    pub fn new(facts: &DeploymentStatus) -> Self {
        let problems = problems(facts);
        let status = status(facts);
        let mut lines = Vec::with_capacity(MAX_LINES);
        lines.push(match problems.first() {
            None => "OK".to_owned(),
            Some(first) => format!("NOT OK: {}", first.what),
        });
        let room = MAX_LINES - lines.len() - status.len();
        lines.extend(reasons(&problems, room));
        lines.extend(status);
        for line in &mut lines {
            truncate(line);
        }
        Self {
            ok: problems.is_empty(),
            lines,
            facts: facts.clone(),
        }
    }

    /// Tells whether the intended state holds.
    #[must_use]
    pub fn is_ok(&self) -> bool {
        self.ok
    }

    /// Returns the lines, the first of which says whether the intended state holds.
    #[must_use]
    pub fn lines(&self) -> &[String] {
        &self.lines
    }

    /// Returns the facts and the lines as JSON.
    #[must_use]
    pub fn json(&self) -> Value {
        json!({ "ok": self.ok, "lines": self.lines, "facts": self.facts })
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.lines.iter().try_for_each(|line| writeln!(f, "{line}"))
    }
}

/// Returns what does not hold, the gravest first.
fn problems(facts: &DeploymentStatus) -> Vec<Problem> {
    let checks = [
        no_version(facts),
        listed("model", "unreachable", &facts.unreachable_models),
        listed("backend server", "dead", &facts.dead_backends),
        listed("entry host", "silent", &facts.silent_hosts),
        listed("data centre", "cut off", &facts.unreachable_data_centres),
        platform_away(facts),
        below_floor(facts),
        listed("host", "behind", &facts.outdated_hosts),
        listed("data centre", "uncontrolled", &facts.no_controller),
        listed("backend server", "leaving", &facts.leaving_backends),
    ];
    checks.into_iter().flatten().collect()
}

fn no_version(facts: &DeploymentStatus) -> Option<Problem> {
    facts.version.is_none().then(|| Problem {
        what: "no configuration".to_owned(),
        why: "apply a file".to_owned(),
    })
}

fn platform_away(facts: &DeploymentStatus) -> Option<Problem> {
    facts.platform_unavailable.then(|| Problem {
        what: "platform unavailable".to_owned(),
        why: "no apply, keyed calls or moves now".to_owned(),
    })
}

fn below_floor(facts: &DeploymentStatus) -> Option<Problem> {
    let count = facts.below_floor.len();
    (count > 0).then(|| {
        let names = facts
            .below_floor
            .iter()
            .map(|m| format!("{} {}/{}", m.model, m.ready, m.floor));
        Problem {
            what: format!("{} below floor", counted(count, "model")),
            why: join("low:", names),
        }
    })
}

fn listed<T: fmt::Display>(noun: &str, state: &str, names: &[T]) -> Option<Problem> {
    (!names.is_empty()).then(|| Problem {
        what: format!("{} {state}", counted(names.len(), noun)),
        why: join(&format!("{state}:"), names.iter().map(T::to_string)),
    })
}

/// Fills the lines between the first and the status: each reason, then what else does not hold.
fn reasons(problems: &[Problem], room: usize) -> Vec<String> {
    let mut lines: Vec<String> = problems.iter().map(|p| p.why.clone()).collect();
    if lines.len() > room {
        let hidden = lines.len() - room + 1;
        lines.truncate(room - 1);
        lines.push(format!("and {hidden} more, see the JSON report"));
    }
    lines
}

fn status(facts: &DeploymentStatus) -> Vec<String> {
    let version = facts
        .version
        .map_or_else(|| "no version".to_owned(), |v| format!("v{v}"));
    let (live, known) = facts.hosts;
    let (live_backends, backends) = facts.backends;
    let models = facts.models;
    let reachable = u64::from(models).saturating_sub(facts.unreachable_models.len() as u64);
    let mut lines = vec![
        format!("{} {version}, hosts {live}/{known}", facts.deployment),
        format!("servers {live_backends}/{backends}, models {reachable}/{models}"),
        in_time(facts),
        refusals(facts),
        format!("moves: {} loads, {} unloads", facts.moves.0, facts.moves.1),
    ];
    if facts.draining {
        lines.push("this host is shutting down".to_owned());
    }
    lines
}

fn in_time(facts: &DeploymentStatus) -> String {
    let (in_time, ended) = facts.in_time;
    if ended == 0 {
        return "in time: no requests here yet".to_owned();
    }
    let percent = in_time as f64 * 100.0 / ended as f64;
    format!("in time here: {percent:.1}% of {ended}")
}

fn refusals(facts: &DeploymentStatus) -> String {
    let total: u64 = facts.refusals.iter().map(|(_, count)| count).sum();
    if total == 0 {
        return format!("refused here: 0, retries {}", facts.retries);
    }
    let codes = facts
        .refusals
        .iter()
        .take(MAX_CODES)
        .map(|(code, count)| format!("{code}x{count}"));
    join(&format!("refused here: {total}:"), codes)
}

fn counted(count: usize, noun: &str) -> String {
    if count == 1 {
        format!("1 {noun}")
    } else {
        format!("{count} {noun}s")
    }
}

/// Joins names as far as they fit a line and counts the rest.
fn join(head: &str, names: impl Iterator<Item = String>) -> String {
    const REST: usize = " +999".len();
    let names: Vec<String> = names.collect();
    let mut line = head.to_owned();
    for (at, name) in names.iter().enumerate() {
        let last = at + 1 == names.len();
        let room = if last {
            MAX_COLUMNS
        } else {
            MAX_COLUMNS - REST
        };
        if at > 0 && line.len() + 1 + name.len() > room {
            let rest = names.len() - at;
            return format!("{line} +{rest}");
        }
        line.push(' ');
        line.push_str(name);
    }
    line
}

fn truncate(line: &mut String) {
    if line.chars().count() > MAX_COLUMNS {
        let kept: String = line.chars().take(MAX_COLUMNS - 1).collect();
        *line = format!("{kept}~");
    }
}
