//! HTTP client of the platform.

use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use bytes::{Buf, Bytes, BytesMut};
use futures::{StreamExt, stream};
use metrics::counter;
use reqwest::{Client, Method, RequestBuilder, Response, StatusCode};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::{
    error::{Category, Error, Result},
    json::{FieldError, RawObject},
    list::RawList,
    malformed::MalformedLog,
    object::{Change, Kind, Listing, Object, Revision},
    platform::{Platform, Watch},
};

const BASE_PATH: &str = "/apis/celerytally.dev/v1";

/// Counter of calls to the platform by method.
const CALLS: &str = "celerytally_platform_calls_total";

/// Counter of body bytes read from the platform.
const READ_BYTES: &str = "celerytally_platform_read_bytes_total";

/// Timeout of a call, after which a platform that does not respond counts as unavailable.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout of a connection attempt within one data centre.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Seconds after which the platform closes a watch; a new one continues from its last revision.
const WATCH_TIMEOUT_S: u64 = 60;

/// Timeout of a watch on which not even a keep-alive line arrives.
const WATCH_IDLE_TIMEOUT: Duration = Duration::from_secs(70);

/// Client of the platform over HTTP.
#[derive(Clone, Debug)]
pub struct HttpPlatform {
    base: String,
    token: String,
    calls: Client,
    watches: Client,
    /// Whether the last call failed with `Unavailable` or `Unknown`.
    unavailable: Arc<AtomicBool>,
    malformed: Arc<Mutex<MalformedLog>>,
}

#[derive(Deserialize, Serialize)]
#[serde(rename_all = "camelCase")]
struct Metadata {
    #[serde(default)]
    name: String,
    #[serde(default)]
    resource_version: String,
}

#[derive(Deserialize, Serialize)]
struct Envelope<T> {
    metadata: Metadata,
    spec: T,
}

/// Fields of an object, one of which the platform writes first in each object of a list.
const OBJECT_FIELDS: [&str; 4] = ["apiVersion", "kind", "metadata", "spec"];

/// Object that can't be decoded.
struct MalformedObject {
    /// Name, or `None` if it can't be read either.
    name: Option<String>,
    error: FieldError,
}

fn lock(log: &Mutex<MalformedLog>) -> MutexGuard<'_, MalformedLog> {
    log.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Decodes the name of an object, whose text after the name may be malformed.
fn decode_name(object: &RawObject<'_>) -> Result<String, FieldError> {
    object.leading_object("metadata")?.get("name")
}

fn decode_object<T: Kind>(text: &[u8]) -> Result<Object<T>, MalformedObject> {
    let name = decode_name(&RawObject::leading(text));
    let name = name.map_err(|error| MalformedObject { name: None, error })?;
    let decode = || {
        let object = RawObject::parse(text)?;
        let revision: String = object.object("metadata")?.get("resourceVersion")?;
        Ok((Revision::new(revision), object.get("spec")?))
    };
    match decode() {
        Ok((revision, value)) => Ok(Object {
            name,
            revision,
            value,
        }),
        Err(error) => Err(MalformedObject {
            name: Some(name),
            error,
        }),
    }
}

impl<T> From<Envelope<T>> for Object<T> {
    fn from(e: Envelope<T>) -> Self {
        Self {
            name: e.metadata.name,
            revision: Revision::new(e.metadata.resource_version),
            value: e.spec,
        }
    }
}

impl HttpPlatform {
    /// Creates a client for the platform at an address such as `http://10.0.0.1:8001`.
    ///
    /// # Errors
    /// `Unavailable` when the HTTP client can't be created.
    pub fn new(base: &str, token: &str) -> Result<Self> {
        let failed = |e: reqwest::Error| Error::new(Category::Unavailable, "client", e);
        let builder = || {
            Client::builder()
                .connect_timeout(CONNECT_TIMEOUT)
                .no_proxy()
        };
        Ok(Self {
            base: format!("{}{BASE_PATH}", base.trim_end_matches('/')),
            token: token.to_owned(),
            calls: builder().timeout(CALL_TIMEOUT).build().map_err(failed)?,
            watches: builder()
                .read_timeout(WATCH_IDLE_TIMEOUT)
                .build()
                .map_err(failed)?,
            unavailable: Arc::default(),
            malformed: Arc::default(),
        })
    }

    /// Returns whether the last call failed with `Unavailable` or `Unknown`.
    #[must_use]
    pub fn is_unavailable(&self) -> bool {
        self.unavailable.load(Ordering::Relaxed)
    }

