//! Settings of an entry host.

use std::{env, fmt, net::SocketAddr, str::FromStr};

use types::{DataCentreId, HostId, Micros};

use crate::{
    document::{Document, Faults, Section},
    error::Error,
    secret::Secret,
};

/// The lease is renewed after a third of its duration, so it survives two lost renewals.
const LEASE_DURATION: Micros = Micros::from_secs(9);

/// With two exchanges per period the control traffic stays under 7 KB/s at design size.
const EXCHANGE_PERIOD: Micros = Micros::from_secs(1);

/// Shorter tokens are easy to guess.
const MIN_TOKEN_LEN: usize = 8;

/// Validated settings of an entry host.
#[derive(Clone, Debug)]
pub struct HostSettings {
    /// Name of the host.
    pub host: HostId,
    /// Data centre that it is in.
    pub dc: DataCentreId,
    /// Address to listen on for HTTP; port 0 selects a free port.
    pub listen_http: SocketAddr,
    /// Address to listen on for other entry hosts; port 0 selects a free port.
    pub listen_peers: SocketAddr,
    /// Address at which others reach the HTTP port, if it differs from the listen address.
    pub advertise_http: Option<SocketAddr>,
    /// Address at which other entry hosts reach this one, if it differs from the listen address.
    pub advertise_peers: Option<SocketAddr>,
    /// Base URL of the platform.
    pub platform_url: String,
    /// Token for authentication to the platform.
    pub platform_token: Secret,
    /// Token shared by the entry hosts.
    pub peer_token: Secret,
    /// Token of operators; without one the report is not available over HTTP.
    pub operator_token: Option<Secret>,
    /// Addresses of the entry hosts to contact first.
    pub seeds: Vec<SocketAddr>,
    /// Format of log lines.
    pub log_format: LogFormat,
    /// Minimum severity of log lines.
    pub log_level: LogLevel,
    /// Tuning parameters.
    pub tuning: Tuning,
}

/// Tuning parameters of a host; the defaults suit both reference deployments.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Tuning {
    /// Duration of the controller's lease.
    pub lease_duration: Micros,
    /// Interval between exchanges with peers.
    pub exchange_period: Micros,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            lease_duration: LEASE_DURATION,
            exchange_period: EXCHANGE_PERIOD,
        }
    }
}

