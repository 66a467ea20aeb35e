//! Publishes a signed bundle and says whether it was adopted.

use godwithaven::kernel::BundleRecord;
use serde_json::json;

use crate::bundle_file::BundleFile;
use crate::failure::CommandFailure;
use crate::flags::Publish;
use crate::log_tail::LogTail;

/// Publishes a signed file if its base is in force, and prints whether it was adopted.
pub async fn publish(flags: &Publish, json: bool) -> Result<(), CommandFailure> {
    let file = BundleFile::read(&flags.file)?;
    file.bundle()?;
    let Some(record) = file.signed else {
        return Err(CommandFailure::failed(flags.file.display(), "not signed; see godwithaven bundle sign"));
    };
    let mut tail = LogTail::new(flags)?;
    tail.read_to_end().await?;
    if tail.ledger.published.as_ref() == Some(&record) {
        // A repeated publish, for example after a lost reply, has the result of the first one.
        return finish(&record, &Ok(()), json);
    }
    let version = tail.ledger.bundle.as_ref().map_or(0, |bundle| bundle.version);
    if record.base != version {
        let reason =
            format!("nothing was published: its base is {}, but version {version} is in force", record.base);
        return finish(&record, &Err(reason), json);
    }
    let result = tail.append(&record).await?;
    finish(&record, &result, json)
}

fn finish(record: &BundleRecord, result: &Result<(), String>, json: bool) -> Result<(), CommandFailure> {
    let version = record.version;
    if json {
        say!("{}", json!({ "version": version, "adopted": result.is_ok(), "reason": result.as_ref().err() }));
        return result.clone().map_err(|_| CommandFailure::Printed);
    }
    match result {
        Ok(()) => {
            say!("version {version} is in force");
            Ok(())
        }
        Err(reason) => Err(CommandFailure::failed(format!("version {version} was refused"), reason)),
    }
}
