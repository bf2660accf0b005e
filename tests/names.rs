//! The users' platform's own names stand in `platform/` and `deploy/` alone.
#![expect(clippy::unwrap_used, reason = "a helper that panics fails its test")]

use std::path::Path;

/// Names that nothing but the platform uses.
const NAMES: [&str; 16] = [
    "attempt-id",
    "response-signature",
    "not-executed",
    "expected-instance",
    "token-usage",
    "prompt-prefix",
    "length-hint",
    "kv_capacity_tokens",
    "path_prefix",
    "traffic_split",
    "api_keys",
    "seed_nodes",
    "internal_port_range",
    "cowslipford_boot",
    "page_token",
    "max_attempts",
];

fn sources(folder: &Path, found: &mut Vec<std::path::PathBuf>) {
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir()
            && path
                .file_name()
                .is_some_and(|n| n != "tests" && n != "target")
        {
            sources(&path, found);
        } else if path.extension().is_some_and(|e| e == "rs") {
            found.push(path);
        }
    }
}

#[test]
fn can_keep_the_platforms_names_in_one_folder() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut files = Vec::new();
    for folder in ["components", "src", "benches"] {
        sources(&root.join(folder), &mut files);
    }
    assert!(files.len() > 50);
    for file in files {
        let text = std::fs::read_to_string(&file).unwrap().to_ascii_lowercase();
        let name = NAMES.iter().find(|name| text.contains(*name));
        assert_eq!(name, None, "{}", file.display());
    }
}
