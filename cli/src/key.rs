//! The subcommands `key new` and `key hash`, and the reader of signing keys.

use std::fs::OpenOptions;
use std::io::{Read, Write};
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};

use ed25519_dalek::SigningKey;
use sha2::{Digest, Sha256};

use crate::failure::CommandFailure;
use crate::flags::New;

/// Mode of a secret file: only its owner can read and write it.
const SECRET_FILE_MODE: u32 = 0o600;

/// Creates a signing key, writes the secret to a new file and prints the public key.
pub fn create(flags: &New) -> Result<(), CommandFailure> {
    let path = flags.out.clone().unwrap_or_else(|| PathBuf::from("signing.key"));
    let mut secret = [0; 32];
    getrandom::fill(&mut secret).map_err(|error| {
        CommandFailure::failed("cannot read random numbers from the operating system", error)
    })?;
    let key = SigningKey::from_bytes(&secret);
    let failure = |error: std::io::Error| CommandFailure::failed(path.display(), error);
    // An existing file is never overwritten: it may hold the only copy of a key.
    let mut file = OpenOptions::new()
        .write(true)
        .create_new(true)
        .mode(SECRET_FILE_MODE)
        .open(&path)
        .map_err(failure)?;
    file.write_all(format!("{}\n", hex::encode(secret)).as_bytes()).map_err(failure)?;
    outln!("public key {}", hex::encode(key.verifying_key().to_bytes()));
    outln!("secret key in {}, readable by its owner only", path.display());
    Ok(())
}

/// Reads a signing key from a file. Errors never contain the content of the file.
pub fn read(path: &Path) -> Result<SigningKey, CommandFailure> {
    let text =
        std::fs::read_to_string(path).map_err(|error| CommandFailure::failed(path.display(), error))?;
    let secret: Option<[u8; 32]> = hex::decode(text.trim()).ok().and_then(|bytes| bytes.try_into().ok());
    let failure = || CommandFailure::failed(path.display(), "not a signing key of 64 hexadecimal digits");
    Ok(SigningKey::from_bytes(&secret.ok_or_else(failure)?))
}

/// Reads a team key from standard input and prints its SHA-256 digest in hexadecimal.
pub fn hash() -> Result<(), CommandFailure> {
    let mut text = String::new();
    std::io::stdin()
        .read_to_string(&mut text)
        .map_err(|error| CommandFailure::failed("standard input", error))?;
    let key = text.trim_end_matches(['\r', '\n']);
    if key.is_empty() || !key.bytes().all(|byte| byte.is_ascii_graphic()) {
        let reason =
            "a team key is one line of visible ASCII characters, because it is sent in an HTTP header";
        return Err(CommandFailure::Failed(reason.to_owned()));
    }
    outln!("{}", hex::encode(Sha256::digest(key.as_bytes())));
    Ok(())
}
