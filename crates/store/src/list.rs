//! Splits lists whose items come from different writers.

use crate::json::{FieldError, RawObject, split_array, split_name, strip_byte, value_end};

/// JSON object with an array whose items are not decoded yet.
///
/// Brackets or quotes of an item that do not match would make the text as a whole malformed. The
/// items of such a text are found by the name of their first field, so that only that item is lost.
#[derive(Clone, Debug)]
pub struct RawList<'a> {
    fields: RawObject<'a>,
    items: Vec<&'a [u8]>,
}

impl<'a> RawList<'a> {
    /// Splits the text of an object, and an array in one of its fields.
    ///
    /// The server that joins the items writes one of the given names first in each of them. If items begin
    /// with several of the names, the first one of them in the given order counts.
    ///
    /// # Errors
    /// Fails if the text is not an object with such an array, apart from the items of the array.
    pub fn parse(
        text: &'a [u8],
        array: &'static str,
        first_fields: &[&str],
    ) -> Result<Self, FieldError> {
        if let Ok(fields) = RawObject::parse(text) {
            let items = split_array(fields.raw(array)?);
            let items = items.ok_or(FieldError::Missing { name: array })?;
            return Ok(Self { fields, items });
        }
        let (before, items, after) = split_fields(text, array).ok_or(FieldError::NoObject)?;
        let fields = before.joined(RawObject::parse_fields(after)?);
        let items = recover_items(items, first_fields);
        Ok(Self { fields, items })
    }

    /// Returns the object without the array.
    #[must_use]
    pub fn fields(&self) -> &RawObject<'a> {
        &self.fields
    }

    /// Returns the texts of the items, some of which may not be well-formed.
    #[must_use]
    pub fn into_items(self) -> Vec<&'a [u8]> {
        self.items
    }
}

/// Splits the text of an object into the fields before an array, the text between the brackets of
/// the array, and the text of the fields after it.
///
/// No value after the array may be or contain an array.
fn split_fields<'a>(text: &'a [u8], array: &str) -> Option<(RawObject<'a>, &'a [u8], &'a [u8])> {
    let mut before = RawObject::default();
    let mut rest = strip_byte(text, b'{')?;
    loop {
        let (name, value) = split_name(rest)?;
        if name == array.as_bytes() {
            let items = strip_byte(value, b'[')?;
            let end = items.iter().rposition(|byte| *byte == b']')?;
            return Some((before, &items[..end], &items[end + 1..]));
        }
        let end = value_end(value)?;
        before.push(name, &value[..end]);
        rest = strip_byte(&value[end..], b',')?;
    }
}

/// Finds the items of an array that is not well-formed.
fn recover_items<'a>(text: &'a [u8], first_fields: &[&str]) -> Vec<&'a [u8]> {
    let mut items = Vec::new();
    let mut start = 0;
    let mut starts = first_fields.iter().map(|name| item_starts(text, name));
    let starts = starts.find(|starts| !starts.is_empty());
    for next in starts.unwrap_or_default() {
        split_items(&text[start..next], &mut items);
        start = next;
    }
    split_items(&text[start..], &mut items);
    items
}

/// Returns the positions of the brackets with which items with a first field begin.
///
/// Within a string, the quotes of the field's name would be escaped.
fn item_starts(text: &[u8], first_field: &str) -> Vec<usize> {
    let mut starts = Vec::new();
    // Byte before the position that is no white space.
    let mut before = b',';
    for (at, byte) in text.iter().enumerate() {
        let follows_comma = *byte == b'{' && before == b',';
        if follows_comma && begins_with_field(&text[at + 1..], first_field.as_bytes()) {
            starts.push(at);
        }
        if !byte.is_ascii_whitespace() {
            before = *byte;
        }
    }
    starts
}

fn begins_with_field(text: &[u8], name: &[u8]) -> bool {
    let quoted = strip_byte(text, b'"').and_then(|text| text.strip_prefix(name));
    let after = quoted.and_then(|text| text.strip_prefix(b"\""));
    after.and_then(|text| strip_byte(text, b':')).is_some()
}

/// Splits the text from the beginning of one item to that of another, which may contain further
/// items without the first field.
fn split_items<'a>(text: &'a [u8], items: &mut Vec<&'a [u8]>) {
    let text = text.trim_ascii();
    let mut rest = text.strip_suffix(b",").unwrap_or(text);
    while !rest.is_empty() {
        let Some((item, after)) = split_item(rest) else {
            items.push(rest);
            return;
        };
        items.push(item);
        rest = after;
    }
}

/// Splits a well-formed item from the items after it.
fn split_item(text: &[u8]) -> Option<(&[u8], &[u8])> {
    let end = value_end(text)?;
    let after = text[end..].trim_ascii_start();
    if after.is_empty() {
        return Some((&text[..end], after));
    }
    let next = strip_byte(after, b',')?.trim_ascii_start();
    // A field after the item shows that the item has a bracket that ends it too soon.
    split_name(next).is_none().then_some((&text[..end], next))
}
