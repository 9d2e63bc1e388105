//! What the calls of one thread share.

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

/// How long a head that was read serves to check rights.
const HEAD_TTL: Duration = Duration::from_millis(500);

/// Documents that are kept parsed.
const MAX_DOCUMENTS: usize = 8;

/// The settings, the platform's service, and what was read lately.
pub struct AdminState {
    /// The settings.
    pub settings: Arc<AdminSettings>,
    /// The platform's service.
    pub platform: HttpPlatform,
    heads: RefCell<BTreeMap<String, (Instant, Option<HeadRecord>)>>,
    documents: RefCell<BTreeMap<String, Arc<EnvironmentDocument>>>,
}

impl AdminState {
    /// The state of the thread that it is made on.
    pub fn new(settings: Arc<AdminSettings>) -> Self {
        let options = HttpPlatformOptions {
            answer_timeout: settings.limits.platform,
            ..HttpPlatformOptions::new(settings.platform)
        };
        Self {
            settings,
            platform: HttpPlatform::new(options),
            heads: RefCell::default(),
            documents: RefCell::default(),
        }
    }

    /// The environments, trial first.
    pub fn environments(&self) -> [&str; 2] {
        let names = &self.settings.environments;
        [&names.trial, &names.production]
    }

    /// Checks that an environment exists; production if none is named.
    pub fn environment<'a>(&'a self, name: Option<&'a str>) -> Result<&'a str, AdminRefusal> {
        let name = name.unwrap_or(&self.settings.environments.production);
        if self.environments().contains(&name) {
            return Ok(name);
        }
        Err(AdminRefusal::NotFound {
            kind: "environment",
            name: name.to_owned(),
        })
    }

    /// Reads the head of an environment.
    pub async fn read_head(&self, environment: &str) -> Result<Option<HeadRecord>, PlatformError> {
        let head: Option<HeadRecord> = read_json(&self.platform, &head_key(environment)).await?;
        let entry = (Instant::now(), head.clone());
        self.heads
            .borrow_mut()
            .insert(environment.to_owned(), entry);
        Ok(head)
    }

    /// The head of an environment, at most [`HEAD_TTL`] old.
    pub async fn recent_head(
        &self,
        environment: &str,
    ) -> Result<Option<HeadRecord>, PlatformError> {
        let known = self.heads.borrow().get(environment).cloned();
        match known {
            Some((read_at, head)) if read_at.elapsed() < HEAD_TTL => Ok(head),
            _ => self.read_head(environment).await,
        }
    }

    /// Drops the head that was read lately, since an operation may have changed it.
    pub fn forget_head(&self, environment: &str) {
        self.heads.borrow_mut().remove(environment);
    }

    /// A document that was accepted; none if there are no such bytes.
    pub async fn document(
        &self,
        digest: &str,
    ) -> Result<Option<Arc<EnvironmentDocument>>, PlatformError> {
        if let Some(document) = self.documents.borrow().get(digest) {
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
        self.keep_document(digest, &document);
        Ok(Some(document))
    }

    fn keep_document(&self, digest: &str, document: &Arc<EnvironmentDocument>) {
        let mut documents = self.documents.borrow_mut();
        if documents.len() >= MAX_DOCUMENTS {
            documents.clear();
        }
        documents.insert(digest.to_owned(), Arc::clone(document));
    }
}

/// Milliseconds since 1970.
pub fn now_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = elapsed.unwrap_or_default().as_millis();
    u64::try_from(millis).unwrap_or(u64::MAX)
}
