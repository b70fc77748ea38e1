//! Parsing of TOML documents that keeps the line of each field for error messages.

use std::{
    fmt, fs,
    ops::Range,
    path::{Path, PathBuf},
    str::FromStr,
};

use toml::de::{DeTable, DeValue};
use types::Bytes;

use crate::error::{Error, Fault, Result};

/// Maximum size of a file; larger files are rejected before parsing.
const MAX_FILE_SIZE: Bytes = Bytes::new(16 << 20);

/// TOML text that is not yet validated, and its origin.
#[derive(Clone, Debug)]
pub struct Document {
    file: String,
    dir: PathBuf,
    text: String,
}

/// Type that is validated from a [`Document`].
pub trait Checked: TryFrom<Document, Error = Error> + sealed::Sealed {}

mod sealed {
    pub trait Sealed {}
    impl Sealed for crate::Deployment {}
    impl Sealed for crate::HostSettings {}
}

impl Checked for crate::Deployment {}
impl Checked for crate::HostSettings {}

/// Parses and validates TOML text.
///
/// # Errors
/// `Invalid` with all faults of the text.
pub fn from_str<T: Checked>(text: &str) -> Result<T> {
    T::try_from(Document {
        file: "input".to_owned(),
        dir: PathBuf::new(),
        text: text.to_owned(),
    })
}

/// Reads, parses and validates a TOML file.
///
/// # Errors
/// `Io` if the file can't be read, `Invalid` with all faults of the file.
pub fn from_path<T: Checked>(path: impl AsRef<Path>) -> Result<T> {
    let path = path.as_ref();
    let file = path.display().to_string();
    let size = fs::metadata(path).map_err(|e| Error::io(&file, e))?.len();
    if size > MAX_FILE_SIZE.get() {
        return Err(Error::io(file, format_args!("larger than {MAX_FILE_SIZE}")));
    }
    let text = fs::read_to_string(path).map_err(|e| Error::io(&file, e))?;
    let dir = path.parent().map(Path::to_path_buf).unwrap_or_default();
    T::try_from(Document { file, dir, text })
}

impl Document {
    /// Parses the text and passes the root table to `check`, which collects faults.
    pub(crate) fn check<T>(
        &self,
        check: impl FnOnce(&Section<'_>, &mut Faults<'_>) -> Option<T>,
    ) -> Result<T> {
        let mut faults = Faults {
            file: &self.file,
            text: &self.text,
            list: Vec::new(),
        };
        let (table, errors) = DeTable::parse_recoverable(&self.text);
        for e in &errors {
            let line = e.span().map_or(1, |span| faults.line(&span));
            faults.push(line, "syntax".to_owned(), e.message());
        }
        if errors.is_empty() {
            let root = Section {
                path: String::new(),
                line: 1,
                table: table.get_ref(),
            };
            let checked = check(&root, &mut faults);
            if let (Some(checked), true) = (checked, faults.list.is_empty()) {
                return Ok(checked);
            }
        }
        Err(Error::invalid(faults.list))
    }

    /// Reads a file whose path is relative to the document's directory.
    pub(crate) fn read_relative(&self, path: &str) -> Result<String> {
        let path = self.dir.join(path);
        fs::read_to_string(&path).map_err(|e| Error::io(path.display().to_string(), e))
    }
}

/// Faults of a document, collected during validation.
#[derive(Debug)]
pub(crate) struct Faults<'a> {
    file: &'a str,
    text: &'a str,
    list: Vec<Fault>,
}

impl Faults<'_> {
    fn line(&self, span: &Range<usize>) -> usize {
        let before = self.text.get(..span.start).unwrap_or(self.text);
        before.bytes().filter(|b| *b == b'\n').count() + 1
    }

    /// Returns a collector whose faults are discarded, for fields that are read a second time.
    pub(crate) fn discard(&self) -> Self {
        Self {
            list: Vec::new(),
            ..*self
        }
    }

    fn push(&mut self, line: usize, field: String, message: impl fmt::Display) {
        self.list.push(Fault {
            file: self.file.to_owned(),
            line,
            field,
            message: message.to_string(),
        });
    }

    /// Adds a fault of a field.
    pub(crate) fn at(&mut self, section: &Section<'_>, field: &str, message: impl fmt::Display) {
        let line = match section.table.get(field) {
            Some(value) => self.line(&value.span()),
            None => section.line,
        };
        self.push(line, section.join(field), message);
    }
}

/// Table of a document with its path.
#[derive(Clone, Debug)]
pub(crate) struct Section<'a> {
    path: String,
    line: usize,
    table: &'a DeTable<'a>,
}

impl<'a> Section<'a> {
    fn join(&self, field: &str) -> String {
        if self.path.is_empty() {
            field.to_owned()
        } else {
            format!("{}.{field}", self.path)
        }
    }

    /// Adds a fault for each field that is not in `known`.
    pub(crate) fn reject_unknown_fields(&self, known: &[&str], faults: &mut Faults<'_>) {
        for (key, _) in self.table {
            if !known.contains(&key.get_ref().as_ref()) {
                let line = faults.line(&key.span());
                let message = format_args!("unknown field; known are {}", known.join(", "));
                faults.push(line, self.join(key.get_ref()), message);
            }
        }
    }

    /// Returns whether the field is present.
    pub(crate) fn has(&self, field: &str) -> bool {
        self.table.contains_key(field)
    }

