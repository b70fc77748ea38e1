//! JSON, as little as the stand-ins need: fields of an object as raw text.

/// Returns the raw text of a field of a JSON object, without spaces around it.
pub fn field<'a>(object: &'a str, name: &str) -> Option<&'a str> {
    fields(object)
        .into_iter()
        .find(|(n, _)| *n == name)
        .map(|(_, value)| value)
}

/// Returns a field that is a text without escapes.
pub fn text<'a>(object: &'a str, name: &str) -> Option<&'a str> {
    let value = field(object, name)?;
    value.strip_prefix('"')?.strip_suffix('"')
}

pub fn number(object: &str, name: &str) -> Option<u64> {
    field(object, name)?.parse().ok()
}

/// Returns the names and raw values of the fields of an object.
pub fn fields(object: &str) -> Vec<(&str, &str)> {
    let bytes = object.as_bytes();
    let mut found = Vec::new();
    let (mut depth, mut in_text, mut escaped) = (0_u32, false, false);
    let (mut start, mut name): (usize, Option<&str>) = (0, None);
    for (at, byte) in bytes.iter().enumerate() {
        if in_text {
            match byte {
                _ if escaped => escaped = false,
                b'\\' => escaped = true,
                b'"' => in_text = false,
                _ => {}
            }
            continue;
        }
        match byte {
            b'"' => in_text = true,
            b'{' | b'[' => {
                depth += 1;
                if depth == 1 {
                    start = at + 1;
                }
            }
            b':' if depth == 1 && name.is_none() => {
                name = Some(object[start..at].trim().trim_matches('"'));
                start = at + 1;
            }
            b',' if depth == 1 => {
                found.extend(name.take().map(|n| (n, object[start..at].trim())));
                start = at + 1;
            }
            b'}' | b']' => {
                if depth == 1 {
                    found.extend(name.take().map(|n| (n, object[start..at].trim())));
                }
                depth = depth.saturating_sub(1);
            }
            _ => {}
        }
    }
    found
}

/// Returns an object without one of its fields.
pub fn without(object: &str, name: &str) -> String {
    let kept = fields(object).into_iter().filter(|(n, _)| *n != name);
    let kept: Vec<String> = kept.map(|(n, v)| format!("\"{n}\":{v}")).collect();
    format!("{{{}}}", kept.join(","))
}
