//! Follows what operators order in the platform's service: documents and drains.

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

/// The wait after a watch that failed.
const WATCH_RETRY: Duration = Duration::from_millis(100);

/// How long watches alone are relied on.
const LOOK_INTERVAL: Duration = Duration::from_secs(30);

/// Follows documents and drains for as long as the process runs.
pub async fn follow_orders<P: Platform>(
    platform: P,
    settings: Arc<EntrySettings>,
    control: Addr<ControlActor>,
) {
    let prefix = orders_prefix(&settings.environment);
    let longest_watch = settings.intervals.head_poll;
    let environment = settings.environment.clone();
    let follower = OrderFollower {
        platform,
        environment,
        control,
    };
    loop {
        // A look reads the whole list, which is short, so that nothing is missed after an outage.
        match follower.look(&prefix).await {
            Ok(revision) => follower.watch(&prefix, revision, longest_watch).await,
            Err(error) => {
                log::warn!(target: "documents", "Orders were not read: {error}.");
                let jitter = rand::thread_rng().gen_range(0.5..1.0);
                sleep(longest_watch.mul_f64(jitter)).await;
            }
        }
    }
}

/// Reads the orders of one environment.
struct OrderFollower<P> {
    platform: P,
    environment: String,
    control: Addr<ControlActor>,
}

impl<P: Platform> OrderFollower<P> {
    /// Watches from a revision until another look is due: for a time, as long as the watches are answered,
    /// revisions grow and only the head changes.
    async fn watch(&self, prefix: &str, mut revision: u64, longest_watch: Duration) {
        let head = head_key(&self.environment);
        let look_due = Instant::now() + LOOK_INTERVAL;
        while Instant::now() < look_due {
            let watched = self.platform.watch(prefix, revision, longest_watch).await;
            let Ok(answer) = watched else {
                sleep(WATCH_RETRY).await;
                return;
            };
            let only_head = answer.changes.iter().all(|object| object.key == head);
            if !only_head || answer.revision < revision {
                return;
            }
            if !answer.changes.is_empty() && self.see_head().await.is_err() {
                return;
            }
            revision = answer.revision;
        }
    }

    /// Reads all orders; returns the revision to watch from.
    async fn look(&self, prefix: &str) -> Result<u64, FetchError> {
        let list = self.platform.list(prefix).await?;
        let drains = drain_prefix(&self.environment);
        let drained = list
            .objects
            .iter()
            .filter_map(|object| object.key.strip_prefix(&drains))
            .map(ServerName::from)
            .collect();
        self.control.do_send(ControlMessage::DrainsSeen(drained));
        let head = head_key(&self.environment);
        if list.objects.iter().any(|object| object.key == head) {
            self.see_head().await?;
        }
        Ok(list.revision)
    }

    async fn see_head(&self) -> Result<(), FetchError> {
        let head = read_head(&self.platform, &self.environment).await?;
        let (source, sequence) = (DocumentSource::Platform, head.sequence);
        let seen = DocumentEvent::SequenceObserved { source, sequence };
        self.control.do_send(ControlMessage::Document(seen));
        Ok(())
    }
}
