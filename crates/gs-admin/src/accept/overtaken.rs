//! The detail of a refusal for operators whose change was overtaken by another operation.

use gs_document::{ChangeKind, DocumentChange, diff_documents};
use gs_platform::PlatformError;
use gs_protocol::admin::ChangeRecord;
use gs_protocol::ids::SequenceNumber;
use gs_protocol::objects::{HeadRecord, history_key};

use crate::platform::read_json;
use crate::refusal::OvertakenDetail;
use crate::state::AdminState;

/// Describes which operation took the sequence number, and which fields differ between the document
/// that the operator expected and the one in force. The list of fields is empty if the platform's
/// service does not return both documents.
pub async fn describe_overtaken(
    state: &AdminState,
    environment: &str,
    expected: SequenceNumber,
    winner: HeadRecord,
    head: HeadRecord,
) -> OvertakenDetail {
    let changes = find_changes(state, environment, expected, &head).await;
    OvertakenDetail {
        winner,
        head,
        changes: changes.unwrap_or_default(),
    }
}

/// Compares the document of the expected head with the one of `head`.
async fn find_changes(
    state: &AdminState,
    environment: &str,
    expected: SequenceNumber,
    head: &HeadRecord,
) -> Result<Vec<ChangeRecord>, PlatformError> {
    let key = history_key(environment, expected);
    let Some(expected_head) = read_json::<HeadRecord>(&state.platform, &key).await? else {
        return Ok(Vec::new());
    };
    let old = state.load_document(&expected_head.digest).await?;
    let new = state.load_document(&head.digest).await?;
    let (Some(old), Some(new)) = (old, new) else {
        return Ok(Vec::new());
    };
    let changes = diff_documents(&old, &new).unwrap_or_default();
    Ok(changes.into_iter().map(change_record).collect())
}

fn change_record(change: DocumentChange) -> ChangeRecord {
    let path = change.path.to_string();
    let (old, new) = match change.kind {
        ChangeKind::Added { new } => (None, Some(new)),
        ChangeKind::Removed { old } => (Some(old), None),
        ChangeKind::Changed { old, new } => (Some(old), Some(new)),
    };
    ChangeRecord { path, old, new }
}
