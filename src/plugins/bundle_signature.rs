//! Ed25519 signatures of bundles, and the digest under which a bundle grants a team key.

pub use ed25519_dalek::SigningKey;
use ed25519_dalek::{Signature, Signer, Verifier, VerifyingKey};
use sha2::{Digest, Sha256};

use crate::kernel::{BundleRecord, BundleVerifier, PluginRegistry};
use crate::plugins::bundle_toml::{self, BundleContext};
use crate::prelude::*;

/// Returns the hexadecimal SHA-256 digest of a team key, the form in which a bundle lists it.
#[must_use]
pub fn key_digest(key: &str) -> String {
    hex::encode(Sha256::digest(key.as_bytes()))
}

/// Signs a bundle record and appends the public key and the signature to its signatures.
pub fn sign(record: &mut BundleRecord, key: &SigningKey) {
    let signature = key.sign(&signed_bytes(record));
    let public_key = hex::encode(key.verifying_key().to_bytes());
    record.signatures.push((public_key, hex::encode(signature.to_bytes())));
}

/// Returns how many distinct keys among `signers` have a valid signature on the record.
#[must_use]
pub fn count_approvals(record: &BundleRecord, signers: &[String]) -> usize {
    let message = signed_bytes(record);
    let valid: FastSet<&str> = record
        .signatures
        .iter()
        .filter(|(public_key, signature)| {
            signers.contains(public_key) && verify_signature(&message, public_key, signature).is_some()
        })
        .map(|(public_key, _)| public_key.as_str())
        .collect();
    valid.len()
}

/// Returns the verifier for bundles in TOML with ed25519 signatures.
///
/// Signatures by `signers` count while the bundle in force names no signers; the first bundle needs
/// `required_approvals` of them.
#[must_use]
pub fn verifier(registry: PluginRegistry, signers: Vec<String>, required_approvals: usize) -> BundleVerifier {
    let count = signers.len();
    BundleVerifier {
        parse: Arc::new(move |text| {
            let context =
                BundleContext { registry: &registry, known_zones: None, default_signer_count: Some(count) };
            bundle_toml::parse(text, &context)
        }),
        count_signatures: Arc::new(count_approvals),
        signers,
        required: required_approvals,
    }
}

/// Returns the bytes that a signature covers.
fn signed_bytes(record: &BundleRecord) -> Vec<u8> {
    format!("godwithaven bundle {} on {}\n{}", record.version, record.base, record.text).into_bytes()
}

/// Returns `Some(())` if `signature` is a valid signature of `message` by `public_key`, otherwise `None`. Key
/// and signature are hexadecimal.
fn verify_signature(message: &[u8], public_key: &str, signature: &str) -> Option<()> {
    let public_key: [u8; 32] = hex::decode(public_key).ok()?.try_into().ok()?;
    let signature: [u8; 64] = hex::decode(signature).ok()?.try_into().ok()?;
    let key = VerifyingKey::from_bytes(&public_key).ok()?;
    key.verify(message, &Signature::from_bytes(&signature)).ok()
}
