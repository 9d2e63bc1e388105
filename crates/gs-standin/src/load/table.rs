//! Formats the report of a load run as tables.

use std::fmt;

use super::report::{ClassReport, LoadReport, ServiceReport, TimeQuantiles};

impl fmt::Display for LoadReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if !self.classes.is_empty() {
            write_classes(formatter, &self.classes)?;
        }
        if !self.services.is_empty() {
            write_services(formatter, &self.services)?;
        }
        if let Some(prefill) = &self.prefill {
            writeln!(
                formatter,
                "prefill: {} tokens computed, {} cached, {} wasted ({:.2}%)",
                prefill.prefill_tokens,
                prefill.cached_tokens,
                prefill.wasted_tokens,
                prefill.wasted_share * 100.0,
            )?;
        }
        if let Some(runs) = &self.runs {
            writeln!(
                formatter,
                "services: {} keys ran, {} ran more than once, {} ran although reported as not run",
                runs.ran, runs.ran_twice, runs.false_not_run,
            )?;
        }
        Ok(())
    }
}

fn write_classes(formatter: &mut fmt::Formatter<'_>, classes: &[ClassReport]) -> fmt::Result {
    writeln!(
        formatter,
        "{:<16} {:<8} {:>6} {:>6} {:>6} {:>8} {:>7} {:>6} {:>5} {:>5} {:>6} {:>24} {:>24}",
        "class",
        "rank",
        "sent",
        "whole",
        "good",
        "good/s",
        "refused",
        "broken",
        "cut",
        "wrong",
        "gone",
        "first token 50/95/99 ms",
        "between 50/95/99 ms",
    )?;
    for class in classes {
        writeln!(
            formatter,
            "{:<16} {:<8} {:>6} {:>6} {:>6} {:>8.2} {:>7} {:>6} {:>5} {:>5} {:>6} {:>24} {:>24}",
            class.name,
            class.rank,
            class.sent,
            class.ended("whole"),
            class.good,
            class.goodput_per_s,
            class.ended("refused"),
            class.ended("broken"),
            class.ended("cut"),
            class.ended("wrong"),
            class.ended("cancelled"),
            class.first_token.to_string(),
            class.between_tokens.to_string(),
        )?;
    }
    for class in classes {
        write_reasons(formatter, class)?;
    }
    Ok(())
}

fn write_reasons(formatter: &mut fmt::Formatter<'_>, class: &ClassReport) -> fmt::Result {
    if let Some(flood) = &class.flood {
        writeln!(
            formatter,
            "  {}: during floods {} sent, {} good, {:.2} good/s",
            class.name, flood.sent, flood.good, flood.goodput_per_s,
        )?;
    }
    for (reason, count) in &class.refused {
        writeln!(formatter, "  {}: refused as {reason}: {count}", class.name)?;
    }
    let counts = [
        ("unreachable", class.ended("unreachable")),
        ("timed out", class.ended("timed-out")),
        ("unfinished", class.unfinished),
    ];
    for (label, count) in counts {
        if count > 0 {
            writeln!(formatter, "  {}: {label}: {count}", class.name)?;
        }
    }
    Ok(())
}

fn write_services(formatter: &mut fmt::Formatter<'_>, services: &[ServiceReport]) -> fmt::Result {
    writeln!(
        formatter,
        "{:<16} {:>6} {:>6} {:>7} {:>6} {:>7} {:>7} {:>8} {:>24}",
        "service",
        "sent",
        "done",
        "in time",
        "wrong",
        "not run",
        "unknown",
        "retries",
        "answer 50/95/99 ms",
    )?;
    for service in services {
        writeln!(
            formatter,
            "{:<16} {:>6} {:>6} {:>7} {:>6} {:>7} {:>7} {:>8} {:>24}",
            service.name,
            service.sent,
            service.done,
            service.in_time,
            service.wrong,
            service.not_run.values().sum::<u64>(),
            service.unknown.values().sum::<u64>(),
            service.retries,
            service.answer.to_string(),
        )?;
    }
    for service in services {
        for (reason, count) in &service.not_run {
            writeln!(formatter, "  {}: not run, {reason}: {count}", service.name)?;
        }
        for (reason, count) in &service.unknown {
            writeln!(formatter, "  {}: unknown, {reason}: {count}", service.name)?;
        }
    }
    Ok(())
}

impl fmt::Display for TimeQuantiles {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{:.2}/{:.2}/{:.2}",
            self.p50_ms, self.p95_ms, self.p99_ms
        )
    }
}
