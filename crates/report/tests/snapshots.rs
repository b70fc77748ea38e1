//! Snapshots of the report of a healthy deployment and of each kind of problem.
//!
//! They guard against a report that hides a problem or exceeds the size of a phone screen.

use report::{DeploymentStatus, MAX_COLUMNS, MAX_LINES, ModelCopies, Report};

fn healthy() -> DeploymentStatus {
    let mut facts = DeploymentStatus::new("te-awa");
    facts.version = Some("12".parse().unwrap());
    facts.hosts = (7, 7);
    facts.backends = (16, 16);
    facts.models = 25;
    facts.in_time = (1192, 1204);
    facts.refusals = vec![(302, 9), (301, 3)];
    facts.retries = 4;
    facts.moves = (50, 2);
    facts
}

fn ids<T: std::str::FromStr<Err = types::Error>>(names: &[&str]) -> Vec<T> {
    names.iter().map(|n| n.parse().unwrap()).collect()
}

fn snapshot(name: &str, change: impl FnOnce(&mut DeploymentStatus)) {
    let mut facts = healthy();
    change(&mut facts);
    let report = Report::new(&facts);
    assert!(report.lines().len() <= MAX_LINES);
    assert!(
        report
            .lines()
            .iter()
            .all(|l| l.chars().count() <= MAX_COLUMNS)
    );
    insta::assert_snapshot!(name, report.to_string());
}

#[test]
fn healthy_report() {
    snapshot("healthy", |_| {});
}

#[test]
fn no_requests_yet() {
    snapshot("no_requests", |f| {
        f.in_time = (0, 0);
        f.refusals.clear();
    });
}

#[test]
fn no_configuration() {
    snapshot("no_configuration", |f| f.version = None);
}

#[test]
fn unreachable_models() {
    snapshot("unreachable_models", |f| {
        f.unreachable_models = ids(&["wear-photo-large", "regrind-sheet"]);
    });
}

#[test]
fn dead_backend_and_low_floor() {
    snapshot("dead_backend", |f| {
        f.backends.0 = 15;
        f.dead_backends = ids(&["w03"]);
        f.below_floor = (1..=9)
            .map(|n| ModelCopies {
                model: format!("m{n:02}").parse().unwrap(),
                ready: 1,
                floor: 2,
            })
            .collect();
    });
}

#[test]
fn silent_host_is_named() {
    snapshot("silent_host", |f| {
        f.hosts.0 = 6;
        f.silent_hosts = ids(&["e5"]);
    });
}

#[test]
fn cut_off_from_platform_and_data_centres() {
    snapshot("cut_off", |f| {
        f.platform_unavailable = true;
        f.unreachable_data_centres = ids(&["dc-b", "dc-c", "dc-d"]);
        f.no_controller = ids(&["dc-a"]);
    });
}

#[test]
fn stragglers_and_leaving() {
    snapshot("stragglers", |f| {
        f.outdated_hosts = ids(&["e1", "e4"]);
        f.leaving_backends = ids(&["w11"]);
        f.draining = true;
    });
}

#[test]
fn everything_at_once_still_fits() {
    snapshot("everything", |f| {
        f.version = None;
        f.unreachable_models = ids(&["a-model-with-a-very-long-name-that-fills-the-line"]);
        f.dead_backends = ids(&["w01", "w02", "w03", "w04", "w05", "w06", "w07", "w08"]);
        f.silent_hosts = ids(&["e1"]);
        f.unreachable_data_centres = ids(&["dc-b"]);
        f.platform_unavailable = true;
        f.outdated_hosts = ids(&["e2"]);
        f.no_controller = ids(&["dc-a"]);
        f.leaving_backends = ids(&["w09"]);
        f.draining = true;
    });
}
