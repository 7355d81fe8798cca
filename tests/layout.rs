//! The shape of the source tree: imports run one way.

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path::{Path, PathBuf};

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
fn code(path: &Path) -> String {
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
fn names_behind<'a>(code: &'a str, prefix: &str) -> Vec<&'a str> {
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
        let code = code(file);
        let named = names_behind(&code, prefix).into_iter().map(str::to_string);
        let others = named.filter(|name| modules.contains(name) && *name != module);
        imports.entry(module.clone()).or_default().extend(others);
    }
    imports
}

/// Takes away, again and again, what imports nothing that is left; what stays is part of a circle or needs one.
fn circle(mut imports: Imports) -> Imports {
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
fn modules_of_the_node_import_each_other_in_one_direction() {
    let imports = imports("src/node", "crate::", &["main"]);
    assert!(imports.len() > 8, "{imports:?}");
    assert_eq!(circle(imports), Imports::new());
}

#[test]
fn modules_of_the_balancer_import_each_other_in_one_direction() {
    let imports = imports("src/balancer", "super::", &["mod"]);
    assert!(imports.len() > 4, "{imports:?}");
    assert_eq!(circle(imports), Imports::new());
}
