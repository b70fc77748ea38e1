//! Faults of the deployment file.

use config::{Category, Deployment, Result};

const HEAD: &str = r#"
name = "small"
objective = { attainment = 1.0, moves = 0.1 }
limits.body = "1 MiB"
limits.headers = "16 KiB"
limits.queue = 256
limits.weight_store_slots = 2
limits.weight_store_rate = "1.4/s"
limits.adapter_loads = 8
limits.claim_retention = "1 h"
data_centres = [{ name = "north", region = "r" }]
services = [
    { name = "chat", kind = "model", deadline = "20 s", first_token = "490 ms", between_tokens = "26 ms" },
    { name = "bookings", kind = "plain", deadline = "10 s" },
]
backends = [
    { name = "w-1", data_centre = "north", service = "chat", memory = "40 GiB", adapter_pool = "2 GiB", accelerators = 1, max_in_flight = 16 },
]
"#;

fn check(rest: &str) -> Result<Deployment> {
    config::from_str(&format!("{HEAD}{rest}"))
}

fn faults(text: &str) -> Vec<String> {
    let err = config::from_str::<Deployment>(text).expect_err("the file has faults");
    assert_eq!(err.category(), Category::Invalid);
    err.faults().iter().map(ToString::to_string).collect()
}

fn faults_of(rest: &str) -> Vec<String> {
    let all = faults(&format!("{HEAD}{rest}"));
    let strip = |fault: &String| {
        fault
            .splitn(3, ':')
            .nth(2)
            .unwrap_or_default()
            .trim()
            .to_owned()
    };
    all.iter().map(strip).collect()
}

/// Guards against validation that stops at the first fault or reports the wrong line or field.
#[test]
fn all_faults_are_reported_in_one_run() {
    insta::assert_snapshot!(faults(include_str!("many-faults.toml")).join("\n"));
}

/// Guards against syntax errors that hide each other or cause further faults.
#[test]
fn syntax_errors_are_reported_with_their_lines() {
    let text = "name = \"a\"\nobjective = = 1\nlimits.queue = 1\nname = \"b\"\n";
    let found = faults(text);
    assert!(found.iter().all(|f| f.contains(": syntax: ")), "{found:?}");
    for line in ["input:2:", "input:4:"] {
        assert!(found.iter().any(|f| f.starts_with(line)), "{found:?}");
    }
}

/// Guards against silently ignoring a misspelt optional field.
#[test]
fn unknown_fields_are_faults_at_every_level() {
    for (rest, field) in [
        ("modells = []", "modells"),
        ("limits.quue = 1", "limits.quue"),
        (
            "callers = [{ name = \"c\", token_hash = \"x\", services = [], max_in_flight = 1, admin = true }]",
            "callers.c.admin",
        ),
    ] {
        let found = faults_of(rest);
        let expected = format!("{field}: unknown field");
        assert!(found.iter().any(|f| f.starts_with(&expected)), "{found:?}");
    }
}

/// Guards against accepting sizes, times and rates without a unit.
#[test]
fn values_without_a_known_unit_are_faults() {
    let model = |bytes: &str| {
        format!(
            "models = [{{ name = \"m\", version = \"1\", service = \"chat\", bytes = {bytes} }}]"
        )
    };
    check(&model("\"20 GiB\"")).unwrap();
    for bytes in [
        "\"20\"",
        "\"20 GB\"",
        "20",
        "\"-1 GiB\"",
        "\"0 GiB\"",
        "\"GiB\"",
        "\"1e99 GiB\"",
    ] {
        let found = faults_of(&model(bytes));
        assert!(
            found[0].starts_with("models.m.bytes: "),
            "{bytes}: {found:?}"
        );
    }
}

/// Guards against dangling references that would fail only on a host.
#[test]
fn every_kind_of_reference_is_checked() {
    let hash = "0".repeat(64);
    let cases = [
        (
            "models",
            r#"name = "m", version = "1", service = "nope", bytes = "1 GiB""#,
            "service",
        ),
        (
            "adapters",
            r#"name = "a", version = "1", model = "nope", bytes = "1 GiB""#,
            "model",
        ),
        (
            "callers",
            &format!(
                r#"name = "c", token_hash = "{hash}", services = ["nope"], max_in_flight = 1"#
            ),
            "services",
        ),
    ];
    for (list, entry, field) in cases {
        let found = faults_of(&format!("{list} = [{{ {entry} }}]"));
        let expected = format!("{field}: `nope` is not in the file");
        assert!(found.iter().any(|f| f.contains(&expected)), "{found:?}");
    }
    let text = HEAD.replace("data_centre = \"north\"", "data_centre = \"nope\"");
    assert!(faults(&text)[0].contains("backends.w-1.data_centre: `nope` is not in the file"));
    let text = HEAD.replace("service = \"chat\"", "service = \"nope\"");
    assert!(faults(&text)[0].contains("backends.w-1.service: `nope` is not in the file"));
}

/// Guards against a model and an adapter with the same name.
#[test]
fn models_and_adapters_share_one_namespace() {
    let found = faults_of(
        r#"
        models = [{ name = "m", version = "1", service = "chat", bytes = "1 GiB" }]
        adapters = [{ name = "m", version = "1", model = "m", bytes = "1 MiB" }]
        "#,
    );
    assert_eq!(found, ["adapters.m.name: a model has the same name"]);
}

/// Guards against accepting a file whose models do not fit in memory together.
#[test]
fn models_must_fit_the_memory() {
    let model = |name: &str, bytes: &str| {
        format!("{{ name = \"{name}\", version = \"1\", service = \"chat\", bytes = \"{bytes}\" }}")
    };
    let found = faults_of(&format!("models = [{}]", model("m", "39 GiB")));
    assert_eq!(
        found,
        ["models.m.bytes: 39 GiB exceeds the largest worker's 38 GiB"]
    );
    let two = [model("a", "20 GiB"), model("b", "20 GiB")].join(", ");
    let found = faults_of(&format!("models = [{two}]"));
    assert_eq!(
        found,
        [
            "models.b.bytes: the models of service chat exceed the 38 GiB of its workers from here on"
        ]
    );
}

/// Guards against reporting a faulty entry again as a dangling reference.
#[test]
fn a_faulty_entry_causes_no_further_faults() {
    let found = faults_of(
        r#"
        models = [{ name = "m", version = "1", service = "chat", bytes = "lots" }]
        adapters = [{ name = "a", version = "1", model = "m", bytes = "1 MiB" }]
        "#,
    );
    assert_eq!(
        found,
        ["models.m.bytes: expected a size such as `80 GiB`, found `lots`"]
    );
}

/// Guards against unsorted lists, in which binary search fails.
#[test]
fn lists_are_sorted_and_defaults_are_safe() {
    let d = check(
        r#"
        models = [
            { name = "z", version = "1", service = "chat", bytes = "1 GiB" },
            { name = "a", version = "1", service = "chat", bytes = "1 GiB" },
        ]
        "#,
    );
    let d = d.unwrap();
    assert!(d.models.is_sorted_by(|a, b| a.id < b.id));
    assert!(d.services.is_sorted_by(|a, b| a.name < b.name));
    assert!(
        !d.backends[0].fences,
        "an engine ignores the fencing token unless declared"
    );
    assert!(
        !d.services[0].idempotent,
        "a plain service's calls are not repeated"
    );
    assert!(d.services[1].idempotent);
}
