//! Development tasks: demo, test, bench and ci.

fn main() {}
