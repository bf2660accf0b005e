//! Keeps names that belong to the users' platform out of the general code.

mod harness;

use harness::source_files;
use std::path::Path;

/// Names of the platform, allowed in `platform/` and `deploy/` only.
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

#[test]
fn can_keep_the_platforms_names_in_one_folder() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut files = Vec::new();
    for folder in ["components", "src", "benches"] {
        source_files(&root.join(folder), &mut files);
    }
    assert!(files.len() > 50);
    for file in files {
        let text = std::fs::read_to_string(&file).unwrap().to_ascii_lowercase();
        let name = NAMES.iter().find(|name| text.contains(*name));
        assert_eq!(name, None, "{}", file.display());
    }
}
