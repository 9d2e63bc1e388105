//! Reads what a process has cost so far.

use std::path::PathBuf;

use super::SlopesError;

/// Nanoseconds of processor time that all threads of a process have used.
pub fn read_cpu_ns(id: u32) -> Result<u64, SlopesError> {
    let failed = |source| SlopesError::ReadProcess { id, source };
    let tasks = PathBuf::from(format!("/proc/{id}/task"));
    let mut sum = 0;
    for task in std::fs::read_dir(tasks).map_err(failed)? {
        let path = task.map_err(failed)?.path().join("schedstat");
        // A thread may end between the two reads.
        let text = std::fs::read_to_string(path).unwrap_or_default();
        let used = text.split_whitespace().next();
        sum += used.and_then(|used| used.parse().ok()).unwrap_or(0);
    }
    Ok(sum)
}

/// The sum of a metric over its labels, from the Prometheus text form.
pub fn read_metric(text: &str, name: &str) -> Option<f64> {
    let values: Vec<f64> = text
        .lines()
        .filter_map(|line| {
            let rest = line.strip_prefix(name)?;
            let value = match rest.strip_prefix('{') {
                Some(labels) => labels.rsplit_once("} ")?.1,
                None => rest.strip_prefix(' ')?,
            };
            value.parse().ok()
        })
        .collect();
    (!values.is_empty()).then(|| values.iter().sum())
}
