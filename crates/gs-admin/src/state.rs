//! State that is shared by the calls of one worker thread.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use gs_document::document::EnvironmentDocument;
use gs_document::settings::AdminSettings;
use gs_document::{decode_text, parse_accepted_document};
use gs_platform::{HttpPlatform, HttpPlatformOptions, Platform, PlatformError};
use gs_protocol::objects::{HeadRecord, body_key, head_key};

use crate::platform::read_json;
use crate::refusal::AdminRefusal;

/// The age up to which a cached head is used to check rights.
const HEAD_TTL: Duration = Duration::from_millis(500);

/// Maximum number of parsed documents in the cache.
const MAX_CACHED_DOCUMENTS: usize = 8;

/// The settings, a client of the platform's service, and caches of heads and documents.
pub struct AdminState {
    /// The settings of the daemon.
    pub settings: Arc<AdminSettings>,
    /// The client of the platform's service.
    pub platform: HttpPlatform,
    /// The last read head of each environment, with the time of the read.
    cached_heads: RefCell<BTreeMap<String, (Instant, Option<HeadRecord>)>>,
    /// Accepted documents by digest. They never change, so they are not read again.
    cached_documents: RefCell<BTreeMap<String, Arc<EnvironmentDocument>>>,
}

impl AdminState {
    /// Creates the state of a worker thread, with empty caches.
    pub fn new(settings: Arc<AdminSettings>) -> Self {
        let options = HttpPlatformOptions {
            answer_timeout: settings.limits.platform,
            ..HttpPlatformOptions::new(settings.platform)
        };
        Self {
            settings,
            platform: HttpPlatform::new(options),
            cached_heads: RefCell::default(),
            cached_documents: RefCell::default(),
        }
    }

    /// Returns the names of the environments, trial first.
    pub fn environments(&self) -> [&str; 2] {
        let names = &self.settings.environments;
        [&names.trial, &names.production]
    }

    /// Returns the name of an existing environment; production if `name` is none.
    pub fn resolve_environment<'a>(
        &'a self,
        name: Option<&'a str>,
    ) -> Result<&'a str, AdminRefusal> {
        let name = name.unwrap_or(&self.settings.environments.production);
        if self.environments().contains(&name) {
            return Ok(name);
        }
        Err(AdminRefusal::NotFound {
            kind: "environment",
            name: name.to_owned(),
        })
    }

    /// Reads the head of an environment from the platform's service, and caches it.
    pub async fn read_head(&self, environment: &str) -> Result<Option<HeadRecord>, PlatformError> {
        let head: Option<HeadRecord> = read_json(&self.platform, &head_key(environment)).await?;
        let timed_head = (Instant::now(), head.clone());
        self.cached_heads
            .borrow_mut()
            .insert(environment.to_owned(), timed_head);
        Ok(head)
    }

    /// Returns the head of an environment, which may be up to [`HEAD_TTL`] old.
    pub async fn recent_head(
        &self,
        environment: &str,
    ) -> Result<Option<HeadRecord>, PlatformError> {
        let cached = self.cached_heads.borrow().get(environment).cloned();
        match cached {
            Some((read_at, head)) if read_at.elapsed() < HEAD_TTL => Ok(head),
            _ => self.read_head(environment).await,
        }
    }

    /// Removes the head of an environment from the cache after an operation that may have changed it.
    pub fn invalidate_head(&self, environment: &str) {
        self.cached_heads.borrow_mut().remove(environment);
    }

    /// Loads an accepted document from the cache or the platform's service; none if it does not exist.
    pub async fn load_document(
        &self,
        digest: &str,
    ) -> Result<Option<Arc<EnvironmentDocument>>, PlatformError> {
        if let Some(document) = self.cached_documents.borrow().get(digest) {
            return Ok(Some(Arc::clone(document)));
        }
        let key = body_key(digest);
        let Some(object) = self.platform.read(&key).await? else {
            return Ok(None);
        };
        let parsed = decode_text(digest, &object.value)
            .and_then(|text| parse_accepted_document(digest, text))
            .map_err(|mistakes| PlatformError::Malformed {
                key,
                detail: mistakes.to_string(),
            })?;
        let document = Arc::new(parsed);
        self.cache_document(digest, &document);
        Ok(Some(document))
    }

    /// Caches a document; empties a full cache first.
    fn cache_document(&self, digest: &str, document: &Arc<EnvironmentDocument>) {
        let mut documents = self.cached_documents.borrow_mut();
        if documents.len() >= MAX_CACHED_DOCUMENTS {
            documents.clear();
        }
        documents.insert(digest.to_owned(), Arc::clone(document));
    }
}

/// Returns the current time in milliseconds since 1970.
pub fn now_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = elapsed.unwrap_or_default().as_millis();
    u64::try_from(millis).unwrap_or(u64::MAX)
}