    fn get<T>(
        &self,
        field: &str,
        expected: &str,
        faults: &mut Faults<'_>,
        convert: impl FnOnce(&'a DeValue<'a>) -> Option<T>,
    ) -> Option<T> {
        let Some(value) = self.table.get(field) else {
            faults.at(self, field, format_args!("missing; expected {expected}"));
            return None;
        };
        let converted = convert(value.get_ref());
        if converted.is_none() {
            let found = value.get_ref().type_str();
            faults.at(
                self,
                field,
                format_args!("expected {expected}, found {found}"),
            );
        }
        converted
    }

    /// Returns a string field.
    pub(crate) fn text(&self, field: &str, faults: &mut Faults<'_>) -> Option<&'a str> {
        self.get(field, "a string", faults, DeValue::as_str)
    }

    /// Parses a string field.
    pub(crate) fn parse<T>(&self, field: &str, faults: &mut Faults<'_>) -> Option<T>
    where
        T: FromStr<Err: fmt::Display>,
    {
        let text = self.text(field, faults)?;
        match text.parse() {
            Ok(value) => Some(value),
            Err(e) => {
                faults.at(self, field, e);
                None
            }
        }
    }

    /// Parses an optional string field.
    pub(crate) fn parse_or<T>(&self, field: &str, default: T, faults: &mut Faults<'_>) -> Option<T>
    where
        T: FromStr<Err: fmt::Display>,
    {
        if self.has(field) {
            self.parse(field, faults)
        } else {
            Some(default)
        }
    }

    /// Returns an integer field within a range.
    pub(crate) fn integer(
        &self,
        field: &str,
        range: Range<u32>,
        faults: &mut Faults<'_>,
    ) -> Option<u32> {
        let expected = format!("a whole number from {} to {}", range.start, range.end - 1);
        let n: u32 = self.get(field, &expected, faults, |v| {
            let n = v.as_integer()?;
            i64::from_str_radix(n.as_str(), n.radix())
                .ok()
                .map(|n| u32::try_from(n).unwrap_or(u32::MAX))
        })?;
        if !range.contains(&n) {
            faults.at(self, field, format_args!("expected {expected}"));
            return None;
        }
        Some(n)
    }

    /// Returns an optional integer field within a range.
    pub(crate) fn integer_or(
        &self,
        field: &str,
        range: Range<u32>,
        default: u32,
        faults: &mut Faults<'_>,
    ) -> Option<u32> {
        if self.has(field) {
            self.integer(field, range, faults)
        } else {
            Some(default)
        }
    }

    /// Returns a number field from 0 to `max`, rounded to thousandths.
    pub(crate) fn number(&self, field: &str, max: f64, faults: &mut Faults<'_>) -> Option<f64> {
        let expected = format!("a number from 0 to {max}");
        let n = self.get(field, &expected, faults, |v| {
            let text = v
                .as_float()
                .map(toml::de::DeFloat::as_str)
                .or_else(|| v.as_integer().map(toml::de::DeInteger::as_str))?;
            text.parse::<f64>().ok()
        })?;
        if !(0.0..=max).contains(&n) {
            faults.at(self, field, format_args!("expected {expected}"));
            return None;
        }
        Some((n * 1e3).round() / 1e3)
    }

    /// Returns an optional boolean field.
    pub(crate) fn boolean_or(
        &self,
        field: &str,
        default: bool,
        faults: &mut Faults<'_>,
    ) -> Option<bool> {
        if self.has(field) {
            self.get(field, "true or false", faults, DeValue::as_bool)
        } else {
            Some(default)
        }
    }

    /// Parses a list of strings.
    pub(crate) fn list<T>(&self, field: &str, faults: &mut Faults<'_>) -> Option<Vec<T>>
    where
        T: FromStr<Err: fmt::Display>,
    {
        let items = self.get(field, "a list of strings", faults, |v| {
            let items = v.as_array()?;
            items
                .iter()
                .map(|v| v.get_ref().as_str())
                .collect::<Option<Vec<_>>>()
        })?;
        let mut parsed = Vec::with_capacity(items.len());
        for item in &items {
            match item.parse() {
                Ok(value) => parsed.push(value),
                Err(e) => faults.at(self, field, e),
            }
        }
        (parsed.len() == items.len()).then_some(parsed)
    }

    /// Returns a table field.
    pub(crate) fn section(&self, field: &str, faults: &mut Faults<'_>) -> Option<Section<'a>> {
        let table = self.get(field, "a table", faults, DeValue::as_table)?;
        let line = faults.line(&self.table.get(field)?.span());
        let path = self.join(field);
        Some(Section { path, line, table })
    }

    /// Returns the tables of an array. The path of a table contains its `name`, or its index if it
    /// has no name.
    pub(crate) fn sections(&self, field: &str, faults: &mut Faults<'_>) -> Vec<Section<'a>> {
        if !self.has(field) {
            return Vec::new();
        }
        let Some(items) = self.get(field, "an array of tables", faults, DeValue::as_array) else {
            return Vec::new();
        };
        let mut sections = Vec::with_capacity(items.len());
        for (i, item) in items.iter().enumerate() {
            let Some(table) = item.get_ref().as_table() else {
                faults.at(self, field, "expected tables only");
                continue;
            };
            let name = table.get("name").and_then(|v| v.get_ref().as_str());
            let path = match name {
                Some(name) => format!("{field}.{name}"),
                None => format!("{field}[{i}]"),
            };
            let line = faults.line(&item.span());
            sections.push(Section { path, line, table });
        }
        sections
    }
}
