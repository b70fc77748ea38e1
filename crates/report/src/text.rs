//! Formatting of a report.

use std::fmt;

use serde_json::{Value, json};

use crate::facts::DeploymentStatus;

/// Maximum number of lines of a report.
pub const MAX_LINES: usize = 12;

/// Maximum number of columns of a line.
pub const MAX_COLUMNS: usize = 40;

/// Maximum number of refusal codes in a report; the counters contain all of them.
const MAX_CODES: usize = 3;

/// Short report for an operator.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    ok: bool,
    lines: Vec<String>,
    facts: DeploymentStatus,
}

/// Problem of a deployment.
struct Problem {
    /// Text for the first line.
    summary: String,
    /// Text for a line of its own.
    detail: String,
}

impl Report {
    /// Creates the report of a deployment.
    #[must_use]
    pub fn new(facts: &DeploymentStatus) -> Self {
        let problems = problems(facts);
        let status = status(facts);
        let mut lines = Vec::with_capacity(MAX_LINES);
        lines.push(match problems.first() {
            None => "OK".to_owned(),
            Some(first) => format!("NOT OK: {}", first.summary),
        });
        let max_lines = MAX_LINES - lines.len() - status.len();
        lines.extend(details(&problems, max_lines));
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

    /// Returns whether the deployment has no problems.
    #[must_use]
    pub fn is_ok(&self) -> bool {
        self.ok
    }

    /// Returns the lines; the first tells whether the deployment has problems.
    #[must_use]
    pub fn lines(&self) -> &[String] {
        &self.lines
    }

    /// Returns the status and the lines as JSON.
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

/// Returns the problems, the most severe first.
fn problems(facts: &DeploymentStatus) -> Vec<Problem> {
    let checks = [
        no_version(facts),
        list_problem("model", "unreachable", &facts.unreachable_models),
        list_problem("backend server", "dead", &facts.dead_backends),
        list_problem("entry host", "silent", &facts.silent_hosts),
        list_problem("data centre", "cut off", &facts.unreachable_data_centres),
        platform_unavailable(facts),
        below_floor(facts),
        list_problem("host", "behind", &facts.outdated_hosts),
        list_problem("data centre", "uncontrolled", &facts.no_controller),
        list_problem("backend server", "leaving", &facts.leaving_backends),
    ];
    checks.into_iter().flatten().collect()
}

fn no_version(facts: &DeploymentStatus) -> Option<Problem> {
    facts.version.is_none().then(|| Problem {
        summary: "no configuration".to_owned(),
        detail: "apply a file".to_owned(),
    })
}

fn platform_unavailable(facts: &DeploymentStatus) -> Option<Problem> {
    facts.platform_unavailable.then(|| Problem {
        summary: "platform unavailable".to_owned(),
        detail: "no apply, keyed calls or moves now".to_owned(),
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
            summary: format!("{} below floor", pluralize(count, "model")),
            detail: join("low:", names),
        }
    })
}

fn list_problem<T: fmt::Display>(noun: &str, state: &str, names: &[T]) -> Option<Problem> {
    (!names.is_empty()).then(|| Problem {
        summary: format!("{} {state}", pluralize(names.len(), noun)),
        detail: join(&format!("{state}:"), names.iter().map(T::to_string)),
    })
}

/// Returns the details of the problems in at most `max_lines` lines. If they do not all fit, the
/// last line counts the others.
fn details(problems: &[Problem], max_lines: usize) -> Vec<String> {
    let mut lines: Vec<String> = problems.iter().map(|p| p.detail.clone()).collect();
    if lines.len() > max_lines {
        let hidden = lines.len() - max_lines + 1;
        lines.truncate(max_lines - 1);
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

fn pluralize(count: usize, noun: &str) -> String {
    if count == 1 {
        format!("1 {noun}")
    } else {
        format!("{count} {noun}s")
    }
}

/// Appends as many names to `prefix` as fit on a line, and the number of the others.
fn join(prefix: &str, names: impl Iterator<Item = String>) -> String {
    const SUFFIX_LEN: usize = " +999".len();
    let names: Vec<String> = names.collect();
    let mut line = prefix.to_owned();
    for (i, name) in names.iter().enumerate() {
        let last = i + 1 == names.len();
        let max_len = if last {
            MAX_COLUMNS
        } else {
            MAX_COLUMNS - SUFFIX_LEN
        };
        if i > 0 && line.len() + 1 + name.len() > max_len {
            let rest = names.len() - i;
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
