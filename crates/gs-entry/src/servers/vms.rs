//! Polls the platform's VM list.

use std::sync::Arc;

use actix::Addr;
use gs_document::settings::EntrySettings;
use gs_platform::Platform;
use tokio::time::sleep;

use crate::control::{ControlActor, ControlMessage};

/// Polls the VM list for as long as the process runs. A failed read keeps the previous list.
pub async fn poll_vms<P: Platform>(
    platform: P,
    settings: Arc<EntrySettings>,
    control: Addr<ControlActor>,
) {
    loop {
        match platform.list_vms().await {
            Ok(records) => control.do_send(ControlMessage::VmsListed(records)),
            Err(error) => log::warn!(target: "servers", "VM list could not be read: {error}."),
        }
        sleep(settings.intervals.vm_poll).await;
    }
}
