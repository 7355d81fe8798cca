//! The shape of the source tree: imports run one way, and no file or line grows beyond what a reader takes in.

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path::{Path, PathBuf};

/// The most lines of a source file.
const MAX_FILE_LINES: usize = 450;
/// The most characters of a line; rustfmt does not break comments.
const MAX_LINE_WIDTH: usize = 110;

/// The modules that each module names in its code.
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

/// The text of a file without its comments, in which modules may be named freely.
fn code_without_comments(path: &Path) -> String {
    let text = fs::read_to_string(path).unwrap();
    text.lines().map(|line| line.split("//").next().unwrap_or_default()).collect::<Vec<_>>().join("\n")
}

/// The items of a `{...}` group, nested groups left whole.
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

/// The first name of a path.
fn first_name(path: &str) -> &str {
    let path = path.trim_start();
    let end = path.find(|c: char| !c.is_alphanumeric() && c != '_').unwrap_or(path.len());
    &path[..end]
}

/// What the code names directly behind `prefix`, such as `crate::`.
fn names_after<'a>(code: &'a str, prefix: &str) -> Vec<&'a str> {
    let mut names = Vec::new();
    for (at, _) in code.match_indices(prefix) {
        let rest = &code[at + prefix.len()..];
        match rest.strip_prefix('{') {
            Some(group) => names.extend(group_items(group).into_iter().map(first_name)),
            None => names.push(first_name(rest)),
        }
    }
    names
}

/// The module of `folder` that a file belongs to: its first path component.
fn module_of(file: &Path, folder: &Path) -> String {
    let inside = file.strip_prefix(folder).unwrap();
    inside.iter().next().unwrap().to_str().unwrap().trim_end_matches(".rs").to_string()
}

/// Which modules of a folder name which others behind `prefix`. `root` files join the modules and are left out.
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

/// Takes away, again and again, what imports nothing that is left; what stays is part of a circle or needs one.
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
        assert_eq!(wide.map(|line| line + 1), None, "a wide line of {}", file.display());
    }
}
