//! Headers that concern one connection.

use std::time::Duration;

use http::{HeaderMap, header};

/// Hop-by-hop headers and headers set by hyper.
const HOP_BY_HOP_HEADERS: [&str; 11] = [
    "connection",
    "content-length",
    "expect",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Returns the end-to-end headers.
pub(crate) fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let named: Vec<&str> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .map(str::trim)
        .collect();
    let passes = |name: &header::HeaderName| {
        !HOP_BY_HOP_HEADERS.contains(&name.as_str())
            && !named.iter().any(|n| n.eq_ignore_ascii_case(name.as_str()))
    };
    let kept = headers.iter().filter(|(name, _)| passes(name));
    kept.map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}

/// Returns whether the sender of a head closes the connection after its message.
pub(crate) fn has_connection_close(headers: &HeaderMap) -> bool {
    let values = headers.get_all(header::CONNECTION).iter();
    let mut options = values
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','));
    options.any(|o| o.trim().eq_ignore_ascii_case("close"))
}

/// Returns the keep-alive timeout announced by the server.
pub(crate) fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let timeout = value
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    timeout.trim().parse().ok().map(Duration::from_secs)
}
