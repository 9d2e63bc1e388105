//! Reads the processor time and the metrics of a process.

use std::path::PathBuf;

use super::SlopesError;

/// Reads the processor time that the running threads of a process have used, in nanoseconds.
pub fn read_cpu_ns(id: u32) -> Result<u64, SlopesError> {
    let read_error = |source| SlopesError::ReadProcess { id, source };
    let tasks = PathBuf::from(format!("/proc/{id}/task"));
    let mut sum = 0;
    for task in std::fs::read_dir(tasks).map_err(read_error)? {
        let path = task.map_err(read_error)?.path().join("schedstat");
        // A thread may end after the directory is listed.
        let text = std::fs::read_to_string(path).unwrap_or_default();
        let cpu_ns = text.split_whitespace().next();
        sum += cpu_ns.and_then(|cpu_ns| cpu_ns.parse().ok()).unwrap_or(0);
    }
    Ok(sum)
}

/// Sums a metric over all its label sets, from the Prometheus text format; `None` if it does not
/// occur.
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
