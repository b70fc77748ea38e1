//! Behaviour of the router, driven event by event.

mod choice;
mod first_token;
mod fixture;
mod memory;
mod properties;
mod queueing;
mod retries;
mod suspects;
