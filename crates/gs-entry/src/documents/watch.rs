//! Watches operator orders in the platform's service: the accepted document and drained servers.

use std::sync::Arc;
use std::time::{Duration, Instant};

use actix::Addr;
use gs_control::documents::{DocumentEvent, DocumentSource};
use gs_document::settings::EntrySettings;
use gs_platform::Platform;
use gs_protocol::ids::ServerName;
use gs_protocol::objects::{drain_prefix, head_key, orders_prefix};
use rand::Rng;
use tokio::time::sleep;

use super::fetch::{FetchError, read_head};
use crate::control::{ControlActor, ControlMessage};

/// Delay after a failed watch.
const WATCH_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Maximum time between two complete reads of the orders, in case a watch misses a change.
const FULL_READ_INTERVAL: Duration = Duration::from_secs(30);

/// Watches documents and drains for as long as the process runs.
pub async fn watch_orders<P: Platform>(
    platform: P,
    settings: Arc<EntrySettings>,
    control: Addr<ControlActor>,
) {
    let prefix = orders_prefix(&settings.environment);
    let longest_watch = settings.intervals.head_poll;
    let environment = settings.environment.clone();
    let watcher = OrderWatcher {
        platform,
        environment,
        control,
    };
    loop {
        // Reads the complete list, which is short, so that no change is missed after an outage.
        match watcher.read_orders(&prefix).await {
            Ok(revision) => watcher.watch(&prefix, revision, longest_watch).await,
            Err(error) => {
                log::warn!(target: "documents", "Orders could not be read: {error}.");
                let jitter = rand::thread_rng().gen_range(0.5..1.0);
                sleep(longest_watch.mul_f64(jitter)).await;
            }
        }
    }
}

/// Reads and watches the orders of one environment.
struct OrderWatcher<P> {
    platform: P,
    environment: String,
    control: Addr<ControlActor>,
}

impl<P: Platform> OrderWatcher<P> {
    /// Watches changes after a revision. Returns when a complete read is necessary: at the
    /// interval, after a failed watch or read, if the revision decreases, or if more than the head
    /// changes.
    async fn watch(&self, prefix: &str, mut revision: u64, longest_watch: Duration) {
        let head = head_key(&self.environment);
        let read_due = Instant::now() + FULL_READ_INTERVAL;
        while Instant::now() < read_due {
            let watched = self.platform.watch(prefix, revision, longest_watch).await;
            let Ok(answer) = watched else {
                sleep(WATCH_RETRY_DELAY).await;
                return;
            };
            let only_head = answer.changes.iter().all(|object| object.key == head);
            if !only_head || answer.revision < revision {
                return;
            }
            if !answer.changes.is_empty() && self.report_head().await.is_err() {
                return;
            }
            revision = answer.revision;
        }
    }

    /// Reads all orders and returns the revision to watch from.
    async fn read_orders(&self, prefix: &str) -> Result<u64, FetchError> {
        let list = self.platform.list(prefix).await?;
        let drains = drain_prefix(&self.environment);
        let drained = list
            .objects
            .iter()
            .filter_map(|object| object.key.strip_prefix(&drains))
            .map(ServerName::from)
            .collect();
        self.control.do_send(ControlMessage::DrainsListed(drained));
        let head = head_key(&self.environment);
        if list.objects.iter().any(|object| object.key == head) {
            self.report_head().await?;
        }
        Ok(list.revision)
    }

    async fn report_head(&self) -> Result<(), FetchError> {
        let head = read_head(&self.platform, &self.environment).await?;
        let (source, sequence) = (DocumentSource::Platform, head.sequence);
        let observed = DocumentEvent::SequenceObserved { source, sequence };
        self.control.do_send(ControlMessage::Document(observed));
        Ok(())
    }
}
