//! Selects the document that is in force at an entry, and runs the operations by which operators
//! change the document of an environment.

mod applied;
mod backoff;
mod calls;
mod outcome;
mod plan;
mod promotion;
mod records;
mod view;

pub use applied::{AppliedHistory, merge_status_records};
pub use backoff::BackoffPolicy;
pub use calls::{StoreCall, StoreCondition, StoreFault, StoreReply};
pub use outcome::{PromotionEnd, PromotionStep};
pub use plan::{PromotionAction, PromotionPlan, RetryPolicy};
pub use promotion::PromotionState;
pub use view::{
    DocumentEffect, DocumentEvent, DocumentSource, DocumentView, FetchPolicy, SequencedDocument,
};
