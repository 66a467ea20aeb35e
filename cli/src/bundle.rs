//! The subcommands `bundle check`, `bundle diff`, `bundle sign` and `bundle show`.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use godwithaven::kernel::{BundleRecord, PolicyBundle};
use godwithaven::plugins::bundle_signature;
use godwithaven::prelude::ZoneId;
use serde_json::{Value, json};

use crate::bundle_file::BundleFile;
use crate::failure::CommandFailure;
use crate::flags::{Check, Diff, Show, Sign};
use crate::key;
use crate::operators::OperatorClient;

/// Checks a file and prints its faults; with `--entry` also refuses zones that have no VM.
pub async fn check(flags: &Check, json: bool) -> Result<(), CommandFailure> {
    let file = BundleFile::read(&flags.file)?;
    let zones = match &flags.entry {
        Some(entry) => Some(listed_zones(entry).await?),
        None => None,
    };
    let result = file.check(zones.as_deref());
    if json {
        let faults = result.as_ref().err().map(Vec::as_slice).unwrap_or_default();
        let faults: Vec<Value> = faults
            .iter()
            .map(|fault| {
                let (start, end) = (fault.span.start, fault.span.end);
                json!({ "line": fault.line(&file.text), "start": start, "end": end, "message": fault.message })
            })
            .collect();
        outln!("{}", json!({ "file": file.path, "faults": faults }));
        return result.map(|_| ()).map_err(|_| CommandFailure::Printed);
    }
    let bundle = result.map_err(|faults| file.failure(&faults))?;
    outln!("{}: {}", file.path.display(), describe(&bundle));
    Ok(())
}

/// Returns the zones that have workers or endpoints in the VM list of an entry process.
async fn listed_zones(entry: &str) -> Result<Vec<ZoneId>, CommandFailure> {
    let client = OperatorClient::new(std::slice::from_ref(&entry.to_owned()));
    let page = client.fetch_first("/v1/zones").await?;
    if let Some(error) = page["vm_list_fault"].as_str() {
        return Err(CommandFailure::failed("the VM list cannot be read", error));
    }
    let has_vms = |zone: &&Value| zone["workers"] != 0 || zone["endpoints"] != 0;
    let zones = page["zones"].as_array().into_iter().flatten().filter(has_vms);
    Ok(zones.filter_map(|zone| zone["zone"].as_str().map(Into::into)).collect())
}

/// Returns the line that `bundle check` prints for a bundle without faults.
fn describe(bundle: &PolicyBundle) -> String {
    format!(
        "no faults; version {} on base {}, {} zones, {} teams, {} keys, {} queues, {} services",
        bundle.version,
        bundle.base,
        bundle.zones.len(),
        bundle.teams.len(),
        bundle.keys.len(),
        bundle.queues.len(),
        bundle.services.len()
    )
}

/// Prints the fields that were removed, added or changed between two files.
pub fn diff(flags: &Diff, json: bool) -> Result<(), CommandFailure> {
    let (old, new) = (leaves_of(&flags.old)?, leaves_of(&flags.new)?);
    let removed: BTreeMap<&String, &Value> =
        old.iter().filter(|(path, _)| !new.contains_key(*path)).collect();
    let added: BTreeMap<&String, &Value> = new.iter().filter(|(path, _)| !old.contains_key(*path)).collect();
    let changed: BTreeMap<&String, [&Value; 2]> = old
        .iter()
        .filter_map(|(path, before)| new.get(path).map(|after| (path, [before, after])))
        .filter(|(_, [before, after])| before != after)
        .collect();
    if json {
        outln!("{}", json!({ "removed": removed, "added": added, "changed": changed }));
        return Ok(());
    }
    for (path, value) in removed {
        outln!("- {path} = {value}");
    }
    for (path, value) in added {
        outln!("+ {path} = {value}");
    }
    for (path, [before, after]) in changed {
        outln!("~ {path} = {before} -> {after}");
    }
    Ok(())
}

/// Returns the values of a checked bundle by their dotted path.
fn leaves_of(path: &Path) -> Result<BTreeMap<String, Value>, CommandFailure> {
    let bundle = BundleFile::read(path)?.bundle()?;
    let value =
        serde_json::to_value(bundle).map_err(|error| CommandFailure::failed(path.display(), error))?;
    let mut leaves = BTreeMap::new();
    collect_leaves("", value, &mut leaves);
    Ok(leaves)
}

/// Adds each value below `path` to `leaves`. Tables of an array are keyed by their `id` instead of their
/// index, so that reordering them is not reported as a change.
fn collect_leaves(path: &str, value: Value, leaves: &mut BTreeMap<String, Value>) {
    let join = |name: &str| if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") };
    match value {
        Value::Object(fields) => {
            for (name, field) in fields {
                collect_leaves(&join(&name), field, leaves);
            }
        }
        Value::Array(items) if items.iter().any(Value::is_object) => {
            for item in items {
                let name = item["id"].as_str().unwrap_or_default().to_owned();
                collect_leaves(&join(&name), item, leaves);
            }
        }
        value => {
            leaves.insert(path.to_owned(), value);
        }
    }
}

/// Checks and signs a bundle, or adds a signature to a signed file. A new signature replaces an earlier one
/// by the same key.
pub fn sign(flags: &Sign) -> Result<(), CommandFailure> {
    let file = BundleFile::read(&flags.file)?;
    let bundle = file.bundle()?;
    let key = key::read(&flags.key)?;
    let public_key = hex::encode(key.verifying_key().to_bytes());
    let out = flags.out.clone().unwrap_or_else(|| signed_path(&file));
    let mut record = file.signed.unwrap_or_else(|| BundleRecord {
        version: bundle.version,
        base: bundle.base,
        text: file.text,
        signatures: Vec::new(),
    });
    if (record.version, record.base) != (bundle.version, bundle.base) {
        return Err(CommandFailure::failed(
            file.path.display(),
            "the bundle text and the signed record differ in version or base",
        ));
    }
    record.signatures.retain(|(signer, _)| *signer != public_key);
    bundle_signature::sign(&mut record, &key);
    let text = serde_json::to_string_pretty(&record)
        .map_err(|error| CommandFailure::failed("the signed file cannot be encoded", error))?;
    std::fs::write(&out, text + "\n").map_err(|error| CommandFailure::failed(out.display(), error))?;
    outln!("{}: version {} on base {}", out.display(), record.version, record.base);
    for (signer, _) in &record.signatures {
        outln!("signed by {signer}");
    }
    Ok(())
}

/// Returns the default output file: the file itself if it is already signed, otherwise its name with the
/// ending `.signed.json`.
fn signed_path(file: &BundleFile) -> PathBuf {
    if file.signed.is_some() { file.path.clone() } else { file.path.with_extension("signed.json") }
}

/// Prints the bundle in force: its text to standard output, its version, base and signers to standard error.
pub async fn show(flags: &Show, json: bool) -> Result<(), CommandFailure> {
    let client = OperatorClient::new(&flags.entry);
    let page = client.fetch_first("/v1/bundle").await?;
    if json {
        outln!("{page}");
        return Ok(());
    }
    let record: BundleRecord = serde_json::from_value(page).map_err(|error| {
        CommandFailure::failed("the bundle of the entry process cannot be decoded", error)
    })?;
    eprintln!("version {} on base {}", record.version, record.base);
    for (signer, _) in &record.signatures {
        eprintln!("signed by {signer}");
    }
    print!("{}", record.text);
    Ok(())
}