    /// Decodes a list without its malformed objects.
    fn decode_list<T: Kind>(&self, body: &[u8]) -> Result<Listing<T>, FieldError> {
        let list = RawList::parse(body, "items", &OBJECT_FIELDS)?;
        let revision: String = list.fields().object("metadata")?.get("resourceVersion")?;
        let mut log = lock(&self.malformed);
        let (mut items, mut skipped) = (Vec::new(), Vec::new());
        for text in list.into_items() {
            match decode_object::<T>(text) {
                Ok(object) => {
                    log.clear(T::PLURAL, &object.name);
                    items.push(object);
                }
                Err(MalformedObject { name, error }) => {
                    let name = name.unwrap_or_default();
                    log.record(T::PLURAL, &name, &error);
                    skipped.push(name);
                }
            }
        }
        log.retain(T::PLURAL, skipped.iter().map(String::as_str));
        items.sort_by(|a, b| a.name.cmp(&b.name));
        let revision = Revision::new(revision);
        Ok(Listing { items, revision })
    }

    fn record_availability<T>(&self, result: &Result<T>) {
        let unavailable = result
            .as_ref()
            .is_err_and(|e| matches!(e.category(), Category::Unavailable | Category::Unknown));
        if self.unavailable.swap(unavailable, Ordering::Relaxed) != unavailable {
            tracing::info!(away = unavailable, "platform availability changed");
        }
    }

    fn request(&self, method: Method, path: &str) -> RequestBuilder {
        counter!(CALLS, "method" => method.to_string()).increment(1);
        self.calls
            .request(method, format!("{}/{path}", self.base))
            .bearer_auth(&self.token)
    }

    async fn read<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        let result = match self.try_read(path).await {
            Ok(body) => {
                serde_json::from_slice(&body).map_err(|e| Error::new(Category::Malformed, path, e))
            }
            Err(e) => Err(e),
        };
        self.record_availability(&result);
        result
    }

    async fn try_read(&self, path: &str) -> Result<Bytes> {
        let response = self
            .request(Method::GET, path)
            .send()
            .await
            .map_err(|e| Error::new(Category::Unavailable, path, e))?;
        let response = check_status(response, path, Category::Unavailable)?;
        let body = response
            .bytes()
            .await
            .map_err(|e| Error::new(Category::Unavailable, path, e))?;
        counter!(READ_BYTES).increment(body.len() as u64);
        Ok(body)
    }

    async fn write<T: Serialize + Sync>(
        &self,
        method: Method,
        path: &str,
        body: Option<&Envelope<&T>>,
    ) -> Result<Response> {
        let req = self.request(method, path);
        let req = match body {
            Some(body) => req.json(body),
            None => req,
        };
        let result = self.try_write(req, path).await;
        self.record_availability(&result);
        result
    }

    async fn try_write(&self, req: RequestBuilder, path: &str) -> Result<Response> {
        let response = req.send().await.map_err(|e| {
            // Only a failed connection attempt proves that nothing was sent.
            let category = if e.is_connect() {
                Category::Unavailable
            } else {
                Category::Unknown
            };
            Error::new(category, path, e)
        })?;
        check_status(response, path, Category::Unknown)
    }
}

fn check_status(response: Response, subject: &str, on_server_error: Category) -> Result<Response> {
    let category = match response.status() {
        s if s.is_success() => return Ok(response),
        StatusCode::CONFLICT => Category::Conflict,
        StatusCode::NOT_FOUND => Category::NotFound,
        StatusCode::GONE => Category::Expired,
        StatusCode::PAYLOAD_TOO_LARGE => Category::TooLarge,
        s if s.is_server_error() => on_server_error,
        _ => Category::Unavailable,
    };
    Err(Error::new(category, subject, response.status()))
}

async fn decode_revision(response: Response, subject: &str) -> Result<Revision> {
    let body = response
        .bytes()
        .await
        .map_err(|e| Error::new(Category::Unknown, subject, e))?;
    let envelope: Envelope<serde::de::IgnoredAny> = serde_json::from_slice(&body)
        // The write took effect, but its revision is unknown, so the caller must read the object.
        .map_err(|e| Error::new(Category::Unknown, subject, e))?;
    Ok(Revision::new(envelope.metadata.resource_version))
}

fn envelope<'a, T>(name: &str, value: &'a T, at: Option<&Revision>) -> Envelope<&'a T> {
    Envelope {
        metadata: Metadata {
            name: name.to_owned(),
            resource_version: at.map(|r| r.as_str().to_owned()).unwrap_or_default(),
        },
        spec: value,
    }
}

impl Platform for HttpPlatform {
    async fn get<T: Kind>(&self, name: &str) -> Result<Option<Object<T>>> {
        let path = format!("{}/{name}", T::PLURAL);
        match self.read::<Envelope<T>>(&path).await {
            Ok(envelope) => Ok(Some(envelope.into())),
            Err(e) if e.category() == Category::NotFound => Ok(None),
            Err(e) => Err(e),
        }
    }

    async fn list<T: Kind>(&self) -> Result<Listing<T>> {
        let body = self.try_read(T::PLURAL).await;
        self.record_availability(&body);
        let listing = self.decode_list(&body?);
        listing.map_err(|e| Error::new(Category::Malformed, T::PLURAL, e))
    }

