//! Default values of individual settings.

use std::num::NonZeroUsize;

/// Returns the default number of traffic threads of an entry: 2.
pub(super) fn traffic_threads() -> NonZeroUsize {
    const TRAFFIC_THREADS: NonZeroUsize = NonZeroUsize::MIN.saturating_add(1);
    TRAFFIC_THREADS
}
