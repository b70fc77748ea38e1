//! Behaviour of the floor and of placement rounds.

mod fixture;
mod floor;
mod properties;
mod rounds;