    async fn create<T: Kind>(&self, name: &str, value: &T) -> Result<Revision> {
        let body = envelope(name, value, None);
        let response = self.write(Method::POST, T::PLURAL, Some(&body)).await?;
        decode_revision(response, T::PLURAL).await
    }

    async fn update<T: Kind>(&self, name: &str, value: &T, at: &Revision) -> Result<Revision> {
        let path = format!("{}/{name}", T::PLURAL);
        let body = envelope(name, value, Some(at));
        let response = self.write(Method::PUT, &path, Some(&body)).await?;
        decode_revision(response, &path).await
    }

    async fn delete<T: Kind>(&self, name: &str, at: &Revision) -> Result<()> {
        let path = format!("{}/{name}?resourceVersion={}", T::PLURAL, at.as_str());
        self.write::<T>(Method::DELETE, &path, None).await.map(drop)
    }

    fn watch<T: Kind>(&self, from: &Revision) -> impl Future<Output = Result<Watch<T>>> + Send {
        let path = format!(
            "{}?watch=1&resourceVersion={}&timeoutSeconds={WATCH_TIMEOUT_S}",
            T::PLURAL,
            from.as_str()
        );
        counter!(CALLS, "method" => "WATCH").increment(1);
        let req = self
            .watches
            .get(format!("{}/{path}", self.base))
            .bearer_auth(&self.token);
        let log = Arc::clone(&self.malformed);
        async move {
            let response = req
                .send()
                .await
                .map_err(|e| Error::new(Category::Unavailable, &path, e))?;
            let response = check_status(response, &path, Category::Unavailable)?;
            Ok(watch_changes(response, path, log))
        }
    }
}

/// Splits the body of a watch into lines and decodes each line.
fn watch_changes<T: Kind>(
    response: Response,
    subject: String,
    log: Arc<Mutex<MalformedLog>>,
) -> Watch<T> {
    let body = response.bytes_stream().boxed();
    let state = (body, BytesMut::new(), (subject, log));
    Box::pin(stream::unfold(
        state,
        |(mut body, mut buf, (subject, log))| async move {
            loop {
                if let Some(line) = split_line(&mut buf) {
                    if line.is_empty() {
                        continue;
                    }
                    match decode_line(&line, &subject, &log).transpose() {
                        Some(change) => return Some((change, (body, buf, (subject, log)))),
                        None => continue,
                    }
                }
                match body.next().await? {
                    Ok(chunk) => {
                        counter!(READ_BYTES).increment(chunk.len() as u64);
                        buf.extend_from_slice(&chunk);
                    }
                    Err(e) => {
                        let err = Error::new(Category::Unavailable, &subject, e);
                        return Some((Err(err), (stream::empty().boxed(), buf, (subject, log))));
                    }
                }
            }
        },
    ))
}

fn split_line(buf: &mut BytesMut) -> Option<Bytes> {
    let end = buf.iter().position(|b| *b == b'\n')?;
    let line = buf.split_to(end).freeze();
    buf.advance(1);
    Some(line)
}

/// Decodes an event; returns `None` for one of an object whose name can't be read.
///
/// An object that can't be decoded counts as deleted, as a list doesn't contain it either.
fn decode_line<T: Kind>(
    line: &[u8],
    subject: &str,
    log: &Mutex<MalformedLog>,
) -> Result<Option<Change<T>>> {
    let malformed = |e: FieldError| Error::new(Category::Malformed, subject, e);
    let event = RawObject::leading(line);
    let kind: String = event.get("type").map_err(malformed)?;
    let object = event.raw("object").unwrap_or_default();
    let decoded = match kind.as_str() {
        "ADDED" | "MODIFIED" => decode_object(object).map(Change::Set),
        "DELETED" => {
            let name = decode_name(&RawObject::leading(object));
            let nameless = |error| MalformedObject { name: None, error };
            name.map(Change::Deleted).map_err(nameless)
        }
        _ => {
            let detail = "the watch ended with an error";
            return Err(Error::new(Category::Expired, subject, detail));
        }
    };
    let decoded = decoded.and_then(|change| match RawObject::parse(line) {
        Ok(_) => Ok(change),
        Err(error) => Err(MalformedObject {
            name: decode_name(&RawObject::leading(object)).ok(),
            error,
        }),
    });
    let mut log = lock(log);
    Ok(match decoded {
        Ok(change) => {
            let (Change::Set(Object { name, .. }) | Change::Deleted(name)) = &change;
            log.clear(T::PLURAL, name);
            Some(change)
        }
        Err(MalformedObject { name, error }) => {
            log.record(T::PLURAL, name.as_deref().unwrap_or_default(), &error);
            name.map(Change::Deleted)
        }
    })
}
