//! Splits JSON texts into parts that are decoded one by one.
//!
//! A decoder of a whole text fails at its first malformed value. Where the parts of a text come from
//! different writers, that value must not hide the parts of the others.

use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu};

/// Error of decoding a field of a [`RawObject`].
#[derive(Debug, Snafu)]
pub enum FieldError {
    /// The text is no object.
    #[snafu(display("not a JSON object"))]
    NoObject,
    /// The object has no such field.
    #[snafu(display("missing field `{name}`"))]
    Missing {
        /// Name of the field.
        name: &'static str,
    },
    /// The object has several such fields.
    #[snafu(display("duplicate field `{name}`"))]
    Duplicate {
        /// Name of the field.
        name: &'static str,
    },
    /// The value of the field can't be decoded.
    #[snafu(display("invalid field `{name}`: {source}"))]
    Invalid {
        /// Name of the field.
        name: &'static str,
        /// Cause.
        source: serde_json::Error,
    },
}

/// JSON object whose fields are not decoded yet.
///
/// The text is checked for its brackets, quotes, colons and commas only, and without recursion.
/// Names of fields must be written without escape sequences.
#[derive(Clone, Debug, Default)]
pub struct RawObject<'a> {
    fields: Vec<(&'a [u8], &'a [u8])>,
}

impl<'a> RawObject<'a> {
    /// Splits the text of an object into its fields.
    ///
    /// # Errors
    /// Fails if the text is not an object.
    pub fn parse(text: &'a [u8]) -> Result<Self, FieldError> {
        let (object, rest) = Self::parse_leading(text);
        match rest {
            Some(rest) if rest.trim_ascii().is_empty() => Ok(object),
            _ => Err(FieldError::NoObject),
        }
    }

    /// Splits the beginning of a text, up to its first fault, into fields.
    ///
    /// The value of the last field goes on to the end of the text if it is not well-formed.
    #[must_use]
    pub fn leading(text: &'a [u8]) -> Self {
        Self::parse_leading(text).0
    }

    /// Returns the fields, and the text after the object unless the object is not well-formed.
    fn parse_leading(text: &'a [u8]) -> (Self, Option<&'a [u8]>) {
        let mut object = Self::default();
        let Some(mut rest) = strip_byte(text, b'{') else {
            return (object, None);
        };
        if let Some(after) = strip_byte(rest, b'}') {
            return (object, Some(after));
        }
        while let Some((name, value)) = split_name(rest) {
            let Some(end) = value_end(value) else {
                object.fields.push((name, value));
                return (object, None);
            };
            object.fields.push((name, &value[..end]));
            if let Some(after) = strip_byte(&value[end..], b'}') {
                return (object, Some(after));
            }
            match strip_byte(&value[end..], b',') {
                Some(next) => rest = next,
                None => return (object, None),
            }
        }
        (object, None)
    }

    /// Splits the text after a field into the further fields of its object.
    pub(crate) fn parse_fields(text: &'a [u8]) -> Result<Self, FieldError> {
        let mut object = Self::default();
        let mut rest = text;
        while let Some(next) = strip_byte(rest, b',') {
            let (name, value) = split_name(next).ok_or(FieldError::NoObject)?;
            let end = value_end(value).ok_or(FieldError::NoObject)?;
            object.push(name, &value[..end]);
            rest = &value[end..];
        }
        match strip_byte(rest, b'}') {
            Some(after) if after.trim_ascii().is_empty() => Ok(object),
            _ => Err(FieldError::NoObject),
        }
    }

    /// Appends a field.
    pub(crate) fn push(&mut self, name: &'a [u8], value: &'a [u8]) {
        self.fields.push((name, value));
    }

    /// Returns the fields of this object and those of another one.
    pub(crate) fn joined(mut self, other: Self) -> Self {
        self.fields.extend(other.fields);
        self
    }

