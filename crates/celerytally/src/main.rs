//! Serves many models on fewer accelerators.

fn main() {}
