//! One file for each fault that was found.

#[expect(dead_code, reason = "the fixture serves more tests than these")]
#[path = "../behaviour/fixture.rs"]
mod fixture;
mod late_mark;
