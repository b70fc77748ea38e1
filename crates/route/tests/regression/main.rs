//! Regression tests, one file for each fault.

#[expect(dead_code, reason = "the fixture serves more tests than these")]
#[path = "../behaviour/fixture.rs"]
mod fixture;
mod foreign_registration;
mod late_suspect_record;
mod new_incarnation;
