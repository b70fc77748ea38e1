//! Behaviour of the router, driven event by event.

mod choice;
mod first_token;
mod fixture;
mod memory;
mod properties;
mod queueing;
mod reach;
mod retries;
mod suspects;
