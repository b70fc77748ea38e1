//! Layouts from deployment files, and the small file of the tests.

use serde_json::json;
use toml::{Table, Value};
use types::Bytes;

use super::cluster::{Backend, Layout};

/// Bearer token of the caller in [`small`].
pub const CALLER_TOKEN: &str = "caller-token";

/// Time between tokens of the slowest engine, in microseconds.
const SLOWEST_TOKEN_US: f64 = 2_000.0;

/// Returns a deployment file with two data centres, three engines and two booking servers.
#[must_use]
pub fn small() -> String {
    let hash = blake3::hash(CALLER_TOKEN.as_bytes()).to_hex();
    format!("{SMALL}callers = [{{ name = \"tester\", token_hash = \"{hash}\", {CALLER}\n")
}

const CALLER: &str = r#"services = ["chat", "bookings"], max_in_flight = 128 }]"#;

const SMALL: &str = r#"
name = "small"
objective = { attainment = 1.0, moves = 0.1 }
limits.body = "1 MiB"
limits.headers = "16 KiB"
limits.queue = 256
limits.weight_store_slots = 2
limits.weight_store_rate = "50/s"
limits.adapter_loads = 8
limits.claim_retention = "1 h"
data_centres = [
    { name = "north", region = "r" },
    { name = "south", region = "r" },
]
services = [
    { name = "chat", kind = "model", priority = 1, deadline = "20 s", max_deadline = "60 s", first_token = "490 ms", between_tokens = "26 ms" },
    { name = "bookings", kind = "plain", priority = 0, deadline = "10 s", max_deadline = "30 s", idempotent = false },
]
models = [
    { name = "alpha", version = "1", service = "chat", bytes = "20 GiB", priority = 0 },
    { name = "beta", version = "1", service = "chat", bytes = "20 GiB", priority = 1 },
    { name = "gamma", version = "1", service = "chat", bytes = "30 GiB", priority = 1 },
]
adapters = [
    { name = "alpha-depot", version = "1", model = "alpha", bytes = "1 GiB", priority = 1 },
    { name = "beta-depot", version = "1", model = "beta", bytes = "1 GiB", priority = 1 },
]
backends = [
    { name = "w-north-1", data_centre = "north", service = "chat", memory = "64 GiB", adapter_pool = "4 GiB", accelerators = 1, speed = 1.0, max_in_flight = 16 },
    { name = "w-north-2", data_centre = "north", service = "chat", memory = "64 GiB", adapter_pool = "4 GiB", accelerators = 1, speed = 2.0, max_in_flight = 16, fences = true },
    { name = "w-south-1", data_centre = "south", service = "chat", memory = "96 GiB", adapter_pool = "4 GiB", accelerators = 2, speed = 2.0, max_in_flight = 32, fences = true },
    { name = "bookings-1", data_centre = "north", service = "bookings", max_in_flight = 32 },
    { name = "bookings-2", data_centre = "south", service = "bookings", max_in_flight = 32 },
]
"#;

impl Layout {
    /// Returns the layout of a deployment file, with entry hosts dealt to its data centres in turn.
    ///
    /// # Panics
    /// When the text is no deployment file.
    #[must_use]
    pub fn of(text: &str, hosts: usize, token: &str) -> Self {
        let file: Table = text.parse().expect("a deployment file");
        let dcs: Vec<&str> = tables(&file, "data_centres").map(name).collect();
        let host = |i: usize| {
            let dc = dcs[i % dcs.len()];
            (format!("e-{dc}-{}", i / dcs.len() + 1), dc.to_owned())
        };
        Self {
            hosts: (0..hosts).map(host).collect(),
            backends: tables(&file, "backends").map(backend).collect(),
            token: token.to_owned(),
            default_timing: false,
        }
    }

    /// Returns the layout of [`small`] with three entry hosts, two of them in the north.
    #[must_use]
    pub fn small() -> Self {
        Self::of(&small(), 3, CALLER_TOKEN)
    }
}

fn tables<'a>(file: &'a Table, key: &str) -> impl Iterator<Item = &'a Table> {
    let list = file.get(key).and_then(Value::as_array);
    list.into_iter().flatten().filter_map(Value::as_table)
}

fn name(table: &Table) -> &str {
    table["name"].as_str().expect("a name")
}

fn backend(table: &Table) -> Backend {
    let dc = table["data_centre"].as_str().expect("a data centre");
    let memory = table.get("memory").and_then(Value::as_str);
    let memory = memory.map(|memory| memory.parse::<Bytes>().expect("a size"));
    let speed = table.get("speed").and_then(Value::as_float).unwrap_or(1.0);
    let fences = table.get("fences").and_then(Value::as_bool);
    let engine = memory.map(|memory| {
        json!({
            "memory": memory.get(),
            "slots": table["max_in_flight"].as_integer(),
            "enforce": fences.unwrap_or_default(),
            "token_us": token_us(speed),
        })
    });
    Backend {
        name: name(table).to_owned(),
        dc: dc.to_owned(),
        engine,
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the speed of a deployment file is positive"
)]
fn token_us(speed: f64) -> u64 {
    (SLOWEST_TOKEN_US / speed).round() as u64
}
