//! Parsing of numbers with a unit.

use crate::error::{Error, Result};

/// Splits `"1.5 GiB"` into the number and the factor of its unit.
pub(crate) fn parse(s: &str, expected: &'static str, units: &[(&str, f64)]) -> Result<(f64, f64)> {
    let syntax = || Error::syntax(expected, s);
    let unit_start = s
        .find(|c: char| !c.is_ascii_digit() && c != '.')
        .ok_or_else(syntax)?;
    let (number, unit) = s.split_at(unit_start);
    let unit = unit.trim();
    let factor = units
        .iter()
        .find(|(name, _)| *name == unit)
        .map(|(_, factor)| *factor)
        .ok_or_else(syntax)?;
    let number = number.parse().map_err(|_e| syntax())?;
    Ok((number, factor))
}

/// Rounds a quantity to a whole number of its base unit, after checking its range.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the range is checked before the cast"
)]
pub(crate) fn round(value: f64, quantity: &'static str, found: &str) -> Result<u64> {
    if value.is_finite() && (0.0..9e15).contains(&value) {
        Ok(value.round() as u64)
    } else {
        Err(Error::range(quantity, found))
    }
}
