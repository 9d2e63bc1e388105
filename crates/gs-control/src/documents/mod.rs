//! Which document is in force at an entry, and how operators change it.

mod applied;
mod calls;
mod plan;
mod promotion;
mod view;

pub use applied::AppliedTrack;
pub use calls::{StoreCall, StoreCondition, StoreFault, StoreReply};
pub use plan::{PromotionAction, PromotionPlan, RetryPolicy};
pub use promotion::{PromotionEnd, PromotionState, PromotionStep};
pub use view::{DocumentEffect, DocumentEvent, DocumentSource, DocumentView, FetchPolicy};
