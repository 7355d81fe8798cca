//! Checks of the source tree: modules have no import cycles, and files and lines stay within their maximum
//! lengths.

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path::{Path, PathBuf};

/// Maximum number of lines of a source file.
const MAX_FILE_LINES: usize = 450;
/// Maximum number of characters of a line. The check covers comments, which rustfmt does not wrap.
const MAX_LINE_WIDTH: usize = 110;

/// The modules that each module refers to in its code.
type Imports = BTreeMap<String, BTreeSet<String>>;

fn source_files(folder: &Path) -> Vec<PathBuf> {
    let mut files = Vec::new();
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            files.extend(source_files(&path));
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            files.push(path);
        }
    }
    files.sort();
    files
}

/// Returns the text of a file without its comments, which may refer to any module.
fn code_without_comments(path: &Path) -> String {
    let text = fs::read_to_string(path).unwrap();
    text.lines().map(|line| line.split("//").next().unwrap_or_default()).collect::<Vec<_>>().join("\n")
}

/// Returns the items of a `{...}` group, each with its nested groups.
fn group_items(group: &str) -> Vec<&str> {
    let (mut items, mut depth, mut start) = (Vec::new(), 0, 0);
    for (at, character) in group.char_indices() {
        match character {
            '{' => depth += 1,
            '}' if depth == 0 => {
                items.push(&group[start..at]);
                break;
            }
            '}' => depth -= 1,
            ',' if depth == 0 => {
                items.push(&group[start..at]);
                start = at + 1;
            }
            _ => {}
        }
    }
    items
}

/// Returns the first segment of a path.
fn first_segment(path: &str) -> &str {
    let path = path.trim_start();
    let end = path.find(|c: char| !c.is_alphanumeric() && c != '_').unwrap_or(path.len());
    &path[..end]
}

/// Returns the names that directly follow `prefix`, such as `crate::`, in the code.
fn names_after<'a>(code: &'a str, prefix: &str) -> Vec<&'a str> {
    let mut names = Vec::new();
    for (at, _) in code.match_indices(prefix) {
        let rest = &code[at + prefix.len()..];
        match rest.strip_prefix('{') {
            Some(group) => names.extend(group_items(group).into_iter().map(first_segment)),
            None => names.push(first_segment(rest)),
        }
    }
    names
}

/// Returns the module of `folder` that a file belongs to: the first path component below `folder`.
fn module_of(file: &Path, folder: &Path) -> String {
    let inside = file.strip_prefix(folder).unwrap();
    inside.iter().next().unwrap().to_str().unwrap().trim_end_matches(".rs").to_string()
}

/// Returns which modules of a folder refer to which other ones by paths that start with `prefix`. The
/// modules `roots`, which declare the others, are left out.
fn imports(folder: &str, prefix: &str, roots: &[&str]) -> Imports {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join(folder);
    let files = source_files(&folder);
    let modules: BTreeSet<String> = files.iter().map(|file| module_of(file, &folder)).collect();
    let mut imports = Imports::new();
    for file in &files {
        let module = module_of(file, &folder);
        if roots.contains(&module.as_str()) {
            continue;
        }
        let code = code_without_comments(file);
        let named = names_after(&code, prefix).into_iter().map(str::to_string);
        let others = named.filter(|name| modules.contains(name) && *name != module);
        imports.entry(module.clone()).or_default().extend(others);
    }
    imports
}

/// Repeatedly removes the modules that import none of the remaining ones. Those that stay are part of an
/// import cycle or depend on one.
fn remove_acyclic(mut imports: Imports) -> Imports {
    loop {
        let leaves: Vec<String> = imports
            .iter()
            .filter(|(_, others)| others.is_empty())
            .map(|(module, _)| module.clone())
            .collect();
        if leaves.is_empty() {
            return imports;
        }
        for leaf in leaves {
            imports.remove(&leaf);
            imports.values_mut().for_each(|others| {
                others.remove(&leaf);
            });
        }
    }
}

#[test]
fn node_modules_have_no_import_cycles() {
    let imports = imports("src/node", "crate::", &["main"]);
    assert!(imports.len() > 8, "{imports:?}");
    assert_eq!(remove_acyclic(imports), Imports::new());
}

#[test]
fn balancer_modules_have_no_import_cycles() {
    let imports = imports("src/balancer", "super::", &["mod"]);
    assert!(imports.len() > 4, "{imports:?}");
    assert_eq!(remove_acyclic(imports), Imports::new());
}

#[test]
fn source_files_and_lines_stay_within_their_limits() {
    let sources = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    for file in source_files(&sources) {
        let text = fs::read_to_string(&file).unwrap();
        let lines = text.lines().count();
        assert!(lines <= MAX_FILE_LINES, "{} has {lines} lines", file.display());
        let wide = text.lines().position(|line| line.chars().count() > MAX_LINE_WIDTH);
        assert_eq!(
            wide.map(|line| line + 1),
            None,
            "{} has a line of more than {MAX_LINE_WIDTH} characters",
            file.display()
        );
    }
}
