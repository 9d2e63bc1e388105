//! Checks that the documentation matches the code: metrics, refusal reasons, commands, links and tests.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::process::Command;

use gs_protocol::refusal::RefusalReason;
use serde_json::json;

/// Returns the root folder of the workspace.
fn root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn read_text(path: &Path) -> String {
    std::fs::read_to_string(path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

/// Returns the text of all operators' pages.
fn page_texts() -> String {
    let folder = std::fs::read_dir(root().join("docs/operators")).expect("the folder is there");
    let paths = folder.map(|entry| entry.expect("the entry is readable").path());
    let is_page = |path: &PathBuf| path.extension().is_some_and(|extension| extension == "md");
    paths.filter(is_page).map(|path| read_text(&path)).collect()
}

/// Returns the words that start with a prefix and continue with lower-case letters, `_` or `-`.
fn words(text: &str, prefix: &str) -> BTreeSet<String> {
    let is_word_end =
        |character: char| !(character.is_ascii_lowercase() || "_-".contains(character));
    let tail_length = |rest: &str| rest.find(is_word_end).unwrap_or(rest.len());
    let starts = text.match_indices(prefix).map(|(start, _)| &text[start..]);
    let words = starts.map(|rest| {
        let tail = &rest[prefix.len()..];
        rest[..prefix.len() + tail_length(tail)].to_owned()
    });
    words.filter(|word| word.len() > prefix.len()).collect()
}

/// Returns the names of the metrics that a program declares in its `telemetry.rs`.
fn declared_metrics(program: &str) -> BTreeSet<String> {
    let path = root().join("crates").join(program).join("src/telemetry.rs");
    let quoted = words(&read_text(&path), "\"gs_");
    let names = quoted.iter().map(|word| word.trim_start_matches('"'));
    names.map(str::to_owned).collect()
}

#[test]
fn the_metrics_page_lists_exactly_the_declared_metrics() {
    let mut declared = declared_metrics("gs-entry");
    declared.extend(declared_metrics("gs-admin"));
    let page = read_text(&root().join("docs/operators/metrics.md"));
    assert_eq!(words(&page, "gs_"), declared);
}

#[test]
fn the_metrics_page_lists_only_existing_refusal_reasons() {
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
fn the_pages_use_only_existing_commands() {
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

/// The script `docs/operators/walk` runs the commands of the pages that it lists.
#[test]
fn the_walk_script_lists_every_page_with_commands() {
    let walk = read_text(&root().join("docs/operators/walk"));
    let list = walk.lines().find(|line| line.starts_with("pages=("));
    let listed = list.expect("the walk script lists its pages");
    let folder = std::fs::read_dir(root().join("docs/operators")).expect("the folder is there");
    for entry in folder {
        let path = entry.expect("the entry is readable").path();
        let text = read_text(&path);
        let name = path
            .file_stem()
            .and_then(|stem| stem.to_str())
            .expect("a name");
        if text.contains("\n```sh\n") {
            assert!(
                listed.contains(name),
                "the walk script does not list {name}"
            );
        }
    }
}

/// Collects the files with an extension below a folder. Skips `target` and hidden folders.
fn collect_files(folder: &Path, extension: &str, found: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(folder).expect("the folder is there") {
        let path = entry.expect("the entry is readable").path();
        let name = path.file_name().and_then(|name| name.to_str());
        if path.is_dir() && !name.is_some_and(|name| name == "target" || name.starts_with('.')) {
            collect_files(&path, extension, found);
        } else if path.extension().is_some_and(|found| found == extension) {
            found.push(path);
        }
    }
}

fn list_files(extension: &str) -> Vec<PathBuf> {
    let mut found = Vec::new();
    collect_files(&root(), extension, &mut found);
    found
}

#[test]
fn links_point_to_existing_files() {
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
fn the_proofs_list_only_existing_tests() {
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
                .all(|character| character.is_ascii_lowercase() || character == '_')
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
