//! Defaults of single settings.

use std::num::NonZeroUsize;

/// Traffic threads of an entry.
pub(super) fn traffic_threads() -> NonZeroUsize {
    const TRAFFIC_THREADS: NonZeroUsize = NonZeroUsize::MIN.saturating_add(1);
    TRAFFIC_THREADS
}