    /// Returns the text of a field.
    ///
    /// # Errors
    /// Fails if the object has no or several fields of this name.
    pub fn raw(&self, name: &'static str) -> Result<&'a [u8], FieldError> {
        let mut found = self.fields.iter().filter(|(n, _)| *n == name.as_bytes());
        let (_, value) = found.next().ok_or(FieldError::Missing { name })?;
        match found.next() {
            None => Ok(value),
            Some(_) => Err(FieldError::Duplicate { name }),
        }
    }

    /// Decodes a field.
    ///
    /// # Errors
    /// Fails as [`raw`](Self::raw), and if the value is not of the type.
    pub fn get<T: DeserializeOwned>(&self, name: &'static str) -> Result<T, FieldError> {
        serde_json::from_slice(self.raw(name)?).context(InvalidSnafu { name })
    }

    /// Splits a field whose value is an object.
    ///
    /// # Errors
    /// Fails as [`raw`](Self::raw), and if the value is no object.
    pub fn object(&self, name: &'static str) -> Result<Self, FieldError> {
        Self::parse(self.raw(name)?)
    }

    /// Splits the beginning of a field's value into fields, as [`leading`](Self::leading).
    ///
    /// # Errors
    /// Fails as [`raw`](Self::raw).
    pub fn leading_object(&self, name: &'static str) -> Result<Self, FieldError> {
        self.raw(name).map(Self::leading)
    }
}

/// Splits the text of an array into the texts of its items, or returns `None` if it is no array.
///
/// ```
/// assert_eq!(store::split_array(b"[1,[2,3]]"), Some(vec![&b"1"[..], b"[2,3]"]));
/// assert_eq!(store::split_array(b"[]"), Some(vec![]));
/// assert_eq!(store::split_array(b"[1"), None);
/// ```
#[must_use]
pub fn split_array(text: &[u8]) -> Option<Vec<&[u8]>> {
    let mut items = Vec::new();
    let mut rest = strip_byte(text, b'[')?;
    if let Some(after) = strip_byte(rest, b']') {
        return after.trim_ascii().is_empty().then_some(items);
    }
    loop {
        rest = rest.trim_ascii_start();
        let end = value_end(rest)?;
        items.push(&rest[..end]);
        if let Some(after) = strip_byte(&rest[end..], b']') {
            return after.trim_ascii().is_empty().then_some(items);
        }
        rest = strip_byte(&rest[end..], b',')?;
    }
}

/// Returns the text after a byte that follows white space.
pub(crate) fn strip_byte(text: &[u8], byte: u8) -> Option<&[u8]> {
    text.trim_ascii_start().strip_prefix(&[byte])
}

/// Splits the text of a field into its name, without quotes, and the text that begins with its
/// value.
pub(crate) fn split_name(text: &[u8]) -> Option<(&[u8], &[u8])> {
    let text = text.trim_ascii_start();
    if text.first() != Some(&b'"') {
        return None;
    }
    let end = string_end(text, 0)?;
    let value = strip_byte(&text[end + 1..], b':')?;
    Some((&text[1..end], value.trim_ascii_start()))
}

/// Part of a value that may come next.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Expected {
    Value,
    /// A value, or the end of the array.
    ValueOrEnd,
    Name,
    /// The name of a field, or the end of the object.
    NameOrEnd,
    Colon,
    /// A comma, or the end of the array or object.
    CommaOrEnd,
}

/// Returns the length of the value that a text begins with, or `None` if it is not well-formed.
///
/// The open brackets are kept on the heap, so that deep nesting can't exhaust the stack.
pub(crate) fn value_end(text: &[u8]) -> Option<usize> {
    let mut open = Vec::new();
    let mut expected = Expected::Value;
    let mut at = 0;
    loop {
        let byte = *text.get(at)?;
        let mut end = at + 1;
        expected = match (expected, byte) {
            (_, b' ' | b'\t' | b'\r' | b'\n') => expected,
            (Expected::Colon, b':') => Expected::Value,
            (Expected::Name | Expected::NameOrEnd, b'"') => {
                end = string_end(text, at)? + 1;
                Expected::Colon
            }
            (Expected::CommaOrEnd, b',') => match open.last()? {
                b'{' => Expected::Name,
                _ => Expected::Value,
            },
            (Expected::CommaOrEnd | Expected::NameOrEnd, b'}') => {
                open.pop().filter(|bracket| *bracket == b'{')?;
                Expected::CommaOrEnd
            }
            (Expected::CommaOrEnd | Expected::ValueOrEnd, b']') => {
                open.pop().filter(|bracket| *bracket == b'[')?;
                Expected::CommaOrEnd
            }
            (Expected::Value | Expected::ValueOrEnd, b'{') => {
                open.push(byte);
                Expected::NameOrEnd
            }
            (Expected::Value | Expected::ValueOrEnd, b'[') => {
                open.push(byte);
                Expected::ValueOrEnd
            }
            (Expected::Value | Expected::ValueOrEnd, b'"') => {
                end = string_end(text, at)? + 1;
                Expected::CommaOrEnd
            }
            (Expected::Value | Expected::ValueOrEnd, _) => {
                end = scalar_end(text, at)?;
                Expected::CommaOrEnd
            }
            _ => return None,
        };
        at = end;
        if open.is_empty() && expected == Expected::CommaOrEnd {
            return Some(at);
        }
    }
}

/// Returns the position after the number or literal at a position, which is not checked.
fn scalar_end(text: &[u8], start: usize) -> Option<usize> {
    let is_structure = |byte: &u8| b"{}[]:,\" \t\r\n".contains(byte);
    let len = text[start..].iter().position(is_structure);
    let len = len.unwrap_or(text.len() - start);
    (len > 0).then_some(start + len)
}

/// Returns the position of the quote that ends the string whose first quote is at a position.
fn string_end(text: &[u8], start: usize) -> Option<usize> {
    let mut at = start + 1;
    loop {
        match text.get(at)? {
            b'"' => return Some(at),
            b'\\' => at += 2,
            _ => at += 1,
        }
    }
}
