//! Behaviour of the router, tested event by event.

mod announcements;
mod configuration;
mod crashing_parts;
mod crashing_requests;
mod first_token;
mod fixture;
mod fleet;
mod memory;
mod probes;
mod properties;
mod queueing;
mod retries;
mod selection;
mod suspects;
mod takeover;
mod unreachable;