macro_rules! string_enum {
    ($(#[$doc:meta])* $name:ident $expected:literal { $($(#[$vdoc:meta])* $variant:ident $text:literal,)* }) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Eq, PartialEq)]
        pub enum $name {
            $($(#[$vdoc])* $variant,)*
        }

        impl FromStr for $name {
            type Err = &'static str;

            fn from_str(s: &str) -> Result<Self, Self::Err> {
                match s {
                    $($text => Ok(Self::$variant),)*
                    _ => Err($expected),
                }
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(match self {
                    $(Self::$variant => $text,)*
                })
            }
        }
    };
}

string_enum! {
    /// Format of log lines.
    LogFormat "expected text or json" {
        /// One line of text per event.
        Text "text",
        /// One JSON object per event.
        Json "json",
    }
}

string_enum! {
    /// Minimum severity of log lines.
    LogLevel "expected error, warn, info, debug or trace" {
        /// Failures.
        Error "error",
        /// Failures from which the process recovers.
        Warn "warn",
        /// State changes.
        Info "info",
        /// Steps of state changes.
        Debug "debug",
        /// All events.
        Trace "trace",
    }
}

impl TryFrom<Document> for HostSettings {
    type Error = Error;

    fn try_from(doc: Document) -> Result<Self, Error> {
        doc.check(|root, faults| check(&doc, root, faults))
    }
}

fn check(doc: &Document, root: &Section<'_>, faults: &mut Faults<'_>) -> Option<HostSettings> {
    const FIELDS: [&str; 9] = [
        "host",
        "data_centre",
        "listen",
        "advertise",
        "platform",
        "peers",
        "operators",
        "log",
        "tuning",
    ];
    root.reject_unknown_fields(&FIELDS, faults);
    let host = root.parse("host", faults);
    let dc = root.parse("data_centre", faults);
    let listen = root.section("listen", faults);
    let listen = listen.and_then(|s| addresses(&s, faults));
    let advertise = advertise(root, faults);
    let platform = root.section("platform", faults);
    let platform = platform.and_then(|s| platform_access(doc, &s, faults));
    let peers = root.section("peers", faults);
    let peers = peers.and_then(|s| peer_access(doc, &s, faults));
    let operator_token = operators(doc, root, faults);
    let log = log(root, faults);
    let tuning = tuning(root, faults);
    let (listen_http, listen_peers) = listen?;
    let advertise = advertise?;
    let (platform_url, platform_token) = platform?;
    let (seeds, peer_token) = peers?;
    let (log_format, log_level) = log?;
    Some(HostSettings {
        host: host?,
        dc: dc?,
        listen_http,
        listen_peers,
        advertise_http: advertise.http,
        advertise_peers: advertise.peers,
        platform_url,
        platform_token,
        peer_token,
        operator_token,
        seeds,
        log_format,
        log_level,
        tuning: tuning?,
    })
}

fn addresses(s: &Section<'_>, faults: &mut Faults<'_>) -> Option<(SocketAddr, SocketAddr)> {
    s.reject_unknown_fields(&["http", "peers"], faults);
    let http = s.parse("http", faults);
    let peers = s.parse("peers", faults);
    Some((http?, peers?))
}

/// Addresses to advertise; `None` stands for the listen address.
#[derive(Debug, Default)]
struct Advertised {
    http: Option<SocketAddr>,
    peers: Option<SocketAddr>,
}

fn advertise(root: &Section<'_>, faults: &mut Faults<'_>) -> Option<Advertised> {
    let mut advertised = Advertised::default();
    if !root.has("advertise") {
        return Some(advertised);
    }
    let s = root.section("advertise", faults)?;
    s.reject_unknown_fields(&["http", "peers"], faults);
    if s.has("http") {
        advertised.http = reachable_address(&s, "http", faults);
    }
    if s.has("peers") {
        advertised.peers = reachable_address(&s, "peers", faults);
    }
    Some(advertised)
}

fn reachable_address(s: &Section<'_>, field: &str, faults: &mut Faults<'_>) -> Option<SocketAddr> {
    let addr: SocketAddr = s.parse(field, faults)?;
    if addr.port() == 0 || addr.ip().is_unspecified() {
        faults.at(s, field, "others can't connect to this address");
    }
    Some(addr)
}

fn platform_access(
    doc: &Document,
    s: &Section<'_>,
    faults: &mut Faults<'_>,
) -> Option<(String, Secret)> {
    s.reject_unknown_fields(&["url", "token_file", "token_env"], faults);
    let url = s.text("url", faults).filter(|url| {
        let supported = url.starts_with("http://") || url.starts_with("https://");
        if !supported {
            faults.at(
                s,
                "url",
                "expected a URL that starts with http:// or https://",
            );
        }
        supported
    });
    let token = token(doc, s, faults);
    Some((url?.to_owned(), token?))
}

fn peer_access(
    doc: &Document,
    s: &Section<'_>,
    faults: &mut Faults<'_>,
) -> Option<(Vec<SocketAddr>, Secret)> {
    s.reject_unknown_fields(&["seeds", "token_file", "token_env"], faults);
    let seeds = if s.has("seeds") {
        s.list("seeds", faults)
    } else {
        Some(Vec::new())
    };
    let token = token(doc, s, faults);
    let mut seeds = seeds?;
    seeds.sort();
    seeds.dedup();
    Some((seeds, token?))
}

/// Returns the operators' token. Faults of the section make the file invalid.
fn operators(doc: &Document, root: &Section<'_>, faults: &mut Faults<'_>) -> Option<Secret> {
    if !root.has("operators") {
        return None;
    }
    let s = root.section("operators", faults)?;
    s.reject_unknown_fields(&["token_file", "token_env"], faults);
    token(doc, &s, faults)
}

fn token(doc: &Document, s: &Section<'_>, faults: &mut Faults<'_>) -> Option<Secret> {
    let (field, text) = match (s.has("token_file"), s.has("token_env")) {
        (true, false) => {
            let path = s.text("token_file", faults)?;
            (
                "token_file",
                doc.read_relative(path).map_err(|e| e.to_string()),
            )
        }
        (false, true) => {
            let name = s.text("token_env", faults)?;
            let text = env::var(name).map_err(|e| format!("can't read {name}: {e}"));
            ("token_env", text)
        }
        _ => {
            faults.at(s, "token_file", "expected either token_file or token_env");
            return None;
        }
    };
    let text = text.map_err(|message| faults.at(s, field, message)).ok()?;
    let text = text.trim();
    if text.len() < MIN_TOKEN_LEN || !text.bytes().all(|b| b.is_ascii_graphic()) {
        let message = format_args!("expected a token of at least {MIN_TOKEN_LEN} printable bytes");
        faults.at(s, field, message);
        return None;
    }
    Some(Secret::new(text))
}

fn log(root: &Section<'_>, faults: &mut Faults<'_>) -> Option<(LogFormat, LogLevel)> {
    if !root.has("log") {
        return Some((LogFormat::Json, LogLevel::Info));
    }
    let s = root.section("log", faults)?;
    s.reject_unknown_fields(&["format", "level"], faults);
    let format = s.parse_or("format", LogFormat::Json, faults);
    let level = s.parse_or("level", LogLevel::Info, faults);
    Some((format?, level?))
}

fn tuning(root: &Section<'_>, faults: &mut Faults<'_>) -> Option<Tuning> {
    let default = Tuning::default();
    if !root.has("tuning") {
        return Some(default);
    }
    let s = root.section("tuning", faults)?;
    s.reject_unknown_fields(&["lease_duration", "exchange_period"], faults);
    let lease = s.parse_or("lease_duration", default.lease_duration, faults);
    let exchange = s.parse_or("exchange_period", default.exchange_period, faults);
    let (lease_duration, exchange_period) = (lease?, exchange?);
    for (field, t) in [
        ("lease_duration", lease_duration),
        ("exchange_period", exchange_period),
    ] {
        if t < Micros::from_millis(10) || t > Micros::from_secs(600) {
            faults.at(&s, field, "expected a time from 10 ms to 10 min");
        }
    }
    Some(Tuning {
        lease_duration,
        exchange_period,
    })
}
