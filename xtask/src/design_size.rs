//! Generates a deployment file of the design size for measurements.

use std::fmt::Write;

const DATA_CENTRES: usize = 13;

const REGIONS: usize = 4;

const WORKERS: usize = 1_400;

const MODELS: usize = 1_300;

const ADAPTERS: usize = 3_400;

const HEAD: &str = r#"
name = "design-size"
objective = { attainment = 1.0, moves = 0.1 }
limits.body = "2 MiB"
limits.headers = "16 KiB"
limits.queue = 512
limits.weight_store_slots = 26
limits.weight_store_rate = "18/s"
limits.adapter_loads = 208
limits.claim_retention = "24 h"
services = [
    { name = "chat", kind = "model", priority = 1, deadline = "20 s", max_deadline = "120 s", first_token = "490 ms", between_tokens = "26 ms" },
]
callers = []
"#;

/// Returns the deployment file. Only the first model has `model_version`, so that a new version
/// changes a single entry.
pub(crate) fn file(model_version: u32) -> String {
    let mut text = HEAD.to_owned();
    list(&mut text, "data_centres", DATA_CENTRES, |i| {
        format!(r#"name = "dc-{i:02}", region = "region-{}""#, i % REGIONS)
    });
    list(&mut text, "models", MODELS, |i| {
        let version = if i == 0 { model_version } else { 1 };
        let bytes = 10 + i % 40;
        format!(
            r#"name = "model-{i:04}", version = "{version}", service = "chat", bytes = "{bytes} GiB", priority = {}"#,
            i % 4
        )
    });
    list(&mut text, "adapters", ADAPTERS, |i| {
        let model = i % MODELS;
        format!(
            r#"name = "adapter-{i:04}", version = "1", model = "model-{model:04}", bytes = "256 MiB", priority = 1"#
        )
    });
    list(&mut text, "backends", WORKERS, |i| {
        let dc = i % DATA_CENTRES;
        let speed = 1 + i % 4;
        format!(
            r#"name = "w-{i:04}", data_centre = "dc-{dc:02}", service = "chat", memory = "160 GiB", adapter_pool = "8 GiB", accelerators = 2, speed = {speed}.0, max_in_flight = 48"#
        )
    });
    text
}

fn list(text: &mut String, key: &str, len: usize, entry: impl Fn(usize) -> String) {
    // Writing to a `String` cannot fail.
    let _ = writeln!(text, "{key} = [");
    for i in 0..len {
        let _ = writeln!(text, "    {{ {} }},", entry(i));
    }
    let _ = writeln!(text, "]");
}
