//! Guards against checked-in generated code that differs from what its `.proto` file generates.

use std::fs;
use std::path::Path;

use googletest::prelude::*;

/// Environment variable that writes the generated code into the source tree before the comparison.
const REGENERATE: &str = "GODWITHAVEN_REGENERATE";

#[gtest]
fn generated_code_of_the_peer_protocol_matches_its_proto_file() -> Result<()> {
    compare_generated("peer")
}

#[gtest]
fn generated_code_of_the_cell_protocol_matches_its_proto_file() -> Result<()> {
    compare_generated("cell")
}

/// Generates the code of `proto/NAME.proto` and compares it with `src/proto/NAME.rs`.
fn compare_generated(name: &str) -> Result<()> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let target = root.join(format!("src/proto/{name}.rs"));
    let scratch = Path::new(env!("CARGO_TARGET_TMPDIR"));

    let files = protox::compile([format!("{name}.proto")], [root.join("proto")])?;
    tonic_prost_build::configure().out_dir(scratch).compile_fds(files)?;
    let generated = fs::read_to_string(scratch.join(format!("godwithaven.{name}.v1.rs")))?;
    if std::env::var_os(REGENERATE).is_some() {
        fs::write(&target, &generated)?;
    }

    verify_that!(fs::read_to_string(&target)? == generated, eq(true))
}
