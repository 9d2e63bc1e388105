//! Reads the platform's list of VMs.

use std::sync::Arc;

use actix::Addr;
use gs_document::settings::EntrySettings;
use gs_platform::Platform;
use tokio::time::sleep;

use crate::control::{ControlActor, ControlMessage};

/// Reads the list again and again; a failed read changes nothing.
pub async fn poll_vms<P: Platform>(
    platform: P,
    settings: Arc<EntrySettings>,
    control: Addr<ControlActor>,
) {
    loop {
        match platform.list_vms().await {
            Ok(records) => control.do_send(ControlMessage::VmsSeen(records)),
            Err(error) => log::warn!(target: "servers", "VM list was not read: {error}."),
        }
        sleep(settings.intervals.vm_poll).await;
    }
}
