//! HTTP client of the platform.

use std::{
    sync::{
        Arc,
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

#[derive(Deserialize)]
#[serde(bound = "T: DeserializeOwned")]
struct EnvelopeList<T> {
    metadata: Metadata,
    items: Vec<Envelope<T>>,
}

#[derive(Deserialize)]
struct WatchLine {
    r#type: String,
    #[serde(default)]
    object: serde_json::Value,
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
        })
    }

    /// Returns whether the last call failed with `Unavailable` or `Unknown`.
    #[must_use]
    pub fn is_unavailable(&self) -> bool {
        self.unavailable.load(Ordering::Relaxed)
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
        let result = self.try_read(path).await;
        self.record_availability(&result);
        result
    }

    async fn try_read<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        let response = self
            .request(Method::GET, path)
            .send()
            .await
            .map_err(|e| Error::new(Category::Unavailable, path, e))?;
        let response = check_status(response, path, Category::Unavailable)?;
        decode(response, path).await
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

async fn decode<T: DeserializeOwned>(response: Response, subject: &str) -> Result<T> {
    let body = response
        .bytes()
        .await
        .map_err(|e| Error::new(Category::Unavailable, subject, e))?;
    counter!(READ_BYTES).increment(body.len() as u64);
    serde_json::from_slice(&body).map_err(|e| Error::new(Category::Malformed, subject, e))
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
        let list: EnvelopeList<T> = self.read(T::PLURAL).await?;
        let mut items: Vec<Object<T>> = list.items.into_iter().map(Into::into).collect();
        items.sort_by(|a, b| a.name.cmp(&b.name));
        Ok(Listing {
            items,
            revision: Revision::new(list.metadata.resource_version),
        })
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
        async move {
            let response = req
                .send()
                .await
                .map_err(|e| Error::new(Category::Unavailable, &path, e))?;
            let response = check_status(response, &path, Category::Unavailable)?;
            Ok(watch_changes(response, path))
        }
    }
}

/// Splits the body of a watch into lines and decodes each line.
fn watch_changes<T: Kind>(response: Response, subject: String) -> Watch<T> {
    let body = response.bytes_stream().boxed();
    let state = (body, BytesMut::new(), subject);
    Box::pin(stream::unfold(
        state,
        |(mut body, mut buf, subject)| async move {
            loop {
                if let Some(line) = split_line(&mut buf) {
                    if line.is_empty() {
                        continue;
                    }
                    let change = decode_line(&line, &subject);
                    return Some((change, (body, buf, subject)));
                }
                match body.next().await? {
                    Ok(chunk) => {
                        counter!(READ_BYTES).increment(chunk.len() as u64);
                        buf.extend_from_slice(&chunk);
                    }
                    Err(e) => {
                        let err = Error::new(Category::Unavailable, &subject, e);
                        return Some((Err(err), (stream::empty().boxed(), buf, subject)));
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

fn decode_line<T: Kind>(line: &[u8], subject: &str) -> Result<Change<T>> {
    let malformed = |e: serde_json::Error| Error::new(Category::Malformed, subject, e);
    let line: WatchLine = serde_json::from_slice(line).map_err(malformed)?;
    match line.r#type.as_str() {
        "ADDED" | "MODIFIED" => {
            let envelope: Envelope<T> = serde_json::from_value(line.object).map_err(malformed)?;
            Ok(Change::Set(envelope.into()))
        }
        "DELETED" => {
            let envelope: Envelope<serde::de::IgnoredAny> =
                serde_json::from_value(line.object).map_err(malformed)?;
            Ok(Change::Deleted(envelope.metadata.name))
        }
        _ => Err(Error::new(
            Category::Expired,
            subject,
            "the watch ended with an error",
        )),
    }
}
