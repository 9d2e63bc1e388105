//! The pages name only what exists.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::process::Command;

use gs_protocol::refusal::RefusalReason;
use serde_json::json;

fn root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn read_text(path: &Path) -> String {
    std::fs::read_to_string(path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

/// The text of all pages.
fn page_texts() -> String {
    let folder = std::fs::read_dir(root().join("docs/operators")).expect("the folder is there");
    let paths = folder.map(|entry| entry.expect("the entry is readable").path());
    let is_page = |path: &PathBuf| path.extension().is_some_and(|kind| kind == "md");
    paths.filter(is_page).map(|path| read_text(&path)).collect()
}

/// The words of a text that start with a prefix and go on in lower case.
fn words(text: &str, prefix: &str) -> BTreeSet<String> {
    let is_end = |part: char| !(part.is_ascii_lowercase() || "_-".contains(part));
    let ends = |rest: &str| rest.find(is_end).unwrap_or(rest.len());
    let starts = text.match_indices(prefix).map(|(place, _)| &text[place..]);
    let words = starts.map(|rest| {
        let tail = &rest[prefix.len()..];
        rest[..prefix.len() + ends(tail)].to_owned()
    });
    words.filter(|word| word.len() > prefix.len()).collect()
}

/// The metrics that a program's source declares.
fn declared_metrics(program: &str) -> BTreeSet<String> {
    let path = root().join("crates").join(program).join("src/telemetry.rs");
    let quoted = words(&read_text(&path), "\"gs_");
    let names = quoted.iter().map(|word| word.trim_start_matches('"'));
    names.map(str::to_owned).collect()
}

#[test]
fn the_metrics_page_names_every_metric_and_no_other() {
    let mut declared = declared_metrics("gs-entry");
    declared.extend(declared_metrics("gs-admin"));
    let page = read_text(&root().join("docs/operators/metrics.md"));
    assert_eq!(words(&page, "gs_"), declared);
}

#[test]
fn the_metrics_page_names_only_reasons_that_exist() {
    let page = read_text(&root().join("docs/operators/metrics.md"));
    let (_, table) = page.split_once("| reason of a refusal |").expect("a table");
    let table = table.split("\n\n").next().expect("a table");
    let first_cells = table.lines().filter_map(|line| line.split('|').nth(1));
    let names = first_cells.flat_map(|cell| cell.split('`').skip(1).step_by(2));
    for name in names {
        serde_json::from_value::<RefusalReason>(json!(name)).expect(name);
    }
}

#[test]
fn the_pages_name_only_commands_that_exist() {
    let pages = page_texts();
    let mut commands = words(&pages, "gs-ctl ");
    commands.remove("gs-ctl --help");
    assert!(commands.len() > 8, "{commands:?}");
    for command in commands {
        let name = command.trim_start_matches("gs-ctl ");
        let output = Command::new(env!("CARGO_BIN_EXE_gs-ctl"))
            .args([name, "--help"])
            .output()
            .expect("gs-ctl runs");
        assert!(output.status.success(), "{command}");
    }
}

#[test]
fn the_walk_runs_every_page_that_has_commands() {
    let walk = read_text(&root().join("docs/operators/walk"));
    let list = walk.lines().find(|line| line.starts_with("pages=("));
    let listed = list.expect("the walk lists its pages");
    let folder = std::fs::read_dir(root().join("docs/operators")).expect("the folder is there");
    for entry in folder {
        let path = entry.expect("the entry is readable").path();
        let text = read_text(&path);
        let name = path
            .file_stem()
            .and_then(|stem| stem.to_str())
            .expect("a name");
        if text.contains("\n```sh\n") {
            assert!(listed.contains(name), "{name} is not walked");
        }
    }
}

/// The files below a folder of the repository, without what builds leave there.
fn files_below(folder: &Path, kind: &str, found: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(folder).expect("the folder is there") {
        let path = entry.expect("the entry is readable").path();
        let name = path.file_name().and_then(|name| name.to_str());
        if path.is_dir() && !name.is_some_and(|name| name == "target" || name.starts_with('.')) {
            files_below(&path, kind, found);
        } else if path.extension().is_some_and(|found| found == kind) {
            found.push(path);
        }
    }
}

fn list_files(kind: &str) -> Vec<PathBuf> {
    let mut found = Vec::new();
    files_below(&root(), kind, &mut found);
    found
}

#[test]
fn links_lead_to_files() {
    for page in list_files("md") {
        let text = read_text(&page);
        let folder = page.parent().expect("a folder");
        let links = text.split("](").skip(1);
        let targets = links.filter_map(|rest| rest.split([')', '#']).next());
        for target in targets.filter(|target| !target.is_empty() && !target.contains("://")) {
            let path = folder.join(target);
            assert!(path.exists(), "{} links to {target}", page.display());
        }
    }
}

#[test]
fn the_proofs_name_only_tests_that_exist() {
    let sources: Vec<_> = list_files("rs")
        .iter()
        .map(|path| read_text(path))
        .collect();
    let page = read_text(&root().join("docs/PROOFS.md"));
    let quoted = page.split('`').skip(1).step_by(2);
    let is_test = |name: &&str| {
        name.matches('_').count() > 2
            && name
                .chars()
                .all(|part| part.is_ascii_lowercase() || part == '_')
    };
    let names: BTreeSet<_> = quoted.filter(is_test).collect();
    assert!(names.len() > 20, "{names:?}");
    for name in names {
        let definition = format!("fn {name}(");
        assert!(
            sources.iter().any(|text| text.contains(&definition)),
            "{name}"
        );
    }
}
