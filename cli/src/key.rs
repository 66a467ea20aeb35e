//! Signing keys and digests of team keys.

use std::fs::OpenOptions;
use std::io::{Read, Write};
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};

use ed25519_dalek::SigningKey;
use sha2::{Digest, Sha256};

use crate::failure::CommandFailure;
use crate::flags::New;

/// Only the owner reads the file.
const SECRET_MODE: u32 = 0o600;

/// Creates a signing key, writes the secret to a new file and prints the public key.
pub fn create(flags: &New) -> Result<(), CommandFailure> {
    let path = flags.out.clone().unwrap_or_else(|| PathBuf::from("signing.key"));
    let mut secret = [0; 32];
    getrandom::fill(&mut secret).map_err(|error| CommandFailure::failed("no random numbers", error))?;
    let key = SigningKey::from_bytes(&secret);
    let fault = |error: std::io::Error| CommandFailure::failed(path.display(), error);
    // An existing file is kept: it may hold the only copy of a key.
    let mut file =
        OpenOptions::new().write(true).create_new(true).mode(SECRET_MODE).open(&path).map_err(fault)?;
    file.write_all(format!("{}\n", hex::encode(secret)).as_bytes()).map_err(fault)?;
    say!("public key {}", hex::encode(key.verifying_key().to_bytes()));
    say!("secret key in {}, readable by its owner only", path.display());
    Ok(())
}

/// Reads a signing key; errors never show the content of the file.
pub fn read(path: &Path) -> Result<SigningKey, CommandFailure> {
    let text =
        std::fs::read_to_string(path).map_err(|error| CommandFailure::failed(path.display(), error))?;
    let secret: Option<[u8; 32]> = hex::decode(text.trim()).ok().and_then(|bytes| bytes.try_into().ok());
    let fault = || CommandFailure::failed(path.display(), "not a signing key of 64 hexadecimal digits");
    Ok(SigningKey::from_bytes(&secret.ok_or_else(fault)?))
}

/// Reads a team key from standard input and prints its digest.
pub fn hash() -> Result<(), CommandFailure> {
    let mut text = String::new();
    std::io::stdin()
        .read_to_string(&mut text)
        .map_err(|error| CommandFailure::failed("standard input", error))?;
    let key = text.trim_end_matches(['\r', '\n']);
    if key.is_empty() || !key.bytes().all(|byte| byte.is_ascii_graphic()) {
        let text = "a team key is one line of visible ASCII characters, since it travels in a header";
        return Err(CommandFailure::Failed(text.to_owned()));
    }
    say!("{}", hex::encode(Sha256::digest(key.as_bytes())));
    Ok(())
}
